//! When a worker's runs count as ended although nobody reports their end.

mod support;

use pond_job::{Change, Output};
use pond_proto::fleet::{EndRow, Report};
use pond_proto::job::{EndReason, Phase};
use support::{Harness, step, task};

fn one_run_on_a() -> Harness {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    harness.add_vm("b", 1_000);
    harness.run_until_idle();
    harness
}

#[test]
fn silent_worker_keeps_its_runs_until_its_lease_has_expired() {
    let mut harness = one_run_on_a();
    harness.advance(6, &["b"]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn silent_worker_loses_its_runs_when_its_lease_has_expired() {
    let mut harness = one_run_on_a();
    harness.advance(7, &["b"]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("b"));
}

#[test]
fn reports_with_a_stopped_clock_extend_no_lease() {
    // The agent reports, but its worker does not respond: the worker's clock does not advance.
    let mut harness = one_run_on_a();
    for _ in 0..7 {
        harness.report("a");
        harness.advance(1, &["b"]);
    }
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("b"));
}

#[test]
fn reporting_worker_keeps_its_runs() {
    let mut harness = one_run_on_a();
    harness.vms.get_mut("a").unwrap().runs.values_mut().for_each(|row| row.percent = 100);
    harness.advance(5, &["a", "b"]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn granted_time_counts_from_the_reported_clock() {
    let harness = one_run_on_a();
    let until = harness.vms["a"].orders.last().map(|order| order.lease_end_ms);
    assert_eq!(until, Some(5_000 + 6_000));
}

/// Returns the report of an agent whose worker no longer holds a lease, with the clock that the
/// worker had before.
fn lapsed() -> Report {
    Report {
        worker: "a".to_owned(),
        pool: "vms".to_owned(),
        milli_cpu: 1_000,
        memory_mib: 100_000,
        clock_ms: 5_000,
        lapsed: true,
        lapses: 1,
        ..Report::default()
    }
}

/// Guards against runs of a silent worker that stand still for the whole grant although its agent
/// knows that none of them can run any more.
#[test]
fn worker_loses_its_runs_as_soon_as_its_agent_reports_that_its_lease_has_expired() {
    let mut harness = one_run_on_a();
    let link = harness.vms["a"].link;
    harness.leader.report(&harness.state, harness.now, link, "agent-of-a", lapsed());
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("b"));
}

#[test]
fn orders_grant_the_lease_in_parts_and_name_the_last_time_that_it_expired() {
    let mut harness = one_run_on_a();
    let link = harness.vms["a"].link;
    harness.leader.report(&harness.state, harness.now, link, "agent-of-a", lapsed());
    harness.run_until_idle();
    let order = harness.vms["a"].orders.last().expect("an order");
    assert!(order.extension_ms > 0 && order.extension_ms < 6_000);
    assert_eq!(order.lapses, 1);
    assert!(order.starts.is_empty());
}

#[test]
fn job_that_ended_long_ago_is_dropped_once() {
    let mut harness = one_run_on_a();
    let run = harness.started("a")[0];
    harness.end("a", run, pond_proto::job::EndReason::Done);
    harness.advance(59, &["a", "b"]);
    assert!(harness.state.job(1).is_some());
    harness.advance(3, &["a", "b"]);
    assert!(harness.state.job(1).is_none());
    let drops_jobs = |change: &&Change| matches!(change, Change::Forget(_));
    assert_eq!(harness.proposals.iter().filter(drops_jobs).count(), 1);
}

#[test]
fn new_incarnation_at_the_same_agent_ends_one_that_only_the_log_knows() {
    // Everything lost power: a new leader sees the agent with a new incarnation of its worker.
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.run_until_idle();
    harness.leader = pond_job::Leader::new(8, support::timing(), harness.now);
    let vm = harness.vms.remove("a").unwrap();
    harness.vms.insert("a2".to_owned(), vm);
    harness.report("a2");
    harness.advance(1, &["a2"]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a2"));
}

#[test]
fn worker_whose_loss_is_proposed_gets_no_order_until_it_is_in_the_log() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.run_until_idle();
    harness.replace_leader();
    harness.now = harness.now + 6_300;
    let outputs = harness.leader.tick(&harness.state, harness.now, harness.now, true);
    let lost = |output: &Output| matches!(output, Output::Propose(Change::WorkerLost { .. }));
    assert!(outputs.iter().any(lost));
    harness.report("a");
    let outputs = harness.leader.tick(&harness.state, harness.now, harness.now, true);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Order { .. })));
}

#[test]
fn lost_proposal_of_a_loss_is_repeated_although_the_worker_reports() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.run_until_idle();
    harness.replace_leader();
    harness.now = harness.now + 6_300;
    // The proposal is lost.
    harness.leader.tick(&harness.state, harness.now, harness.now, true);
    harness.report("a");
    harness.advance(4, &["a"]);
    let lost = |change: &Change| matches!(change, Change::WorkerLost { .. });
    assert!(harness.proposals.iter().any(lost));
    assert_eq!(harness.started("a").last().map(|run| run.number), Some(2));
}

/// Guards against a task that is placed elsewhere while it still runs. A worker that restarts under
/// the same id may carry out a start that was meant for its previous incarnation; the first report
/// of the new incarnation must not end that run.
#[test]
fn incarnation_has_not_ended_while_the_next_one_runs_what_was_placed_on_it() {
    let mut harness = one_run_on_a();
    let run = harness.started("a")[0];
    let vm = harness.vms.remove("a").unwrap();
    harness.vms.insert("a2".to_owned(), vm);
    harness.advance(9, &["a2", "b"]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
    assert_eq!(harness.stopped("a2").first(), Some(&run));
    harness.vms.get_mut("a2").unwrap().runs.clear();
    harness.advance(2, &["a2", "b"]);
    assert_ne!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn end_of_a_run_on_the_incarnation_after_the_one_it_was_placed_on_counts() {
    let mut harness = one_run_on_a();
    let run = harness.started("a")[0];
    let vm = harness.vms.remove("a").unwrap();
    harness.vms.insert("a2".to_owned(), vm);
    harness.end("a2", run, EndReason::Done);
    harness.advance(2, &["a2", "b"]);
    assert_eq!(harness.phase(1), Some(Phase::Completed));
    assert!(harness.started("b").is_empty());
}

/// Guards against ends that are lost: what an agent reports about an ended incarnation must not be
/// dropped while the next incarnation still has one of its runs, because nobody else knows these
/// ends.
#[test]
fn reported_ends_of_an_ended_incarnation_count_once_the_next_one_drops_its_runs() {
    let mut harness = Harness::new().with_vm("a", 2_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.submit(2, vec![step(1, 500)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    harness.report("a");
    harness.add_vm("b", 2_000);
    harness.run_until_idle();
    let (continued, ended) = (harness.started("a")[0], harness.started("a")[1]);
    let mut vm = harness.vms.remove("a").unwrap();
    vm.runs.retain(|run, _| *run == continued);
    let link = vm.link;
    harness.vms.insert("a2".to_owned(), vm);
    harness.report("a2");
    let end =
        EndRow { number: 1, run: ended, how: EndReason::Done as i32, checkpoint: String::new() };
    let ended_report =
        Report { worker: "a".to_owned(), gone: true, ends: vec![end], ..Report::default() };
    harness.leader.report(&harness.state, harness.now, link, "agent-of-a", ended_report);
    harness.advance(1, &["a2", "b"]);
    harness.vms.get_mut("a2").unwrap().runs.clear();
    harness.advance(2, &["a2", "b"]);
    assert_eq!(harness.phase(ended.task.job), Some(Phase::Completed));
    assert_ne!(harness.worker_of(continued.task).as_deref(), Some("a"));
}
