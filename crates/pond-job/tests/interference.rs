//! Filling work beside serving work: who is moved, who may stay.

mod support;

use pond_job::Decision;
use pond_proto::job::{How, RunName, Step};
use support::{Bench, filling, serving, task};

/// A worker with a serving run of job 1 at work, and filling runs of jobs 2 and on.
fn beside(images: &[&str]) -> Bench {
    let mut bench = Bench::new().with_vm("a", 32_000);
    bench.submit(1, vec![serving()]);
    bench.settle();
    bench.obey("a");
    show(&mut bench, "a", &[(1, 6)]);
    for (i, image) in images.iter().enumerate() {
        bench.submit_batch(i as u64 + 2, vec![filling(image, 1)]);
        bench.settle();
    }
    bench.obey("a");
    bench
}

/// Half a second passes, and a worker reports these figures of the runs of jobs.
fn show(bench: &mut Bench, life: &str, figures: &[(u64, u32)]) {
    bench.now = bench.now + 500;
    let vm = bench.vms.get_mut(life).unwrap();
    vm.clock_ms += 500;
    for (run, row) in &mut vm.runs {
        row.percent = if run.task.job == 1 { 100 } else { 20 };
        let figure = figures.iter().find(|(job, _)| *job == run.task.job);
        row.figure = figure.map_or(0, |(_, figure)| *figure);
    }
    bench.report(life);
    bench.settle();
}

/// The run of job 2 gets going and disturbs that of job 1.
fn disturb(bench: &mut Bench) {
    show(bench, "a", &[(1, 9), (2, 1_600)]);
    show(bench, "a", &[(1, 60), (2, 3_200)]);
}

/// A worker on which the run of job 2 has disturbed and was stopped; that run.
fn known_as_loud() -> (Bench, RunName) {
    let mut bench = beside(&["loud"]);
    disturb(&mut bench);
    let run = bench.stopped("a")[0];
    bench.end("a", run, How::Stopped);
    (bench, run)
}

fn moved(bench: &Bench) -> Vec<u64> {
    let job = |decision: &Decision| match decision {
        Decision::Moved { run, .. } => Some(run.task.job),
        _ => None,
    };
    bench.decided.iter().filter_map(job).collect()
}

#[test]
fn interfering_best_effort_run_is_stopped() {
    let mut bench = beside(&["loud"]);
    disturb(&mut bench);
    assert_eq!(moved(&bench), [2]);
    let jobs: Vec<u64> = bench.stopped("a").iter().map(|run: &RunName| run.task.job).collect();
    assert_eq!(jobs, [2]);
}

#[test]
fn filling_run_that_is_soon_done_is_left_to_end() {
    let mut bench = beside(&["loud"]);
    show(&mut bench, "a", &[(1, 9), (2, 1_600)]);
    let row = bench.vms.get_mut("a").unwrap().runs.values_mut().find(|row| row.run.task.job == 2);
    row.unwrap().percent = 80;
    bench.now = bench.now + 500;
    let tail = bench.vms.get_mut("a").unwrap().runs.values_mut().find(|row| row.run.task.job == 1);
    tail.unwrap().figure = 60;
    bench.report("a");
    bench.settle();
    assert!(moved(&bench).is_empty());
}

#[test]
fn filling_run_that_disturbs_nobody_stays() {
    let mut bench = beside(&["still"]);
    for tail in [6, 7, 8, 9, 10, 11, 10, 9, 8, 7, 6, 6] {
        show(&mut bench, "a", &[(1, tail), (2, 3_200)]);
    }
    assert!(moved(&bench).is_empty());
}

#[test]
fn guilty_image_is_told_from_a_harmless_one() {
    let mut bench = beside(&["still"]);
    for _ in 0..8 {
        show(&mut bench, "a", &[(1, 6), (2, 3_200)]);
    }
    bench.submit_batch(3, vec![filling("loud", 1)]);
    bench.settle();
    bench.obey("a");
    show(&mut bench, "a", &[(1, 80), (2, 3_200), (3, 3_200)]);
    assert_eq!(moved(&bench), [3]);
}

#[test]
fn run_that_was_moved_goes_where_it_disturbs_nobody() {
    let mut bench = beside(&["loud"]);
    disturb(&mut bench);
    let run = bench.stopped("a")[0];
    bench.add_vm("b", 32_000);
    bench.end("a", run, How::Stopped);
    assert_eq!(bench.place_of(run.task).as_deref(), Some("b"));
}

#[test]
fn image_known_to_disturb_is_not_placed_there_again() {
    let (mut bench, _) = known_as_loud();
    show(&mut bench, "a", &[(1, 6)]);
    bench.submit_batch(9, vec![filling("loud", 1)]);
    bench.settle();
    assert_eq!(bench.place_of(task(9, 0, 0)), None);
}

#[test]
fn serving_tasks_stand_with_those_of_their_image() {
    let mut bench = Bench::new().with_vm("a", 32_000).with_vm("b", 32_000).with_vm("c", 32_000);
    let of = |image: &str| Step { image: image.to_owned(), ..serving() };
    // Two images that cannot share a worker, as each leaves little of it.
    bench.submit(1, vec![Step { milli_cpu: 20_000, ..of("till") }]);
    bench.submit(2, vec![Step { milli_cpu: 20_000, ..of("desk") }]);
    bench.pass(1, &["a", "b", "c"]);
    bench.submit(3, vec![of("desk")]);
    bench.submit(4, vec![of("till")]);
    bench.pass(1, &["a", "b", "c"]);
    let place = |job| bench.place_of(task(job, 0, 0));
    assert_eq!((place(3), place(4)), (place(2), place(1)));
    assert_ne!(place(1), place(2));
}

#[test]
fn job_held_back_only_by_estimated_interference_is_force_placed() {
    let (mut bench, _) = known_as_loud();
    show(&mut bench, "a", &[(1, 6)]);
    bench.submit_batch(9, vec![filling("loud", 1)]);
    for _ in 0..3 {
        show(&mut bench, "a", &[(1, 6)]);
    }
    assert_eq!(bench.place_of(task(9, 0, 0)), None);
    for _ in 0..2 {
        show(&mut bench, "a", &[(1, 6)]);
    }
    let tried = [2, 9].map(|job| bench.place_of(task(job, 0, 0)).is_some());
    assert!(tried.contains(&true));
}

/// The jobs of the filling runs on the worker, in order.
fn filling_jobs(bench: &Bench) -> Vec<u64> {
    bench.state.placed("a").map(|run| run.task.job).filter(|job| *job != 1).collect()
}

#[test]
fn two_tasks_are_tried_on_a_worker_until_jobs_have_stood_still_for_too_long() {
    let (mut bench, _) = known_as_loud();
    for job in 9..12 {
        bench.submit_batch(job, vec![Step { tasks: 4, ..filling("loud", 1) }]);
    }
    // Job 2, whose run was moved, waits for a place as the others do.
    for _ in 0..3 {
        show(&mut bench, "a", &[(1, 6)]);
        assert!(filling_jobs(&bench).is_empty());
    }
    show(&mut bench, "a", &[(1, 6)]);
    let first = filling_jobs(&bench);
    assert_eq!(first.len(), 2);
    assert_ne!(first[0], first[1]);
    for _ in 0..12 {
        show(&mut bench, "a", &[(1, 6)]);
        assert_eq!(filling_jobs(&bench), [2, 9, 10, 11]);
    }
}

#[test]
fn force_placed_run_is_not_moved() {
    let (mut bench, run) = known_as_loud();
    for _ in 0..6 {
        show(&mut bench, "a", &[(1, 6)]);
    }
    let before = moved(&bench).len();
    bench.obey("a");
    show(&mut bench, "a", &[(1, 60), (2, 3_200)]);
    assert_eq!(bench.place_of(run.task).as_deref(), Some("a"));
    assert_eq!(moved(&bench).len(), before);
}

#[test]
fn new_leader_keeps_interference_estimates() {
    let (mut bench, run) = known_as_loud();
    for _ in 0..5 {
        show(&mut bench, "a", &[(1, 6)]);
    }
    bench.cancel(run.task.job);
    bench.replace_leader();
    show(&mut bench, "a", &[(1, 6)]);
    bench.submit_batch(9, vec![filling("loud", 1)]);
    bench.submit_batch(10, vec![filling("other", 1)]);
    show(&mut bench, "a", &[(1, 6)]);
    let placed = [9, 10].map(|job| bench.place_of(task(job, 0, 0)).is_some());
    assert_eq!(placed, [false, true]);
}
