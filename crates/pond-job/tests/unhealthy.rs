//! Workers in backoff or being probed take work where no healthy worker can.

mod support;

use pond_job::{Decision, Permit};
use pond_proto::fleet::EndRow;
use pond_proto::job::{EndReason, RunName, Step};
use support::{Harness, step, task};

/// The accepted limit for a wait, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;

/// Time between reports, in milliseconds.
const REPORT_MS: u64 = 500;

fn run(job: u64, number: u32) -> RunName {
    RunName { task: task(job, 0, 0), number }
}

/// Advances the time at these workers, whose runs make progress. The adviser allows worker `a` and
/// no other.
fn advance(harness: &mut Harness, incarnations: &[&str]) {
    harness.now = harness.now + REPORT_MS;
    for incarnation in incarnations {
        harness.start_ordered(incarnation);
        let vm = harness.vms.get_mut(*incarnation).unwrap();
        vm.clock_ms += REPORT_MS;
        vm.runs.values_mut().for_each(|row| row.percent = (row.percent + 1).min(99));
        harness.report(incarnation);
    }
    harness.run_until_idle();
    for question in std::mem::take(&mut harness.questions) {
        let permits = question.workers.iter().filter(|incarnation| *incarnation == "a");
        let permit =
            |incarnation: &String| Permit { worker: incarnation.clone(), ticket: "t".to_owned() };
        let permits = permits.map(permit).collect();
        harness.leader.advised(harness.now, &question, Some(permits));
    }
    harness.run_until_idle();
}

fn fail(harness: &mut Harness, incarnation: &str, runs: &[RunName]) {
    let vm = harness.vms.get_mut(incarnation).unwrap();
    for run in runs {
        vm.runs.remove(run);
        let number = vm.ends.len() as u64 + 1;
        let how = EndReason::Failed as i32;
        vm.ends.push(EndRow { number, run: *run, how, checkpoint: String::new() });
    }
    harness.report(incarnation);
    harness.run_until_idle();
}

/// Returns a pool with a single worker `a`, which is in backoff because two jobs have failed on it.
fn in_backoff() -> Harness {
    let mut harness = Harness::new().with_vm("a", 32_000);
    for job in [11, 12] {
        harness.submit(job, vec![step(1, 1_000)]);
    }
    harness.run_until_idle();
    advance(&mut harness, &["a"]);
    fail(&mut harness, "a", &[run(11, 1), run(12, 1)]);
    harness.cancel(11);
    harness.cancel(12);
    harness
}

fn waits_ms(harness: &mut Harness, job: u64) -> u64 {
    let incarnations: Vec<String> = harness.vms.keys().cloned().collect();
    let incarnations: Vec<&str> = incarnations.iter().map(String::as_str).collect();
    let from = harness.now;
    while harness.now.since(from) < 60_000 && harness.worker_of(task(job, 0, 0)).is_none() {
        advance(harness, &incarnations);
    }
    harness.now.since(from)
}

#[test]
fn advised_work_is_force_placed_on_a_probed_worker_if_the_adviser_allows_no_other() {
    let mut harness = in_backoff();
    harness.submit(13, vec![Step { estimate_ms: 600_000, ..step(1, 1_000) }]);
    (0..8).for_each(|_| advance(&mut harness, &["a"]));
    assert_eq!(harness.worker_of(task(13, 0, 0)).as_deref(), Some("a"));
    harness.add_vm("b", 32_000);
    harness.submit_advised(14, vec![step(1, 2_000)]);
    let waited_ms = waits_ms(&mut harness, 14);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms}");
}

#[test]
fn work_is_force_placed_on_a_worker_in_backoff_if_the_healthy_ones_have_no_room() {
    let mut harness = in_backoff();
    // Each probe fails, so that the backoff grows to its maximum.
    for job in [21, 22] {
        // Wait until the backoff is over.
        (0..10).for_each(|_| advance(&mut harness, &["a"]));
        harness.submit(job, vec![step(1, 1_000)]);
        let from = harness.now;
        while harness.worker_of(task(job, 0, 0)).is_none() {
            assert!(harness.now.since(from) < 60_000, "not placed within a minute");
            advance(&mut harness, &["a"]);
        }
        advance(&mut harness, &["a"]);
        fail(&mut harness, "a", &[run(job, 1)]);
        harness.cancel(job);
    }
    harness.add_vm("b", 4_000);
    harness.submit(30, vec![Step { long_running: true, ..step(1, 4_000) }]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(30, 0, 0)).as_deref(), Some("b"));
    harness.submit(31, vec![step(1, 2_000)]);
    let waited_ms = waits_ms(&mut harness, 31);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms}");
}

/// Returns how long job 13 waits after it has failed once, in milliseconds. All workers are then in
/// backoff for the second time, since jobs 11 and 12 have failed on each; the first of them may have
/// succeeded before.
fn failed_job_waits_ms(incarnations: &[&str], succeeded: bool) -> u64 {
    let mut harness = Harness::new();
    incarnations.iter().for_each(|incarnation| harness.add_vm(incarnation, 32_000));
    let tasks = 3 * incarnations.len() as u32;
    harness.submit(11, vec![step(1, 1_000), one_each(tasks)]);
    harness.submit(12, vec![one_each(tasks)]);
    harness.run_until_idle();
    advance(&mut harness, incarnations);
    if succeeded {
        let incarnation = harness.worker_of(task(11, 0, 0)).expect("the task is placed");
        harness.end(&incarnation, run(11, 1), EndReason::Done);
    }
    fail_all(&mut harness, incarnations);
    harness.submit(13, vec![step(1, 1_000)]);
    waits_ms(&mut harness, 13);
    fail_all(&mut harness, incarnations);
    waits_ms(&mut harness, 13)
}

/// Lets all runs on these workers begin and fail.
fn fail_all(harness: &mut Harness, incarnations: &[&str]) {
    harness.run_until_idle();
    advance(harness, incarnations);
    for incarnation in incarnations {
        let runs: Vec<RunName> = harness.vms[*incarnation].runs.keys().copied().collect();
        fail(harness, incarnation, &runs);
    }
}

fn one_each(tasks: u32) -> Step {
    Step { max_per_worker: 1, ..step(tasks, 1_000) }
}

/// Guards against a job that has failed once and is starved although twice its room is free, because
/// jobs that fail wherever they run have put all workers into backoff.
#[test]
fn failed_job_is_force_placed_where_faulty_jobs_caused_the_backoffs() {
    let waited_ms = failed_job_waits_ms(&["a", "b"], false);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms}");
}

/// The last attempt of a job is not spent on a worker that may be unhealthy: on the only worker, or
/// after a success elsewhere, the failures of other jobs are no sign that the jobs are faulty.
#[test]
fn failed_job_is_not_force_placed_where_workers_may_have_caused_the_failures() {
    for waited_ms in [failed_job_waits_ms(&["a"], false), failed_job_waits_ms(&["a", "b"], true)] {
        assert!(waited_ms > MAX_WAIT_MS, "{waited_ms}");
    }
}

/// Returns a worker with two jobs of one run each, whose agent reports for this many seconds what
/// was last listed.
fn stalled(answers: bool, seconds: u64) -> Harness {
    let mut harness = Harness::new().with_vm("a", 32_000);
    for job in [11, 12] {
        harness.submit(job, vec![step(1, 1_000)]);
    }
    harness.run_until_idle();
    advance(&mut harness, &["a"]);
    harness.vms.get_mut("a").unwrap().answers = answers;
    for _ in 0..seconds * 1_000 / REPORT_MS {
        harness.now = harness.now + REPORT_MS;
        harness.report("a");
        harness.run_until_idle();
    }
    harness
}

fn has_backoff(harness: &Harness) -> bool {
    harness.decisions.iter().any(|decision| matches!(decision, Decision::Unhealthy { .. }))
}

#[test]
fn worker_that_lists_runs_without_progress_gets_a_backoff() {
    assert!(has_backoff(&stalled(true, 4)));
}

/// A crashed worker is back after about 3 s as another healthy incarnation. Its runs did not stall
/// meanwhile: nothing was known about them.
#[test]
fn worker_that_is_down_briefly_gets_no_backoff() {
    let mut harness = stalled(false, 4);
    assert!(!has_backoff(&harness));
    // Nor does it get a backoff once it answers again, before its runs can show progress.
    harness.vms.get_mut("a").unwrap().answers = true;
    harness.now = harness.now + REPORT_MS;
    harness.report("a");
    assert!(!has_backoff(&harness));
}
