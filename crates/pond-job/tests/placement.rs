//! Which worker gets which task, and in what order.

mod support;

use pond_proto::job::{How, Step, TaskName};
use support::{Bench, SERVING, filling, serving, step, task};

#[test]
fn task_goes_only_where_it_fits() {
    let mut bench = Bench::new().with_vm("small", 400).with_vm("large", 1_000);
    bench.submit(1, vec![step(1, 500)]);
    bench.settle();
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("large"));
}

#[test]
fn worker_is_never_given_more_than_it_has() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(5, 300)]);
    bench.settle();
    assert_eq!(bench.started("a").len(), 3);
}

#[test]
fn run_that_is_being_stopped_still_takes_room() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![step(1, 800)]);
    bench.settle();
    bench.obey("a");
    bench.cancel(1);
    bench.submit(2, vec![step(1, 800)]);
    bench.settle();
    assert_eq!(bench.place_of(task(2, 0, 0)), None);
}

#[test]
fn step_waits_for_all_tasks_before_it() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    let second = Step { after: vec![0], ..step(1, 100) };
    bench.submit(1, vec![step(2, 100), second]);
    bench.settle();
    bench.obey("a");
    let runs = bench.started("a");
    bench.end("a", runs[0], How::Done);
    assert_eq!(bench.place_of(task(1, 1, 0)), None);
    bench.end("a", runs[1], How::Done);
    assert_eq!(bench.place_of(task(1, 1, 0)).as_deref(), Some("a"));
}

#[test]
fn label_decides() {
    let mut bench = Bench::new().with_vm("a", 1_000).with_vm("b", 1_000);
    bench.vms.get_mut("b").unwrap().labels = vec!["gold".to_owned()];
    bench.report("b");
    bench.submit(1, vec![Step { required_label: "gold".to_owned(), ..step(1, 100) }]);
    bench.settle();
    assert_eq!(bench.place_of(task(1, 0, 0)).as_deref(), Some("b"));
}

#[test]
fn tasks_that_must_stand_apart_do() {
    let mut bench = Bench::new().with_vm("a", 1_000).with_vm("b", 1_000);
    bench.submit(1, vec![Step { most_per_worker: 1, ..step(3, 100) }]);
    bench.settle();
    assert_eq!((bench.started("a").len(), bench.started("b").len()), (1, 1));
}

#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.submit(1, vec![Step { gang: true, ..step(3, 400) }]);
    bench.settle();
    assert!(bench.started("a").is_empty());
    bench.add_vm("b", 1_000);
    bench.settle();
    assert_eq!(bench.started("a").len() + bench.started("b").len(), 3);
}

#[test]
fn draining_worker_gets_nothing() {
    let mut bench = Bench::new().with_vm("a", 1_000);
    bench.vms.get_mut("a").unwrap().draining = true;
    bench.report("a");
    bench.submit(1, vec![step(1, 100)]);
    bench.settle();
    assert_eq!(bench.place_of(task(1, 0, 0)), None);
}

#[test]
fn urgent_work_goes_first() {
    let mut bench = Bench::new();
    bench.submit_batch(1, vec![step(1, 800)]);
    bench.submit(2, vec![step(1, 800)]);
    bench.add_vm("a", 1_000);
    bench.settle();
    assert_eq!(bench.place_of(task(2, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn large_urgent_task_is_not_starved_by_small_ones() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    bench.submit_batch(1, vec![step(40, 500)]);
    bench.settle();
    bench.submit(2, vec![Step { lasting: true, ..step(1, 3_000) }]);
    bench.settle();
    for _ in 0..8 {
        bench.obey("a");
        let run = bench.vms["a"].runs.keys().find(|run| run.task.job == 1).copied();
        bench.end("a", run.unwrap(), How::Done);
    }
    assert_eq!(bench.place_of(task(2, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn worker_with_lasting_runs_is_probed_after_failures() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    bench.submit(1, vec![Step { lasting: true, ..step(1, 500) }]);
    bench.settle();
    bench.obey("a");
    for job in 2..4 {
        bench.submit(job, vec![step(1, 100)]);
        bench.settle();
        bench.obey("a");
        let run = bench.vms["a"].runs.keys().find(|run| run.task.job == job).copied();
        bench.end("a", run.unwrap(), How::Failed);
    }
    bench.pass(10, &["a"]);
    bench.obey("a");
    assert_eq!(bench.vms["a"].runs.keys().filter(|run| run.task.job > 1).count(), 1);
}

/// Groups that ask for the same are weighed once in a plan, unless more than that decides.
#[test]
fn groups_that_look_alike_are_told_apart_where_their_own_tasks_decide() {
    let apart = Step { most_per_worker: 1, ..step(2, 100) };
    let gang = |tasks| Step { gang: true, ..step(tasks, 400) };
    let cases: [(&str, [Step; 2], TaskName); 2] = [
        ("each step has its own bound on a worker", [apart.clone(), apart], task(2, 0, 0)),
        ("a smaller gang fits where a larger one does not", [gang(3), gang(2)], task(2, 0, 1)),
    ];
    for (name, [first, second], placed) in cases {
        let mut bench = Bench::new().with_vm("a", 1_000);
        bench.submit(1, vec![first]);
        bench.submit(2, vec![second]);
        bench.settle();
        assert_eq!(bench.place_of(placed).as_deref(), Some("a"), "{name}");
    }
}

/// After a restart of everything serving tasks wait until all workers are known, to be packed image by
/// image. Filling tasks that took the workers meanwhile would be moved within a second.
#[test]
fn best_effort_tasks_wait_until_a_new_leader_has_placed_serving_ones() {
    let mut bench = Bench::new().with_vm("a", 32_000);
    bench.submit(SERVING, vec![serving()]);
    bench.submit_batch(2, vec![filling("any", 8)]);
    bench.submit(3, vec![step(1, 1_000)]);
    bench.replace_leader();
    bench.now = bench.now + 250;
    bench.report("a");
    bench.settle();
    assert_eq!(bench.place_of(task(SERVING, 0, 0)), None, "it is gathered");
    assert_eq!(bench.place_of(task(2, 0, 0)), None, "it goes before the serving task");
    assert_eq!(bench.place_of(task(3, 0, 0)).as_deref(), Some("a"), "it disturbs nobody");
    bench.now = bench.now + 200;
    bench.report("a");
    bench.settle();
    assert_eq!(bench.place_of(task(SERVING, 0, 0)).as_deref(), Some("a"));
    assert_eq!(bench.place_of(task(2, 0, 0)).as_deref(), Some("a"));
}
