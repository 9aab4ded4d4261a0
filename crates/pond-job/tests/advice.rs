//! Steps that only some workers may run, as an adviser says.

mod support;

use pond_job::{Decision, Permit, Question};
use pond_proto::job::{How, RunName, Step};
use support::{Bench, step, task};

/// Answers the newest question: these workers may run the step.
fn allow(bench: &mut Bench, workers: &[&str]) -> Question {
    let question = bench.asked.last().cloned().unwrap();
    let permit = |worker: &&str| Permit {
        worker: (*worker).to_owned(),
        ticket: format!("ticket of {worker}"),
    };
    let permits = workers.iter().map(permit).collect();
    bench.leader.advised(bench.now, &question, Some(permits));
    bench.settle();
    question
}

fn tickets(bench: &Bench, life: &str) -> Vec<String> {
    bench.starts(life).into_iter().map(|start| start.ticket).collect()
}

#[test]
fn step_runs_only_where_the_adviser_allows_it() {
    let mut bench = Bench::new().with_vm("a", 1_000).with_vm("b", 1_000);
    bench.submit_advised(1, vec![step(1, 100)]);
    bench.settle();
    assert_eq!(bench.place_of(task(1, 0, 0)), None);
    let question = allow(&mut bench, &["b"]);
    assert_eq!(question.workers, ["a", "b"]);
    assert_eq!(question.step.to_string(), "0000000000000001.0.0");
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("b"));
    assert_eq!(tickets(&bench, "b"), ["ticket of b"]);
}

#[test]
fn adviser_is_asked_once_about_a_worker() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit_advised(1, vec![step(1, 100)]);
    bench.settle();
    allow(&mut bench, &[]);
    bench.pass(10, &["a"]);
    assert_eq!(bench.asked.len(), 1);
}

#[test]
fn question_without_an_answer_is_asked_again_but_not_at_once() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit_advised(1, vec![step(1, 100)]);
    bench.settle();
    let question = bench.asked[0].clone();
    bench.leader.advised(bench.now, &question, None);
    bench.settle();
    assert_eq!(bench.asked.len(), 1);
    bench.pass(1, &["a"]);
    assert_eq!(bench.asked.len(), 2);
}

#[test]
fn ticket_that_runs_out_is_asked_for_again() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit_advised(1, vec![step(2, 800)]);
    bench.settle();
    allow(&mut bench, &["a"]);
    bench.obey("a");
    bench.pass(4, &["a"]);
    let first: RunName = bench.started("a")[0];
    bench.end("a", first, How::Done);
    assert_eq!((bench.asked.len(), bench.started("a").len()), (2, 1));
    allow(&mut bench, &["a"]);
    assert_eq!(bench.started("a").len(), 2);
}

#[test]
fn other_queues_need_no_advice() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 100)]);
    bench.settle();
    assert!(bench.asked.is_empty());
    assert_eq!(tickets(&bench, "a"), [""]);
}

#[test]
fn new_leader_asks_before_it_orders_what_a_former_one_placed() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit_advised(1, vec![step(1, 100)]);
    bench.settle();
    allow(&mut bench, &["a"]);
    bench.replace_leader();
    bench.pass(1, &["a"]);
    assert_eq!((bench.asked.len(), bench.started("a").len()), (2, 1));
    allow(&mut bench, &["a"]);
    bench.pass(1, &["a"]);
    assert_eq!(tickets(&bench, "a")[1], "ticket of a");
}

#[test]
fn ticket_that_a_worker_did_not_take_says_nothing_about_its_health() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    for job in 1..4 {
        bench.submit_advised(job, vec![step(1, 100)]);
        bench.settle();
        allow(&mut bench, &["a"]);
        let run = *bench.started("a").last().unwrap();
        bench.vms.get_mut("a").unwrap().unstarted = vec![run];
        bench.report("a");
        bench.settle();
        allow(&mut bench, &[]);
    }
    let sick = |decision: &Decision| matches!(decision, Decision::Unhealthy { .. });
    assert!(!bench.decided.iter().any(sick));
}

#[test]
fn adviser_whose_tickets_are_never_good_is_not_asked_without_pause() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit_advised(1, vec![step(1, 100)]);
    bench.settle();
    let mut question = bench.asked[0].clone();
    question.advice.valid_ms = 0;
    let permit = Permit { worker: "a".to_owned(), ticket: "t".to_owned() };
    bench.leader.advised(bench.now, &question, Some(vec![permit]));
    bench.settle();
    assert_eq!(bench.asked.len(), 1);
}

/// Room that is kept for a step is there for that step: the adviser is asked about it.
#[test]
fn adviser_is_asked_about_a_worker_whose_room_is_kept_for_the_step() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit_advised(1, vec![Step { lasting: true, ..step(1, 1_000) }]);
    bench.settle();
    assert_eq!(bench.asked.len(), 1);
    allow(&mut bench, &["a"]);
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("a"));
}

/// Answers run out, so the most urgent steps alone could keep the adviser busy for ever.
#[test]
fn adviser_is_asked_first_about_the_job_whose_trial_comes_near() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit_advised(2, vec![Step { estimate_ms: 60_000, ..step(1, 100) }]);
    bench.settle();
    let question = bench.asked[0].clone();
    bench.leader.advised(bench.now, &question, None);
    bench.now = bench.now + 1_200;
    bench.report("a");
    bench.submit_advised(1, vec![step(1, 100)]);
    bench.settle();
    let asked: Vec<u64> = bench.asked.iter().map(|question| question.step.job).collect();
    assert_eq!(asked, [2, 2], "the more urgent job went first");
}
