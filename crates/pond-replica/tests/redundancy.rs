//! How many losses the quorum tolerates with the voters that can be reached.

use pond_proto::quorum::{Announce, Member, Members};
use pond_replica::{Formation, Redundancy};

fn member(id: u64) -> Member {
    let address = format!("10.0.0.{id}:1");
    Member { id, name: address.clone(), address, voter: true }
}

/// Returns the redundancy of `voters` voters of which the first `unreachable` cannot be reached.
fn redundancy(voters: u64, unreachable: u64) -> Redundancy {
    let members = Members::new((1..=voters).map(member).collect());
    Redundancy::new(&members, |member| member.id > unreachable)
}

/// Guards against a reported tolerance that includes voters which are gone, as in the seven voters of which two were
/// gone when two disks were lost.
#[test]
fn unreachable_voters_lower_the_tolerated_losses() {
    let cases = [(5, 0, 2), (5, 1, 1), (6, 0, 2), (6, 1, 1), (7, 2, 1), (9, 0, 4), (3, 1, 0)];
    for (voters, unreachable, tolerated) in cases {
        let redundancy = redundancy(voters, unreachable);
        assert_eq!(redundancy.tolerated_losses(), tolerated, "{unreachable} of {voters}");
        assert!(redundancy.has_majority());
    }
    for (voters, unreachable) in [(7, 4), (6, 3), (2, 1)] {
        assert!(!redundancy(voters, unreachable).has_majority(), "{unreachable} of {voters}");
    }
}

/// Guards against learners that count as voters.
#[test]
fn learners_tolerate_no_losses() {
    let learner = |id| Member { voter: false, ..member(id) };
    let members = Members::new((1..=3).map(member).chain((4..=5).map(learner)).collect());
    let redundancy = Redundancy::new(&members, |_| true);
    assert_eq!((redundancy.voters().len(), redundancy.tolerated_losses()), (3, 1));
}

/// Guards against a voter whose disk is gone and that counts because its address answers again.
#[test]
fn voter_whose_address_presents_another_disk_has_lost_its_disk() {
    let mut formation = Formation::new(member(1), Vec::new(), true);
    let present =
        |id| Announce { member: Member { id, ..member(2) }, formed: false, last_index: 0 };
    formation.record(present(2));
    assert!(!formation.has_lost_disk(&member(2)));
    formation.record(present(9));
    assert!(formation.has_lost_disk(&member(2)));
    assert!(!formation.has_lost_disk(&member(3)));
}
