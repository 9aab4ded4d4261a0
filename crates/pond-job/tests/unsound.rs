//! Workers that rest or are being probed take work where no sound one can.

mod support;

use pond_job::{Decision, Permit};
use pond_proto::fleet::EndRow;
use pond_proto::job::{How, RunName, Step};
use support::{Bench, step, task};

/// What platforms bear, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Time between reports, in milliseconds.
const REPORT_MS: u64 = 500;

fn run(job: u64, number: u32) -> RunName {
    RunName { task: task(job, 0, 0), number }
}

/// Time passes at these workers, and their runs get on; the adviser allows worker `a` and no other.
fn pass(bench: &mut Bench, lives: &[&str]) {
    bench.now = bench.now + REPORT_MS;
    for life in lives {
        bench.obey(life);
        let vm = bench.vms.get_mut(*life).unwrap();
        vm.clock_ms += REPORT_MS;
        vm.runs.values_mut().for_each(|row| row.percent = (row.percent + 1).min(99));
        bench.report(life);
    }
    bench.settle();
    for question in std::mem::take(&mut bench.asked) {
        let permits = question.workers.iter().filter(|life| *life == "a");
        let permit = |life: &String| Permit { worker: life.clone(), ticket: "t".to_owned() };
        let permits = permits.map(permit).collect();
        bench.leader.advised(bench.now, &question, Some(permits));
    }
    bench.settle();
}

fn fail(bench: &mut Bench, life: &str, runs: &[RunName]) {
    let vm = bench.vms.get_mut(life).unwrap();
    for run in runs {
        vm.runs.remove(run);
        let number = vm.ends.len() as u64 + 1;
        let how = How::Failed as i32;
        vm.ends.push(EndRow { number, run: *run, how, save: String::new() });
    }
    bench.report(life);
    bench.settle();
}

/// Two jobs have failed on worker `a`, the only one, so that it rests.
fn resting() -> Bench {
    let mut bench = Bench::new().with_vm("a", 32_000);
    for job in [11, 12] {
        bench.submit(job, vec![step(1, 1_000)]);
    }
    bench.settle();
    pass(&mut bench, &["a"]);
    fail(&mut bench, "a", &[run(11, 1), run(12, 1)]);
    bench.cancel(11);
    bench.cancel(12);
    bench
}

fn waits_ms(bench: &mut Bench, job: u64) -> u64 {
    let from = bench.now;
    while bench.now.since(from) < 60_000 && bench.place_of(task(job, 0, 0)).is_none() {
        pass(bench, &["a", "b"]);
    }
    bench.now.since(from)
}

#[test]
fn advised_work_is_tried_on_a_probed_worker_if_the_adviser_allows_no_other() {
    let mut bench = resting();
    bench.submit(13, vec![Step { estimate_ms: 600_000, ..step(1, 1_000) }]);
    (0..8).for_each(|_| pass(&mut bench, &["a"]));
    assert_eq!(bench.place_of(task(13, 0, 0)).as_deref(), Some("a"));
    bench.add_vm("b", 32_000);
    bench.submit_advised(14, vec![step(1, 2_000)]);
    let waited = waits_ms(&mut bench, 14);
    assert!(waited <= BOUND_MS, "{waited}");
}

#[test]
fn work_is_tried_on_a_resting_worker_if_the_sound_ones_have_no_room() {
    let mut bench = resting();
    // Each probe fails, so that the rests grow to the longest.
    for job in [21, 22] {
        // The rest is over.
        (0..10).for_each(|_| pass(&mut bench, &["a"]));
        bench.submit(job, vec![step(1, 1_000)]);
        let from = bench.now;
        while bench.place_of(task(job, 0, 0)).is_none() {
            assert!(bench.now.since(from) < 60_000, "no place within a minute");
            pass(&mut bench, &["a"]);
        }
        pass(&mut bench, &["a"]);
        fail(&mut bench, "a", &[run(job, 1)]);
        bench.cancel(job);
    }
    bench.add_vm("b", 4_000);
    bench.submit(30, vec![Step { lasting: true, ..step(1, 4_000) }]);
    bench.settle();
    assert_eq!(bench.place_of(task(30, 0, 0)).as_deref(), Some("b"));
    bench.submit(31, vec![step(1, 2_000)]);
    let waited = waits_ms(&mut bench, 31);
    assert!(waited <= BOUND_MS, "{waited}");
}

/// Two jobs with a run each on a worker whose agent reports for so many seconds what was last listed.
fn standing_still(answers: bool, seconds: u64) -> Bench {
    let mut bench = Bench::new().with_vm("a", 32_000);
    for job in [11, 12] {
        bench.submit(job, vec![step(1, 1_000)]);
    }
    bench.settle();
    pass(&mut bench, &["a"]);
    bench.vms.get_mut("a").unwrap().answers = answers;
    for _ in 0..seconds * 1_000 / REPORT_MS {
        bench.now = bench.now + REPORT_MS;
        bench.report("a");
        bench.settle();
    }
    bench
}

fn rests(bench: &Bench) -> bool {
    bench.decided.iter().any(|there| matches!(there, Decision::Unhealthy { .. }))
}

#[test]
fn worker_that_lists_runs_without_progress_rests() {
    assert!(rests(&standing_still(true, 4)));
}

/// A worker that went down is back after some three seconds as another life, and well. What it ran has not
/// stood still meanwhile: nothing was known of it.
#[test]
fn worker_that_is_down_for_a_while_does_not_rest() {
    let mut bench = standing_still(false, 4);
    assert!(!rests(&bench));
    // Nor does it once it answers again, before its runs can show progress.
    bench.vms.get_mut("a").unwrap().answers = true;
    bench.now = bench.now + REPORT_MS;
    bench.report("a");
    assert!(!rests(&bench));
}
