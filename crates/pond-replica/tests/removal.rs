//! Which unreachable members are removed: those without which the quorum tolerates more losses, and none that would be
//! missed if it returned.

use pond_proto::Span;
use pond_proto::quorum::{Member, Members};
use pond_replica::Removal;

/// Time for a replica to catch up, in milliseconds.
const CATCH_UP_MS: Span = 4_000;

/// Time after which an unreachable member may be removed: an eighth of the time to catch up.
const EXPIRED_MS: Span = 500;

/// Time after which two voters of an odd number may be removed.
const PAIR_EXPIRED_MS: Span = 1_000;

/// Time after which a voter may be removed although the quorum tolerates enough losses.
const LONG_MS: Span = 10_000;

fn member(id: u64, voter: bool) -> Member {
    Member { id, name: format!("control-{id}"), address: format!("10.0.0.{id}:1"), voter }
}

fn voters(count: u64) -> Members {
    Members::new((1..=count).map(|id| member(id, true)).collect())
}

/// Returns the member that is removed when the given members are unreachable for the given times.
fn removed(losses: usize, members: &Members, unreachable: &[(u64, Span)]) -> Option<u64> {
    let unreachable_ms = unreachable_ms(unreachable);
    Removal::new(losses, CATCH_UP_MS).next(members, unreachable_ms).map(|member| member.id)
}

fn unreachable_ms(unreachable: &[(u64, Span)]) -> impl Fn(&Member) -> Option<Span> {
    |member| unreachable.iter().find(|(id, _)| *id == member.id).map(|(_, ms)| *ms)
}

/// Guards against a predecessor that stays a voter beside its successor.
#[test]
fn voter_beyond_the_required_number_is_removed_from_an_even_number() {
    for (losses, count) in [(1, 4), (1, 6), (2, 6), (2, 8), (2, 10), (4, 10)] {
        let lost = [(2, EXPIRED_MS)];
        assert_eq!(removed(losses, &voters(count), &lost), Some(2), "{losses} {count}");
        let lost = [(2, EXPIRED_MS - 1)];
        assert_eq!(removed(losses, &voters(count), &lost), None, "{losses} {count}");
    }
}

/// Guards against a quorum that tolerates fewer losses than required after a voter was only cut off.
#[test]
fn voters_that_are_needed_to_tolerate_the_required_losses_are_kept() {
    for (losses, count) in [(1, 3), (2, 3), (2, 5), (4, 9)] {
        let lost = [(1, LONG_MS), (2, LONG_MS)];
        assert_eq!(removed(losses, &voters(count), &lost), None, "{losses} {count}");
    }
    for (losses, count) in [(1, 2), (2, 4), (4, 8)] {
        let lost = [(1, LONG_MS - 1), (2, LONG_MS - 1)];
        assert_eq!(removed(losses, &voters(count), &lost), None, "{losses} {count}");
    }
}

/// Guards against the removal of a voter that may return where it gains nothing.
#[test]
fn single_unreachable_voter_of_an_odd_number_is_kept() {
    for (losses, count) in [(1, 5), (1, 7), (2, 7), (2, 9)] {
        assert_eq!(removed(losses, &voters(count), &[(2, LONG_MS)]), None, "{losses} {count}");
    }
}

/// Guards against two predecessors that stay voters because both successors voted before they were lost.
#[test]
fn two_voters_are_removed_from_an_odd_number_if_too_few_losses_are_tolerated() {
    let lost = [(3, PAIR_EXPIRED_MS), (5, PAIR_EXPIRED_MS + 1)];
    assert_eq!(removed(2, &voters(7), &lost), Some(5), "the longest unreachable one first");
    let lost_later = [(3, PAIR_EXPIRED_MS), (5, PAIR_EXPIRED_MS - 1)];
    assert_eq!(removed(2, &voters(7), &lost_later), None);
    assert_eq!(removed(2, &voters(9), &lost), None, "two more losses are tolerated");
}

/// Guards against voters that accumulate in a large quorum until a majority of the running replicas is none of the
/// voters.
#[test]
fn two_voters_are_removed_from_an_odd_number_after_a_long_outage() {
    let lost = [(3, LONG_MS), (5, LONG_MS)];
    assert_eq!(removed(2, &voters(11), &lost), Some(3));
    assert_eq!(removed(2, &voters(11), &[(3, LONG_MS), (5, LONG_MS - 1)]), None);
}

/// Guards against a successor that was lost before it voted and stays a member.
#[test]
fn unreachable_learner_is_removed_before_any_voter() {
    let mut members = voters(6);
    members.list.push(member(7, false));
    let lost = [(2, LONG_MS), (7, EXPIRED_MS)];
    assert_eq!(removed(2, &members, &lost), Some(7));
    assert_eq!(removed(2, &members, &[(7, EXPIRED_MS - 1)]), None);
}

/// Guards against a chain of removals that leaves fewer than the required voters, or reachable voters that are no
/// majority of the voters that are left.
#[test]
fn removals_restore_the_required_redundancy_where_enough_voters_are_reachable() {
    for losses in 1..=4_usize {
        let required = 2 * losses + 1;
        for reachable in required..=required + 4 {
            for lost in 0..=4_usize.min(reachable - 1) {
                let mut members = voters((reachable + lost) as u64);
                let unreachable: Vec<(u64, Span)> =
                    (1..=lost as u64).map(|id| (id, PAIR_EXPIRED_MS)).collect();
                while let Some(id) = removed(losses, &members, &unreachable) {
                    members.list.retain(|member| member.id != id);
                }
                assert!(members.list.len() >= required);
                let tolerated = reachable - members.majority();
                assert!(tolerated >= losses, "{losses}: {reachable} reachable, {lost} lost");
            }
        }
    }
}

/// Guards against a list with fewer than the required voters, also for the moment until a successor votes: if a disk is
/// lost then, a voter that was only cut off is missed although it returns.
#[test]
fn voter_is_kept_until_its_successor_votes() {
    for losses in 1..=4 {
        let mut members = voters(2 * losses as u64 + 1);
        let lost = [(1, LONG_MS)];
        members.list.push(member(100, false));
        assert_eq!(removed(losses, &members, &lost), None, "{losses}");
        members.list.last_mut().expect("the successor").voter = true;
        assert_eq!(removed(losses, &members, &lost), Some(1), "{losses}");
    }
}
