//! Admission of new jobs by real replicas, with links that are lost and leaders that change. A job that was
//! accepted is never rejected afterwards, and a rejected one is never in the log.

mod support;

use pond_proto::Span;
use pond_proto::fleet::{JobRef, Outcome, Submit, Verb};
use pond_proto::job::{Spec, Step};
use tokio::time::{sleep, timeout};

use support::cluster::{Cluster, POLL_INTERVAL, RETRY_AFTER_MS, first_attempt_at, job, queue};
use support::{MEMORY_BYTES, RECOVERY_TIMEOUT};

/// Length of the text of a large job, in bytes.
const LARGE_TEXT_BYTES: usize = 3 << 20;

/// How long jobs that have ended are retained, in milliseconds.
const RETENTION_MS: Span = 1_000;

async fn start() -> Cluster {
    Cluster::start(vec![queue("short")], RETENTION_MS).await
}

/// Guards against a rejection without the time to retry, against a rejected job that is proposed, and against
/// an objective that counts from a later attempt than the first.
#[tokio::test]
async fn rejected_job_is_answered_counted_and_not_in_the_log() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    cluster.switch.accept(Some(1));
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    entry.submit(2, 2);
    let reply = entry.reply().await;
    assert_eq!((reply.ticket, reply.outcome()), (2, Outcome::Rejected));
    assert_eq!(reply.retry_after_ms, RETRY_AFTER_MS);
    assert!(entry.knows(1).await && !entry.knows(2).await);
    let leading = cluster.leader().await;
    assert_eq!(cluster.submitted(leading), [(1, first_attempt_at(1))]);
    let metrics = cluster.nodes[&leading].metrics.text();
    for outcome in ["accepted", "rejected"] {
        let line = format!("admissions{{queue=\"short\",outcome=\"{outcome}\"}} 1\n");
        assert!(metrics.contains(&line), "{line}{metrics}");
    }
}

/// Guards against jobs that fill the memory of the replicas, against the rejection of a copy of an accepted one, and
/// against memory that is not released with a job.
#[tokio::test]
async fn jobs_without_memory_are_rejected_until_others_have_ended() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    let large = |id: u64| {
        let text = "a".repeat(LARGE_TEXT_BYTES);
        let steps = vec![Step { tasks: 1, milli_cpu: 400, ..Step::default() }];
        Verb::Submit(Submit { id, spec: Spec { text, steps, repeat: None } })
    };
    let mut accepted = 0;
    let rejected = loop {
        let id = accepted + 1;
        entry.send(id, "/short/", large(id), true);
        match entry.reply().await {
            reply if reply.outcome() == Outcome::Accepted => accepted = id,
            reply => break reply,
        }
    };
    assert_eq!(rejected.outcome(), Outcome::Rejected);
    assert!(rejected.retry_after_ms > 0);
    assert!(accepted as usize * LARGE_TEXT_BYTES <= MEMORY_BYTES / 10, "{accepted}");
    entry.send(100, "/short/", large(1), true);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    assert!(!entry.knows(accepted + 1).await);
    entry.send(101, "/short/", Verb::Cancel(JobRef { id: 1 }), true);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    let released = async {
        for ticket in 200.. {
            entry.send(ticket, "/short/", large(accepted + 1), true);
            if entry.outcome().await == Outcome::Accepted {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(RECOVERY_TIMEOUT, released).await.expect("memory in time");
}

/// Guards against the rejection of a copy whose first request was accepted but is not applied yet.
#[tokio::test]
async fn copy_of_a_job_with_a_proposal_in_flight_is_not_rejected() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    for id in 1..=50 {
        cluster.switch.accept(Some(1));
        (0..3).for_each(|copy| entry.submit(3 * id + copy, id));
        for _ in 0..3 {
            assert_eq!(entry.outcome().await, Outcome::Accepted, "job {id}");
        }
        assert_eq!(cluster.switch.asked(id), 1);
    }
}

/// Guards against the rejection of a copy after the answer to an accepted job was lost, by the same leader
/// and by the next one.
#[tokio::test]
async fn copy_of_an_accepted_job_is_accepted_after_a_lost_answer() {
    let mut cluster = start().await;
    let mut entry = cluster.connect().await;
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    cluster.switch.accept(Some(0));
    drop(entry);
    let mut entry = cluster.connect().await;
    entry.submit(2, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    cluster.stop(cluster.leader().await);
    let mut entry = cluster.connect().await;
    entry.submit(3, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    assert_eq!(cluster.switch.asked(1), 1);
}

/// Guards against a job that runs after its caller got a rejection from the leader that followed the one
/// which had accepted and proposed it.
#[tokio::test]
async fn job_whose_leader_is_lost_before_the_commit_is_judged_anew_and_stays_rejected() {
    let mut cluster = start().await;
    let first = cluster.leader().await;
    let entry = cluster.connect().await;
    let others: Vec<usize> = cluster.nodes.keys().copied().filter(|i| *i != first).collect();
    others.iter().for_each(|i| cluster.stop(*i));
    entry.submit(1, 1);
    let proposed = async {
        while cluster.submitted(first).is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(RECOVERY_TIMEOUT, proposed).await.expect("proposed before the lease expired");
    assert_eq!(cluster.switch.asked(1), 1);
    cluster.stop(first);
    cluster.switch.accept(Some(0));
    for i in &others {
        cluster.restart(*i).await;
    }
    let mut entry = cluster.connect().await;
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Rejected);
    assert_eq!(cluster.switch.asked(1), 2);
    // The former leader, whose disk has the proposal, becomes part of the only majority.
    cluster.restart(first).await;
    cluster.stop(others[0]);
    let mut entry = cluster.connect().await;
    assert!(!entry.knows(1).await);
}

/// Guards against an entry of an earlier version that reads a rejection as an acceptance.
#[tokio::test]
async fn entry_of_an_earlier_version_gets_no_rejection() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    cluster.switch.accept(Some(0));
    entry.send(1, "/short/", job(1), false);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    assert_eq!(cluster.switch.asked(1), 0);
    assert!(entry.knows(1).await);
}

/// Guards against a job that runs after its caller got a rejection, because a first copy of the request is
/// read from a lost link after the second copy was rejected.
#[tokio::test]
async fn late_copy_of_a_rejected_request_does_not_run_the_job() {
    let cluster = start().await;
    let mut lost = cluster.connect().await;
    let mut entry = cluster.connect().await;
    cluster.switch.accept(Some(0));
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Rejected);
    cluster.switch.accept(None);
    lost.submit(1, 1);
    assert_eq!(lost.outcome().await, Outcome::Rejected);
    assert!(!entry.knows(1).await);
    // The caller's next attempt is a new request.
    entry.submit(2, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
}

/// Guards against metrics that grow with each queue that was ever configured.
#[tokio::test]
async fn number_of_counters_is_bounded() {
    let names: Vec<String> = (0..80).map(|i| format!("q{i}")).collect();
    let queues = names.iter().map(|name| queue(name)).collect();
    let cluster = Cluster::start(queues, RETENTION_MS).await;
    let mut entry = cluster.connect().await;
    for (i, name) in names.iter().enumerate() {
        entry.send(i as u64, &format!("/{name}/"), job(i as u64), true);
        assert_eq!(entry.outcome().await, Outcome::Accepted);
    }
    let metrics = cluster.nodes[&cluster.leader().await].metrics.text();
    assert_eq!(metrics.lines().filter(|line| line.starts_with("admissions{")).count(), 65);
    assert!(metrics.contains("admissions{queue=\"other\",outcome=\"accepted\"} 16\n"));
}
