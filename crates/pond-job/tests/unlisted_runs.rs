//! How long a run may be placed without running when orders, stops, reports or proposals are lost
//! or leaders change. All times are of the simulated clock.

mod support;

use pond_job::{Change, Decision, Leader, Output, State};
use pond_proto::Span;
use pond_proto::fleet::EndRow;
use pond_proto::job::{EndReason, Phase, RunName, Step};
use support::{Harness, step, task, timing};

/// Step of the simulated clock, in milliseconds.
const STEP_MS: Span = 50;

/// Time between reports of an agent without changes, in milliseconds.
const REPORT_MS: Span = 900;

fn run(job: u64, index: u32, number: u32) -> RunName {
    RunName { task: task(job, 0, index), number }
}

fn drop_nothing(_: &Change) -> bool {
    false
}

/// Advances the time, with reports of these workers, until `condition` holds. Returns how long that
/// took, in milliseconds, or `None` after `longest`.
fn wait_until(
    harness: &mut Harness,
    longest: Span,
    reporting: &[&str],
    lost: impl Fn(&Change) -> bool,
    condition: impl Fn(&Harness) -> bool,
) -> Option<Span> {
    let from = harness.now;
    while harness.now.since(from) <= longest {
        if condition(harness) {
            return Some(harness.now.since(from));
        }
        harness.now = harness.now + STEP_MS;
        let since = harness.now.since(from);
        if since.is_multiple_of(REPORT_MS) {
            for incarnation in reporting {
                if let Some(vm) = harness.vms.get_mut(*incarnation) {
                    vm.clock_ms += REPORT_MS;
                }
                harness.report(incarnation);
            }
        }
        harness.run_until_idle_dropping(&lost);
    }
    None
}

fn orders(harness: &Harness, incarnation: &str) -> usize {
    harness.vms[incarnation].orders.iter().map(|order| order.starts.len() + order.stops.len()).sum()
}

/// Returns a pool with a job of one task, which worker `a` was ordered to start.
fn ordered() -> Harness {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.run_until_idle();
    assert_eq!(harness.started("a"), [run(1, 0, 1)]);
    harness
}

/// Returns the same pool after the worker has started the run.
fn running() -> Harness {
    let mut harness = ordered();
    harness.start_ordered("a");
    harness.report("a");
    harness.run_until_idle();
    harness
}

#[test]
fn lost_order_is_sent_again_within_1100_ms() {
    let mut harness = ordered();
    let took =
        wait_until(&mut harness, 5_000, &["a"], drop_nothing, |harness| orders(harness, "a") > 1);
    assert!(took.is_some_and(|took| took <= 1_100), "{took:?}");
}

#[test]
fn order_lost_with_its_link_is_sent_again_immediately_on_the_next_one() {
    let mut harness = ordered();
    harness.leader.link_down(1_000);
    if let Some(vm) = harness.vms.get_mut("a") {
        vm.link = 2_000;
    }
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(orders(&harness, "a"), 2);
}

#[test]
fn unlisted_run_is_ordered_each_second() {
    let mut harness = ordered();
    harness.advance(60, &["a"]);
    assert!((50..=61).contains(&orders(&harness, "a")), "{}", orders(&harness, "a"));
}

#[test]
fn stalled_run_is_stopped_within_four_seconds_and_each_second_until_it_has_ended() {
    let mut harness = running();
    let stopped = |harness: &Harness| !harness.stopped("a").is_empty();
    let took = wait_until(&mut harness, 10_000, &["a"], drop_nothing, stopped);
    // 2,500 ms without progress, detected with the next report.
    assert!(took.is_some_and(|took| took <= 2_500 + 900), "{took:?}");
    harness.advance(60, &["a"]);
    assert!(harness.stopped("a").len() >= 50, "{}", harness.stopped("a").len());
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn new_leader_detects_a_stalled_run_as_late_as_the_first() {
    // The new leader does not know which runs the former one wanted to stop; the agent does if it
    // received the order.
    let mut harness = running();
    harness.advance(4, &["a"]);
    assert!(!harness.stopped("a").is_empty());
    harness.replace_leader();
    let orders = harness.vms.get_mut("a").map(|vm| std::mem::take(&mut vm.orders));
    assert!(orders.is_some());
    let stopped = |harness: &Harness| !harness.stopped("a").is_empty();
    let took = wait_until(&mut harness, 10_000, &["a"], drop_nothing, stopped);
    assert!(took.is_some_and(|took| took <= 900 + 2_500 + 900), "{took:?}");
}

#[test]
fn run_that_never_started_waits_again_as_soon_as_that_is_committed() {
    let mut harness = ordered();
    harness.vms.get_mut("a").unwrap().unstarted.push(run(1, 0, 1));
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.started("a").last(), Some(&run(1, 0, 2)));
}

#[test]
fn lost_end_is_proposed_again_with_the_first_report_after_three_seconds() {
    let mut harness = running();
    let vm = harness.vms.get_mut("a").unwrap();
    vm.runs.clear();
    vm.ends.push(EndRow {
        number: 1,
        run: run(1, 0, 1),
        how: EndReason::Done as i32,
        checkpoint: String::new(),
    });
    harness.report("a");
    harness.run_until_idle_dropping(|change| matches!(change, Change::Ended { .. }));
    let completed = |harness: &Harness| harness.phase(1) == Some(Phase::Completed);
    let took = wait_until(&mut harness, 10_000, &["a"], drop_nothing, completed);
    assert!(took.is_some_and(|took| took <= 3_000 + 900), "{took:?}");
}

/// Returns a busy worker on which a run of job 1 ends every half second. Each end is proposed
/// immediately. The first run of the job never started; `lost` selects the proposals about it that
/// are lost.
fn busy_worker_with_lost(lost: impl Fn(&Change) -> bool + Copy) -> Harness {
    let mut harness = Harness::new().with_vm("a", 40_000);
    harness.submit(1, vec![step(30, 1_000)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    let vm = harness.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 0, 1));
    vm.unstarted.push(run(1, 0, 1));
    vm.runs.values_mut().for_each(|row| row.percent = 100);
    harness.report("a");
    harness.run_until_idle_dropping(lost);
    for index in 1..20 {
        harness.now = harness.now + 500;
        let vm = harness.vms.get_mut("a").unwrap();
        vm.clock_ms += 500;
        vm.runs.remove(&run(1, index, 1));
        let number = u64::from(index);
        let how = EndReason::Done as i32;
        vm.ends.push(EndRow { number, run: run(1, index, 1), how, checkpoint: String::new() });
        harness.report("a");
        harness.run_until_idle();
    }
    harness
}

#[test]
fn lost_report_of_an_unstarted_run_is_proposed_again_while_ends_keep_coming() {
    // Guards against a run that never started and stays placed for as long as other runs end on its
    // worker more often than every 3 s. The time after which a proposal is repeated must count from
    // the lost proposal, not from the newest one of the worker.
    let harness = busy_worker_with_lost(|change| matches!(change, Change::Ended { .. }));
    assert!(harness.started("a").contains(&run(1, 0, 2)));
}

#[test]
fn lost_end_counts_although_higher_ones_are_committed_first() {
    // Guards against an end that is never committed because its proposal was lost and a higher one
    // was committed: the agent orders the worker to forget it, and its task runs again. This
    // happens if only ends above the proposed ones are proposed while the state takes all ends up
    // to the highest committed one as known.
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(2, 400)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    let end = |number: u64, index: u32| EndRow {
        number,
        run: run(1, index, 1),
        how: EndReason::Done as i32,
        checkpoint: String::new(),
    };
    let vm = harness.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 0, 1));
    vm.ends.push(end(1, 0));
    harness.report("a");
    harness.run_until_idle_dropping(|change| matches!(change, Change::Ended { .. }));
    let vm = harness.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 1, 1));
    vm.ends.push(end(2, 1));
    harness.report("a");
    harness.advance(5, &["a"]);
    assert_eq!(harness.phase(1), Some(Phase::Completed));
}

#[test]
fn lost_start_blocks_all_plans_for_three_seconds_unless_it_is_rejected() {
    let start = |change: &Change| matches!(change, Change::Start(_));
    for (rejected, longest) in [(false, 3_000), (true, 50)] {
        let mut harness = Harness::new().with_vm("a", 1_000);
        harness.submit(1, vec![step(1, 500)]);
        harness.run_until_idle_dropping(start);
        assert!(harness.proposals.iter().any(start));
        if rejected {
            harness.leader.start_rejected();
        }
        let placed = |harness: &Harness| harness.worker_of(task(1, 0, 0)).is_some();
        let took = wait_until(&mut harness, 10_000, &["a"], drop_nothing, placed);
        assert!(took.is_some_and(|took| took <= longest), "{rejected}: {took:?}");
    }
}

#[test]
fn lost_proposal_of_a_worker_loss_is_repeated_every_three_seconds() {
    let mut harness = running();
    harness.add_vm("b", 1_000);
    let lease_expiry_ms = timing().lease_expiry_ms();
    let lost = |change: &Change| matches!(change, Change::WorkerLost { .. });
    let proposed = |harness: &Harness| harness.proposals.iter().any(lost);
    let took = wait_until(&mut harness, 20_000, &["b"], lost, proposed);
    assert!(took.is_some_and(|took| took <= lease_expiry_ms + 100), "{took:?}");
    let moved = |harness: &Harness| harness.worker_of(task(1, 0, 0)).as_deref() == Some("b");
    let took = wait_until(&mut harness, 20_000, &["b"], drop_nothing, moved);
    assert!(took.is_some_and(|took| took <= 3_000 + 150), "{took:?}");
}

#[test]
fn new_leader_places_finite_tasks_after_200_ms_and_serving_ones_after_one_second() {
    let serving = Step { long_running: true, tail_target_ms: 50, ..step(1, 100) };
    for (waiting, known, longest) in
        [(step(1, 100), false, 300), (serving.clone(), true, 450), (serving, false, 1_050)]
    {
        let mut harness = running();
        harness.add_vm("b", 1_000);
        for _ in 0..5 {
            // None of them leads for long enough.
            harness.replace_leader();
            harness.now = harness.now + 150;
        }
        harness.submit(2, vec![waiting]);
        harness.replace_leader();
        harness.report("b");
        if known {
            harness.report("a");
        }
        let placed = |harness: &Harness| harness.worker_of(task(2, 0, 0)).is_some();
        let took = wait_until(&mut harness, 5_000, &["b"], drop_nothing, placed);
        assert!(took.is_some_and(|took| took <= longest), "{known}: {took:?}");
    }
}

#[test]
fn long_running_task_that_fits_nowhere_holds_no_other_back() {
    let long_running =
        |milli_cpu| Step { long_running: true, tail_target_ms: 50, ..step(1, milli_cpu) };
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![long_running(5_000)]);
    harness.advance(3, &["a"]);
    harness.submit(2, vec![long_running(100)]);
    harness.submit(3, vec![step(1, 100)]);
    harness.run_until_idle();
    assert_eq!([2, 3].map(|job| harness.worker_of(task(job, 0, 0)).is_some()), [true, true]);
}

#[test]
fn run_placed_on_an_ended_incarnation_is_moved_with_the_next_report_of_its_agent() {
    // The start is not committed yet when the new incarnation reports.
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    let start = |change: &Change| matches!(change, Change::Start(_));
    harness.run_until_idle_dropping(start);
    let late = harness.proposals.iter().find(|change| start(change)).cloned().unwrap();
    let vm = harness.vms.remove("a").unwrap();
    harness.vms.insert("a2".to_owned(), vm);
    harness.report("a2");
    harness.run_until_idle();
    harness.apply(late);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
    let moved = |harness: &Harness| harness.worker_of(task(1, 0, 0)).as_deref() == Some("a2");
    let took = wait_until(&mut harness, 5_000, &["a2"], drop_nothing, moved);
    assert!(took.is_some_and(|took| took <= 950), "{took:?}");
}

#[test]
fn next_step_starts_with_the_last_end_of_the_previous_one_in_any_order() {
    let second = Step { after: vec![0], ..step(1, 100) };
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut harness = Harness::new().with_vm("a", 1_000);
        harness.submit(1, vec![step(3, 100), second.clone()]);
        harness.run_until_idle();
        harness.start_ordered("a");
        for index in order {
            assert_eq!(harness.worker_of(task(1, 1, 0)), None);
            harness.end("a", run(1, index, 1), EndReason::Done);
            // The same end is reported again.
            harness.report("a");
            harness.run_until_idle();
        }
        assert_eq!(harness.worker_of(task(1, 1, 0)).as_deref(), Some("a"), "{order:?}");
    }
}

#[test]
fn ends_over_several_reports_are_all_committed_by_a_new_leader_from_a_snapshot() {
    let second = Step { after: vec![0], ..step(1, 100) };
    let mut harness = Harness::new().with_vm("a", 1_000_000);
    harness.submit(1, vec![step(1_200, 100), second]);
    harness.run_until_idle();
    harness.advance(1, &["a"]);
    harness.start_ordered("a");
    let all: Vec<EndRow> = (0..1_200)
        .map(|index| EndRow {
            number: u64::from(index) + 1,
            run: run(1, index, 1),
            how: EndReason::Done as i32,
            checkpoint: String::new(),
        })
        .collect();
    harness.vms.get_mut("a").unwrap().runs.clear();
    // A list holds 500 of the ends that are not committed.
    for _ in 0..3 {
        let committed = harness.state.last_committed_end("a");
        let listed = all.iter().filter(|end| end.number > committed).take(500).cloned().collect();
        harness.vms.get_mut("a").unwrap().ends = listed;
        harness.report("a");
        harness.run_until_idle();
        harness.state = State::decode(&harness.state.encode().unwrap()).unwrap();
        harness.leader = Leader::new(9, timing(), harness.now);
        harness.advance(1, &["a"]);
    }
    assert_eq!(harness.state.last_committed_end("a"), 1_200);
    assert_eq!(harness.worker_of(task(1, 1, 0)).as_deref(), Some("a"));
}

#[test]
fn ends_of_an_incarnation_that_returns_after_its_lease_are_committed_and_its_old_runs_stopped() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(2, 400)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    harness.advance(7, &[]);
    assert_eq!([0, 1].map(|index| harness.worker_of(task(1, 0, index))), [None, None]);
    // One run was done before the lease expired; the agent still reports the other.
    let vm = harness.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 0, 1));
    vm.ends.push(EndRow {
        number: 1,
        run: run(1, 0, 1),
        how: EndReason::Done as i32,
        checkpoint: String::new(),
    });
    vm.clock_ms += 7_000;
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run(1, 1, 1)]);
    let vm = harness.vms.get_mut("a").unwrap();
    vm.runs.remove(&run(1, 1, 1));
    vm.ends.push(EndRow {
        number: 2,
        run: run(1, 1, 1),
        how: EndReason::Lapsed as i32,
        checkpoint: String::new(),
    });
    harness.advance(2, &["a"]);
    let tasks: Vec<(bool, u32)> = [0, 1]
        .map(|index| harness.state.job(1).unwrap().task(task(1, 0, index)).unwrap())
        .map(|task| (task.done, task.run))
        .to_vec();
    // The task that was done has at most a newer run, which is stopped.
    assert!(tasks[0].0 && !tasks[1].0 && tasks[1].1 == 2, "{tasks:?}");
    assert_eq!(harness.state.last_committed_end("a"), 2);
}

#[test]
fn run_on_a_silent_worker_is_placed_elsewhere_when_its_lease_has_certainly_expired() {
    let mut harness = ordered();
    harness.add_vm("b", 1_000);
    let moved = |harness: &Harness| harness.worker_of(task(1, 0, 0)).as_deref() == Some("b");
    let took = wait_until(&mut harness, 20_000, &["b"], drop_nothing, moved);
    let lease_expiry_ms = timing().lease_expiry_ms();
    assert!(
        took.is_some_and(|took| (lease_expiry_ms..=lease_expiry_ms + 150).contains(&took)),
        "{took:?}"
    );
}

#[test]
fn each_change_of_leader_restarts_the_lease_of_a_silent_worker() {
    // A new leader cannot know what the former one granted last.
    let mut harness = ordered();
    harness.add_vm("b", 1_000);
    harness.advance(5, &["b"]);
    harness.replace_leader();
    let moved = |harness: &Harness| harness.worker_of(task(1, 0, 0)).as_deref() == Some("b");
    let took = wait_until(&mut harness, 20_000, &["b"], drop_nothing, moved);
    let lease_expiry_ms = timing().lease_expiry_ms();
    assert!(
        took.is_some_and(|took| (lease_expiry_ms..=lease_expiry_ms + 150).contains(&took)),
        "{took:?}"
    );
}

#[test]
fn worker_whose_clock_advances_keeps_its_runs_although_it_does_not_answer() {
    // The agent reports the clock of the newest list that it could read; as long as the clock
    // advances, lists arrive.
    let mut harness = ordered();
    harness.add_vm("b", 1_000);
    harness.advance(30, &["a", "b"]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
    assert!(
        !harness.decisions.iter().any(|decision| matches!(decision, Decision::WorkerLost { .. }))
    );
}

fn questions(harness: &mut Harness) -> Vec<pond_job::Question> {
    let outputs = harness.leader.tick(&harness.state, harness.now, harness.now, true);
    let question = |output| match output {
        Output::Advise(question) => Some(question),
        _ => None,
    };
    outputs.into_iter().filter_map(question).collect()
}

#[test]
fn new_leader_asks_once_for_all_workers_that_lack_a_ticket_for_a_step() {
    // Guards against many placed runs of a step that are not ordered when the leader changes, and
    // are asked about one after another, each for the adviser's full time. A question must name all
    // workers, because only one question is asked at a time.
    let mut harness = Harness::new();
    let incarnations = ["a", "b", "c", "d"];
    for incarnation in incarnations {
        harness.add_vm(incarnation, 1_000);
    }
    harness.submit_advised(1, vec![step(4, 900)]);
    let starts = incarnations.iter().zip(0..).map(|(incarnation, index)| pond_job::Start {
        run: run(1, index, 1),
        worker: (*incarnation).to_owned(),
        agent: format!("agent-of-{incarnation}"),
    });
    harness.apply(Change::Start(starts.collect()));
    harness.replace_leader();
    incarnations.iter().for_each(|incarnation| harness.report(incarnation));
    harness.now = harness.now + 100;
    let questions = questions(&mut harness);
    let named: Vec<&str> =
        questions.iter().flat_map(|question| &question.workers).map(String::as_str).collect();
    assert_eq!((questions.len(), named), (1, incarnations.to_vec()));
}

/// Returns the decisions about runs that are not listed: the run, for how long it has been missing,
/// in milliseconds, and how often it was ordered.
fn absences(harness: &Harness) -> Vec<(RunName, Span, u32)> {
    let line = |decision: &Decision| match decision {
        Decision::Absent { run, absent_ms, orders, .. } => Some((*run, *absent_ms, *orders)),
        _ => None,
    };
    harness.decisions.iter().filter_map(line).collect()
}

#[test]
fn unlisted_run_gets_a_line_after_two_seconds_and_one_a_second() {
    let mut harness = ordered();
    wait_until(&mut harness, 1_950, &["a"], drop_nothing, |_| false);
    assert!(absences(&harness).is_empty());
    wait_until(&mut harness, 3_000, &["a"], drop_nothing, |_| false);
    let lines = absences(&harness);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines.iter().all(|(name, absent_ms, orders)| {
        *name == run(1, 0, 1) && *absent_ms >= 2_000 && *orders >= 2
    }));
}

#[test]
fn run_that_only_its_agent_reports_is_not_listed() {
    let mut harness = ordered();
    harness.start_ordered("a");
    let vm = harness.vms.get_mut("a").unwrap();
    vm.runs.values_mut().for_each(|row| row.unlisted = true);
    wait_until(&mut harness, 2_900, &["a"], drop_nothing, |_| false);
    let flags = |decision: &Decision| match decision {
        Decision::Absent { linked, answers, known_to_agent, .. } => {
            Some((*linked, *answers, *known_to_agent))
        }
        _ => None,
    };
    assert_eq!(harness.decisions.iter().find_map(flags), Some((true, true, true)));
}

#[test]
fn run_that_is_listed_gets_no_line() {
    let mut harness = running();
    wait_until(&mut harness, 8_000, &["a"], drop_nothing, |_| false);
    assert!(absences(&harness).is_empty());
}

#[test]
fn run_of_a_worker_without_a_link_gets_lines_that_say_so() {
    let mut harness = ordered();
    harness.leader.link_down(1_000);
    wait_until(&mut harness, 2_900, &[], drop_nothing, |_| false);
    let linked = |decision: &Decision| match decision {
        Decision::Absent { linked, .. } => Some(*linked),
        _ => None,
    };
    assert_eq!(harness.decisions.iter().find_map(linked), Some(false));
}

#[test]
fn many_unlisted_runs_get_four_lines_per_tick() {
    let mut harness = Harness::new().with_vm("a", 100_000);
    harness.submit(1, vec![step(100, 100)]);
    harness.run_until_idle();
    harness.now = harness.now + 2_500;
    harness.run_until_idle();
    harness.now = harness.now + 2_500;
    harness.decisions.clear();
    harness.leader.tick(&harness.state, harness.now, harness.now, true).into_iter().for_each(
        |output| {
            if let Output::Decided(decision) = output {
                harness.decisions.push(decision);
            }
        },
    );
    assert_eq!(absences(&harness).len(), 4);
}
