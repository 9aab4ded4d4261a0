//! Runs of cancelled jobs: how soon the leader orders their stop, also when they start late and
//! nobody remembers them.

mod support;

use pond_job::{Change, Leader, Output, Reply, Start};
use pond_proto::Span;
use pond_proto::fleet::RunRow;
use pond_proto::job::{How, Phase, RunName, Step};
use support::{Bench, spec, step, task, terms};

/// Time between the reports of an agent while nothing changes, in milliseconds.
const REPORT_MS: Span = 900;

/// From one order to stop a run until the next, in milliseconds, while reports show the run: the
/// agent repeats its calls by itself, so this is for lost orders. A report may come just too early.
const AGAIN_MS: Span = 2 * REPORT_MS;

/// The same for a run that is placed there, whenever the reports come, in milliseconds.
const PLACED_AGAIN_MS: Span = 1_100;

/// One run of job 1 is ordered to start on worker a.
fn ordered() -> (Bench, RunName) {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.settle();
    let run = bench.started("a")[0];
    (bench, run)
}

/// Its start was given up, the job cancelled, and its second run given up as well: nothing of it is
/// placed any more.
fn given_up_and_cancelled() -> (Bench, RunName) {
    let (mut bench, run) = ordered();
    give_up(&mut bench, &[run]);
    let second = *bench.started("a").last().unwrap();
    assert_eq!(second.number, 2);
    assert_eq!(bench.cancel(1), Reply::Accepted);
    bench.settle();
    give_up(&mut bench, &[run, second]);
    let vm = bench.vms.get_mut("a").unwrap();
    vm.unstarted.clear();
    vm.orders.clear();
    assert_eq!(bench.state.placed("a").count(), 0);
    assert_eq!(bench.state.active().count(), 0);
    (bench, run)
}

/// Worker a reports these runs as unstarted.
fn give_up(bench: &mut Bench, runs: &[RunName]) {
    bench.vms.get_mut("a").unwrap().unstarted = runs.to_vec();
    bench.report("a");
    bench.settle();
}

/// A run never started, and the log says so; nothing is planned in answer.
fn give_up_of(bench: &mut Bench, run: RunName) {
    let unstarted = vec![run];
    bench.apply(Change::Ended { worker: "a".to_owned(), ends: Vec::new(), unstarted });
}

/// Worker a lists a run, which nobody may remember.
fn list_late(bench: &mut Bench, run: RunName) {
    let row = RunRow { run, percent: 3, ..RunRow::default() };
    bench.vms.get_mut("a").unwrap().runs.insert(run, row);
}

/// Worker a lists a run and reports so; no time passes.
fn report_late(bench: &mut Bench, run: RunName) {
    list_late(bench, run);
    bench.report("a");
    bench.settle();
}

/// Worker a has a fresh agent, with a new link.
fn replace_agent(bench: &mut Bench) {
    bench.vms.get_mut("a").unwrap().link += 100;
}

/// Time passes while nobody reports.
fn wait(bench: &mut Bench, ms: Span) {
    bench.now = bench.now + ms;
    bench.settle();
}

/// Time passes, and then a worker reports; its clock goes on.
fn report_after(bench: &mut Bench, life: &str, ms: Span) {
    bench.now = bench.now + ms;
    bench.vms.get_mut(life).unwrap().clock_ms += ms;
    bench.report(life);
    bench.settle();
}

#[test]
fn late_run_of_a_cancelled_job_is_stopped_with_the_report_that_shows_it() {
    let (mut bench, run) = given_up_and_cancelled();
    report_late(&mut bench, run);
    assert_eq!(bench.stopped("a"), [run]);
}

#[test]
fn late_run_whose_task_runs_elsewhere_again_is_stopped_with_the_report_that_shows_it() {
    let (mut bench, run) = ordered();
    give_up(&mut bench, &[run]);
    bench.vms.get_mut("a").unwrap().unstarted.clear();
    bench.obey("a");
    bench.vms.get_mut("a").unwrap().runs.remove(&run);
    report_late(&mut bench, run);
    assert_eq!(bench.stopped("a"), [run]);
    let second = RunName { number: 2, ..run };
    bench.cancel(1);
    bench.settle();
    assert_eq!(bench.stopped("a"), [run, second]);
}

#[test]
fn late_run_is_ordered_to_stop_again_until_it_is_gone() {
    let (mut bench, run) = given_up_and_cancelled();
    report_late(&mut bench, run);
    for orders in 2..8 {
        let since = bench.now;
        while bench.stopped("a").len() < orders {
            assert!(bench.now.since(since) < AGAIN_MS, "order {orders} is late");
            report_after(&mut bench, "a", REPORT_MS);
        }
    }
    bench.end("a", run, How::Stopped);
    let orders = bench.stopped("a").len();
    bench.pass(5, &["a"]);
    assert_eq!(bench.stopped("a").len(), orders);
}

#[test]
fn placed_run_of_a_cancelled_job_is_ordered_to_stop_again_between_two_reports() {
    let (mut bench, run) = ordered();
    bench.obey("a");
    bench.report("a");
    bench.cancel(1);
    bench.settle();
    report_after(&mut bench, "a", REPORT_MS);
    assert_eq!(bench.stopped("a"), [run]);
    wait(&mut bench, PLACED_AGAIN_MS - REPORT_MS);
    assert_eq!(bench.stopped("a"), [run, run]);
}

#[test]
fn late_run_of_a_forgotten_job_is_stopped_with_the_report_that_shows_it() {
    let (mut bench, run) = given_up_and_cancelled();
    bench.pass(70, &["a"]);
    assert!(bench.state.job(1).is_none());
    report_late(&mut bench, run);
    assert_eq!(bench.stopped("a"), [run]);
}

#[test]
fn run_of_a_job_that_nobody_handed_in_is_stopped_with_the_report_that_shows_it() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    let stray = RunName { task: task(99, 2, 7), number: 3 };
    report_late(&mut bench, stray);
    assert_eq!(bench.stopped("a"), [stray]);
}

#[test]
fn new_leader_stops_a_late_run_with_the_report_that_shows_it() {
    let (mut bench, run) = given_up_and_cancelled();
    bench.replace_leader();
    report_late(&mut bench, run);
    assert_eq!(bench.stopped("a"), [run]);
    assert_eq!(bench.vms["a"].orders.last().map(|order| order.term), Some(8));
}

#[test]
fn new_leader_stops_a_run_of_a_job_that_was_cancelled_before() {
    // The former leader did not live to order the stop.
    let (mut bench, run) = ordered();
    bench.state.apply(Change::Cancel {
        host: support::HOST.to_owned(),
        path: format!("{}{:016x}", support::PATH, 1),
        id: 1,
    });
    bench.replace_leader();
    bench.report("a");
    bench.settle();
    assert_eq!(bench.stopped("a"), [run]);
    // Whether or not the worker has the run.
    wait(&mut bench, 1_100);
    assert_eq!(bench.stopped("a"), [run, run]);
}

#[test]
fn fresh_agent_is_ordered_to_stop_at_once_though_the_former_just_was() {
    let (mut bench, run) = given_up_and_cancelled();
    report_late(&mut bench, run);
    wait(&mut bench, 50);
    replace_agent(&mut bench);
    bench.report("a");
    bench.settle();
    assert_eq!(bench.stopped("a"), [run, run]);
}

#[test]
fn new_leader_has_a_fresh_agent_stop_what_neither_remembers() {
    for forgotten in [false, true] {
        let (mut bench, run) = given_up_and_cancelled();
        if forgotten {
            bench.pass(70, &["a"]);
        }
        bench.replace_leader();
        replace_agent(&mut bench);
        // The first report comes before the late start.
        bench.report("a");
        bench.settle();
        assert_eq!(bench.stopped("a"), []);
        wait(&mut bench, 400);
        report_late(&mut bench, run);
        assert_eq!(bench.stopped("a"), [run]);
    }
}

#[test]
fn worker_that_comes_back_with_late_runs_of_a_cancelled_job_is_told_to_stop_them() {
    for forgotten in [false, true] {
        let mut bench = Bench::new().with_vm("a", 2_000);
        bench.submit(1, vec![step(2, 500)]);
        bench.settle();
        let runs = bench.started("a");
        wait(&mut bench, 2_000);
        bench.cancel(1);
        wait(&mut bench, 5_000);
        assert_eq!(bench.state.placed("a").count(), 0, "its lease has run out");
        wait(&mut bench, if forgotten { 70_000 } else { 100 });
        assert_eq!(bench.state.job(1).is_none(), forgotten);
        bench.vms.get_mut("a").unwrap().orders.clear();
        for run in &runs {
            list_late(&mut bench, *run);
        }
        bench.report("a");
        bench.settle();
        assert_eq!(bench.stopped("a"), runs);
    }
}

#[test]
fn worker_that_comes_back_while_its_loss_is_on_its_way_is_told_once_it_is_in_the_log() {
    let (mut bench, run) = ordered();
    bench.cancel(1);
    bench.settle();
    bench.vms.get_mut("a").unwrap().orders.clear();
    bench.now = bench.now + 6_300;
    let outputs = bench.leader.tick(&bench.state, bench.now, bench.now, true);
    let loss = outputs.into_iter().find_map(|output| match output {
        Output::Propose(change @ Change::WorkerLost { ended: false, .. }) => Some(change),
        _ => None,
    });
    list_late(&mut bench, run);
    bench.report("a");
    bench.settle();
    assert_eq!(bench.stopped("a"), []);
    bench.apply(loss.expect("no loss"));
    bench.settle();
    assert_eq!(bench.stopped("a"), [run]);
}

#[test]
fn new_leader_stops_late_runs_of_a_worker_that_it_gave_up() {
    let (mut bench, run) = ordered();
    bench.cancel(1);
    bench.replace_leader();
    wait(&mut bench, 6_300);
    assert_eq!(bench.state.placed("a").count(), 0);
    bench.vms.get_mut("a").unwrap().orders.clear();
    replace_agent(&mut bench);
    report_late(&mut bench, run);
    assert_eq!(bench.stopped("a"), [run]);
}

#[test]
fn run_is_ordered_to_stop_at_once_though_it_was_just_ordered_to_start() {
    let (mut bench, run) = ordered();
    wait(&mut bench, 50);
    bench.cancel(1);
    bench.settle();
    assert_eq!(bench.stopped("a"), [run]);
}

#[test]
fn run_is_ordered_to_stop_only_if_its_job_is_cancelled_before_the_order_to_start() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.now = bench.now + 200;
    let outputs = bench.leader.tick(&bench.state, bench.now, bench.now, true);
    let starts = outputs.into_iter().find_map(|output| match output {
        Output::Propose(change @ Change::Start(_)) => Some(change),
        _ => None,
    });
    bench.apply(starts.expect("no start"));
    bench.cancel(1);
    bench.settle();
    assert_eq!(bench.started("a"), []);
    assert_eq!(bench.stopped("a"), [RunName { task: task(1, 0, 0), number: 1 }]);
}

#[test]
fn start_that_comes_into_the_log_after_the_cancelling_is_not_ordered() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.now = bench.now + 200;
    let outputs = bench.leader.tick(&bench.state, bench.now, bench.now, true);
    let starts = outputs.into_iter().find_map(|output| match output {
        Output::Propose(change @ Change::Start(_)) => Some(change),
        _ => None,
    });
    bench.cancel(1);
    assert_eq!(bench.apply(starts.expect("no start")), Reply::Started(Vec::new()));
    bench.settle();
    assert_eq!(bench.started("a"), []);
    assert_eq!(bench.state.placed("a").count(), 0);
}

#[test]
fn start_that_comes_into_the_log_after_the_cancelling_is_not_ordered_while_others_still_stop() {
    let (mut bench, run) = ordered();
    bench.submit(2, vec![step(1, 100), step(1, 100)]);
    bench.settle();
    let placed = |bench: &Bench| bench.state.placed("a").filter(|run| run.task.job == 2).count();
    assert_eq!(placed(&bench), 2);
    let second = RunName { task: task(2, 1, 0), number: 1 };
    give_up_of(&mut bench, second);
    bench.cancel(2);
    let start =
        Start { run: RunName { number: 2, ..second }, worker: "a".into(), agent: "x".into() };
    assert_eq!(bench.apply(Change::Start(vec![start])), Reply::Started(Vec::new()));
    bench.settle();
    assert_eq!(placed(&bench), 1);
    assert!(!bench.stopped("a").contains(&run));
}

#[test]
fn stop_that_could_not_be_ordered_comes_with_the_next_link() {
    let (mut bench, run) = ordered();
    let link = bench.vms["a"].link;
    bench.leader.link_down(link);
    bench.cancel(1);
    wait(&mut bench, 3_000);
    assert_eq!(bench.stopped("a"), []);
    replace_agent(&mut bench);
    bench.report("a");
    bench.settle();
    assert_eq!(bench.stopped("a"), [run]);
}

#[test]
fn stop_that_was_held_back_for_want_of_the_lead_comes_as_soon_as_it_holds() {
    let (mut bench, run) = given_up_and_cancelled();
    list_late(&mut bench, run);
    bench.report("a");
    bench.now = bench.now + 300;
    let outputs = bench.leader.tick(&bench.state, bench.now, bench.now, false);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Order { .. })));
    bench.settle();
    assert_eq!(bench.stopped("a"), [run]);
}

#[test]
fn lease_that_goes_on_for_others_comes_with_the_stop_of_what_nobody_wants() {
    let (mut bench, run) = given_up_and_cancelled();
    bench.submit(2, vec![Step { lasting: true, ..step(1, 500) }]);
    bench.settle();
    bench.obey("a");
    let vm = bench.vms.get_mut("a").unwrap();
    // It is at work, so it does not count as stalled.
    vm.runs.values_mut().for_each(|row| row.percent = 100);
    vm.orders.clear();
    list_late(&mut bench, run);
    bench.pass(10, &["a"]);
    let stops = |order: &pond_proto::fleet::Order| order.stops == [run];
    let orders = &bench.vms["a"].orders;
    let ends: Vec<u64> = orders.iter().map(|order| order.lease_end_ms).collect();
    assert!(ends.last() > ends.first());
    // A report comes each second, and each is answered with the stop.
    assert_eq!(orders.iter().filter(|order| stops(order)).count(), 10);
}

#[test]
fn end_of_a_late_run_changes_nothing_of_its_job() {
    let (mut bench, run) = given_up_and_cancelled();
    report_late(&mut bench, run);
    bench.end("a", run, How::Done);
    assert_eq!(bench.phase(1), Some(Phase::Cancelled));
    assert_eq!(bench.state.last_committed_end("a"), 1);
    assert_eq!(bench.state.active().count(), 0);
}

#[test]
fn late_runs_of_all_times_and_steps_of_a_job_are_stopped_together() {
    // What a leader with nothing but the log meets after everything else was replaced.
    let mut bench = Bench::new();
    bench.submit_spec(1, spec(vec![step(3, 100), step(2, 100)]));
    bench.cancel(1);
    bench.leader = Leader::new(9, terms(), bench.now);
    let runs: Vec<RunName> = [(0, 0), (0, 2), (1, 1)]
        .map(|(step, index)| RunName { task: task(1, step, index), number: 1 })
        .into();
    bench.add_vm("a", 1_000);
    bench.settle();
    for run in &runs {
        list_late(&mut bench, *run);
    }
    bench.report("a");
    bench.settle();
    assert_eq!(bench.stopped("a"), runs);
}
