//! On which worker each task is placed, and in what order.

mod support;

use pond_proto::job::{EndReason, Step, TaskName};
use support::{Harness, SERVING, best_effort, serving, step, task};

#[test]
fn task_goes_only_where_it_fits() {
    let mut harness = Harness::new().with_vm("small", 400).with_vm("large", 1_000);
    harness.submit(1, vec![step(1, 500)]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("large"));
}

#[test]
fn worker_is_never_given_more_than_it_has() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(5, 300)]);
    harness.run_until_idle();
    assert_eq!(harness.started("a").len(), 3);
}

#[test]
fn run_that_is_being_stopped_still_takes_room() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![step(1, 800)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    harness.cancel(1);
    harness.submit(2, vec![step(1, 800)]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(2, 0, 0)), None);
}

#[test]
fn step_waits_for_all_tasks_before_it() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    let second = Step { after: vec![0], ..step(1, 100) };
    harness.submit(1, vec![step(2, 100), second]);
    harness.run_until_idle();
    harness.start_ordered("a");
    let runs = harness.started("a");
    harness.end("a", runs[0], EndReason::Done);
    assert_eq!(harness.worker_of(task(1, 1, 0)), None);
    harness.end("a", runs[1], EndReason::Done);
    assert_eq!(harness.worker_of(task(1, 1, 0)).as_deref(), Some("a"));
}

#[test]
fn task_goes_only_to_a_worker_with_its_label() {
    let mut harness = Harness::new().with_vm("a", 1_000).with_vm("b", 1_000);
    harness.vms.get_mut("b").unwrap().labels = vec!["gold".to_owned()];
    harness.report("b");
    harness.submit(1, vec![Step { required_label: "gold".to_owned(), ..step(1, 100) }]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(1, 0, 0)).as_deref(), Some("b"));
}

#[test]
fn step_limit_per_worker_is_kept() {
    let mut harness = Harness::new().with_vm("a", 1_000).with_vm("b", 1_000);
    harness.submit(1, vec![Step { max_per_worker: 1, ..step(3, 100) }]);
    harness.run_until_idle();
    assert_eq!((harness.started("a").len(), harness.started("b").len()), (1, 1));
}

#[test]
fn gang_starts_completely_or_not_at_all() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.submit(1, vec![Step { gang: true, ..step(3, 400) }]);
    harness.run_until_idle();
    assert!(harness.started("a").is_empty());
    harness.add_vm("b", 1_000);
    harness.run_until_idle();
    assert_eq!(harness.started("a").len() + harness.started("b").len(), 3);
}

#[test]
fn draining_worker_gets_nothing() {
    let mut harness = Harness::new().with_vm("a", 1_000);
    harness.vms.get_mut("a").unwrap().draining = true;
    harness.report("a");
    harness.submit(1, vec![step(1, 100)]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(1, 0, 0)), None);
}

#[test]
fn urgent_work_goes_first() {
    let mut harness = Harness::new();
    harness.submit_batch(1, vec![step(1, 800)]);
    harness.submit(2, vec![step(1, 800)]);
    harness.add_vm("a", 1_000);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(2, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn large_urgent_task_is_not_starved_by_small_ones() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    harness.submit_batch(1, vec![step(40, 500)]);
    harness.run_until_idle();
    harness.submit(2, vec![Step { long_running: true, ..step(1, 3_000) }]);
    harness.run_until_idle();
    for _ in 0..8 {
        harness.start_ordered("a");
        let run = harness.vms["a"].runs.keys().find(|run| run.task.job == 1).copied();
        harness.end("a", run.unwrap(), EndReason::Done);
    }
    assert_eq!(harness.worker_of(task(2, 0, 0)).as_deref(), Some("a"));
}

#[test]
fn worker_with_long_running_runs_is_probed_after_failures() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    harness.submit(1, vec![Step { long_running: true, ..step(1, 500) }]);
    harness.run_until_idle();
    harness.start_ordered("a");
    for job in 2..4 {
        harness.submit(job, vec![step(1, 100)]);
        harness.run_until_idle();
        harness.start_ordered("a");
        let run = harness.vms["a"].runs.keys().find(|run| run.task.job == job).copied();
        harness.end("a", run.unwrap(), EndReason::Failed);
    }
    harness.advance(10, &["a"]);
    harness.start_ordered("a");
    assert_eq!(harness.vms["a"].runs.keys().filter(|run| run.task.job > 1).count(), 1);
}

/// Groups with the same requirements are ranked once per plan, unless something else distinguishes
/// them.
#[test]
fn similar_groups_are_ranked_separately_where_their_own_tasks_decide() {
    let limited = Step { max_per_worker: 1, ..step(2, 100) };
    let gang = |tasks| Step { gang: true, ..step(tasks, 400) };
    let cases: [(&str, [Step; 2], TaskName); 2] = [
        ("each step has its own bound on a worker", [limited.clone(), limited], task(2, 0, 0)),
        ("a smaller gang fits where a larger one does not", [gang(3), gang(2)], task(2, 0, 1)),
    ];
    for (name, [first, second], placed) in cases {
        let mut harness = Harness::new().with_vm("a", 1_000);
        harness.submit(1, vec![first]);
        harness.submit(2, vec![second]);
        harness.run_until_idle();
        assert_eq!(harness.worker_of(placed).as_deref(), Some("a"), "{name}");
    }
}

/// After a restart of everything serving tasks wait until all workers are known, so that they can
/// be packed by image. Best-effort tasks that took the workers meanwhile would be moved within a
/// second.
#[test]
fn best_effort_tasks_wait_until_a_new_leader_has_placed_serving_ones() {
    let mut harness = Harness::new().with_vm("a", 32_000);
    harness.submit(SERVING, vec![serving()]);
    harness.submit_batch(2, vec![best_effort("any", 8)]);
    harness.submit(3, vec![step(1, 1_000)]);
    harness.replace_leader();
    harness.now = harness.now + 250;
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(
        harness.worker_of(task(SERVING, 0, 0)),
        None,
        "it waits until all workers are known"
    );
    assert_eq!(harness.worker_of(task(2, 0, 0)), None, "it must wait for the serving task");
    assert_eq!(harness.worker_of(task(3, 0, 0)).as_deref(), Some("a"), "it does not interfere");
    harness.now = harness.now + 200;
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(SERVING, 0, 0)).as_deref(), Some("a"));
    assert_eq!(harness.worker_of(task(2, 0, 0)).as_deref(), Some("a"));
}
