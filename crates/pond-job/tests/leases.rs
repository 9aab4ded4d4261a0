//! When a worker's runs count as ended although nobody reports it.

mod support;

use pond_job::{Change, Output};
use pond_proto::fleet::{EndRow, Report};
use pond_proto::job::{How, Phase};
use support::{Bench, step, task};

fn one_run_on_a() -> Bench {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.settle();
    bench.obey("a");
    bench.add_vm("b", 1_000);
    bench.settle();
    bench
}

#[test]
fn silent_worker_keeps_its_runs_until_its_lease_has_expired() {
    let mut bench = one_run_on_a();
    bench.pass(6, &["b"]);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn silent_worker_loses_its_runs_when_its_lease_is_surely_over() {
    let mut bench = one_run_on_a();
    bench.pass(7, &["b"]);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("b"));
}

#[test]
fn reports_whose_clock_stands_still_extend_nothing() {
    // The agent lives and reports, but its worker is dark: its clock does not go on.
    let mut bench = one_run_on_a();
    for _ in 0..7 {
        bench.report("a");
        bench.pass(1, &["b"]);
    }
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("b"));
}

#[test]
fn reporting_worker_keeps_its_runs() {
    let mut bench = one_run_on_a();
    bench.vms.get_mut("a").unwrap().runs.values_mut().for_each(|row| row.percent = 100);
    bench.pass(5, &["a", "b"]);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn granted_time_counts_from_the_reported_clock() {
    let bench = one_run_on_a();
    let until = bench.vms["a"].orders.last().map(|order| order.lease_end_ms);
    assert_eq!(until, Some(5_000 + 6_000));
}

#[test]
fn job_that_ended_long_ago_is_forgotten_once_and_for_good() {
    let mut bench = one_run_on_a();
    let run = bench.started("a")[0];
    bench.end("a", run, pond_proto::job::How::Done);
    bench.pass(59, &["a", "b"]);
    assert!(bench.state.job(1).is_some());
    bench.pass(3, &["a", "b"]);
    assert!(bench.state.job(1).is_none());
    let forgets = |change: &&Change| matches!(change, Change::Forget(_));
    assert_eq!(bench.proposed.iter().filter(forgets).count(), 1);
}

#[test]
fn new_life_beside_the_same_agent_ends_one_that_only_the_log_knows() {
    // Everything lost power: a new leader meets the agent with a new life of its worker.
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.settle();
    bench.leader = pond_job::Leader::new(8, support::terms(), bench.now);
    let vm = bench.vms.remove("a").unwrap();
    bench.vms.insert("a2".to_owned(), vm);
    bench.report("a2");
    bench.pass(1, &["a2"]);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a2"));
}

#[test]
fn worker_whose_loss_is_proposed_gets_no_order_until_it_is_in_the_log() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.settle();
    bench.replace_leader();
    bench.now = bench.now + 6_300;
    let outputs = bench.leader.tick(&bench.state, bench.now, bench.now, true);
    let lost = |output: &Output| matches!(output, Output::Propose(Change::WorkerLost { .. }));
    assert!(outputs.iter().any(lost));
    bench.report("a");
    let outputs = bench.leader.tick(&bench.state, bench.now, bench.now, true);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Order { .. })));
}

#[test]
fn loss_that_was_proposed_is_proposed_again_though_the_worker_reports() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.settle();
    bench.replace_leader();
    bench.now = bench.now + 6_300;
    // The proposal is lost on its way.
    bench.leader.tick(&bench.state, bench.now, bench.now, true);
    bench.report("a");
    bench.pass(4, &["a"]);
    let lost = |change: &Change| matches!(change, Change::WorkerLost { .. });
    assert!(bench.proposed.iter().any(lost));
    assert_eq!(bench.started("a").last().map(|run| run.number), Some(2));
}

/// A worker that has started again under its id may carry out a start that was meant for it before. Seen: the task of
/// such a start got a place elsewhere while it still ran, as the report of the new life ended the former one.
#[test]
fn life_is_not_over_while_the_next_one_runs_what_was_placed_on_it() {
    let mut bench = one_run_on_a();
    let run = bench.started("a")[0];
    let vm = bench.vms.remove("a").unwrap();
    bench.vms.insert("a2".to_owned(), vm);
    bench.pass(9, &["a2", "b"]);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
    assert_eq!(bench.stopped("a2").first(), Some(&run));
    bench.vms.get_mut("a2").unwrap().runs.clear();
    bench.pass(2, &["a2", "b"]);
    assert_ne!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn end_of_a_run_at_the_life_after_the_one_it_was_placed_on_counts() {
    let mut bench = one_run_on_a();
    let run = bench.started("a")[0];
    let vm = bench.vms.remove("a").unwrap();
    bench.vms.insert("a2".to_owned(), vm);
    bench.end("a2", run, How::Done);
    bench.pass(2, &["a2", "b"]);
    assert_eq!(bench.phase(1), Some(Phase::Completed));
    assert!(bench.started("b").is_empty());
}

/// Found by reading: what an agent tells of a life that is over was dropped while the next one still had a run of it, and
/// with it the ends that nobody else knows.
#[test]
fn what_is_told_of_a_life_that_is_over_counts_once_the_next_one_lets_go_of_it() {
    let mut bench = Bench::new().with_vm("a", 2_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.submit(2, vec![step(1, 500)]);
    bench.settle();
    bench.obey("a");
    bench.report("a");
    bench.add_vm("b", 2_000);
    bench.settle();
    let (gone_on, ended) = (bench.started("a")[0], bench.started("a")[1]);
    let mut vm = bench.vms.remove("a").unwrap();
    vm.runs.retain(|run, _| *run == gone_on);
    let link = vm.link;
    bench.vms.insert("a2".to_owned(), vm);
    bench.report("a2");
    let end = EndRow { number: 1, run: ended, how: How::Done as i32, save: String::new() };
    let over = Report { worker: "a".to_owned(), gone: true, ends: vec![end], ..Report::default() };
    bench.leader.report(&bench.state, bench.now, link, "agent-of-a", over);
    bench.pass(1, &["a2", "b"]);
    bench.vms.get_mut("a2").unwrap().runs.clear();
    bench.pass(2, &["a2", "b"]);
    assert_eq!(bench.phase(ended.task.job), Some(Phase::Completed));
    assert_ne!(bench.place_of(gone_on.task).as_deref(), Some("a"));
}
