//! How soon processes are linked to a new leader, and how much they dial for it, in virtual time: 3
//! to 25 replicas, minorities that are cut off with the leader, restarts of all, machines that are gone,
//! addresses of former replicas, processes that know one replica only.

mod simulation;

use std::collections::BTreeMap;

use pond_proto::fleet::Lead;
use pond_proto::{Millis, Span};
use pond_uplink::{Output, Search};

use simulation::{Outcome, Scenario, Simulation};

/// Share of the processes that must be linked, in percent.
const MIN_LINKED_PERCENT: usize = 95;

/// Within this time after its election, in milliseconds: what is needed after the loss of a link has
/// been noticed is a dial and an answer; the rest is for processes whose first questions went to the
/// wrong replicas, and for those that notice the loss later than replicas elect.
const LINKED_WITHIN_MS: Span = 350;

/// Dials that a process makes within any second at most: three at once, three to eight that follow
/// more and more slowly, and those to replicas that others name.
const MAX_DIALS: usize = 16;

/// Dials of a process that has found nobody for two seconds, within any second.
const MAX_LATE_DIALS: usize = 6;

/// Within this time after it hears of a leader a process dials it, in milliseconds.
const SPREAD_MS: Span = 100;

fn check(scenario: Scenario) {
    for seed in 0..8 {
        let scenario = Scenario { seed, ..scenario };
        let Outcome { linked_in_time, dials, late_dials } =
            Simulation::new(scenario).run(LINKED_WITHIN_MS);
        let most = scenario.processes * MIN_LINKED_PERCENT / 100;
        assert!(
            linked_in_time >= most,
            "{linked_in_time} of {} linked in time: {scenario:?}",
            scenario.processes
        );
        assert!(dials <= MAX_DIALS, "{dials} dials in a second: {scenario:?}");
        assert!(late_dials <= MAX_LATE_DIALS, "{late_dials} dials in a late second: {scenario:?}");
    }
}

#[test]
fn processes_find_a_new_leader_while_any_minority_is_cut_off() {
    for replicas in [3, 5, 9, 25] {
        for cut in 1..=(replicas - 1) / 2 {
            check(Scenario { replicas, cut, ..Scenario::default() });
            check(Scenario { replicas, cut, split: true, ..Scenario::default() });
        }
    }
}

#[test]
fn processes_find_a_new_leader_after_all_replicas_restarted() {
    for replicas in [3, 5, 9, 25] {
        for down_ms in [300, 2_000, 10_000] {
            check(Scenario { replicas, down_ms, ..Scenario::default() });
        }
    }
}

#[test]
fn processes_find_a_new_leader_among_addresses_of_machines_that_are_gone() {
    for replicas in [3, 9, 25] {
        for gone in [1, 3, 6] {
            check(Scenario { replicas, cut: 1, gone, ..Scenario::default() });
        }
    }
}

#[test]
fn processes_that_know_one_replica_find_the_leader_through_it() {
    for replicas in [3, 9, 25] {
        check(Scenario { replicas, initial: 1, down_ms: 1_000, ..Scenario::default() });
    }
}

#[test]
fn twelve_hundred_processes_that_look_at_once_dial_each_replica_a_few_hundred_times() {
    let scenario = Scenario { replicas: 9, cut: 4, processes: 1_200, ..Scenario::default() };
    check(scenario);
}

#[test]
fn link_that_breaks_alone_is_made_again_while_the_leader_stays() {
    for replicas in [1, 3, 9] {
        check(Scenario { replicas, reset: true, ..Scenario::default() });
    }
}

#[test]
fn dial_to_the_new_leader_is_not_given_up_for_the_next_question() {
    let addresses: Vec<String> = (1..=9).map(|host| format!("10.0.0.{host}:80")).collect();
    for seed in 0..50 {
        let mut search = Search::new(addresses.clone(), seed, Millis(0));
        let knows_nobody = Lead { term: 1, ..Lead::default() };
        let mut now = Millis(0);
        // All that are asked answer, and none knows a leader.
        let mut open = BTreeMap::new();
        let mut dialled = BTreeMap::new();
        loop {
            for output in search.outputs() {
                match output {
                    Output::Dial { link, address } => {
                        search.link_up(now, link);
                        search.handle_lead(now, link, &knows_nobody);
                        dialled.insert(address.clone(), now);
                        open.insert(link, address);
                    }
                    Output::Close(link) => drop(open.remove(&link)),
                }
            }
            if now >= Millis(1_000) {
                break;
            }
            now = search.due().expect("it looks");
            search.tick(now);
        }
        let held = |address: &&String| open.values().any(|other| other == *address);
        let mut others = addresses.iter().filter(|address| !held(address));
        let leader = others
            .find(|address| dialled.get(*address).is_none_or(|at| now.since(*at) > 250))
            .expect("another");
        let teller = open.keys().next().expect("a link");
        // It hears of the leader just before it would ask one more replica anyway.
        let due = search.due().expect("it looks");
        let before = Millis(due.0 - 2).max(now);
        search.handle_lead(
            before,
            *teller,
            &Lead { term: 2, leader: leader.clone(), ..Lead::default() },
        );
        let mut outputs = Vec::new();
        while search.due().expect("it looks") <= before + SPREAD_MS {
            search.tick(search.due().expect("it looks"));
            outputs.extend(search.outputs());
        }
        let dial = outputs.iter().find_map(|output| match output {
            Output::Dial { link, address } if address == leader => Some(*link),
            _ => None,
        });
        let dial = dial.expect("the leader is dialled");
        assert!(!outputs.contains(&Output::Close(dial)), "seed {seed}: {outputs:?}");
    }
}
