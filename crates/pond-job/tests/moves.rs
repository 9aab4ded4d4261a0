//! No task is moved away from serving tasks again and again.
//!
//! A moved run loses its progress except for its checkpoints, and may interfere as much where it
//! starts next: the estimate that allows the start and the measurements that cause the move differ
//! each time. `MOVE_SEEDS=first..end` runs other seeds than those of CI.

mod simulation;
mod support;

use std::collections::BTreeMap;
use std::ops::Range;

use pond_job::Decision;
use pond_proto::Span;
use pond_proto::job::TaskName;
use simulation::Simulation;
use simulation::cases::outcomes;

/// The most moves of a task under one leader.
const MAX_MOVES: usize = 2;

/// Length of a history, in milliseconds.
const DURATION_MS: Span = 40_000;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..60;

/// Runs a seed and returns the tasks that were moved more often.
fn simulate(seed: u64) -> Vec<(u64, TaskName, usize)> {
    let mut simulation = Simulation::new(seed);
    let until = simulation.now + DURATION_MS;
    while simulation.now < until {
        simulation.submit_arrivals();
        simulation.advance();
    }
    let mut moves: BTreeMap<TaskName, usize> = BTreeMap::new();
    for (_, decision) in &simulation.decision_log {
        if let Decision::Moved { run, .. } = decision {
            *moves.entry(run.task).or_default() += 1;
        }
    }
    let over = moves.into_iter().filter(|(_, times)| *times > MAX_MOVES);
    over.map(|(task, times)| (seed, task, times)).collect()
}

/// Guards against a job that makes no progress because its run is moved for interference and
/// started again on the same worker once per second.
#[test]
fn no_task_is_moved_more_than_twice() {
    let failing = outcomes("MOVE_SEEDS", SEEDS, simulate).concat();
    assert!(failing.is_empty(), "tasks moved too often, by seed: {failing:?}");
}
