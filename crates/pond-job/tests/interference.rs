//! Best-effort work that is co-located with serving work: which runs are moved, and which may stay.

mod support;

use pond_job::Decision;
use pond_proto::job::{EndReason, RunName, Step};
use support::{Harness, best_effort, serving, task};

/// Returns a worker with a running serving task of job 1, and best-effort runs of jobs 2 and on.
fn colocated(images: &[&str]) -> Harness {
    let mut harness = Harness::new().with_vm("a", 32_000);
    harness.submit(1, vec![serving()]);
    harness.run_until_idle();
    harness.start_ordered("a");
    report_figures(&mut harness, "a", &[(1, 6)]);
    for (i, image) in images.iter().enumerate() {
        harness.submit_batch(i as u64 + 2, vec![best_effort(image, 1)]);
        harness.run_until_idle();
    }
    harness.start_ordered("a");
    harness
}

/// Advances the time by half a second and reports these figures of the jobs' runs.
fn report_figures(harness: &mut Harness, incarnation: &str, figures: &[(u64, u32)]) {
    harness.now = harness.now + 500;
    let vm = harness.vms.get_mut(incarnation).unwrap();
    vm.clock_ms += 500;
    for (run, row) in &mut vm.runs {
        row.percent = if run.task.job == 1 { 100 } else { 20 };
        let figure = figures.iter().find(|(job, _)| *job == run.task.job);
        row.measurement = figure.map_or(0, |(_, figure)| *figure);
    }
    harness.report(incarnation);
    harness.run_until_idle();
}

/// The run of job 2 speeds up and interferes with that of job 1.
fn interfere(harness: &mut Harness) {
    report_figures(harness, "a", &[(1, 9), (2, 1_600)]);
    report_figures(harness, "a", &[(1, 60), (2, 3_200)]);
}

/// Returns a worker on which the run of job 2 interfered and was stopped, and that run.
fn with_known_interference() -> (Harness, RunName) {
    let mut harness = colocated(&["noisy"]);
    interfere(&mut harness);
    let run = harness.stopped("a")[0];
    harness.end("a", run, EndReason::Stopped);
    (harness, run)
}

fn moved(harness: &Harness) -> Vec<u64> {
    let job = |decision: &Decision| match decision {
        Decision::Moved { run, .. } => Some(run.task.job),
        _ => None,
    };
    harness.decisions.iter().filter_map(job).collect()
}

#[test]
fn interfering_best_effort_run_is_stopped() {
    let mut harness = colocated(&["noisy"]);
    interfere(&mut harness);
    assert_eq!(moved(&harness), [2]);
    let jobs: Vec<u64> = harness.stopped("a").iter().map(|run: &RunName| run.task.job).collect();
    assert_eq!(jobs, [2]);
}

#[test]
fn interfering_best_effort_run_that_is_nearly_done_is_left_to_end() {
    let mut harness = colocated(&["noisy"]);
    report_figures(&mut harness, "a", &[(1, 9), (2, 1_600)]);
    let row = harness.vms.get_mut("a").unwrap().runs.values_mut().find(|row| row.run.task.job == 2);
    row.unwrap().percent = 80;
    harness.now = harness.now + 500;
    let tail =
        harness.vms.get_mut("a").unwrap().runs.values_mut().find(|row| row.run.task.job == 1);
    tail.unwrap().measurement = 60;
    harness.report("a");
    harness.run_until_idle();
    assert!(moved(&harness).is_empty());
}

#[test]
fn best_effort_run_without_interference_stays() {
    let mut harness = colocated(&["quiet"]);
    for tail in [6, 7, 8, 9, 10, 11, 10, 9, 8, 7, 6, 6] {
        report_figures(&mut harness, "a", &[(1, tail), (2, 3_200)]);
    }
    assert!(moved(&harness).is_empty());
}

#[test]
fn interfering_image_is_distinguished_from_a_harmless_one() {
    let mut harness = colocated(&["quiet"]);
    for _ in 0..8 {
        report_figures(&mut harness, "a", &[(1, 6), (2, 3_200)]);
    }
    harness.submit_batch(3, vec![best_effort("noisy", 1)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    report_figures(&mut harness, "a", &[(1, 80), (2, 3_200), (3, 3_200)]);
    assert_eq!(moved(&harness), [3]);
}

#[test]
fn moved_run_is_placed_where_it_does_not_interfere() {
    let mut harness = colocated(&["noisy"]);
    interfere(&mut harness);
    let run = harness.stopped("a")[0];
    harness.add_vm("b", 32_000);
    harness.end("a", run, EndReason::Stopped);
    assert_eq!(harness.worker_of(run.task).as_deref(), Some("b"));
}

#[test]
fn image_with_known_interference_is_not_placed_there_again() {
    let (mut harness, _) = with_known_interference();
    report_figures(&mut harness, "a", &[(1, 6)]);
    harness.submit_batch(9, vec![best_effort("noisy", 1)]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(9, 0, 0)), None);
}

#[test]
fn serving_tasks_are_placed_with_those_of_their_image() {
    let mut harness = Harness::new().with_vm("a", 32_000).with_vm("b", 32_000).with_vm("c", 32_000);
    let of = |image: &str| Step { image: image.to_owned(), ..serving() };
    // Two images that cannot share a worker, because each leaves little room on it.
    harness.submit(1, vec![Step { milli_cpu: 20_000, ..of("till") }]);
    harness.submit(2, vec![Step { milli_cpu: 20_000, ..of("desk") }]);
    harness.advance(1, &["a", "b", "c"]);
    harness.submit(3, vec![of("desk")]);
    harness.submit(4, vec![of("till")]);
    harness.advance(1, &["a", "b", "c"]);
    let worker_of_job = |job| harness.worker_of(task(job, 0, 0));
    assert_eq!((worker_of_job(3), worker_of_job(4)), (worker_of_job(2), worker_of_job(1)));
    assert_ne!(worker_of_job(1), worker_of_job(2));
}

#[test]
fn job_held_back_only_by_estimated_interference_is_force_placed() {
    let (mut harness, _) = with_known_interference();
    report_figures(&mut harness, "a", &[(1, 6)]);
    harness.submit_batch(9, vec![best_effort("noisy", 1)]);
    for _ in 0..3 {
        report_figures(&mut harness, "a", &[(1, 6)]);
    }
    assert_eq!(harness.worker_of(task(9, 0, 0)), None);
    for _ in 0..2 {
        report_figures(&mut harness, "a", &[(1, 6)]);
    }
    let force_placed = [2, 9].map(|job| harness.worker_of(task(job, 0, 0)).is_some());
    assert!(force_placed.contains(&true));
}

/// Returns the jobs of the best-effort runs on the worker, in order.
fn best_effort_jobs(harness: &Harness) -> Vec<u64> {
    harness.state.placed("a").map(|run| run.task.job).filter(|job| *job != 1).collect()
}

#[test]
fn two_tasks_are_force_placed_on_a_worker_until_jobs_have_been_starved_for_too_long() {
    let (mut harness, _) = with_known_interference();
    for job in 9..12 {
        harness.submit_batch(job, vec![Step { tasks: 4, ..best_effort("noisy", 1) }]);
    }
    // Job 2, whose run was moved, waits to be placed like the others.
    for _ in 0..3 {
        report_figures(&mut harness, "a", &[(1, 6)]);
        assert!(best_effort_jobs(&harness).is_empty());
    }
    report_figures(&mut harness, "a", &[(1, 6)]);
    let first = best_effort_jobs(&harness);
    assert_eq!(first.len(), 2);
    assert_ne!(first[0], first[1]);
    for _ in 0..12 {
        report_figures(&mut harness, "a", &[(1, 6)]);
        assert_eq!(best_effort_jobs(&harness), [2, 9, 10, 11]);
    }
}

#[test]
fn force_placed_run_is_not_moved() {
    let (mut harness, run) = with_known_interference();
    for _ in 0..6 {
        report_figures(&mut harness, "a", &[(1, 6)]);
    }
    let before = moved(&harness).len();
    harness.start_ordered("a");
    report_figures(&mut harness, "a", &[(1, 60), (2, 3_200)]);
    assert_eq!(harness.worker_of(run.task).as_deref(), Some("a"));
    assert_eq!(moved(&harness).len(), before);
}

#[test]
fn new_leader_keeps_interference_estimates() {
    let (mut harness, run) = with_known_interference();
    for _ in 0..5 {
        report_figures(&mut harness, "a", &[(1, 6)]);
    }
    harness.cancel(run.task.job);
    harness.replace_leader();
    report_figures(&mut harness, "a", &[(1, 6)]);
    harness.submit_batch(9, vec![best_effort("noisy", 1)]);
    harness.submit_batch(10, vec![best_effort("other", 1)]);
    report_figures(&mut harness, "a", &[(1, 6)]);
    let placed = [9, 10].map(|job| harness.worker_of(task(job, 0, 0)).is_some());
    assert_eq!(placed, [false, true]);
}
