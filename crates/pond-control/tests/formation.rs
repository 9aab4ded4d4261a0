//! Replicas that return with another disk replace the member of their name, and no newer one.

use pond_control::{Formation, Replacement};
use pond_proto::quorum::{Announce, Member, Members};

fn member(id: u64, name: &str) -> Member {
    Member { id, name: name.to_owned(), address: String::new(), voter: true }
}

fn announce(id: u64, name: &str, formed: bool) -> Announce {
    Announce { member: member(id, name), formed, last_index: 0 }
}

/// Creates the formation of replica `a` in a quorum with `b` and `c`.
fn formation() -> Formation {
    Formation::new(member(1, "a"), ["a", "b", "c"].map(str::to_owned).to_vec(), true)
}

fn members(list: &[(u64, &str)]) -> Members {
    Members::new(list.iter().map(|(id, name)| member(*id, name)).collect())
}

/// Guards against a lost disk that stays a voter beside its successor.
#[test]
fn replica_with_another_disk_is_removed_and_then_added() {
    let mut formation = formation();
    formation.record_announce(announce(9, "b", false));
    let step = formation.replacement(&members(&[(1, "a"), (2, "b"), (3, "c")]));
    assert_eq!(step, Some(Replacement::Remove(member(2, "b"))));
    let step = formation.replacement(&members(&[(1, "a"), (3, "c")]));
    assert_eq!(step, Some(Replacement::Add(member(9, "b"))));
}

/// Guards against a replica that never votes again because the change that added it was not committed.
#[test]
fn replica_that_has_a_log_and_is_no_member_is_added() {
    let mut formation = formation();
    formation.record_announce(announce(9, "b", true));
    let step = formation.replacement(&members(&[(1, "a"), (3, "c")]));
    assert_eq!(step, Some(Replacement::Add(member(9, "b"))));
}

/// Guards against the removal of a voter in favour of its predecessor, whose disk is gone.
#[test]
fn replica_whose_link_is_lost_replaces_no_member() {
    let mut formation = formation();
    formation.record_announce(announce(8, "b", false));
    formation.link_lost("b");
    // Another leader has replaced the disk once more.
    assert_eq!(formation.replacement(&members(&[(1, "a"), (9, "b"), (3, "c")])), None);
}

/// Guards against needless changes of members.
#[test]
fn present_members_are_not_replaced() {
    let mut formation = formation();
    formation.record_announce(announce(2, "b", true));
    assert_eq!(formation.replacement(&members(&[(1, "a"), (2, "b"), (3, "c")])), None);
}
