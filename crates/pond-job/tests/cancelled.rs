//! Runs of cancelled jobs: how soon the leader orders their stop, also when they start late and
//! neither the state nor an agent knows them any more.

mod support;

use pond_job::{Change, Leader, Output, Reply, Start};
use pond_proto::Span;
use pond_proto::fleet::RunRow;
use pond_proto::job::{EndReason, Phase, RunName, Step};
use support::{Harness, spec, step, task, timing};

/// Time between the reports of an agent while nothing changes, in milliseconds.
const REPORT_MS: Span = 900;

/// Longest time between two orders to stop a run, in milliseconds, while reports show the run. The
/// agent repeats its calls itself, so this covers lost orders. The order is repeated with a report.
/// A report may come just before the order is due, which leaves it to the next one.
const REPEAT_MS: Span = 2 * REPORT_MS;

/// The same for a run that is placed on the worker, whenever the reports come, in milliseconds.
const PLACED_REPEAT_MS: Span = 1_100;

/// Returns a pool in which worker `a` was ordered to start one run of job 1.
fn ordered() -> (Harness, RunName) {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.run_until_idle();
    let run = harness.started("a")[0];
    (harness, run)
}

/// Returns a pool in which the start of that run was given up, the job was cancelled, and its
/// second run was given up as well: nothing of it is placed any more.
fn unstarted_and_cancelled() -> (Harness, RunName) {
    let (mut harness, run) = ordered();
    report_unstarted(&mut harness, &[run]);
    let second = *harness.started("a").last().unwrap();
    assert_eq!(second.number, 2);
    assert_eq!(harness.cancel(1), Reply::Accepted);
    harness.run_until_idle();
    report_unstarted(&mut harness, &[run, second]);
    let vm = harness.vms.get_mut("a").unwrap();
    vm.unstarted.clear();
    vm.orders.clear();
    assert_eq!(harness.state.placed("a").count(), 0);
    assert_eq!(harness.state.active().count(), 0);
    (harness, run)
}

/// Reports these runs of worker `a` as unstarted.
fn report_unstarted(harness: &mut Harness, runs: &[RunName]) {
    harness.vms.get_mut("a").unwrap().unstarted = runs.to_vec();
    harness.report("a");
    harness.run_until_idle();
}

/// Commits that a run never started, without letting the leader plan.
fn commit_unstarted(harness: &mut Harness, run: RunName) {
    let unstarted = vec![run];
    harness.apply(Change::Ended { worker: "a".to_owned(), ends: Vec::new(), unstarted });
}

/// Adds a run, which the leader may not know any more, to the list of worker `a`.
fn list_late(harness: &mut Harness, run: RunName) {
    let row = RunRow { run, percent: 3, ..RunRow::default() };
    harness.vms.get_mut("a").unwrap().runs.insert(run, row);
}

/// Reports a run of worker `a` without advancing the time.
fn report_late(harness: &mut Harness, run: RunName) {
    list_late(harness, run);
    harness.report("a");
    harness.run_until_idle();
}

/// Gives worker `a` a new agent with a new link.
fn replace_agent(harness: &mut Harness) {
    harness.vms.get_mut("a").unwrap().link += 100;
}

/// Advances the time without reports.
fn wait(harness: &mut Harness, ms: Span) {
    harness.now = harness.now + ms;
    harness.run_until_idle();
}

/// Advances the time and the worker's clock, and reports.
fn report_after(harness: &mut Harness, incarnation: &str, ms: Span) {
    harness.now = harness.now + ms;
    harness.vms.get_mut(incarnation).unwrap().clock_ms += ms;
    harness.report(incarnation);
    harness.run_until_idle();
}

#[test]
fn late_run_of_a_cancelled_job_is_stopped_with_the_report_that_shows_it() {
    let (mut harness, run) = unstarted_and_cancelled();
    report_late(&mut harness, run);
    assert_eq!(harness.stopped("a"), [run]);
}

#[test]
fn late_run_whose_task_runs_elsewhere_again_is_stopped_with_the_report_that_shows_it() {
    let (mut harness, run) = ordered();
    report_unstarted(&mut harness, &[run]);
    harness.vms.get_mut("a").unwrap().unstarted.clear();
    harness.start_ordered("a");
    harness.vms.get_mut("a").unwrap().runs.remove(&run);
    report_late(&mut harness, run);
    assert_eq!(harness.stopped("a"), [run]);
    let second = RunName { number: 2, ..run };
    harness.cancel(1);
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run, second]);
}

#[test]
fn stop_of_a_late_run_is_repeated_until_it_has_ended() {
    let (mut harness, run) = unstarted_and_cancelled();
    report_late(&mut harness, run);
    for orders in 2..8 {
        let since = harness.now;
        while harness.stopped("a").len() < orders {
            assert!(harness.now.since(since) < REPEAT_MS, "order {orders} is late");
            report_after(&mut harness, "a", REPORT_MS);
        }
    }
    harness.end("a", run, EndReason::Stopped);
    let orders = harness.stopped("a").len();
    harness.advance(5, &["a"]);
    assert_eq!(harness.stopped("a").len(), orders);
}

#[test]
fn stop_of_a_placed_run_of_a_cancelled_job_is_repeated_between_two_reports() {
    let (mut harness, run) = ordered();
    harness.start_ordered("a");
    harness.report("a");
    harness.cancel(1);
    harness.run_until_idle();
    report_after(&mut harness, "a", REPORT_MS);
    assert_eq!(harness.stopped("a"), [run]);
    wait(&mut harness, PLACED_REPEAT_MS - REPORT_MS);
    assert_eq!(harness.stopped("a"), [run, run]);
}

#[test]
fn late_run_of_a_dropped_job_is_stopped_with_the_report_that_shows_it() {
    let (mut harness, run) = unstarted_and_cancelled();
    harness.advance(70, &["a"]);
    assert!(harness.state.job(1).is_none());
    report_late(&mut harness, run);
    assert_eq!(harness.stopped("a"), [run]);
}

#[test]
fn run_of_a_job_that_was_never_submitted_is_stopped_with_the_report_that_shows_it() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    let stray = RunName { task: task(99, 2, 7), number: 3 };
    report_late(&mut harness, stray);
    assert_eq!(harness.stopped("a"), [stray]);
}

#[test]
fn new_leader_stops_a_late_run_with_the_report_that_shows_it() {
    let (mut harness, run) = unstarted_and_cancelled();
    harness.replace_leader();
    report_late(&mut harness, run);
    assert_eq!(harness.stopped("a"), [run]);
    assert_eq!(harness.vms["a"].orders.last().map(|order| order.term), Some(8));
}

#[test]
fn new_leader_stops_a_run_of_a_job_that_was_cancelled_before() {
    // The former leader ended before it could order the stop.
    let (mut harness, run) = ordered();
    harness.state.apply(Change::Cancel {
        host: support::HOST.to_owned(),
        path: format!("{}{:016x}", support::PATH, 1),
        id: 1,
    });
    harness.replace_leader();
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run]);
    // The order is repeated whether or not the worker has the run.
    wait(&mut harness, 1_100);
    assert_eq!(harness.stopped("a"), [run, run]);
}

#[test]
fn new_agent_is_ordered_to_stop_immediately_although_the_former_one_just_was() {
    let (mut harness, run) = unstarted_and_cancelled();
    report_late(&mut harness, run);
    wait(&mut harness, 50);
    replace_agent(&mut harness);
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run, run]);
}

#[test]
fn new_leader_stops_late_runs_through_a_new_agent() {
    for dropped in [false, true] {
        let (mut harness, run) = unstarted_and_cancelled();
        if dropped {
            harness.advance(70, &["a"]);
        }
        harness.replace_leader();
        replace_agent(&mut harness);
        // The first report comes before the late start.
        harness.report("a");
        harness.run_until_idle();
        assert_eq!(harness.stopped("a"), []);
        wait(&mut harness, 400);
        report_late(&mut harness, run);
        assert_eq!(harness.stopped("a"), [run]);
    }
}

#[test]
fn returning_worker_is_ordered_to_stop_late_runs_of_a_cancelled_job() {
    for dropped in [false, true] {
        let mut harness = Harness::new().with_vm("a", 2_000);
        harness.submit(1, vec![step(2, 500)]);
        harness.run_until_idle();
        let runs = harness.started("a");
        wait(&mut harness, 2_000);
        harness.cancel(1);
        wait(&mut harness, 5_000);
        assert_eq!(harness.state.placed("a").count(), 0, "its lease has expired");
        wait(&mut harness, if dropped { 70_000 } else { 100 });
        assert_eq!(harness.state.job(1).is_none(), dropped);
        harness.vms.get_mut("a").unwrap().orders.clear();
        for run in &runs {
            list_late(&mut harness, *run);
        }
        harness.report("a");
        harness.run_until_idle();
        assert_eq!(harness.stopped("a"), runs);
    }
}

#[test]
fn worker_that_returns_while_its_loss_is_proposed_is_ordered_to_stop_once_the_loss_is_committed() {
    let (mut harness, run) = ordered();
    harness.cancel(1);
    harness.run_until_idle();
    harness.vms.get_mut("a").unwrap().orders.clear();
    harness.now = harness.now + 6_300;
    let outputs = harness.leader.tick(&harness.state, harness.now, harness.now, true);
    let loss = outputs.into_iter().find_map(|output| match output {
        Output::Propose(change @ Change::WorkerLost { ended: false, .. }) => Some(change),
        _ => None,
    });
    list_late(&mut harness, run);
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), []);
    harness.apply(loss.expect("the loss is proposed"));
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run]);
}

#[test]
fn new_leader_stops_late_runs_of_a_worker_that_it_gave_up() {
    let (mut harness, run) = ordered();
    harness.cancel(1);
    harness.replace_leader();
    wait(&mut harness, 6_300);
    assert_eq!(harness.state.placed("a").count(), 0);
    harness.vms.get_mut("a").unwrap().orders.clear();
    replace_agent(&mut harness);
    report_late(&mut harness, run);
    assert_eq!(harness.stopped("a"), [run]);
}

#[test]
fn run_is_ordered_to_stop_immediately_although_it_was_just_ordered_to_start() {
    let (mut harness, run) = ordered();
    wait(&mut harness, 50);
    harness.cancel(1);
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run]);
}

#[test]
fn run_is_ordered_to_stop_only_if_its_job_is_cancelled_before_the_order_to_start() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.now = harness.now + 200;
    let outputs = harness.leader.tick(&harness.state, harness.now, harness.now, true);
    let starts = outputs.into_iter().find_map(|output| match output {
        Output::Propose(change @ Change::Start(_)) => Some(change),
        _ => None,
    });
    harness.apply(starts.expect("the start is proposed"));
    harness.cancel(1);
    harness.run_until_idle();
    assert_eq!(harness.started("a"), []);
    assert_eq!(harness.stopped("a"), [RunName { task: task(1, 0, 0), number: 1 }]);
}

#[test]
fn start_committed_after_the_cancellation_is_not_ordered() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.now = harness.now + 200;
    let outputs = harness.leader.tick(&harness.state, harness.now, harness.now, true);
    let starts = outputs.into_iter().find_map(|output| match output {
        Output::Propose(change @ Change::Start(_)) => Some(change),
        _ => None,
    });
    harness.cancel(1);
    assert_eq!(harness.apply(starts.expect("the start is proposed")), Reply::Started(Vec::new()));
    harness.run_until_idle();
    assert_eq!(harness.started("a"), []);
    assert_eq!(harness.state.placed("a").count(), 0);
}

#[test]
fn start_committed_after_the_cancellation_is_not_ordered_while_others_still_stop() {
    let (mut harness, run) = ordered();
    harness.submit(2, vec![step(1, 100), step(1, 100)]);
    harness.run_until_idle();
    let placed =
        |harness: &Harness| harness.state.placed("a").filter(|run| run.task.job == 2).count();
    assert_eq!(placed(&harness), 2);
    let second = RunName { task: task(2, 1, 0), number: 1 };
    commit_unstarted(&mut harness, second);
    harness.cancel(2);
    let start =
        Start { run: RunName { number: 2, ..second }, worker: "a".into(), agent: "x".into() };
    assert_eq!(harness.apply(Change::Start(vec![start])), Reply::Started(Vec::new()));
    harness.run_until_idle();
    assert_eq!(placed(&harness), 1);
    assert!(!harness.stopped("a").contains(&run));
}

#[test]
fn stop_that_could_not_be_ordered_is_sent_on_the_next_link() {
    let (mut harness, run) = ordered();
    let link = harness.vms["a"].link;
    harness.leader.link_down(link);
    harness.cancel(1);
    wait(&mut harness, 3_000);
    assert_eq!(harness.stopped("a"), []);
    replace_agent(&mut harness);
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run]);
}

#[test]
fn stop_is_ordered_as_soon_as_the_leader_holds_its_lease() {
    let (mut harness, run) = unstarted_and_cancelled();
    list_late(&mut harness, run);
    harness.report("a");
    harness.now = harness.now + 300;
    let outputs = harness.leader.tick(&harness.state, harness.now, harness.now, false);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Order { .. })));
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), [run]);
}

#[test]
fn lease_extended_for_other_runs_is_sent_with_the_stop_of_a_late_run() {
    let (mut harness, run) = unstarted_and_cancelled();
    harness.submit(2, vec![Step { long_running: true, ..step(1, 500) }]);
    harness.run_until_idle();
    harness.start_ordered("a");
    let vm = harness.vms.get_mut("a").unwrap();
    // It makes progress, so it does not count as stalled.
    vm.runs.values_mut().for_each(|row| row.percent = 100);
    vm.orders.clear();
    list_late(&mut harness, run);
    harness.advance(10, &["a"]);
    let stops = |order: &pond_proto::fleet::Order| order.stops == [run];
    let orders = &harness.vms["a"].orders;
    let ends: Vec<u64> = orders.iter().map(|order| order.lease_end_ms).collect();
    assert!(ends.last() > ends.first());
    // A report comes every second, and each is answered with the stop.
    assert_eq!(orders.iter().filter(|order| stops(order)).count(), 10);
}

#[test]
fn end_of_a_late_run_does_not_change_its_job() {
    let (mut harness, run) = unstarted_and_cancelled();
    report_late(&mut harness, run);
    harness.end("a", run, EndReason::Done);
    assert_eq!(harness.phase(1), Some(Phase::Cancelled));
    assert_eq!(harness.state.last_committed_end("a"), 1);
    assert_eq!(harness.state.active().count(), 0);
}

#[test]
fn late_runs_of_all_times_and_steps_of_a_job_are_stopped_together() {
    // The situation of a leader that has only the log after everything else was replaced.
    let mut harness = Harness::new();
    harness.submit_spec(1, spec(vec![step(3, 100), step(2, 100)]));
    harness.cancel(1);
    harness.leader = Leader::new(9, timing(), harness.now);
    let runs: Vec<RunName> = [(0, 0), (0, 2), (1, 1)]
        .map(|(step, index)| RunName { task: task(1, step, index), number: 1 })
        .into();
    harness.add_vm("a", 1_000);
    harness.run_until_idle();
    for run in &runs {
        list_late(&mut harness, *run);
    }
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.stopped("a"), runs);
}
