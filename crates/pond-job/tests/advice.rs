//! Steps that may run only on workers that an adviser allows.

mod support;

use pond_job::{Decision, Permit, Question};
use pond_proto::job::{EndReason, RunName, Step};
use support::{Harness, step, task};

/// Answers the newest question: only these workers may run the step.
fn allow(harness: &mut Harness, workers: &[&str]) -> Question {
    let question = harness.questions.last().cloned().unwrap();
    let permit = |worker: &&str| Permit {
        worker: (*worker).to_owned(),
        ticket: format!("ticket of {worker}"),
    };
    let permits = workers.iter().map(permit).collect();
    harness.leader.advised(harness.now, &question, Some(permits));
    harness.run_until_idle();
    question
}

fn tickets(harness: &Harness, incarnation: &str) -> Vec<String> {
    harness.starts(incarnation).into_iter().map(|start| start.ticket).collect()
}

#[test]
fn step_runs_only_where_the_adviser_allows_it() {
    let mut harness = Harness::new().with_vm("a", 1_000).with_vm("b", 1_000);
    harness.submit_advised(1, vec![step(1, 100)]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(1, 0, 0)), None);
    let question = allow(&mut harness, &["b"]);
    assert_eq!(question.workers, ["a", "b"]);
    assert_eq!(question.step.to_string(), "0000000000000001.0.0");
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("b"));
    assert_eq!(tickets(&harness, "b"), ["ticket of b"]);
}

#[test]
fn adviser_is_asked_once_about_a_worker() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit_advised(1, vec![step(1, 100)]);
    harness.run_until_idle();
    allow(&mut harness, &[]);
    harness.advance(10, &["a"]);
    assert_eq!(harness.questions.len(), 1);
}

#[test]
fn unanswered_question_is_asked_again_after_a_pause() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit_advised(1, vec![step(1, 100)]);
    harness.run_until_idle();
    let question = harness.questions[0].clone();
    harness.leader.advised(harness.now, &question, None);
    harness.run_until_idle();
    assert_eq!(harness.questions.len(), 1);
    harness.advance(1, &["a"]);
    assert_eq!(harness.questions.len(), 2);
}

#[test]
fn expired_ticket_is_requested_again() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit_advised(1, vec![step(2, 800)]);
    harness.run_until_idle();
    allow(&mut harness, &["a"]);
    harness.start_ordered("a");
    harness.advance(4, &["a"]);
    let first: RunName = harness.started("a")[0];
    harness.end("a", first, EndReason::Done);
    assert_eq!((harness.questions.len(), harness.started("a").len()), (2, 1));
    allow(&mut harness, &["a"]);
    assert_eq!(harness.started("a").len(), 2);
}

#[test]
fn other_queues_need_no_advice() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 100)]);
    harness.run_until_idle();
    assert!(harness.questions.is_empty());
    assert_eq!(tickets(&harness, "a"), [""]);
}

#[test]
fn new_leader_asks_before_it_orders_runs_placed_by_a_former_one() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit_advised(1, vec![step(1, 100)]);
    harness.run_until_idle();
    allow(&mut harness, &["a"]);
    harness.replace_leader();
    harness.advance(1, &["a"]);
    assert_eq!((harness.questions.len(), harness.started("a").len()), (2, 1));
    allow(&mut harness, &["a"]);
    harness.advance(1, &["a"]);
    assert_eq!(tickets(&harness, "a")[1], "ticket of a");
}

#[test]
fn refused_ticket_does_not_make_a_worker_unhealthy() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    for job in 1..4 {
        harness.submit_advised(job, vec![step(1, 100)]);
        harness.run_until_idle();
        allow(&mut harness, &["a"]);
        let run = *harness.started("a").last().unwrap();
        harness.vms.get_mut("a").unwrap().unstarted = vec![run];
        harness.report("a");
        harness.run_until_idle();
        allow(&mut harness, &[]);
    }
    let unhealthy = |decision: &Decision| matches!(decision, Decision::Unhealthy { .. });
    assert!(!harness.decisions.iter().any(unhealthy));
}

#[test]
fn adviser_whose_tickets_are_never_valid_is_not_asked_without_pause() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit_advised(1, vec![step(1, 100)]);
    harness.run_until_idle();
    let mut question = harness.questions[0].clone();
    question.advice.valid_ms = 0;
    let permit = Permit { worker: "a".to_owned(), ticket: "t".to_owned() };
    harness.leader.advised(harness.now, &question, Some(vec![permit]));
    harness.run_until_idle();
    assert_eq!(harness.questions.len(), 1);
}

/// Guards against an adviser that is not asked about a worker because its room is reserved,
/// although it is reserved for this very step.
#[test]
fn adviser_is_asked_about_a_worker_whose_room_is_reserved_for_the_step() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit_advised(1, vec![Step { long_running: true, ..step(1, 1_000) }]);
    harness.run_until_idle();
    assert_eq!(harness.questions.len(), 1);
    allow(&mut harness, &["a"]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("a"));
}

/// Answers expire, so the most urgent steps alone could keep the adviser busy forever. A job whose
/// forced placement is due next must be asked about first.
#[test]
fn adviser_is_asked_first_about_the_job_that_is_due_for_forced_placement() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit_advised(2, vec![Step { estimate_ms: 60_000, ..step(1, 100) }]);
    harness.run_until_idle();
    let question = harness.questions[0].clone();
    harness.leader.advised(harness.now, &question, None);
    harness.now = harness.now + 1_200;
    harness.report("a");
    harness.submit_advised(1, vec![step(1, 100)]);
    harness.run_until_idle();
    let question_jobs: Vec<u64> =
        harness.questions.iter().map(|question| question.step.job).collect();
    assert_eq!(question_jobs, [2, 2], "the more urgent job went first");
}
