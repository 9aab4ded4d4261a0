//! Conformance tests for the protocols of workers and endpoints, applicable to any implementation.

use std::time::Duration;

use pond_http::{Call, Client, HeaderValue, Method};
use pond_proto::{Size, TaskKey};

use crate::message::{
    Checkpoint, Ending, Lease, RefusalCode, Stamp, Start, Stop, TaskState, Throttle,
};
use crate::platform::{Error, Platform};

/// Term of the leader in the first cases.
const TERM: u64 = 5;

/// Duration of leases that do not expire during the test, in milliseconds.
const LEASE_MS: u64 = 60_000;

/// Result of a test case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseResult {
    /// Rule of the protocol that was tested.
    pub rule: &'static str,
    /// Description of the failure; none if the rule holds.
    pub failure: Option<String>,
}

/// Tests every rule of the worker protocol on one worker.
///
/// The worker must have at least one processor and 100 MiB free, and must not know tasks with
/// keys from `first_task` on.
pub async fn check(platform: &dyn Platform, worker: &str, first_task: u64) -> Vec<CaseResult> {
    let suite = Suite { platform, worker, first_task };
    let mut results = Vec::new();
    let mut record = |rule: &'static str, result: Result<(), String>| {
        results.push(CaseResult { rule, failure: result.err() });
    };
    record(
        "a start with a stamp of another incarnation is refused",
        suite.stamp_of_other_incarnation().await,
    );
    record("a start whose lease has expired already is refused", suite.stale_stamp().await);
    record("a started task runs and is listed in the next lease answer", suite.starts().await);
    record("a repeated start starts nothing", suite.repeated_start().await);
    record("a start beyond the size of the VM is refused", suite.too_large().await);
    record("a throttle is listed in the next lease answer", suite.throttles().await);
    record("checkpoints never decrease", suite.checkpoints().await);
    record("a stopped task is no longer listed", suite.stops().await);
    record("a repeated stop gets the same answer", suite.repeated_stop().await);
    record("a start after a stop is refused", suite.start_after_stop().await);
    record("a start that arrives after its stop is refused", suite.stop_before_start().await);
    record("requests for an unknown task are refused", suite.no_task().await);
    record("a task ends when its lease expires", suite.expires().await);
    record("a lower term is refused", suite.old_term().await);
    results
}

struct Suite<'a> {
    platform: &'a dyn Platform,
    worker: &'a str,
    first_task: u64,
}

fn expect(holds: bool, message: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(message()) }
}

/// Checks that a result is a refusal with the given code.
fn expect_refusal<T: std::fmt::Debug>(
    result: Result<T, Error>,
    code: RefusalCode,
) -> Result<(), String> {
    match result {
        Err(Error::Refused(refusal)) if refusal.code == code => Ok(()),
        other => Err(format!("expected {code:?}, got {other:?}")),
    }
}

impl Suite<'_> {
    fn task(&self, number: u64) -> TaskKey {
        TaskKey(self.first_task + number)
    }

    async fn stamp(&self) -> Result<Stamp, String> {
        let request = Lease { term: TERM, stamp: None, lease_ms: LEASE_MS, tasks: Vec::new() };
        let answer = self.platform.lease(self.worker, request).await;
        answer.map(|answer| answer.stamp).map_err(|error| error.to_string())
    }

    fn start_request(&self, stamp: Stamp, lease_ms: u64) -> Start {
        Start {
            term: TERM,
            stamp,
            lease_ms,
            unit: "contract".to_owned(),
            program: "run seconds=3600".to_owned(),
            size: Size::new(100, 10, 0),
            slots: 0,
            connections: 0,
            resume_from: None,
        }
    }

    async fn try_start(&self, task: TaskKey, request: Start) -> Result<TaskState, Error> {
        let answer = self.platform.start(self.worker, task, request).await?;
        Ok(answer.status.state)
    }

    /// Starts a task and checks that it runs.
    async fn start_running(&self, task: TaskKey) -> Result<(), String> {
        let request = self.start_request(self.stamp().await?, LEASE_MS);
        let state = self.try_start(task, request).await.map_err(|error| error.to_string())?;
        expect(state == TaskState::Running, || format!("{state:?}"))
    }

    /// Returns the state and share of a task as listed in the next answer to a lease.
    async fn listed(&self, task: TaskKey) -> Result<Option<(TaskState, u32)>, String> {
        let request = Lease { term: TERM, stamp: None, lease_ms: LEASE_MS, tasks: Vec::new() };
        let answer = self.platform.lease(self.worker, request).await;
        let tasks = answer.map_err(|error| error.to_string())?.tasks;
        let found = tasks.into_iter().find(|status| status.task == task);
        Ok(found.map(|status| (status.state, status.share)))
    }

    async fn stop(&self, task: TaskKey) -> Result<bool, String> {
        let request = Stop { term: TERM, grace_ms: 0 };
        let answer = self.platform.stop(self.worker, task, request).await;
        answer.map(|answer| answer.stopped).map_err(|error| error.to_string())
    }

    async fn stamp_of_other_incarnation(&self) -> Result<(), String> {
        let stamp = self.stamp().await?;
        let other_stamp = Stamp { incarnation: stamp.incarnation ^ 1, ms: stamp.ms };
        let result = self.try_start(self.task(0), self.start_request(other_stamp, LEASE_MS)).await;
        expect_refusal(result, RefusalCode::StaleStamp)
    }

    async fn stale_stamp(&self) -> Result<(), String> {
        let result = self.try_start(self.task(0), self.start_request(self.stamp().await?, 0)).await;
        expect_refusal(result, RefusalCode::StaleStamp)
    }

    async fn starts(&self) -> Result<(), String> {
        self.start_running(self.task(1)).await?;
        let listed = self.listed(self.task(1)).await?;
        expect(listed == Some((TaskState::Running, 100)), || format!("{listed:?}"))
    }

    async fn repeated_start(&self) -> Result<(), String> {
        self.start_running(self.task(1)).await
    }

    async fn too_large(&self) -> Result<(), String> {
        let mut request = self.start_request(self.stamp().await?, LEASE_MS);
        request.size = Size::new(u32::MAX / 2, 10, 0);
        expect_refusal(self.try_start(self.task(2), request).await, RefusalCode::NoRoom)
    }

    async fn throttles(&self) -> Result<(), String> {
        let request = Throttle { term: TERM, share: 30 };
        let answer = self.platform.throttle(self.worker, self.task(1), request).await;
        answer.map_err(|error| error.to_string())?;
        let listed = self.listed(self.task(1)).await?;
        expect(listed == Some((TaskState::Running, 30)), || format!("{listed:?}"))
    }

    async fn checkpoints(&self) -> Result<(), String> {
        let mut last = None;
        for _ in 0..2 {
            let request = Checkpoint { term: TERM };
            let answer = self.platform.checkpoint(self.worker, self.task(1), request).await;
            let checkpoint = answer.map_err(|error| error.to_string())?.checkpoint;
            let holds = checkpoint.is_some() && checkpoint >= last;
            expect(holds, || format!("{last:?} then {checkpoint:?}"))?;
            last = checkpoint;
        }
        Ok(())
    }

    async fn stops(&self) -> Result<(), String> {
        expect(self.stop(self.task(1)).await?, || "the task did not stop".to_owned())?;
        let listed = self.listed(self.task(1)).await?;
        expect(listed.is_none(), || format!("{listed:?}"))
    }

    async fn repeated_stop(&self) -> Result<(), String> {
        expect(self.stop(self.task(1)).await?, || {
            "the repeated stop did not report it as stopped".to_owned()
        })
    }

    async fn start_after_stop(&self) -> Result<(), String> {
        let request = self.start_request(self.stamp().await?, LEASE_MS);
        expect_refusal(self.try_start(self.task(1), request).await, RefusalCode::Ended)
    }

    async fn stop_before_start(&self) -> Result<(), String> {
        self.stop(self.task(3)).await?;
        let request = self.start_request(self.stamp().await?, LEASE_MS);
        expect_refusal(self.try_start(self.task(3), request).await, RefusalCode::Ended)
    }

    async fn no_task(&self) -> Result<(), String> {
        let request = Throttle { term: TERM, share: 30 };
        expect_refusal(
            self.platform.throttle(self.worker, self.task(9), request).await,
            RefusalCode::NoTask,
        )
    }

    /// Polls the worker until a short lease has expired.
    async fn expires(&self) -> Result<(), String> {
        let request = self.start_request(self.stamp().await?, 200);
        let started = self.try_start(self.task(4), request).await;
        started.map_err(|error| error.to_string())?;
        for _ in 0..100_000 {
            let listed = self.listed(self.task(4)).await?;
            if let Some((TaskState::Ended(ending), _)) = listed {
                let holds = ending == Ending::Expired;
                return expect(holds, || format!("{ending:?}"));
            }
        }
        Err("the task still runs".to_owned())
    }

    async fn old_term(&self) -> Result<(), String> {
        let newer = Lease { term: TERM + 1, stamp: None, lease_ms: LEASE_MS, tasks: Vec::new() };
        let answer = self.platform.lease(self.worker, newer).await;
        answer.map_err(|error| error.to_string())?;
        let older = Lease { term: TERM, stamp: None, lease_ms: LEASE_MS, tasks: Vec::new() };
        expect_refusal(self.platform.lease(self.worker, older).await, RefusalCode::OldTerm)
    }
}

/// Path of the requests to endpoints.
const ENDPOINT_PATH: &str = "/v1/services/contract";

/// Maximum time for an endpoint to answer a request.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(5);

/// Tests the endpoint protocol at an address.
pub async fn check_endpoint(address: &str) -> Vec<CaseResult> {
    let client = Client::new();
    let table: [(&'static str, usize, bool); 5] = [
        ("a request gets a complete answer", 10, false),
        ("a kept-alive connection serves another request", 10, false),
        ("a request without a body is answered", 0, false),
        ("a large body is accepted", 1 << 20, false),
        ("the headers of the protocol are accepted", 10, true),
    ];
    let mut results = Vec::new();
    for (rule, bytes, headers) in table {
        let mut call = Call::new(Method::POST, ENDPOINT_PATH, vec![b'x'; bytes]);
        if headers {
            for (name, value) in [
                ("content-type", "text/plain"),
                ("idempotency-key", "key-1"),
                ("pondbay-request", "00000000000000ff-1"),
            ] {
                call.headers.insert(name, HeaderValue::from_static(value));
            }
        }
        let reply = client.call(address, call, ENDPOINT_TIMEOUT).await;
        let failure = match reply {
            Ok(reply) if reply.status.is_success() => None,
            Ok(reply) => Some(format!("status {}", reply.status)),
            Err(error) => Some(error.to_string()),
        };
        results.push(CaseResult { rule, failure });
    }
    results
}
