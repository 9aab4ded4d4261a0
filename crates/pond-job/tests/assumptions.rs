//! Assumptions of the leader that hold work back, one test each: every wait that an assumption
//! causes is bounded, and no assumption rests on evidence that does not support it.

mod support;

use pond_job::{Change, Decision, Start};
use pond_proto::fleet::EndRow;
use pond_proto::job::{EndReason, RunName, Step};
use support::{Harness, SERVING, best_effort, serving, step, task};

/// The accepted limit for a wait, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;

/// Time between reports, in milliseconds.
const REPORT_MS: u64 = 500;

/// Advances the time by half a second at these workers. Runs make progress; serving runs report
/// this tail latency, the others this use of processors.
fn advance(harness: &mut Harness, incarnations: &[&str], tail_ms: u32, milli_cpu: u32) {
    harness.now = harness.now + REPORT_MS;
    for incarnation in incarnations {
        harness.start_ordered(incarnation);
        let vm = harness.vms.get_mut(*incarnation).unwrap();
        vm.clock_ms += REPORT_MS;
        for (run, row) in &mut vm.runs {
            let serves = run.task.job == SERVING;
            row.percent = if serves { 100 } else { (row.percent + 1).min(99) };
            row.measurement = if serves { tail_ms } else { milli_cpu };
        }
        harness.report(incarnation);
    }
    harness.run_until_idle();
}

/// Returns a worker with a serving run, and an image that is known to interfere with it.
fn with_known_interference() -> Harness {
    let mut harness = Harness::new().with_vm("a", 32_000);
    harness.submit(SERVING, vec![serving()]);
    harness.run_until_idle();
    advance(&mut harness, &["a"], 6, 0);
    harness.submit_batch(2, vec![best_effort("noisy", 1)]);
    harness.run_until_idle();
    advance(&mut harness, &["a"], 9, 1_600);
    advance(&mut harness, &["a"], 60, 3_200);
    let run = harness.stopped("a")[0];
    harness.end("a", run, EndReason::Stopped);
    harness.cancel(2);
    advance(&mut harness, &["a"], 6, 0);
    harness
}

fn run(job: u64, index: u32, number: u32) -> RunName {
    RunName { task: task(job, 0, index), number }
}

/// Ends several runs in one report.
fn end_all(harness: &mut Harness, incarnation: &str, runs: &[RunName], reason: EndReason) {
    let vm = harness.vms.get_mut(incarnation).unwrap();
    for run in runs {
        vm.runs.remove(run);
        let number = vm.ends.len() as u64 + 1;
        vm.ends.push(EndRow { number, run: *run, how: reason as i32, checkpoint: String::new() });
    }
    harness.report(incarnation);
    harness.run_until_idle();
}

fn starved_ms(harness: &Harness, job: u64) -> Vec<u64> {
    let starved_ms = |decision: &Decision| match decision {
        Decision::Forced { run, starved_ms, .. } if run.task.job == job => Some(*starved_ms),
        _ => None,
    };
    harness.decisions.iter().filter_map(starved_ms).collect()
}

/// Advances the time until the task of a job is placed.
fn advance_until_placed(harness: &mut Harness, job: u64) {
    let from = harness.now;
    while harness.worker_of(task(job, 0, 0)).is_none() {
        assert!(harness.now.since(from) < 60_000, "not placed within a minute");
        advance(harness, &["a"], 6, 0);
    }
}

/// A run that was force-placed counts as running for as long as it does, also while nothing else
/// waits.
#[test]
fn time_of_a_force_placed_run_does_not_count_as_starved() {
    let mut harness = with_known_interference();
    let first = Step { milli_cpu: 9_600, ..best_effort("noisy", 1) };
    let second = Step { after: vec![0], ..first.clone() };
    harness.submit_batch(9, vec![first, second]);
    advance_until_placed(&mut harness, 9);
    for _ in 0..60 {
        advance(&mut harness, &["a"], 6, 0);
    }
    harness.end("a", run(9, 0, 1), EndReason::Done);
    for _ in 0..8 {
        advance(&mut harness, &["a"], 6, 0);
    }
    let starved_ms = starved_ms(&harness, 9);
    assert_eq!(starved_ms.len(), 2, "{starved_ms:?}");
    assert!(starved_ms[1] <= MAX_WAIT_MS, "{starved_ms:?}");
}

/// A job that failed after a long run must not spend its last attempt on a worker in backoff.
#[test]
fn job_that_failed_after_a_long_run_is_not_immediately_force_placed() {
    let mut harness = with_known_interference();
    harness.submit(3, vec![Step { estimate_ms: 60_000, ..step(1, 1_000) }]);
    harness.run_until_idle();
    harness.submit_batch(9, vec![Step { milli_cpu: 9_600, ..best_effort("noisy", 1) }]);
    advance_until_placed(&mut harness, 9);
    assert_eq!(starved_ms(&harness, 9).len(), 1);
    for _ in 0..60 {
        advance(&mut harness, &["a"], 6, 0);
    }
    end_all(&mut harness, "a", &[run(3, 0, 1), run(9, 0, 1)], EndReason::Failed);
    assert!(
        harness.decisions.iter().any(|decision| matches!(decision, Decision::Unhealthy { .. }))
    );
    let starved_ms = starved_ms(&harness, 9);
    assert_eq!(
        harness.worker_of(task(9, 0, 0)),
        None,
        "force-placed on a worker in backoff: {starved_ms:?}"
    );
}

/// Returns a worker `a` that has left backoff and is probed with a long run.
fn probed_for_long() -> Harness {
    let mut harness = Harness::new().with_vm("a", 32_000);
    for job in [11, 12] {
        harness.submit(job, vec![step(1, 1_000)]);
    }
    harness.run_until_idle();
    advance(&mut harness, &["a"], 0, 0);
    end_all(&mut harness, "a", &[run(11, 0, 1), run(12, 0, 1)], EndReason::Failed);
    harness.cancel(11);
    harness.cancel(12);
    harness.submit(13, vec![Step { estimate_ms: 600_000, ..step(1, 1_000) }]);
    for _ in 0..8 {
        advance(&mut harness, &["a"], 0, 0);
    }
    assert!(harness.worker_of(task(13, 0, 0)).is_some());
    harness
}

/// Returns how long a job of one task waits to be placed, in milliseconds; a minute at most.
fn waits_ms(harness: &mut Harness, incarnations: &[&str], job: u64) -> u64 {
    let from = harness.now;
    while harness.now.since(from) < 60_000 && harness.worker_of(task(job, 0, 0)).is_none() {
        advance(harness, incarnations, 0, 0);
    }
    harness.now.since(from)
}

#[test]
fn worker_that_is_probed_for_long_takes_work_within_the_bound() {
    let mut harness = probed_for_long();
    harness.submit(14, vec![step(1, 2_000)]);
    let waited_ms = waits_ms(&mut harness, &["a"], 14);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms}");
}

#[test]
fn worker_that_is_probed_for_long_takes_work_although_a_full_healthy_one_exists() {
    let mut harness = probed_for_long();
    harness.add_vm("b", 4_000);
    harness
        .submit(20, vec![Step { long_running: true, data_rack: String::new(), ..step(1, 4_000) }]);
    harness.run_until_idle();
    // The long-running task may have gone to either worker; make sure that `b` is full.
    if harness.worker_of(task(20, 0, 0)).as_deref() != Some("b") {
        harness.submit(21, vec![Step { long_running: true, ..step(1, 4_000) }]);
        harness.run_until_idle();
    }
    let b_is_full =
        [20, 21].iter().any(|job| harness.worker_of(task(*job, 0, 0)).as_deref() == Some("b"));
    assert!(b_is_full);
    harness.submit(14, vec![step(1, 2_000)]);
    let waited_ms = waits_ms(&mut harness, &["a", "b"], 14);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms}");
}

/// Room that is reserved for long-running tasks that fit nowhere must not hold others back for
/// longer than the accepted limit.
#[test]
fn reserved_room_holds_others_back_within_the_bound() {
    let mut harness = Harness::new().with_vm("a", 16_000).with_vm("b", 16_000);
    harness.submit(30, vec![Step { estimate_ms: 600_000, max_per_worker: 1, ..step(2, 7_000) }]);
    harness.run_until_idle();
    advance(&mut harness, &["a", "b"], 0, 0);
    harness.submit(31, vec![Step { long_running: true, ..step(2, 9_500) }]);
    harness.submit(32, vec![step(1, 4_000)]);
    let waited_ms = waits_ms(&mut harness, &["a", "b"], 32);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms}");
}

/// A run that was stopped before it started, because its job was cancelled, shows nothing about its
/// worker.
#[test]
fn unstarted_runs_of_cancelled_jobs_cause_no_backoff() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.submit(2, vec![step(1, 500)]);
    harness.run_until_idle();
    harness.cancel(1);
    harness.cancel(2);
    harness.run_until_idle();
    let vm = harness.vms.get_mut("a").unwrap();
    vm.unstarted = vec![run(1, 0, 1), run(2, 0, 1)];
    harness.report("a");
    harness.run_until_idle();
    let unhealthy =
        harness.decisions.iter().any(|decision| matches!(decision, Decision::Unhealthy { .. }));
    assert!(!unhealthy, "{:?}", harness.decisions);
}

/// A proposal stays small, including forced placements.
#[test]
fn forced_placements_of_many_jobs_do_not_make_a_proposal_large() {
    let mut harness = with_known_interference();
    let incarnations: Vec<String> = (0..60).map(|i| format!("w{i:02}")).collect();
    for incarnation in &incarnations {
        harness.add_vm(incarnation, 32_000);
    }
    let each = Step { tasks: 60, max_per_worker: 1, milli_cpu: 12_000, ..serving() };
    harness.submit(50, vec![each]);
    harness.run_until_idle();
    for job in 100..900 {
        harness.submit_batch(
            job,
            vec![Step { milli_cpu: 1_600, memory_mib: 10, ..best_effort("noisy", 1) }],
        );
    }
    let incarnations: Vec<&str> = incarnations.iter().map(String::as_str).chain(["a"]).collect();
    let before = harness.proposals.len();
    for _ in 0..10 {
        advance(&mut harness, &incarnations, 6, 0);
    }
    let starts = |change: &Change| match change {
        Change::Start(starts) => starts.len(),
        _ => 0,
    };
    let most = harness.proposals[before..].iter().map(starts).max().unwrap_or(0);
    assert!(most <= 256, "{most} starts in one proposal");
}

/// A placement on a silent worker does not show that something of the job runs: the worker may be
/// dead long before its lease has certainly expired.
#[test]
fn job_whose_only_placed_run_is_on_a_silent_worker_counts_as_starved() {
    let mut harness = with_known_interference().with_vm("b", 3_200);
    harness.submit_batch(9, vec![best_effort("noisy", 2)]);
    harness.run_until_idle();
    let placed =
        |harness: &Harness| (0..2).filter_map(|i| harness.worker_of(task(9, 0, i))).collect();
    let places: Vec<String> = placed(&harness);
    assert_eq!(places, ["b"]);
    for _ in 0..6 {
        advance(&mut harness, &["a", "b"], 6, 0);
    }
    assert!(starved_ms(&harness, 9).is_empty(), "force-placed while its other task runs");
    for _ in 0..8 {
        advance(&mut harness, &["a"], 6, 0);
    }
    let places: Vec<String> = placed(&harness);
    assert_eq!(places.len(), 2, "{places:?}");
    assert!(places.contains(&"b".to_owned()), "the lease of the silent worker has already expired");
}

/// Guards against a job that is starved for as long as a worker is down although it has other tasks
/// to start: an agent keeps reporting the runs of a worker that does not answer it.
#[test]
fn job_whose_only_placed_run_is_on_an_unresponsive_worker_counts_as_starved() {
    let mut harness = with_known_interference().with_vm("b", 3_200);
    harness.submit_batch(9, vec![best_effort("noisy", 2)]);
    harness.run_until_idle();
    for _ in 0..6 {
        advance(&mut harness, &["a", "b"], 6, 0);
    }
    assert!(starved_ms(&harness, 9).is_empty(), "force-placed while its other task runs");
    let down = harness.now;
    harness.vms.get_mut("b").expect("the worker exists").answers = false;
    let places =
        |harness: &Harness| (0..2).filter(|i| harness.worker_of(task(9, 0, *i)).is_some()).count();
    while places(&harness) < 2 && harness.now.since(down) < 10_000 {
        harness.report("b");
        advance(&mut harness, &["a"], 6, 0);
    }
    assert!(
        harness.now.since(down) <= MAX_WAIT_MS,
        "the job was starved for {} ms",
        harness.now.since(down)
    );
}

/// Guards against a job that is lost with its worker and then waits for the full maximum wait
/// again: it has been starved since the worker crashed.
#[test]
fn job_whose_runs_are_lost_counts_as_starved_since_its_worker_crashed() {
    let mut harness = with_known_interference().with_vm("b", 3_200);
    harness.submit_batch(9, vec![best_effort("noisy", 1)]);
    harness.run_until_idle();
    for _ in 0..6 {
        advance(&mut harness, &["a", "b"], 6, 0);
    }
    let down = harness.now;
    for _ in 0..4 {
        advance(&mut harness, &["a"], 6, 0);
    }
    harness.add_incarnation("agent-of-b", "b-2", 100);
    while harness.worker_of(task(9, 0, 0)).as_deref() != Some("a")
        && harness.now.since(down) < 10_000
    {
        advance(&mut harness, &["a", "b-2"], 6, 0);
    }
    assert!(
        harness.now.since(down) <= MAX_WAIT_MS,
        "the job was starved for {} ms",
        harness.now.since(down)
    );
}

/// A failure of the force-placed task would show little about the interference estimate and could
/// cost the task its last attempt.
#[test]
fn task_that_has_not_failed_is_force_placed_before_one_that_has() {
    let mut harness = with_known_interference();
    harness.submit_batch(9, vec![Step { milli_cpu: 9_600, ..best_effort("noisy", 2) }]);
    let first = Start { run: run(9, 0, 1), worker: "a".into(), agent: "agent-of-a".into() };
    harness.apply(Change::Start(vec![first]));
    advance(&mut harness, &["a"], 6, 0);
    end_all(&mut harness, "a", &[run(9, 0, 1)], EndReason::Failed);
    let from = harness.now;
    while starved_ms(&harness, 9).is_empty() {
        assert!(harness.now.since(from) < 60_000, "no forced placement within a minute");
        advance(&mut harness, &["a"], 6, 0);
    }
    assert!(harness.worker_of(task(9, 0, 1)).is_some());
    assert!(harness.worker_of(task(9, 0, 0)).is_none());
}
