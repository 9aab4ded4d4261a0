//! Tasks that take down every worker that starts them, where nobody sees how the workers go down.
//!
//! Seen: a task was started again and again, each time a worker was down at once, and it went on for as long as it
//! was watched. How it came about: what is told of a lost worker decides how the loss counts, and of these
//! nothing was told. The worker was away until its lease had run out; or its agent went down with it while
//! a new leader had just begun, or while others went down. Cause: such losses count as having stood beside,
//! and no number of those is enough to give a task up. Proved by: 28 and 30 starts in these tests, all of whose
//! losses are of that kind; with the count of runs that had just begun taken out they fail.

mod support;

use pond_proto::job::{Phase, Step};
use support::crashing::Pool;
use support::{step, task};

/// What users bear: three workers down, and two starts more.
const MOST_STARTS: u32 = 5;

/// A job whose first task takes down its workers; the others come in with it and crash nothing.
const CULPRIT: u64 = 10;

fn submit_all(pool: &mut Pool) {
    pool.culprits.insert(task(CULPRIT, 0, 0));
    pool.bench.submit(CULPRIT, vec![step(2, 3_000)]);
    for id in 1..6 {
        pool.bench.submit(CULPRIT + id, vec![step(4, 500)]);
    }
}

fn assert_given_up(pool: &Pool) {
    let starts = pool.starts[&task(CULPRIT, 0, 0)];
    assert!(starts <= MOST_STARTS, "{starts} starts, {} crashes", pool.crashes);
    let ended = |id: u64| pool.ended.get(&id).copied();
    assert_eq!(ended(CULPRIT), Some(Phase::Failed));
    for id in (1..6).map(|id| CULPRIT + id) {
        assert_eq!(ended(id), Some(Phase::Completed), "job {id}");
    }
}

#[test]
fn workers_that_stay_away_until_their_leases_run_out_are_counted() {
    let mut pool = Pool::new(5).with_back_ms(9_000);
    submit_all(&mut pool);
    pool.pass(180_000);
    assert_given_up(&pool);
}

fn new_leader_before_each_return(pool: &mut Pool) {
    submit_all(pool);
    for _ in 0..900 {
        pool.pass(100);
        if pool.is_back_within(200) {
            pool.replace_leader();
        }
    }
}

fn others_go_down_all_along(pool: &mut Pool) {
    let one_each = Step { lasting: true, most_per_worker: 1, ..step(6, 1_000) };
    pool.bench.submit(1, vec![one_each]);
    pool.pass(3_000);
    submit_all(pool);
    for _ in 0..60 {
        pool.crash(4);
        pool.crash(5);
        pool.pass(1_000);
    }
}

#[test]
fn workers_whose_agents_go_down_with_them_are_counted() {
    for (back_ms, play) in
        [(3_000, new_leader_before_each_return as fn(&mut Pool)), (1_000, others_go_down_all_along)]
    {
        let mut pool = Pool::new(6).with_agents_that_fall().with_back_ms(back_ms);
        play(&mut pool);
        assert_given_up(&pool);
    }
}
