//! Guarantees of the agent: no end is forgotten, the state of a start is never guessed, and no
//! lease is extended beyond the granted time.

mod support;

use std::collections::BTreeMap;

use pond_agent::{Answer, Call, Refusal, Registration, Reply};
use pond_proto::Size;
use pond_proto::fleet::{Order, StartOrder, Watch};
use pond_proto::job::EndReason;
use support::{
    Harness, INCARNATION, best_effort, is_list, is_pace, is_start, is_stop, run, serving,
};

#[test]
fn order_is_carried_out_once() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.start(0);
    assert_eq!(harness.count(is_start), 1);
}

#[test]
fn order_of_an_older_leader_is_ignored() {
    let mut harness = Harness::new();
    harness.order(Order { term: 9, ..Order::default() });
    let start = StartOrder { run: run(0), ..StartOrder::default() };
    let old =
        Order { worker: INCARNATION.to_owned(), term: 8, starts: vec![start], ..Order::default() };
    harness.core.order(harness.now, old);
    harness.tick();
    assert_eq!(harness.count(is_start), 0);
}

#[test]
fn start_without_answer_is_repeated_as_the_same_run() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::Unknown);
    harness.advance(300);
    // A restarted worker may accept calls at the address now.
    assert_eq!(harness.count(is_start), 0);
    harness.list_all(&[], &[]);
    assert_eq!(harness.count(is_start), 1);
    assert_eq!(harness.count(is_stop), 0);
}

#[test]
fn start_without_answer_is_not_given_up_before_a_stop_and_a_later_list() {
    let mut harness = Harness::new();
    harness.start(0);
    for _ in 0..3 {
        harness.answer(is_start, Reply::Unknown);
        harness.list_all(&[], &[]);
        harness.advance(2_000);
    }
    assert_eq!(harness.count(is_stop), 1);
    // This list was requested before the stop was confirmed.
    harness.list(&[], &[]);
    assert!(harness.last().unstarted.is_empty());
    harness.answer(is_stop, Reply::Done);
    while harness.last().unstarted.is_empty() && harness.count(is_list) > 0 {
        harness.list(&[], &[]);
        harness.advance(1_000);
    }
    assert_eq!(harness.last().unstarted, [run(0)]);
}

#[test]
fn refused_start_is_stopped_before_it_counts_as_unstarted() {
    // An earlier call of a previous agent may still be carried out.
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::Refused(Refusal::NoRoom));
    harness.advance(1);
    assert_eq!(harness.count(is_stop), 1);
    assert!(harness.last().unstarted.is_empty());
}

#[test]
fn refused_start_with_a_listed_end_does_not_count_as_unstarted() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::Refused(Refusal::Old));
    harness.advance(1);
    harness.answer(is_stop, Reply::Done);
    harness.list(&[], &[(1, 0, EndReason::Done)]);
    harness.advance(1_000);
    assert!(harness.last().unstarted.is_empty());
    assert_eq!(harness.last().ends.len(), 1);
}

#[test]
fn end_is_reported_until_control_has_committed_it() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::Done);
    harness.list(&[], &[(1, 0, EndReason::Done)]);
    harness.advance(1_000);
    assert_eq!(harness.last().ends.len(), 1);
    harness.order(Order { committed: 1, ..Order::default() });
    harness.advance(1_000);
    assert!(harness.last().ends.is_empty());
}

#[test]
fn worker_may_forget_only_committed_ends() {
    let mut harness = Harness::new();
    harness.list(&[], &[(1, 0, EndReason::Done), (2, 1, EndReason::Done)]);
    harness.order(Order { committed: 1, ..Order::default() });
    for _ in 0..5 {
        harness.advance(1_000);
    }
    assert_eq!(harness.acknowledged, [1]);
}

#[test]
fn lease_is_extended_to_what_was_granted_and_not_further() {
    let mut harness = Harness::new();
    harness.order(Order { lease_end_ms: 56_000, ..Order::default() });
    harness.order(Order { lease_end_ms: 55_000, ..Order::default() });
    harness.list(&[], &[]);
    harness.advance(60_000);
    let last_list = harness.calls.iter().rev().find(|(_, call)| is_list(call));
    assert!(matches!(last_list, Some((_, Call::List { lease_end_ms: 56_000, .. }))));
}

#[test]
fn draining_worker_starts_nothing_more() {
    let mut harness = Harness::new();
    harness.register(INCARNATION, true, 2);
    harness.start(0);
    assert_eq!(harness.count(is_start), 0);
    assert_eq!(harness.count(is_stop), 1);
}

#[test]
fn late_registration_does_not_undo_draining() {
    let mut harness = Harness::new();
    harness.register(INCARNATION, true, 5);
    harness.register(INCARNATION, false, 4);
    harness.advance(1_000);
    assert!(harness.last().draining);
}

#[test]
fn new_incarnation_is_reported_and_the_previous_one_has_ended() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.register("incarnation-2", false, 1);
    assert!(harness.reports.iter().any(|report| report.gone && report.worker == INCARNATION));
    assert!(harness.last().runs.is_empty());
}

#[test]
fn previous_incarnation_is_reported_to_a_new_leader() {
    let mut harness = Harness::new();
    harness.register("incarnation-2", false, 1);
    harness.reports.clear();
    harness.core.leader_up(4);
    harness.tick();
    assert!(harness.reports.iter().any(|report| report.gone && report.worker == INCARNATION));
}

#[test]
fn call_that_reaches_another_worker_ends_this_incarnation() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::OtherLife);
    assert!(harness.reports.iter().any(|report| report.gone && report.worker == INCARNATION));
}

#[test]
fn unresponsive_worker_is_reported_as_such() {
    let mut harness = Harness::new();
    harness.advance(4_000);
    assert!(!harness.last().responsive);
}

#[test]
fn best_effort_run_is_slowed_down_only_after_a_serving_run_was_too_slow_for_a_while() {
    let mut harness = Harness::new();
    harness.run_all(vec![serving(0, 10), best_effort(1, "", 0)]);
    for _ in 0..2 {
        harness.list_tail(15, 1);
        assert_eq!(harness.count(is_pace), 0);
        harness.advance(450);
    }
    harness.list_tail(15, 1);
    assert_eq!(harness.count(is_pace), 1);
}

#[test]
fn tail_latency_that_fluctuates_around_its_target_is_too_high() {
    let mut harness = Harness::new();
    harness.run_all(vec![serving(0, 45), best_effort(1, "", 0)]);
    for tail_ms in [47, 41, 48, 42] {
        harness.list_tail(tail_ms, 1);
        harness.advance(450);
    }
    assert_eq!(harness.count(is_pace), 1);
}

#[test]
fn all_best_effort_runs_are_halted_before_a_tail_is_too_high_for_three_seconds() {
    let mut harness = Harness::new();
    let serving = Watch { image: "s".to_owned(), interference_permille: 10, ..serving(0, 10) };
    harness.run_all(vec![serving, best_effort(1, "blamed", 900), best_effort(2, "spared", 10)]);
    let mut paces = BTreeMap::new();
    for _ in 0..6 {
        harness.list_tail(30, 2);
        paces.extend(harness.confirm_paces());
        harness.advance(450);
    }
    assert_eq!(paces.into_iter().collect::<Vec<_>>(), [(1, 0), (2, 0)]);
}

#[test]
fn late_registration_does_not_revive_an_ended_incarnation() {
    let mut harness = Harness::new();
    harness.core.deregistered(harness.now, INCARNATION);
    harness.answer(is_list, Reply::NotSent);
    harness.register(INCARNATION, false, 9);
    assert_eq!(harness.core.incarnation(), None);
    harness.register("incarnation-2", false, 1);
    assert_eq!(harness.core.incarnation(), Some("incarnation-2"));
}

#[test]
fn huge_figure_does_not_overflow() {
    let mut harness = Harness::new();
    harness.run_all(vec![serving(0, 10), best_effort(1, "", 0)]);
    harness.list_tail(u32::MAX, 1);
}

#[test]
fn late_registration_of_an_earlier_incarnation_changes_nothing() {
    // Nothing was known of the incarnation before this one: a network failure delayed its
    // registration.
    let mut harness = Harness::new();
    harness.start(0);
    harness.claim("incarnation-0", false, 7);
    harness.answer_claim("incarnation-0", Reply::OtherLife);
    assert_eq!(harness.core.incarnation(), Some(INCARNATION));
    assert!(!harness.reports.iter().any(|report| report.gone));
    harness.claim("incarnation-0", false, 8);
    assert!(harness.claims.is_empty());
}

#[test]
fn registrations_in_any_order_lead_to_the_incarnation_that_answers() {
    let incarnations = ["incarnation-0", "incarnation-1", "incarnation-2"];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut harness = Harness::without_leader();
        harness.core.leader_up(3);
        for index in order {
            harness.claim(incarnations[index], false, 1);
        }
        for incarnation in incarnations {
            let listed = Reply::Listed { runs: vec![], ends: vec![] };
            harness.answer_claim(
                incarnation,
                if incarnation == "incarnation-2" { listed } else { Reply::OtherLife },
            );
        }
        assert_eq!(harness.core.incarnation(), Some("incarnation-2"), "{order:?}");
        assert!(
            !harness.reports.iter().any(|report| report.gone && report.worker == "incarnation-2")
        );
    }
}

#[test]
fn agent_without_a_leader_makes_no_calls() {
    let mut harness = Harness::without_leader();
    harness.claim(INCARNATION, false, 1);
    harness.advance(5_000);
    harness.claim(INCARNATION, false, 2);
    harness.advance(5_000);
    assert!(harness.calls.is_empty() && harness.claims.is_empty());
    harness.core.leader_up(3);
    harness.advance(1);
    assert!(!harness.calls.is_empty() || !harness.claims.is_empty());
}

#[test]
fn agent_whose_token_was_refused_calls_again_only_with_a_higher_one() {
    let mut harness = Harness::new();
    harness.answer(is_list, Reply::Refused(Refusal::Fenced));
    harness.calls.clear();
    for _ in 0..20 {
        harness.advance(1_000);
    }
    assert!(harness.calls.is_empty());
    harness.core.leader_up(4);
    harness.advance(1);
    assert_eq!(harness.count(is_list), 1);
}

#[test]
fn refusal_of_an_older_token_does_not_stop_calls_with_a_newer_one() {
    let mut harness = Harness::new();
    harness.core.leader_up(4);
    harness.answer(is_list, Reply::Refused(Refusal::Fenced));
    harness.advance(1_000);
    assert!(harness.count(is_list) > 0);
}

#[test]
fn pace_is_sent_again_for_a_run_found_at_the_start_of_an_agent() {
    // A previous process of the agent may have halted the run. The worker's lists do not show it.
    let mut harness = Harness::new();
    harness.list(&[1], &[]);
    let watches = vec![best_effort(1, "", 0)];
    harness.order(Order { lease_end_ms: 56_000, watches, ..Order::default() });
    harness.advance(1_000);
    harness.list(&[1], &[]);
    assert_eq!(harness.confirm_paces(), [(1, 100)]);
    harness.advance(1_000);
    harness.list(&[1], &[]);
    assert!(harness.confirm_paces().is_empty());
}

#[test]
fn end_of_an_incarnation_is_reported_with_its_runs_and_how_long_they_survived() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::Done);
    harness.advance(600);
    harness.list(&[0], &[]);
    harness.start(1);
    harness.answer(is_start, Reply::NotSent);
    harness.list_all(&[0], &[]);
    harness.start(2);
    harness.answer(is_start, Reply::Unknown);
    harness.list_all(&[0], &[]);
    harness.start(3);
    harness.answer(is_list, Reply::OtherLife);
    harness.advance(1);
    let last = harness.gone();
    assert!(!last.deregistered);
    let reported: Vec<_> =
        last.runs.iter().map(|row| (row.run.task.index, row.survived_ms, row.unsent)).collect();
    assert_eq!(reported, [(0, 600, false), (1, 0, true), (2, 0, false), (3, 0, false)]);
}

#[test]
fn incarnation_that_left_as_planned_is_reported_as_such() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::Done);
    harness.list(&[0], &[]);
    harness.core.deregistered(harness.now, INCARNATION);
    harness.answer(is_list, Reply::NotSent);
    assert!(harness.gone().deregistered);
}

/// A registration from another sender may name a known incarnation.
#[test]
fn registration_with_another_pool_or_address_does_not_change_an_incarnation() {
    let report_after = |change: fn(&mut Registration)| {
        let mut registration = Registration {
            id: INCARNATION.to_owned(),
            incarnation: INCARNATION.to_owned(),
            address: "127.0.0.1:1".to_owned(),
            room: Size::new(4_000, 1_000, 0),
            clock_ms: 52_000,
            sequence: 9,
            ..Registration::default()
        };
        change(&mut registration);
        let mut harness = Harness::new();
        harness.core.registered(harness.now, registration);
        harness.advance(900);
        harness.last().clone()
    };
    let other_pool = report_after(|registration| registration.pool = "others".to_owned());
    assert_eq!((other_pool.pool.as_str(), other_pool.clock_ms), ("", 50_000));
    let other_address =
        report_after(|registration| registration.address = "127.0.0.2:1".to_owned());
    assert_eq!(other_address.clock_ms, 50_000);
    assert_eq!(report_after(|_| ()).clock_ms, 52_000);
}

#[test]
fn change_of_capacity_is_reported_at_once() {
    let mut harness = Harness::new();
    harness.advance(900);
    let registration = Registration {
        id: INCARNATION.to_owned(),
        incarnation: INCARNATION.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        room: Size::new(1_000, 1_000, 0),
        clock_ms: 51_000,
        sequence: 2,
        ..Registration::default()
    };
    harness.core.registered(harness.now, registration);
    harness.advance(1);
    assert_eq!(harness.last().milli_cpu, 1_000);
}

/// The leader counts leases by the worker's clock. If a clock far ahead were accepted, the worker's
/// true clock would never appear to advance again.
#[test]
fn registration_with_a_clock_or_sequence_far_ahead_changes_nothing() {
    for (clock_ms, sequence) in [(u64::MAX, 2), (50_000 + 3_600_000, 2), (51_000, u64::MAX)] {
        let mut harness = Harness::new();
        let far = Registration {
            id: INCARNATION.to_owned(),
            incarnation: INCARNATION.to_owned(),
            address: "127.0.0.1:1".to_owned(),
            room: Size::new(4_000, 1_000, 0),
            draining: true,
            clock_ms,
            sequence,
            ..Registration::default()
        };
        harness.core.registered(harness.now, far);
        harness.advance(900);
        let last = harness.last();
        assert_eq!((last.clock_ms, last.draining), (50_000, false), "{clock_ms} {sequence}");
        harness.register(INCARNATION, true, 3);
        harness.advance(1);
        assert!(harness.last().draining);
    }
}

/// If the worker had restarted in between, it would carry out the start and forget its unread end.
#[test]
fn nothing_is_acknowledged_while_a_start_is_in_flight() {
    let mut harness = Harness::new();
    harness.list(&[], &[(1, 0, EndReason::Done)]);
    harness.start(1);
    harness.order(Order { committed: 1, ..Order::default() });
    harness.advance(100);
    assert_eq!(harness.acknowledged.len(), 0);
    harness.answer(is_start, Reply::Done);
    assert_eq!(harness.acknowledged.len(), 0);
    harness.list_all(&[1], &[]);
    assert_eq!(harness.acknowledged, [1]);
}

#[test]
fn nothing_is_started_while_an_acknowledgement_is_in_flight() {
    let mut harness = Harness::new();
    harness.list(&[], &[(1, 0, EndReason::Done)]);
    harness.order(Order { committed: 1, ..Order::default() });
    assert_eq!(harness.acknowledged, [1]);
    harness.start(1);
    assert_eq!(harness.count(is_start), 0);
    harness.list_all(&[], &[]);
    assert_eq!(harness.count(is_start), 1);
}

#[test]
fn overdue_acknowledgement_delays_starts() {
    let mut harness = Harness::new();
    harness.list(&[], &[(1, 0, EndReason::Done)]);
    harness.start(1);
    harness.order(Order { committed: 1, ..Order::default() });
    harness.advance(1_050);
    harness.start(2);
    assert_eq!(harness.count(is_start), 1);
    harness.answer(is_start, Reply::Done);
    harness.list_all(&[1], &[]);
    assert_eq!(harness.acknowledged, [1]);
    // An unanswered start delays the other starts only briefly.
    let mut harness = Harness::new();
    harness.list(&[], &[(1, 0, EndReason::Done)]);
    harness.start(1);
    harness.order(Order { committed: 1, ..Order::default() });
    harness.advance(1_050);
    harness.start(2);
    harness.advance(200);
    assert_eq!(harness.count(is_start), 2);
}

#[test]
fn nothing_is_started_after_a_clock_fell_until_a_list() {
    let mut harness = Harness::new();
    harness.start(0);
    let found = harness.calls.iter().position(|(_, call)| is_start(call)).expect("no start call");
    let (list_id, call) = harness.calls.remove(found);
    let answer = Answer { clock_ms: Some(1_000), reply: Reply::Done };
    harness.core.answer(harness.now, INCARNATION, harness.token, list_id, &call, answer);
    harness.tick();
    harness.start(1);
    assert_eq!(harness.count(is_start), 0);
    harness.list_all(&[0], &[]);
    assert_eq!(harness.count(is_start), 1);
}

/// The previous incarnation is reported as ended only once the starts that may have reached the new
/// one run nowhere.
#[test]
fn start_that_may_reach_the_next_incarnation_is_stopped_there_first() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_list, Reply::Restarted);
    assert!(!harness.reports.iter().any(|report| report.gone));
    harness.claim_as(INCARNATION, "incarnation-2", 1);
    harness.answer_claim("incarnation-2", Reply::Listed { runs: vec![], ends: vec![] });
    let reported: Vec<_> = harness.last().runs.iter().map(|row| row.run).collect();
    assert_eq!((harness.count(is_stop), reported), (1, vec![run(0)]));
    assert!(!harness.reports.iter().any(|report| report.gone));
    harness.answer_as("incarnation-2", is_stop, Reply::Done);
    while harness.count(is_list) > 0 && !harness.reports.iter().any(|report| report.gone) {
        harness.answer_as("incarnation-2", is_list, Reply::Listed { runs: vec![], ends: vec![] });
    }
    assert_eq!(harness.gone().worker, INCARNATION);
}

/// Only a list identifies which of several incarnations with one ID it comes from.
#[test]
fn incarnation_that_registers_and_refuses_to_list_is_not_adopted() {
    let mut harness = Harness::new();
    harness.claim_as(INCARNATION, "incarnation-0", 1);
    harness.answer_claim("incarnation-0", Reply::Refused(Refusal::Unwell));
    assert_eq!(harness.core.incarnation(), Some(INCARNATION));
}

/// Guards against a late deregistration that ends the next incarnation of the worker. Both have the
/// same ID, and the deregistration contains only the ID. The fault occurs if the agent ends the
/// incarnation without checking whether the worker still answers.
#[test]
fn deregistration_of_a_worker_that_still_answers_ends_nothing() {
    let mut harness = Harness::new();
    harness.start(0);
    harness.answer(is_start, Reply::Done);
    harness.list(&[0], &[]);
    harness.core.deregistered(harness.now, INCARNATION);
    harness.tick();
    harness.list_all(&[0], &[]);
    harness.advance(1_000);
    assert_eq!(harness.core.incarnation(), Some(INCARNATION));
    assert!(!harness.reports.iter().any(|report| report.gone));
    assert!(!harness.last().draining);
}
