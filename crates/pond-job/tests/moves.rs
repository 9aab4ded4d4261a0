//! No task is moved away from serving ones again and again.
//!
//! A run that is moved is lost but for its saves, and where it begins next it may disturb as much: the guess that lets it
//! start and the figures that move it differ each time. `MOVE_SEEDS=first..end` runs other seeds than those of CI.

mod simulation;
mod support;

use std::collections::BTreeMap;
use std::ops::Range;

use pond_job::Decision;
use pond_proto::Span;
use pond_proto::job::TaskName;
use simulation::World;
use simulation::cases::outcomes;

/// Moves of a task at most, while one replica leads.
const MOST_MOVES: usize = 2;

/// A history lasts for this long, in milliseconds.
const LASTS_MS: Span = 40_000;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..60;

/// The tasks that were moved more often with a seed.
fn play(seed: u64) -> Vec<(u64, TaskName, usize)> {
    let mut world = World::new(seed);
    let until = world.now + LASTS_MS;
    while world.now < until {
        world.arrive();
        world.pass();
    }
    let mut moves: BTreeMap<TaskName, usize> = BTreeMap::new();
    for (_, decision) in &world.diary {
        if let Decision::Moved { run, .. } = decision {
            *moves.entry(run.task).or_default() += 1;
        }
    }
    let over = moves.into_iter().filter(|(_, times)| *times > MOST_MOVES);
    over.map(|(task, times)| (seed, task, times)).collect()
}

/// Guards against a job that gets nowhere, as its run is moved for harm and started again at the same place once a second.
#[test]
fn no_task_is_moved_more_than_twice() {
    let red = outcomes("MOVE_SEEDS", SEEDS, play).concat();
    assert!(red.is_empty(), "tasks moved too often, by seed: {red:?}");
}
