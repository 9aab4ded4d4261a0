//! Accepted jobs after a configuration that says something else about their queue.
//!
//! Guards against jobs that stay with the pool that their queue had when they were submitted: once its workers had
//! left, nothing of them ran any more, although the workers of the new pool were free.

mod support;

use pond_job::{Advice, Change, Configuration, End, Pool, Queue, Reply, Start, State};
use pond_proto::Millis;
use pond_proto::job::{EndReason, Phase, RunName, Step};
use support::{HOST, Harness, PATH, configuration, spec, step, task};

const OLD: &str = "vms";
const NEW: &str = "others";

/// Returns a configuration in which the first queue is changed, with a second pool.
fn changed(version: u64, change: impl Fn(&mut Queue)) -> Configuration {
    let mut configuration = configuration(version);
    let pool = Pool { name: NEW.to_owned(), admission_check: true, powered_off: false };
    configuration.pools.push(pool);
    change(&mut configuration.queues[0]);
    configuration
}

/// Returns a configuration in which the first queue has the new pool.
fn moved(version: u64) -> Configuration {
    changed(version, |queue| queue.pool = NEW.to_owned())
}

/// Returns two pools with a worker each, `a` and `b`.
fn pools(room: u32) -> Harness {
    Harness::new().with_vm(OLD_WORKER, room).with_vm_in_pool(NEW, NEW_WORKER, 16_000)
}

const OLD_WORKER: &str = "a";
const NEW_WORKER: &str = "b";

/// Ends the worker of the former pool for good.
fn lose_old_worker(harness: &mut Harness) {
    let worker = OLD_WORKER.to_owned();
    let (checkpoints, blame) = (Vec::new(), Vec::new());
    harness.apply(Change::WorkerLost { worker, checkpoints, ended: true, blame, evidence: None });
    harness.vms.remove(OLD_WORKER);
    harness.advance(3, &[NEW_WORKER]);
}

fn long_running(tasks: u32) -> Step {
    Step { long_running: true, ..step(tasks, 500) }
}

/// Guards against tasks that run on no worker once those of the former pool have left.
#[test]
fn tasks_run_in_the_new_pool_once_the_former_workers_have_left() {
    let mut harness = pools(4_000);
    harness.submit(1, vec![long_running(2)]);
    harness.submit(2, vec![step(2, 500), Step { after: vec![0], ..step(2, 500) }]);
    harness.submit(3, vec![Step { gang: true, ..step(2, 500) }]);
    harness.run_until_idle();
    harness.start_ordered(OLD_WORKER);
    harness.report(OLD_WORKER);
    assert_eq!(harness.apply(Change::Configure(moved(2))), configured(3));
    harness.advance(1, &[OLD_WORKER, NEW_WORKER]);
    // What runs goes on.
    assert!(harness.stopped(OLD_WORKER).is_empty());
    assert!(harness.started(NEW_WORKER).is_empty());
    for index in 0..2 {
        let run = RunName { task: task(2, 0, index), number: 1 };
        harness.end(OLD_WORKER, run, EndReason::Done);
    }
    for index in 0..2 {
        assert_eq!(harness.worker_of(task(2, 1, index)).as_deref(), Some(NEW_WORKER));
    }
    lose_old_worker(&mut harness);
    for (job, index) in [(1, 0), (1, 1), (3, 0), (3, 1)] {
        let worker = harness.worker_of(task(job, 0, index));
        assert_eq!(worker.as_deref(), Some(NEW_WORKER), "job {job}");
    }
}

fn configured(reassigned: usize) -> Reply {
    Reply::Configured { reassigned, ended: Vec::new() }
}

/// Guards against jobs that wait for room in the former pool.
#[test]
fn waiting_jobs_start_in_the_new_pool() {
    let mut harness = pools(500);
    harness.submit(1, vec![long_running(1)]);
    harness.submit(2, vec![step(1, 500)]);
    harness.submit(3, vec![Step { gang: true, ..step(2, 500) }]);
    harness.advance(1, &[OLD_WORKER, NEW_WORKER]);
    assert!(harness.started(NEW_WORKER).is_empty());
    harness.apply(Change::Configure(moved(2)));
    harness.advance(1, &[OLD_WORKER, NEW_WORKER]);
    for (job, index) in [(2, 0), (3, 0), (3, 1)] {
        let worker = harness.worker_of(task(job, 0, index));
        assert_eq!(worker.as_deref(), Some(NEW_WORKER), "job {job}");
    }
}

/// Guards against a new leader that places accepted jobs by an earlier configuration.
#[test]
fn new_leader_and_snapshot_keep_the_assignment() {
    let mut harness = pools(500);
    harness.submit(1, vec![step(2, 500)]);
    harness.apply(Change::Configure(moved(2)));
    harness.state = copy(&harness.state);
    harness.replace_leader();
    harness.report(OLD_WORKER);
    harness.advance(2, &[OLD_WORKER, NEW_WORKER]);
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some(NEW_WORKER));
    assert_eq!(harness.worker_of(task(1, 0, 1)).as_deref(), Some(NEW_WORKER));
    // The origin of the job outlasts the snapshot.
    harness.apply(Change::Configure(configuration(3)));
    assert_eq!(harness.state.job(1).unwrap().pool, OLD);
}

fn copy(state: &State) -> State {
    let copy = State::decode(&state.encode().unwrap()).unwrap();
    assert_eq!(&copy, state);
    copy
}

/// Guards against a configuration that takes effect only for later jobs: all that a queue says about its jobs.
#[test]
fn accepted_jobs_follow_each_field_of_their_queue() {
    let mut harness = pools(500);
    harness.submit(1, vec![step(1, 500)]);
    let advice = Some(Advice { decide_ms: 50, per_worker_ms: 10, valid_ms: 4_000 });
    harness.apply(Change::Configure(changed(2, |queue| {
        queue.name = "renamed".to_owned();
        queue.priority = 1;
        queue.max_attempts = 7;
        queue.stretch_permille = 3_000;
        queue.target_ms = 500;
        queue.advice = advice;
    })));
    let job = harness.state.job(1).unwrap();
    assert_eq!((job.queue.as_str(), job.priority, job.max_attempts), ("renamed", 1, 7));
    assert_eq!((job.advice, job.target_at.since(job.submitted_at)), (advice, 3_500));
    harness.apply(Change::Configure(configuration(3)));
    let job = harness.state.job(1).unwrap();
    assert_eq!((job.queue.as_str(), job.priority, job.max_attempts), ("quick", 0, 2));
    assert_eq!((job.advice, job.target_at.since(job.submitted_at)), (None, 1_750));
}

/// Guards against a start without the ticket that the queue now requires.
#[test]
fn steps_wait_for_advice_that_a_configuration_adds_and_not_for_advice_that_it_removes() {
    let mut harness = pools(500);
    harness.submit(1, vec![long_running(1)]);
    harness.run_until_idle();
    harness.start_ordered(OLD_WORKER);
    harness.report(OLD_WORKER);
    harness.submit(2, vec![step(1, 500)]);
    let advice = Some(Advice { decide_ms: 50, per_worker_ms: 10, valid_ms: 4_000 });
    harness.apply(Change::Configure(changed(2, |queue| {
        queue.pool = NEW.to_owned();
        queue.advice = advice;
    })));
    harness.advance(1, &[OLD_WORKER, NEW_WORKER]);
    assert!(harness.worker_of(task(2, 0, 0)).is_none());
    assert!(harness.questions.iter().any(|question| question.step.job == 2));
    harness.apply(Change::Configure(moved(3)));
    harness.advance(1, &[OLD_WORKER, NEW_WORKER]);
    assert_eq!(harness.worker_of(task(2, 0, 0)).as_deref(), Some(NEW_WORKER));
}

/// Guards against accepted jobs that are not done because their queue was removed, and against jobs that miss its
/// return.
#[test]
fn jobs_of_a_removed_queue_go_on_and_follow_it_when_it_returns() {
    let mut harness = pools(500);
    harness.submit(1, vec![long_running(1)]);
    harness.submit(2, vec![step(1, 500)]);
    harness.run_until_idle();
    let mut removed = configuration(2);
    removed.queues.remove(0);
    // Another queue takes over the name.
    removed.queues[0].name = "quick".to_owned();
    harness.apply(Change::Configure(removed));
    harness.state = copy(&harness.state);
    harness.advance(1, &[OLD_WORKER, NEW_WORKER]);
    let job = harness.state.job(1).unwrap();
    assert_eq!((job.pool.as_str(), job.priority), (OLD, 0));
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some(OLD_WORKER));
    harness.apply(Change::Configure(moved(3)));
    harness.advance(1, &[OLD_WORKER, NEW_WORKER]);
    assert_eq!(harness.worker_of(task(2, 0, 0)).as_deref(), Some(NEW_WORKER));
}

/// Guards against jobs that stay with a queue when another one takes over their part of its paths.
#[test]
fn queue_with_a_longer_prefix_takes_over_the_jobs_below_it() {
    let mut harness = pools(500);
    for id in [1, u64::MAX] {
        harness.submit(id, vec![step(1, 500)]);
    }
    let mut longer = moved(2);
    let queue = Queue { prefix: "/quick/ff".to_owned(), ..longer.queues[0].clone() };
    longer.queues[0].pool = OLD.to_owned();
    longer.queues.push(queue);
    harness.apply(Change::Configure(longer));
    assert_eq!(harness.state.job(1).unwrap().pool, OLD);
    assert_eq!(harness.state.job(u64::MAX).unwrap().pool, NEW);
}

/// Guards against a job that neither starts nor fails: a configuration has left it no attempts.
#[test]
fn job_without_attempts_left_fails_with_the_configuration() {
    let mut state = State::new();
    state.apply(Change::Configure(changed(1, |queue| queue.max_attempts = 3)));
    submit(&mut state, 1);
    submit(&mut state, 2);
    fail(&mut state, 1);
    fail(&mut state, 2);
    assert_eq!(state.job(1).unwrap().phase, Phase::Running);
    let ended = vec![(1, Phase::Failed)];
    let reply = state.apply(Change::Configure(changed(2, |queue| queue.max_attempts = 2)));
    assert_eq!(reply, Reply::Configured { reassigned: 0, ended });
    assert_eq!(state.active().map(|(id, _)| id).collect::<Vec<_>>(), [2]);
}

/// Guards against a job that is shown as failed while its last run may still be done.
#[test]
fn job_without_attempts_left_fails_once_its_run_is_not_placed() {
    let mut state = State::new();
    state.apply(Change::Configure(changed(1, |queue| queue.max_attempts = 3)));
    submit(&mut state, 1);
    fail(&mut state, 1);
    fail(&mut state, 2);
    start(&mut state, 3);
    let fewer = changed(2, |queue| queue.max_attempts = 2);
    assert_eq!(state.apply(Change::Configure(fewer)), Reply::Accepted);
    assert_eq!(state.job(1).unwrap().phase, Phase::Running);
    end(&mut state, 3, EndReason::Stopped);
    assert_eq!(state.job(1).unwrap().phase, Phase::Failed);
}

fn submit(state: &mut State, id: u64) {
    let (host, path) = (HOST.to_owned(), format!("{PATH}{id:016x}"));
    let spec = spec(vec![step(1, 500)]);
    state.apply(Change::Submit { host, path, id, spec, at: Millis(1) });
}

fn start(state: &mut State, number: u32) {
    let run = RunName { task: task(1, 0, 0), number };
    let (worker, agent) = (OLD_WORKER.to_owned(), "agent".to_owned());
    state.apply(Change::Start(vec![Start { run, worker, agent }]));
}

fn end(state: &mut State, number: u32, how: EndReason) {
    let run = RunName { task: task(1, 0, 0), number };
    let ends = vec![End { number: u64::from(number), run, how, checkpoint: String::new() }];
    state.apply(Change::Ended { worker: OLD_WORKER.to_owned(), ends, unstarted: vec![] });
}

fn fail(state: &mut State, number: u32) {
    start(state, number);
    end(state, number, EndReason::Failed);
}

/// Returns the snapshot that an earlier version writes, which lacks the origins.
fn earlier_snapshot(state: &State) -> Vec<u8> {
    rmp_serde::to_vec(state).unwrap()
}

/// Guards against a rolling update that leaves accepted jobs with their former pool: an earlier version has applied
/// the configuration.
#[test]
fn snapshot_of_an_earlier_version_is_assigned_to_the_queues_by_name() {
    let mut harness = pools(500);
    harness.submit(1, vec![step(1, 500)]);
    let mut earlier = State::decode(&earlier_snapshot(&harness.state)).unwrap();
    assert_eq!(earlier.job(1).unwrap().pool, OLD);
    earlier.apply(Change::Configure(moved(2)));
    harness.apply(Change::Configure(moved(2)));
    assert_eq!(earlier.job(1).unwrap().pool, NEW);
    // The earlier version has applied the configuration, but the job kept its pool.
    let bytes = earlier_snapshot(&harness.state);
    let position = position_of_last(&bytes, NEW.as_bytes());
    let stale = [&bytes[..position - 1], &[0xa3], OLD.as_bytes(), &bytes[position + NEW.len()..]];
    let stale = State::decode(&stale.concat()).unwrap();
    assert_eq!(stale.job(1).unwrap().pool, NEW);
}

/// Guards against a job that is assigned to another queue with the name of its own.
#[test]
fn job_of_an_earlier_version_keeps_its_fields_if_several_queues_have_the_name() {
    let mut harness = pools(500);
    harness.submit(1, vec![step(1, 500)]);
    let mut same = moved(2);
    same.queues[1].name = same.queues[0].name.clone();
    harness.apply(Change::Configure(same));
    let mut earlier = State::decode(&earlier_snapshot(&harness.state)).unwrap();
    assert_eq!(earlier.job(1).unwrap().pool, NEW);
    earlier.apply(Change::Configure(configuration(3)));
    assert_eq!(earlier.job(1).unwrap().pool, NEW);
}

fn position_of_last(bytes: &[u8], part: &[u8]) -> usize {
    bytes.windows(part.len()).rposition(|window| window == part).expect("it contains the part")
}

/// Guards against a snapshot that replicas of earlier versions cannot install while a release rolls.
#[test]
fn earlier_version_decodes_a_snapshot_with_origins() {
    let mut harness = pools(500);
    harness.submit(1, vec![step(1, 500)]);
    harness.apply(Change::Configure(moved(2)));
    let bytes = harness.state.encode().unwrap();
    let earlier = earlier_snapshot(&harness.state);
    assert!(bytes.len() > earlier.len() && bytes.starts_with(&earlier));
    // Earlier versions have nine fields, and decode them so.
    assert_eq!(bytes[0], 0x99);
    let decoded: State = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded.job(1).unwrap().pool, NEW);
}
