//! Which unreachable members are removed from the quorum.

use std::cmp::Reverse;

use pond_proto::Span;
use pond_proto::quorum::{Member, Members};

/// The time to catch up, divided by the time after which an unreachable member may be removed. The rest is
/// for noticing the loss, an election and the changes of members themselves.
const CATCH_UP_DIVISOR: Span = 8;

/// Time in milliseconds after which an unreachable voter may be removed although the quorum tolerates enough
/// losses, or although fewer voters are left than it needs for that.
const LONG_OUTAGE_MS: Span = 10_000;

/// Smallest even number of voters that can lose one and still have a majority.
const MIN_EVEN_VOTERS: usize = 4;

/// Decides which unreachable members are removed, so that the quorum tolerates the required number of
/// losses although some of its voters do not return.
///
/// A replica that is replaced cannot be told from one that is only unreachable. So a removal must not harm
/// if the member returns: as many voters are kept as tolerate the required losses, and one is removed from
/// an even number, as every majority of that contains a majority of the others. Two voters of an odd
/// number are removed only where too few losses are tolerated otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    tolerated_losses: usize,
    timeout_ms: Span,
}

impl Removal {
    /// Creates the rules of a quorum that must tolerate `tolerated_losses` lost replicas, and in which a
    /// replaced replica no longer counts as lost once its successor has run for `catch_up_ms`.
    pub fn new(tolerated_losses: usize, catch_up_ms: Span) -> Removal {
        Removal { tolerated_losses, timeout_ms: catch_up_ms / CATCH_UP_DIVISOR }
    }

    /// Returns the number of voters that tolerate the required losses.
    fn required_voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Returns the member to remove next, if any. `unreachable_ms` returns for how long a member has been
    /// unreachable, or `None` if it can be reached.
    pub fn next(
        &self,
        members: &Members,
        unreachable_ms: impl Fn(&Member) -> Option<Span>,
    ) -> Option<Member> {
        let spans =
            members.list.iter().filter_map(|member| Some((unreachable_ms(member)?, member)));
        let mut unreachable: Vec<(Span, &Member)> = spans.collect();
        unreachable.sort_by_key(|(span, member)| (Reverse(*span), member.id));
        let expired_learner =
            |(span, member): &&(Span, &Member)| !member.voter && *span >= self.timeout_ms;
        if let Some((_, learner)) = unreachable.iter().find(expired_learner) {
            return Some((*learner).clone());
        }
        unreachable.retain(|(_, member)| member.voter);
        let (_, longest) = unreachable.first()?;
        let spans: Vec<Span> = unreachable.iter().map(|(span, _)| *span).collect();
        let voters = members.voters().count();
        self.may_remove_voter(voters, &spans).then(|| (*longest).clone())
    }

    /// Whether the voter that has been unreachable for the longest time may be removed. `unreachable` holds
    /// the times of all unreachable voters, the longest first.
    fn may_remove_voter(&self, voters: usize, unreachable: &[Span]) -> bool {
        let longest = unreachable.first().copied().unwrap_or_default();
        let required = self.required_voters();
        if voters.is_multiple_of(2) {
            let timeout_ms = if voters > required { self.timeout_ms } else { LONG_OUTAGE_MS };
            return voters >= MIN_EVEN_VOTERS && longest >= timeout_ms;
        }
        // An odd number tolerates no more losses without one voter, and one more without two.
        let Some(second) = unreachable.get(1).copied().filter(|_| voters > required) else {
            return false;
        };
        let tolerated = (voters - unreachable.len()).saturating_sub(voters / 2 + 1);
        let tolerates_too_few = tolerated < self.tolerated_losses;
        second >= LONG_OUTAGE_MS || (tolerates_too_few && second >= 2 * self.timeout_ms)
    }
}
