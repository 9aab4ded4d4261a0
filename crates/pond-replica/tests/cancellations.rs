//! Cancellations that reach the leader before the job, with entries and leaders that change.
//!
//! Guards against a job that runs although its caller was told that it does not exist: the caller had submitted it to
//! an entry that stood still, left, and cancelled it at another entry. Later the first entry went on.

mod support;

use pond_job::State;
use pond_proto::Span;
use pond_proto::fleet::{JobRef, JobReply, Outcome, Verb};
use pond_proto::job::Phase;

use support::cluster::{Cluster, Entry, queue};

/// How long jobs that have ended are retained, in milliseconds.
const RETENTION_MS: Span = 60_000;

/// Number of jobs in tests with requests in flight.
const JOBS: u64 = 200;

/// Number of cancellations in flight in the test of the bound, a divisor of the bound.
const BATCH: usize = 128;

/// Length of the path of a long request, in bytes.
const LONG_PATH_BYTES: usize = 10_000;

/// Maximum size of a cancellation in the log, in bytes, with the short paths of the queues here.
const MAX_CANCELLATION_BYTES: usize = 200;

async fn start() -> Cluster {
    Cluster::start(vec![queue("short")], RETENTION_MS).await
}

fn cancel(entry: &Entry, ticket: u64, id: u64) {
    entry.send(ticket, "/short/", Verb::Cancel(JobRef { id }), true);
}

async fn cancelled(entry: &mut Entry, ticket: u64, id: u64) -> Outcome {
    cancel(entry, ticket, id);
    entry.outcome().await
}

async fn submitted(entry: &mut Entry, ticket: u64, id: u64) -> Outcome {
    entry.submit(ticket, id);
    entry.outcome().await
}

/// Returns the phase of a job, if there is one.
async fn phase(entry: &mut Entry, id: u64) -> Option<Phase> {
    entry.send(u64::MAX, "/short/", Verb::Look(JobRef { id }), true);
    let reply: JobReply = entry.reply().await;
    match reply.outcome() {
        Outcome::Known => Some(reply.phase()),
        Outcome::NoJob => None,
        other => panic!("{other:?}"),
    }
}

/// Guards against a job that runs after its cancellation: what the caller hears at each step is true.
#[tokio::test]
async fn job_that_follows_its_cancellation_does_not_run() {
    let cluster = start().await;
    let (mut first, mut second) = (cluster.connect().await, cluster.connect().await);
    assert_eq!(cancelled(&mut second, 1, 1).await, Outcome::NoJob);
    assert_eq!(phase(&mut second, 1).await, None);
    assert_eq!(cancelled(&mut second, 2, 1).await, Outcome::NoJob);
    assert_eq!(submitted(&mut first, 1, 1).await, Outcome::Accepted);
    assert_eq!(phase(&mut second, 1).await, Some(Phase::Cancelled));
    assert_eq!(cancelled(&mut second, 3, 1).await, Outcome::Accepted);
    assert_eq!(submitted(&mut first, 2, 1).await, Outcome::Accepted);
    assert_eq!(phase(&mut first, 1).await, Some(Phase::Cancelled));
    // It was not judged as a job that takes room.
    assert_eq!(cluster.switch.asked(1), 0);
}

/// Guards against a cancellation that does not see a proposal in flight, and the reverse.
#[tokio::test]
async fn job_and_cancellation_in_flight_leave_nothing_to_run() {
    let cluster = start().await;
    let (mut first, mut second) = (cluster.connect().await, cluster.connect().await);
    for id in 1..=JOBS {
        let submits_first = id % 2 == 0;
        if submits_first {
            first.submit(id, id);
        }
        cancel(&second, id, id);
        if !submits_first {
            first.submit(id, id);
        }
    }
    for _ in 0..JOBS {
        assert_eq!(first.outcome().await, Outcome::Accepted);
        assert!(matches!(second.outcome().await, Outcome::Accepted | Outcome::NoJob));
    }
    for id in 1..=JOBS {
        assert_eq!(phase(&mut first, id).await, Some(Phase::Cancelled), "job {id}");
    }
}

/// Guards against a cancellation that is forgotten with its leader, or when all replicas lose power.
#[tokio::test]
async fn cancellation_outlasts_its_leader_and_a_restart_of_all_replicas() {
    let mut cluster = start().await;
    let mut entry = cluster.connect().await;
    assert_eq!(cancelled(&mut entry, 1, 1).await, Outcome::NoJob);
    assert_eq!(cancelled(&mut entry, 2, 2).await, Outcome::NoJob);
    let leading = cluster.leader().await;
    cluster.stop(leading);
    let mut entry = cluster.connect().await;
    assert_eq!(submitted(&mut entry, 1, 1).await, Outcome::Accepted);
    assert_eq!(phase(&mut entry, 1).await, Some(Phase::Cancelled));
    let all: Vec<usize> = cluster.nodes.keys().copied().collect();
    all.iter().for_each(|i| cluster.stop(*i));
    cluster.restart(leading).await;
    for i in all {
        cluster.restart(i).await;
    }
    let mut entry = cluster.connect().await;
    assert_eq!(submitted(&mut entry, 2, 2).await, Outcome::Accepted);
    assert_eq!(phase(&mut entry, 2).await, Some(Phase::Cancelled));
    assert_eq!(phase(&mut entry, 1).await, Some(Phase::Cancelled));
}

/// Guards against cancellations of unknown jobs that fill the memory or the log, and against a bound that keeps
/// callers from cancelling jobs that exist.
#[tokio::test]
async fn cancellations_of_unknown_jobs_are_bounded() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    assert_eq!(submitted(&mut entry, 1, 1).await, Outcome::Accepted);
    let path = format!("/short/{}", "a".repeat(LONG_PATH_BYTES));
    let ids: Vec<u64> = (10..).take(State::MAX_CANCELLED_IDS + BATCH).collect();
    let mut rejected = 0;
    for batch in ids.chunks(BATCH) {
        for id in batch {
            entry.send(*id, &path, Verb::Cancel(JobRef { id: *id }), true);
        }
        for _ in batch {
            let reply = entry.reply().await;
            match reply.outcome() {
                Outcome::NoJob => {}
                Outcome::Rejected if reply.retry_after_ms > 0 => rejected += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(rejected, BATCH);
    // What is kept stays cancelled, and jobs that exist can still be cancelled.
    assert_eq!(cancelled(&mut entry, 1, ids[0]).await, Outcome::NoJob);
    assert_eq!(cancelled(&mut entry, 2, 1).await, Outcome::Accepted);
    assert_eq!(submitted(&mut entry, 3, 2).await, Outcome::Accepted);
    assert_eq!(phase(&mut entry, 2).await, Some(Phase::Queued));
    let largest = cluster.largest_cancellation_bytes(cluster.leader().await);
    assert!((1..MAX_CANCELLATION_BYTES).contains(&largest), "{largest}");
    // Entries of earlier versions do not know rejections.
    entry.send(4, "/short/", Verb::Cancel(JobRef { id: u64::MAX }), false);
    assert_eq!(entry.outcome().await, Outcome::NotConfigured);
}
