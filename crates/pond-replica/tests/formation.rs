//! The quorum is formed once, from the initial seeds; later its members change as replicas present themselves.

use pond_proto::quorum::{Announce, Member, Members};
use pond_replica::{Formation, MemberChange};

fn member(id: u64, address: &str) -> Member {
    Member { id, name: address.to_owned(), address: address.to_owned(), voter: true }
}

fn present(id: u64, address: &str, formed: bool) -> Announce {
    Announce { member: member(id, address), formed, last_index: 0 }
}

fn seed(first: bool, formed: bool) -> Formation {
    let seeds = ["a", "b", "c"].map(str::to_owned).to_vec();
    Formation::new(member(1, "a"), if first { seeds } else { Vec::new() }, formed)
}

#[test]
fn quorum_is_formed_when_all_seeds_are_present() {
    let mut formation = seed(true, false);
    formation.record(present(2, "b", false));
    assert_eq!(formation.initial_members(), None);
    formation.record(present(3, "c", false));
    assert_eq!(formation.initial_members().unwrap().voters().count(), 3);
}

#[test]
fn all_seeds_form_the_same_quorum() {
    let seeds = ["a", "b", "c"].map(str::to_owned).to_vec();
    let formed = |own: u64| {
        let names = ["a", "b", "c"];
        let mut formation =
            Formation::new(member(own, names[own as usize - 1]), seeds.clone(), false);
        for id in (1..=3).filter(|id| *id != own) {
            formation.record(present(id, names[id as usize - 1], false));
        }
        formation.initial_members()
    };
    assert!(formed(1).is_some());
    assert_eq!(formed(1), formed(2));
    assert_eq!(formed(2), formed(3));
}

#[test]
fn replica_with_an_empty_disk_forms_no_quorum_at_a_later_start() {
    let mut formation = seed(false, false);
    formation.record(present(2, "b", false));
    formation.record(present(3, "c", false));
    assert_eq!(formation.initial_members(), None);
}

#[test]
fn replica_that_is_not_a_seed_forms_no_quorum() {
    let seeds = ["a", "b", "c"].map(str::to_owned).to_vec();
    let mut formation = Formation::new(member(4, "d"), seeds, false);
    for (id, address) in [(1, "a"), (2, "b"), (3, "c")] {
        formation.record(present(id, address, false));
    }
    assert_eq!(formation.initial_members(), None);
}

#[test]
fn new_seed_does_not_form_a_quorum_if_another_seed_has_a_log() {
    let mut formation = seed(true, false);
    formation.record(present(2, "b", true));
    formation.record(present(3, "c", false));
    assert_eq!(formation.initial_members(), None);
}

#[test]
fn new_replica_is_added() {
    let mut formation = seed(false, true);
    formation.record(present(4, "d", false));
    let members = Members::new(vec![member(1, "a"), member(2, "b")]);
    let step = formation.next_change(&members, |_| true);
    assert_eq!(step, Some(MemberChange::Add(member(4, "d"))));
}

#[test]
fn replica_with_another_disk_is_removed_and_then_added() {
    let mut formation = seed(false, true);
    formation.record(present(9, "b", false));
    let members = Members::new(vec![member(1, "a"), member(2, "b")]);
    assert_eq!(
        formation.next_change(&members, |_| true),
        Some(MemberChange::Remove(member(2, "b")))
    );
    let members = Members::new(vec![member(1, "a")]);
    assert_eq!(formation.next_change(&members, |_| true), Some(MemberChange::Add(member(9, "b"))));
}

#[test]
fn present_members_cause_no_change() {
    let mut formation = seed(false, true);
    formation.record(present(2, "b", true));
    let members = Members::new(vec![member(1, "a"), member(2, "b")]);
    assert_eq!(formation.next_change(&members, |_| true), None);
}

#[test]
fn replica_whose_link_is_lost_replaces_no_member() {
    // Another leader has added the replica with its new disk in the meantime.
    let mut formation = seed(false, true);
    formation.record(present(2, "b", true));
    formation.link_lost("b", 2);
    let members = Members::new(vec![member(1, "a"), member(9, "b")]);
    assert_eq!(formation.next_change(&members, |_| true), None);
}

#[test]
fn loss_of_the_link_of_a_replaced_disk_does_not_forget_the_new_one() {
    let mut formation = seed(false, true);
    formation.record(present(9, "b", false));
    formation.link_lost("b", 2);
    let members = Members::new(vec![member(1, "a")]);
    assert_eq!(formation.next_change(&members, |_| true), Some(MemberChange::Add(member(9, "b"))));
}

#[test]
fn replica_is_added_once_it_can_be_reached() {
    let mut formation = seed(false, true);
    let members = Members::new(vec![member(1, "a"), member(3, "c")]);
    formation.record(present(9, "b", false));
    assert_eq!(formation.next_change(&members, |_| false), None);
    let added = Some(MemberChange::Add(member(9, "b")));
    assert_eq!(formation.next_change(&members, |_| true), added);
}

#[test]
fn unreachable_replica_does_not_delay_others() {
    let mut formation = seed(false, true);
    let members = Members::new(vec![member(1, "a"), member(3, "c")]);
    formation.record(present(8, "b", false));
    formation.record(present(9, "d", false));
    let added = Some(MemberChange::Add(member(9, "d")));
    assert_eq!(formation.next_change(&members, |address| address == "d"), added);
}

/// Guards against a member with an outdated disk that stays because another change of members was under way when it
/// presented itself, which it does once per link.
#[test]
fn member_with_an_outdated_disk_is_removed_once_a_change_is_possible() {
    let mut formation = seed(false, true);
    let members = Members::new(vec![member(1, "a"), member(2, "b"), member(3, "c")]);
    formation.record(present(2, "b", true));
    formation.record_outdated(2);
    for _ in 0..2 {
        let change = formation.next_change(&members, |_| true);
        assert_eq!(change, Some(MemberChange::RemoveOutdated(member(2, "b"))));
    }
    formation.outdated_removed(2);
    let left = Members::new(vec![member(1, "a"), member(3, "c")]);
    let added = Some(MemberChange::Add(member(2, "b")));
    assert_eq!(formation.next_change(&left, |_| true), added, "its log is replaced by then");
    assert_eq!(formation.next_change(&members, |_| true), None);
}

/// Guards against a removal for what a replica had acknowledged to the leader of an earlier term.
#[test]
fn outdated_disks_are_forgotten_with_the_lead() {
    let mut formation = seed(false, true);
    let members = Members::new(vec![member(1, "a"), member(2, "b")]);
    formation.record_outdated(2);
    formation.leadership_lost();
    assert_eq!(formation.next_change(&members, |_| true), None);
}

/// Guards against a second quorum that is founded with the vote of a disk that was lost at the first start.
#[test]
fn only_disks_of_the_first_start_and_those_with_a_log_vote() {
    assert!(seed(true, false).may_vote());
    assert!(seed(false, true).may_vote());
    let mut empty = seed(false, false);
    assert!(!empty.may_vote());
    empty.set_formed();
    assert!(empty.may_vote(), "a leader has sent it a log");
}
