//! The guarantees of the quorum under random schedules of failures.

use pond_proto::quorum::Member;
use pond_quorum::{Input, Role};
use pond_test::{Cluster, Faults, cases};
use proptest::prelude::*;

fn check(mut cluster: Cluster, load_ms: u64) {
    cluster.run_under_load(load_ms);
    cluster.heal_and_check();
    assert_eq!(cluster.violation, None);
}

/// Creates a cluster of three that has a leader and ten accepted values.
fn with_values() -> (Cluster, u64) {
    with_values_and_seed(1)
}

/// Like [`with_values`], with another seed.
fn with_values_and_seed(seed: u64) -> (Cluster, u64) {
    let mut cluster = Cluster::new(3, seed, Faults::none());
    cluster.run(1500);
    let leader = cluster.leader().expect("a leader");
    (0..10).for_each(|_| cluster.propose(leader));
    cluster.run(100);
    assert_eq!(cluster.accepted(), 10);
    (cluster, leader)
}

proptest! {
    #![proptest_config(cases(2000))]

    #[test]
    fn three_replicas_keep_every_guarantee_under_all_faults(seed in any::<u64>()) {
        check(Cluster::new(3, seed, Faults::all()), 3000);
    }
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn five_replicas_keep_every_guarantee_under_all_faults(seed in any::<u64>()) {
        check(Cluster::new(5, seed, Faults::all()), 3000);
    }

    #[test]
    fn crashes_alone_lose_nothing(seed in any::<u64>()) {
        let faults = Faults { crash: 400, ..Faults::none() };
        check(Cluster::new(3, seed, faults), 3000);
    }

    #[test]
    fn full_disks_with_all_other_faults_lose_nothing(seed in any::<u64>()) {
        check(Cluster::new(3, seed, Faults { disk_full: 50, ..Faults::all() }), 3000);
    }

    #[test]
    fn full_disks_alone_lose_nothing(seed in any::<u64>()) {
        let faults = Faults { disk_full: 400, snapshot_every: 20, ..Faults::none() };
        check(Cluster::new(3, seed, faults), 3000);
    }

    #[test]
    fn full_disks_and_crashes_lose_nothing(seed in any::<u64>()) {
        let faults = Faults { disk_full: 400, crash: 200, snapshot_every: 20, ..Faults::none() };
        check(Cluster::new(5, seed, faults), 3000);
    }

    #[test]
    fn network_cuts_alone_lose_nothing(seed in any::<u64>()) {
        let faults = Faults { partition: 1000, drift: 40, ..Faults::none() };
        check(Cluster::new(3, seed, faults), 3000);
    }

    #[test]
    fn lost_disk_while_all_others_lose_power_loses_nothing(seed in any::<u64>(), lost in 1..=3u64) {
        let mut cluster = Cluster::new(3, seed, Faults::all());
        cluster.run_under_load(1000);
        let accepted = cluster.run_until_accepted(60_000, 1..15);
        prop_assert!(accepted, "no value was accepted: {:?}", cluster.violation);
        cluster.lose_power(lost, 9);
        cluster.run_under_load(2000);
        if let Some(leader) = cluster.leader() {
            cluster.input(leader, Input::Remove(lost));
            cluster.run_under_load(500);
            let member =
                Member { id: 9, name: "control-9".into(), address: String::new(), voter: false };
            cluster.input(leader, Input::Add(member));
        }
        cluster.run_under_load(500);
        cluster.heal_and_check();
        prop_assert_eq!(cluster.violation.clone(), None);
    }

    #[test]
    fn replica_with_a_lost_disk_does_not_vote_and_nothing_is_lost(seed in any::<u64>()) {
        let mut cluster = Cluster::new(3, seed, Faults { loss: 20, ..Faults::none() });
        cluster.run_under_load(2000);
        let Some(leader) = cluster.leader() else { return Ok(()) };
        let lost = (1..=3).find(|id| *id != leader).unwrap_or(1);
        cluster.lose_disk(lost, 9);
        cluster.run_under_load(500);
        if let Some(leader) = cluster.leader() {
            cluster.input(leader, Input::Remove(lost));
            cluster.run_under_load(500);
            let member =
                Member { id: 9, name: "control-9".into(), address: String::new(), voter: false };
            cluster.input(leader, Input::Add(member));
        }
        cluster.run_under_load(1000);
        cluster.heal_and_check();
        prop_assert_eq!(cluster.violation.clone(), None);
    }
}

#[test]
fn another_replica_leads_while_the_leaders_disk_is_full_and_all_agree_afterwards() {
    for seed in 1..=50 {
        let (mut cluster, leader) = with_values_and_seed(seed);
        cluster.fill_disk(leader, 5_000);
        cluster.propose(leader);
        cluster.run(600);
        let next = cluster.leader().expect("another leader");
        assert_ne!(next, leader, "seed {seed}");
        cluster.propose(next);
        cluster.run(100);
        assert!(cluster.accepted() >= 11, "seed {seed}: {:?}", cluster.violation);
        cluster.heal_and_check();
        assert_eq!(cluster.violation, None, "seed {seed}");
    }
}

#[test]
fn full_disk_of_a_follower_does_not_disturb_the_leader() {
    for seed in 1..=100 {
        let mut cluster = Cluster::new(5, seed, Faults::none());
        cluster.run(1500);
        let old_leader = cluster.leader().expect("a leader");
        let follower = (1..=5).find(|id| *id != old_leader).expect("a follower");
        cluster.fill_disk(follower, 6_000);
        cluster.crash(old_leader, 5_000);
        // Votes may be split in a few elections.
        cluster.run(2_000);
        let leader = cluster.leader().expect("another leader");
        let term = cluster.core(leader).map(|core| core.term());
        let before = cluster.accepted();
        for _ in 0..20 {
            cluster.propose(leader);
            cluster.run(100);
        }
        assert_eq!(cluster.core(leader).map(|core| core.term()), term, "seed {seed}");
        assert_eq!(cluster.accepted(), before + 20, "seed {seed}");
        cluster.heal_and_check();
        assert_eq!(cluster.violation, None, "seed {seed}");
    }
}

#[test]
fn lost_append_is_repeated_although_no_entry_follows_it() {
    let (mut cluster, leader) = with_values();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.isolate(others[0], 1_000_000);
    cluster.partition(leader, others[1], 5);
    cluster.propose(leader);
    cluster.run(2000);
    assert_eq!((cluster.accepted(), cluster.leader()), (11, Some(leader)));
}

#[test]
fn entries_that_a_killed_replica_read_at_restart_survive_a_power_loss() {
    for seed in 1..=20 {
        let (mut cluster, leader) = with_values_and_seed(seed);
        let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
        // A majority needs one follower, which is killed between writing and syncing.
        cluster.isolate(others[0], 1_000_000);
        cluster.kill_before_sync(others[1]);
        let accepted = cluster.run_until_accepted(2000, 5000..5001);
        assert!(accepted, "seed {seed}: {:?}", cluster.violation);
        cluster.lose_power(leader, 9);
        cluster.heal_and_check();
        assert_eq!(cluster.violation, None);
    }
}

#[test]
fn disks_that_ignore_syncs_are_detected() {
    let faults = Faults { crash: 400, lying_disks: true, ..Faults::all() };
    let noticed = (0..40).any(|seed| {
        let mut cluster = Cluster::new(3, seed, faults);
        cluster.run_under_load(4000);
        cluster.heal_and_check();
        cluster.violation.is_some()
    });
    assert!(noticed, "lost writes were not detected");
}

#[test]
fn leader_partitioned_for_an_hour_neither_leads_nor_disturbs_after_it_reconnects() {
    let (mut cluster, old) = with_values();
    cluster.isolate(old, 3_600_000);
    cluster.run(3000);
    let new = cluster.leader().expect("another leader");
    assert_ne!(new, old);
    assert_ne!(cluster.core(old).expect("old").role(), Role::Leader);
    let term = cluster.core(new).expect("new").term();
    // The old leader has requested pre-votes all the time, which does not raise its term.
    cluster.run(20_000);
    assert!(cluster.core(old).expect("old").term() <= term);
    cluster.heal_and_check();
    assert_eq!(cluster.leader(), Some(new));
    assert_eq!(cluster.core(new).expect("new").term(), term);
    assert_eq!(cluster.violation, None);
}

#[test]
fn planned_stop_hands_over_without_waiting_for_a_timeout() {
    let (mut cluster, old) = with_values();
    cluster.input(old, Input::TransferLeadership);
    cluster.run(100);
    let new = cluster.leader().expect("another leader");
    assert_ne!(new, old);
    assert_eq!(cluster.violation, None);
}

#[test]
fn replica_behind_the_snapshot_catches_up_with_it() {
    let mut cluster = Cluster::new(3, 5, Faults { snapshot_every: 10, ..Faults::none() });
    cluster.run(1500);
    let leader = cluster.leader().expect("a leader");
    let late = (1..=3).find(|id| *id != leader).expect("another");
    cluster.crash(late, 2000);
    (0..300).for_each(|_| cluster.propose(leader));
    cluster.run(1500);
    cluster.heal_and_check();
    assert_eq!(cluster.violation, None);
    assert_eq!(cluster.values(late), cluster.values(leader));
}

#[test]
fn second_replica_lost_right_after_a_replacement_loses_nothing() {
    let (mut cluster, leader) = with_values();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.lose_disk(others[0], 9);
    cluster.input(leader, Input::Remove(others[0]));
    cluster.run(300);
    let member = Member { id: 9, name: "control-9".into(), address: String::new(), voter: false };
    cluster.input(leader, Input::Add(member));
    cluster.run(1000);
    assert!(
        cluster.core(leader).expect("leader").members().is_voter(9),
        "it votes once it has caught up"
    );
    cluster.crash(others[1], 1_000_000);
    cluster.propose(leader);
    cluster.run(500);
    assert_eq!(cluster.accepted(), 11);
    assert_eq!(cluster.violation, None);
}

#[test]
fn replica_restored_to_an_older_disk_is_detected_and_removed() {
    let (mut cluster, leader) = with_values();
    let follower = (1..=3).find(|id| *id != leader).expect("another");
    let older = cluster.copy_disk(follower).expect("a disk");
    (0..10).for_each(|_| cluster.propose(leader));
    cluster.run(100);
    cluster.replace_disk(follower, older);
    let acknowledged = cluster.core(leader).expect("leader").acknowledged(follower);
    let has = cluster.core(follower).expect("follower").last_index();
    assert!(Some(has) < acknowledged, "{has} of {acknowledged:?}");
    cluster.input(leader, Input::Remove(follower));
    cluster.run(300);
    assert!(!cluster.core(leader).expect("leader").members().is_voter(follower));
    cluster.propose(leader);
    cluster.run(200);
    assert_eq!((cluster.accepted(), cluster.violation.clone()), (21, None));
}

#[test]
fn leader_without_a_majority_steps_down_and_accepts_nothing() {
    let (mut cluster, leader) = with_values();
    cluster.isolate(leader, 1_000_000);
    cluster.propose(leader);
    cluster.run(2000);
    assert_ne!(cluster.core(leader).expect("leader").role(), Role::Leader);
    assert_eq!(cluster.accepted(), 10);
}

#[test]
fn reads_are_served_without_log_entries() {
    let (mut cluster, leader) = with_values();
    let last = cluster.core(leader).expect("leader").last_index();
    (0..5).for_each(|_| cluster.read(leader));
    cluster.run(50);
    assert_eq!(cluster.completed_reads, 5);
    assert_eq!(cluster.core(leader).expect("leader").last_index(), last);
}

#[test]
fn late_snapshot_drops_no_acknowledged_entry() {
    // With this seed a follower receives a snapshot although it already holds the entries after it.
    let mut cluster = Cluster::new(3, 11_796_050_243_170_844_279, Faults::all());
    cluster.run_under_load(3000);
    cluster.heal_and_check();
    assert_eq!(cluster.violation, None);
}
