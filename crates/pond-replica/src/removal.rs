//! Which unreachable members are removed from the quorum.

use pond_proto::Span;
use pond_proto::quorum::{Member, Members};

/// Share of the time for catching up after which an unreachable member may be removed. The rest of that
/// time is for noticing the loss, an election and the changes of members themselves.
const CATCH_UP_SHARE: Span = 4;

/// Time in milliseconds after which an unreachable voter counts as lost for good even if the quorum
/// tolerates enough losses: longer than a restart or a network partition usually takes.
const LONG_OUTAGE_MS: Span = 10_000;

/// Decides which unreachable members are removed, so that the quorum tolerates the required number of
/// losses although some of its voters do not return.
///
/// A replica that is replaced cannot be told from one that is only unreachable. So removals must not harm
/// if the member returns: enough voters are kept to tolerate the required losses, and of an even number of
/// voters one is removed, because every majority of them contains a majority of the others.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    tolerated_losses: usize,
    timeout_ms: Span,
}

impl Removal {
    /// Creates the rules of a quorum that must tolerate `tolerated_losses` lost replicas, and in which a
    /// replaced replica no longer counts as lost once its successor has run for `catch_up_ms`.
    pub fn new(tolerated_losses: usize, catch_up_ms: Span) -> Removal {
        Removal { tolerated_losses, timeout_ms: catch_up_ms / CATCH_UP_SHARE }
    }

    /// Returns the member to remove next, if any. `unreachable_ms` returns for how long a member has been
    /// unreachable, or `None` if it can be reached.
    pub fn next(
        &self,
        members: &Members,
        unreachable_ms: impl Fn(&Member) -> Option<Span>,
    ) -> Option<Member> {
        let lost = members.list.iter().filter_map(|member| Some((unreachable_ms(member)?, member)));
        let mut lost: Vec<(Span, &Member)> = lost.collect();
        lost.sort_by_key(|(span, member)| (std::cmp::Reverse(*span), member.id));
        let expired = |(span, _): &&(Span, &Member)| *span >= self.timeout_ms;
        let learner = lost.iter().filter(expired).find(|(_, member)| !member.voter);
        if let Some((_, learner)) = learner {
            return Some((*learner).clone());
        }
        lost.retain(|(_, member)| member.voter);
        let expired = lost.iter().filter(expired).count();
        let (_, longest) = lost.first()?;
        self.may_remove(members.voters().count(), &lost, expired).then(|| (*longest).clone())
    }

    /// Whether the longest unreachable voter may be removed. `lost` are all unreachable voters, the longest
    /// unreachable first, of which `expired` have been unreachable for the timeout.
    fn may_remove(&self, voters: usize, lost: &[(Span, &Member)], expired: usize) -> bool {
        if voters <= 2 * self.tolerated_losses + 1 {
            return false;
        }
        if voters.is_multiple_of(2) {
            return expired >= 1;
        }
        // Without one voter, an odd number tolerates no more losses; without two of them, one more.
        let majority = voters / 2 + 1;
        let tolerated = (voters - lost.len()).saturating_sub(majority);
        let second_is_long_lost = lost.get(1).is_some_and(|(span, _)| *span >= LONG_OUTAGE_MS);
        expired >= 2 && (tolerated < self.tolerated_losses || second_is_long_lost)
    }
}
