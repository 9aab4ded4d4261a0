//! Ids that are cancelled while no job has them: a job that is submitted later under such an id does not run.

mod support;

use pond_job::{Change, Reply, State};
use pond_proto::Millis;
use pond_proto::job::Phase;
use support::{HOST, Harness, PATH, configuration, spec, step, timing};

/// Returns a pool in which an id was cancelled that no job has.
fn cancelled() -> Harness {
    let mut harness = Harness::new().with_vm("a", 4_000);
    assert_eq!(harness.cancel(1), Reply::NoJob);
    harness
}

fn submit(id: u64) -> Change {
    let (host, path) = (HOST.to_owned(), format!("{PATH}{id:016x}"));
    Change::Submit { host, path, id, spec: spec(vec![step(2, 500)]), at: Millis(1) }
}

fn cancel(state: &mut State, id: u64) -> Reply {
    state.apply(Change::Cancel { host: HOST.to_owned(), path: PATH.to_owned(), id })
}

/// Advances the time beyond the retention period.
fn outlast_retention(harness: &mut Harness) {
    harness.advance(timing().retention_ms / 1_000 + 1, &["a"]);
}

/// Guards against a job that runs after its cancellation was confirmed, because it reached control later.
#[test]
fn job_that_was_cancelled_before_it_was_submitted_runs_nothing() {
    let mut harness = cancelled();
    assert_eq!(harness.phase(1), None);
    assert_eq!(harness.apply(submit(1)), Reply::Ended(vec![(1, Phase::Cancelled)]));
    harness.advance(2, &["a"]);
    assert!(harness.started("a").is_empty());
    assert_eq!(harness.apply(submit(1)), Reply::Accepted);
    assert_eq!(harness.phase(1), Some(Phase::Cancelled));
    assert_eq!(harness.state.active().count(), 0);
    // It is retained like any job that has ended.
    outlast_retention(&mut harness);
    assert_eq!(harness.phase(1), None);
}

/// Guards against cancellations that are lost with a snapshot, and against snapshots that earlier versions cannot read.
#[test]
fn cancelled_ids_outlast_snapshots() {
    let harness = cancelled();
    let bytes = harness.state.encode().unwrap();
    let mut copy = State::decode(&bytes).unwrap();
    assert_eq!(copy, harness.state);
    assert_eq!(copy.apply(submit(1)), Reply::Ended(vec![(1, Phase::Cancelled)]));
    // Replicas of earlier versions read the state alone.
    assert!(rmp_serde::from_slice::<State>(&bytes).is_ok_and(|state| !state.is_cancelled(1)));
}

/// Guards against ids that are kept for ever, and against ones that are forgotten too soon by a new leader.
#[test]
fn cancelled_ids_are_forgotten_after_the_retention_period_of_the_last_leader() {
    let mut harness = cancelled();
    harness.advance(timing().retention_ms / 1_000 - 1, &["a"]);
    assert!(harness.state.is_cancelled(1));
    harness.replace_leader();
    assert_eq!(harness.cancel(2), Reply::NoJob);
    harness.report("a");
    harness.advance(timing().retention_ms / 1_000 - 1, &["a"]);
    assert!(harness.state.is_cancelled(1) && harness.state.is_cancelled(2));
    harness.advance(3, &["a"]);
    assert_eq!(harness.state.cancelled_ids().len(), 0);
}

/// Guards against ids that are kept for ever because the proposal to forget them was lost.
#[test]
fn lost_proposal_to_forget_cancelled_ids_is_repeated() {
    let mut harness = cancelled();
    harness.now = harness.now + timing().retention_ms + 1_000;
    harness.run_until_idle_dropping(|change| matches!(change, Change::Forget(_)));
    assert!(harness.state.is_cancelled(1));
    outlast_retention(&mut harness);
    assert!(!harness.state.is_cancelled(1));
}

/// Guards against cancellations of unknown ids that fill the memory, or that keep jobs from being cancelled.
#[test]
fn number_of_cancelled_ids_is_bounded() {
    let mut state = State::new();
    state.apply(Change::Configure(configuration(1)));
    state.apply(submit(1));
    let ids: Vec<u64> = (2..).take(State::MAX_CANCELLED_IDS).collect();
    for id in &ids {
        assert_eq!(cancel(&mut state, *id), Reply::NoJob);
    }
    assert_eq!(cancel(&mut state, u64::MAX), Reply::TooManyCancelled);
    assert_eq!(cancel(&mut state, ids[0]), Reply::NoJob);
    assert_eq!(cancel(&mut state, 1), Reply::Accepted);
    state.apply(Change::Forget(vec![ids[0]]));
    assert_eq!(cancel(&mut state, u64::MAX), Reply::NoJob);
}
