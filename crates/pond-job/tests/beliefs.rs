//! Beliefs that keep work waiting, one by one: each has a bound, and none is taken for what it is not.

mod support;

use pond_job::{Change, Decision, Start};
use pond_proto::fleet::EndRow;
use pond_proto::job::{How, RunName, Step};
use support::{Bench, SERVING, filling, serving, step, task};

/// What platforms bear, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Time between figures, in milliseconds.
const FIGURES_MS: u64 = 500;

/// Half a second passes at these workers; runs get on, serving ones have this tail.
fn pass(bench: &mut Bench, lives: &[&str], tail_ms: u32, milli_cpu: u32) {
    bench.now = bench.now + FIGURES_MS;
    for life in lives {
        bench.obey(life);
        let vm = bench.vms.get_mut(*life).unwrap();
        vm.clock_ms += FIGURES_MS;
        for (run, row) in &mut vm.runs {
            let serves = run.task.job == SERVING;
            row.percent = if serves { 100 } else { (row.percent + 1).min(99) };
            row.figure = if serves { tail_ms } else { milli_cpu };
        }
        bench.report(life);
    }
    bench.settle();
}

/// A worker that serves, and an image that is known to disturb there.
fn known_as_loud() -> Bench {
    let mut bench = Bench::new().with_vm("a", 32_000);
    bench.submit(SERVING, vec![serving()]);
    bench.settle();
    pass(&mut bench, &["a"], 6, 0);
    bench.submit_batch(2, vec![filling("loud", 1)]);
    bench.settle();
    pass(&mut bench, &["a"], 9, 1_600);
    pass(&mut bench, &["a"], 60, 3_200);
    let run = bench.stopped("a")[0];
    bench.end("a", run, How::Stopped);
    bench.cancel(2);
    pass(&mut bench, &["a"], 6, 0);
    bench
}

fn run(job: u64, index: u32, number: u32) -> RunName {
    RunName { task: task(job, 0, index), number }
}

/// Several ends come with one report.
fn end_all(bench: &mut Bench, life: &str, runs: &[RunName], how: How) {
    let vm = bench.vms.get_mut(life).unwrap();
    for run in runs {
        vm.runs.remove(run);
        let number = vm.ends.len() as u64 + 1;
        vm.ends.push(EndRow { number, run: *run, how: how as i32, save: String::new() });
    }
    bench.report(life);
    bench.settle();
}

fn still_of(bench: &Bench, job: u64) -> Vec<u64> {
    let still = |decision: &Decision| match decision {
        Decision::Forced { run, starved_ms, .. } if run.task.job == job => Some(*starved_ms),
        _ => None,
    };
    bench.decided.iter().filter_map(still).collect()
}

/// Time passes until the task of a job has a place.
fn until_placed(bench: &mut Bench, job: u64) {
    let from = bench.now;
    while bench.place_of(task(job, 0, 0)).is_none() {
        assert!(bench.now.since(from) < 60_000, "no place within a minute");
        pass(bench, &["a"], 6, 0);
    }
}

/// A run that was tried counts as running for as long as it does, also while nothing else waits.
#[test]
fn time_of_a_tried_run_does_not_count_as_standing_still() {
    let mut bench = known_as_loud();
    let first = Step { milli_cpu: 9_600, ..filling("loud", 1) };
    let second = Step { after: vec![0], ..first.clone() };
    bench.submit_batch(9, vec![first, second]);
    until_placed(&mut bench, 9);
    for _ in 0..60 {
        pass(&mut bench, &["a"], 6, 0);
    }
    bench.end("a", run(9, 0, 1), How::Done);
    for _ in 0..8 {
        pass(&mut bench, &["a"], 6, 0);
    }
    let still = still_of(&bench, 9);
    assert_eq!(still.len(), 2, "{still:?}");
    assert!(still[1] <= BOUND_MS, "{still:?}");
}

/// One that failed after a long run is spared its last attempt on a worker that rests.
#[test]
fn job_that_ran_for_long_and_failed_is_not_at_once_desperate() {
    let mut bench = known_as_loud();
    bench.submit(3, vec![Step { estimate_ms: 60_000, ..step(1, 1_000) }]);
    bench.settle();
    bench.submit_batch(9, vec![Step { milli_cpu: 9_600, ..filling("loud", 1) }]);
    until_placed(&mut bench, 9);
    assert_eq!(still_of(&bench, 9).len(), 1);
    for _ in 0..60 {
        pass(&mut bench, &["a"], 6, 0);
    }
    end_all(&mut bench, "a", &[run(3, 0, 1), run(9, 0, 1)], How::Failed);
    assert!(bench.decided.iter().any(|decision| matches!(decision, Decision::Unhealthy { .. })));
    let still = still_of(&bench, 9);
    assert_eq!(bench.place_of(task(9, 0, 0)), None, "tried on a worker that rests: {still:?}");
}

/// Worker `a` came out of a rest and is probed with a run that goes on for long.
fn probed_for_long() -> Bench {
    let mut bench = Bench::new().with_vm("a", 32_000);
    for job in [11, 12] {
        bench.submit(job, vec![step(1, 1_000)]);
    }
    bench.settle();
    pass(&mut bench, &["a"], 0, 0);
    end_all(&mut bench, "a", &[run(11, 0, 1), run(12, 0, 1)], How::Failed);
    bench.cancel(11);
    bench.cancel(12);
    bench.submit(13, vec![Step { estimate_ms: 600_000, ..step(1, 1_000) }]);
    for _ in 0..8 {
        pass(&mut bench, &["a"], 0, 0);
    }
    assert!(bench.place_of(task(13, 0, 0)).is_some());
    bench
}

/// How long a job of one task waits for its place, in milliseconds; a minute at most.
fn waits_ms(bench: &mut Bench, lives: &[&str], job: u64) -> u64 {
    let from = bench.now;
    while bench.now.since(from) < 60_000 && bench.place_of(task(job, 0, 0)).is_none() {
        pass(bench, lives, 0, 0);
    }
    bench.now.since(from)
}

#[test]
fn worker_that_is_probed_for_long_takes_work_within_the_bound() {
    let mut bench = probed_for_long();
    bench.submit(14, vec![step(1, 2_000)]);
    let waited = waits_ms(&mut bench, &["a"], 14);
    assert!(waited <= BOUND_MS, "{waited}");
}

#[test]
fn worker_that_is_probed_for_long_takes_work_also_beside_a_sound_one_without_room() {
    let mut bench = probed_for_long();
    bench.add_vm("b", 4_000);
    bench.submit(20, vec![Step { lasting: true, data_rack: String::new(), ..step(1, 4_000) }]);
    bench.settle();
    // The lasting task may have gone to either; fill b for sure.
    if bench.place_of(task(20, 0, 0)).as_deref() != Some("b") {
        bench.submit(21, vec![Step { lasting: true, ..step(1, 4_000) }]);
        bench.settle();
    }
    let free_b =
        [20, 21].iter().any(|job| bench.place_of(task(*job, 0, 0)).as_deref() == Some("b"));
    assert!(free_b);
    bench.submit(14, vec![step(1, 2_000)]);
    let waited = waits_ms(&mut bench, &["a", "b"], 14);
    assert!(waited <= BOUND_MS, "{waited}");
}

/// Room that is kept for lasting tasks that fit nowhere keeps others away for no longer than platforms bear.
#[test]
fn kept_room_keeps_others_waiting_within_the_bound() {
    let mut bench = Bench::new().with_vm("a", 16_000).with_vm("b", 16_000);
    bench.submit(30, vec![Step { estimate_ms: 600_000, most_per_worker: 1, ..step(2, 7_000) }]);
    bench.settle();
    pass(&mut bench, &["a", "b"], 0, 0);
    bench.submit(31, vec![Step { lasting: true, ..step(2, 9_500) }]);
    bench.submit(32, vec![step(1, 4_000)]);
    let waited = waits_ms(&mut bench, &["a", "b"], 32);
    assert!(waited <= BOUND_MS, "{waited}");
}

/// A run that was stopped before it started since its job was cancelled says nothing of its worker.
#[test]
fn unstarted_runs_of_cancelled_jobs_do_not_make_a_worker_rest() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.submit(2, vec![step(1, 500)]);
    bench.settle();
    bench.cancel(1);
    bench.cancel(2);
    bench.settle();
    let vm = bench.vms.get_mut("a").unwrap();
    vm.unstarted = vec![run(1, 0, 1), run(2, 0, 1)];
    bench.report("a");
    bench.settle();
    let sick = bench.decided.iter().any(|decision| matches!(decision, Decision::Unhealthy { .. }));
    assert!(!sick, "{:?}", bench.decided);
}

/// One proposal stays small, trials counted.
#[test]
fn trials_of_many_jobs_do_not_make_a_proposal_large() {
    let mut bench = known_as_loud();
    let lives: Vec<String> = (0..60).map(|i| format!("w{i:02}")).collect();
    for life in &lives {
        bench.add_vm(life, 32_000);
    }
    let each = Step { tasks: 60, most_per_worker: 1, milli_cpu: 12_000, ..serving() };
    bench.submit(50, vec![each]);
    bench.settle();
    for job in 100..900 {
        bench.submit_batch(
            job,
            vec![Step { milli_cpu: 1_600, memory_mib: 10, ..filling("loud", 1) }],
        );
    }
    let lives: Vec<&str> = lives.iter().map(String::as_str).chain(["a"]).collect();
    let before = bench.proposed.len();
    for _ in 0..10 {
        pass(&mut bench, &lives, 6, 0);
    }
    let starts = |change: &Change| match change {
        Change::Start(starts) => starts.len(),
        _ => 0,
    };
    let most = bench.proposed[before..].iter().map(starts).max().unwrap_or(0);
    assert!(most <= 256, "{most} starts in one proposal");
}

/// A place on a worker that has fallen silent is no proof that something of the job runs: it may be dead
/// long before its lease is surely over.
#[test]
fn job_whose_only_placed_run_is_on_a_silent_worker_stands_still() {
    let mut bench = known_as_loud().with_vm("b", 3_200);
    bench.submit_batch(9, vec![filling("loud", 2)]);
    bench.settle();
    let placed = |bench: &Bench| (0..2).filter_map(|i| bench.place_of(task(9, 0, i))).collect();
    let places: Vec<String> = placed(&bench);
    assert_eq!(places, ["b"]);
    for _ in 0..6 {
        pass(&mut bench, &["a", "b"], 6, 0);
    }
    assert!(still_of(&bench, 9).is_empty(), "tried while its other task runs");
    for _ in 0..8 {
        pass(&mut bench, &["a"], 6, 0);
    }
    let places: Vec<String> = placed(&bench);
    assert_eq!(places.len(), 2, "{places:?}");
    assert!(places.contains(&"b".to_owned()), "the lease of the silent worker is over already");
}

/// Guards against a job that stands still for as long as a worker is down, though it has other tasks to start: an agent
/// goes on telling of the runs of a worker that does not answer it.
#[test]
fn job_whose_only_placed_run_is_on_a_worker_that_does_not_answer_stands_still() {
    let mut bench = known_as_loud().with_vm("b", 3_200);
    bench.submit_batch(9, vec![filling("loud", 2)]);
    bench.settle();
    for _ in 0..6 {
        pass(&mut bench, &["a", "b"], 6, 0);
    }
    assert!(still_of(&bench, 9).is_empty(), "tried while its other task runs");
    let down = bench.now;
    bench.vms.get_mut("b").expect("a worker").answers = false;
    let places =
        |bench: &Bench| (0..2).filter(|i| bench.place_of(task(9, 0, *i)).is_some()).count();
    while places(&bench) < 2 && bench.now.since(down) < 10_000 {
        bench.report("b");
        pass(&mut bench, &["a"], 6, 0);
    }
    assert!(bench.now.since(down) <= BOUND_MS, "it stood still for {} ms", bench.now.since(down));
}

/// Guards against a job that is lost with its worker and then has its patience before it once more: it has stood still
/// since the worker went down.
#[test]
fn job_whose_runs_are_lost_has_stood_still_since_its_worker_went_down() {
    let mut bench = known_as_loud().with_vm("b", 3_200);
    bench.submit_batch(9, vec![filling("loud", 1)]);
    bench.settle();
    for _ in 0..6 {
        pass(&mut bench, &["a", "b"], 6, 0);
    }
    let down = bench.now;
    for _ in 0..4 {
        pass(&mut bench, &["a"], 6, 0);
    }
    bench.add_life("agent-of-b", "b-2", 100);
    while bench.place_of(task(9, 0, 0)).as_deref() != Some("a") && bench.now.since(down) < 10_000 {
        pass(&mut bench, &["a", "b-2"], 6, 0);
    }
    assert!(bench.now.since(down) <= BOUND_MS, "it stood still for {} ms", bench.now.since(down));
}

/// A failure of the task that is tried would say little of the belief and cost its last attempt.
#[test]
fn task_that_has_not_failed_is_tried_before_one_that_has() {
    let mut bench = known_as_loud();
    bench.submit_batch(9, vec![Step { milli_cpu: 9_600, ..filling("loud", 2) }]);
    let first = Start { run: run(9, 0, 1), worker: "a".into(), agent: "agent-of-a".into() };
    bench.apply(Change::Start(vec![first]));
    pass(&mut bench, &["a"], 6, 0);
    end_all(&mut bench, "a", &[run(9, 0, 1)], How::Failed);
    let from = bench.now;
    while still_of(&bench, 9).is_empty() {
        assert!(bench.now.since(from) < 60_000, "no trial within a minute");
        pass(&mut bench, &["a"], 6, 0);
    }
    assert!(bench.place_of(task(9, 0, 1)).is_some());
    assert!(bench.place_of(task(9, 0, 0)).is_none());
}
