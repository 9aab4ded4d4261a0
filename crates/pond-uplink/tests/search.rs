//! Time until processes are linked to a new leader, and the number of dials, in virtual time: with
//! 3 to 25 replicas, minorities cut off with the leader, restarts of all replicas, machines that
//! are gone, addresses of previous replicas, and processes that know only one replica.

mod simulation;

use std::collections::BTreeMap;

use pond_link::LinkKey;
use pond_proto::fleet::LeaderInfo;
use pond_proto::{Millis, Span};
use pond_uplink::{Output, Search};

use simulation::{Outcome, Scenario, Simulation};

/// Minimum share of processes that are linked in time, in percent.
const MIN_LINKED_PERCENT: usize = 95;

/// Time after the election within which they are linked, in milliseconds. Once the loss of a link
/// has been noticed, a dial and an answer are needed. The rest is for processes that dialled the
/// wrong replicas first, and for those that notice the loss later than the replicas elect.
const LINKED_WITHIN_MS: Span = 350;

/// Maximum number of dials of a process within any second: three at once, three to eight at
/// increasing intervals, and those to replicas that others name.
const MAX_DIALS: usize = 16;

/// Maximum number of dials within any second for a process that has found no leader for 2 s.
const MAX_LATE_DIALS: usize = 6;

/// Time within which a process dials a leader that it has heard of, in milliseconds.
const SPREAD_MS: Span = 100;

fn check(scenario: Scenario) {
    for seed in 0..8 {
        let scenario = Scenario { seed, ..scenario };
        let Outcome { linked_in_time, dials, late_dials } =
            Simulation::new(scenario).run(LINKED_WITHIN_MS);
        let required = scenario.processes * MIN_LINKED_PERCENT / 100;
        assert!(
            linked_in_time >= required,
            "{linked_in_time} of {} linked in time: {scenario:?}",
            scenario.processes
        );
        assert!(dials <= MAX_DIALS, "{dials} dials in a second: {scenario:?}");
        assert!(
            late_dials <= MAX_LATE_DIALS,
            "{late_dials} dials in a second after 2 s: {scenario:?}"
        );
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

/// Guards against a search that is the slower, the more replicas have been replaced.
#[test]
fn processes_find_a_new_leader_after_a_restart_among_addresses_of_machines_that_are_gone() {
    for replicas in [3, 5, 9] {
        for gone in [3, 6, 12, 24] {
            for down_ms in [300, 2_000, 10_000] {
                check(Scenario { replicas, down_ms, gone, ..Scenario::default() });
            }
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
fn twelve_hundred_processes_that_search_at_once_stay_within_the_limit_of_dials() {
    let scenario = Scenario { replicas: 9, cut: 4, processes: 1_200, ..Scenario::default() };
    check(scenario);
}

#[test]
fn broken_link_is_restored_while_the_leader_stays() {
    for replicas in [1, 3, 9] {
        check(Scenario { replicas, reset: true, ..Scenario::default() });
    }
}

#[test]
fn dial_to_the_new_leader_is_not_given_up_for_the_next_dial() {
    let addresses: Vec<String> = (1..=9).map(|host| format!("10.0.0.{host}:80")).collect();
    for seed in 0..50 {
        let mut search = Search::new(addresses.clone(), seed, Millis(0));
        let no_leader = LeaderInfo { term: 1, ..LeaderInfo::default() };
        let mut now = Millis(0);
        // All dialled replicas answer, and none knows a leader.
        let mut open = BTreeMap::new();
        let mut dialled = BTreeMap::new();
        loop {
            for output in search.outputs() {
                match output {
                    Output::Dial { link, address } => {
                        search.link_up(now, link);
                        search.handle_lead(now, link, &no_leader);
                        dialled.insert(address.clone(), now);
                        open.insert(link, address);
                    }
                    Output::Close(link) => drop(open.remove(&link)),
                }
            }
            if now >= Millis(1_000) {
                break;
            }
            now = search.due().expect("the search goes on");
            search.tick(now);
        }
        let is_linked = |address: &&String| open.values().any(|other| other == *address);
        let mut others = addresses.iter().filter(|address| !is_linked(address));
        let leader = others
            .find(|address| dialled.get(*address).is_none_or(|at| now.since(*at) > 250))
            .expect("a replica that was not dialled recently");
        let other = open.keys().next().expect("no open link");
        // It hears of the leader just before it would dial another replica.
        let due = search.due().expect("the search goes on");
        let before = Millis(due.0 - 2).max(now);
        search.handle_lead(
            before,
            *other,
            &LeaderInfo { term: 2, leader: leader.clone(), ..LeaderInfo::default() },
        );
        let mut outputs = Vec::new();
        while search.due().expect("the search goes on") <= before + SPREAD_MS {
            search.tick(search.due().expect("the search goes on"));
            outputs.extend(search.outputs());
        }
        let dial = outputs.iter().find_map(|output| match output {
            Output::Dial { link, address } if address == leader => Some(*link),
            _ => None,
        });
        let dial = dial.expect("the leader was not dialled");
        assert!(!outputs.contains(&Output::Close(dial)), "seed {seed}: {outputs:?}");
    }
}

/// Returns the addresses that the search dials next.
fn dialled(search: &mut Search) -> Vec<(LinkKey, String)> {
    let dialled = search.outputs().into_iter().filter_map(|output| match output {
        Output::Dial { link, address } => Some((link, address)),
        Output::Close(_) => None,
    });
    dialled.collect()
}

/// Guards against a search for addresses from changed settings only after those that have failed.
#[test]
fn addresses_from_changed_settings_are_dialled_next_although_no_replica_lists_them() {
    for seed in 0..50 {
        let mut search = Search::new(vec!["a".to_owned()], seed, Millis(0));
        let (link, _) = dialled(&mut search).remove(0);
        search.link_up(Millis(1), link);
        let replicas = ["a", "b"].map(str::to_owned).to_vec();
        search.handle_lead(
            Millis(2),
            link,
            &LeaderInfo { term: 1, replicas, ..LeaderInfo::default() },
        );
        search.link_down(Millis(3), link);
        let mut now = Millis(3);
        while now < Millis(10_000) {
            now = search.due().expect("the search goes on");
            search.tick(now);
            for (link, _) in dialled(&mut search) {
                search.link_down(now, link);
            }
        }
        search.add_addresses(&["c".to_owned()]);
        search.tick(search.due().expect("the search goes on"));
        let next: Vec<String> =
            dialled(&mut search).into_iter().map(|(_, address)| address).collect();
        assert_eq!(next, ["c"], "seed {seed}");
    }
}

/// Guards against a replica that is cut off and names predecessors, which are then dialled before their successors.
#[test]
fn replicas_that_an_outdated_list_names_are_dialled_after_those_of_the_newest_one() {
    let lists = |term, replicas: [&str; 3]| LeaderInfo {
        term,
        replicas: replicas.map(str::to_owned).to_vec(),
        ..LeaderInfo::default()
    };
    for seed in 0..50 {
        let mut search = Search::new(vec!["a".to_owned(), "b".to_owned()], seed, Millis(0));
        for (link, address) in dialled(&mut search) {
            search.link_up(Millis(1), link);
            let lead = match address.as_str() {
                "a" => lists(2, ["a", "new-1", "new-2"]),
                _ => lists(1, ["b", "gone-1", "gone-2"]),
            };
            search.handle_lead(Millis(2), link, &lead);
        }
        let mut next = Vec::new();
        for _ in 0..2 {
            search.tick(search.due().expect("the search goes on"));
            next.extend(dialled(&mut search).into_iter().map(|(_, address)| address));
        }
        next.sort();
        assert_eq!(next, ["new-1", "new-2"], "seed {seed}");
    }
}
