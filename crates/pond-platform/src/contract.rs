//! The contracts of workers and endpoints as tables of cases that any implementation can be put
//! through.

use std::time::Duration;

use pond_http::{Call, Client, HeaderValue, Method};
use pond_proto::{Size, TaskKey};

use crate::message::{
    Checkpoint, Ending, Lease, RefusalCode, Stamp, Start, Stop, TaskState, Throttle,
};
use crate::platform::{Error, Platform};

/// The term that the cases begin with.
const TERM: u64 = 5;

/// A lease that does not run out while the cases run, in milliseconds.
const LONG_MS: u64 = 60_000;

/// One case: its name and what it found wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The rule that was tried.
    pub rule: &'static str,
    /// What was found wrong; none if the rule holds.
    pub wrong: Option<String>,
}

/// Tries every rule of the contract on one worker that has at least one processor and 100 MiB, and
/// knows no task from `first` on.
pub async fn check(platform: &dyn Platform, worker: &str, first: u64) -> Vec<Verdict> {
    let trial = Trial { platform, worker, first };
    let mut verdicts = Vec::new();
    let mut note = |rule: &'static str, result: Result<(), String>| {
        verdicts.push(Verdict { rule, wrong: result.err() });
    };
    note("a start without a stamp of this life is refused", trial.foreign_stamp().await);
    note("a start whose lease would be over is refused", trial.stale_stamp().await);
    note("a start runs and is told by the next lease", trial.starts().await);
    note("a repeated start starts nothing", trial.repeated_start().await);
    note("a start beyond the VM's size is refused", trial.too_large().await);
    note("a throttle is told by the next lease", trial.throttles().await);
    note("a checkpoint never goes back", trial.checkpoints().await);
    note("a stopped task is not known any more", trial.stops().await);
    note("a repeated stop answers the same", trial.repeated_stop().await);
    note("a start after a stop is refused", trial.start_after_stop().await);
    note("a start after a stop that came first is refused", trial.stop_before_start().await);
    note("orders for a task that is not known are refused", trial.no_task().await);
    note("a task whose lease has run out has ended", trial.expires().await);
    note("a lower term is refused", trial.old_term().await);
    verdicts
}

struct Trial<'a> {
    platform: &'a dyn Platform,
    worker: &'a str,
    first: u64,
}

fn expect(holds: bool, otherwise: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(otherwise()) }
}

/// A result that must be a refusal with this code.
fn refused<T: std::fmt::Debug>(result: Result<T, Error>, code: RefusalCode) -> Result<(), String> {
    match result {
        Err(Error::Refused(refusal)) if refusal.code == code => Ok(()),
        other => Err(format!("expected {code:?}, got {other:?}")),
    }
}

impl Trial<'_> {
    fn task(&self, number: u64) -> TaskKey {
        TaskKey(self.first + number)
    }

    async fn stamp(&self) -> Result<Stamp, String> {
        let order = Lease { term: TERM, stamp: None, lease_ms: LONG_MS, tasks: Vec::new() };
        let answer = self.platform.lease(self.worker, order).await;
        answer.map(|answer| answer.stamp).map_err(|error| error.to_string())
    }

    fn order(&self, stamp: Stamp, lease_ms: u64) -> Start {
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

    async fn try_start(&self, task: TaskKey, order: Start) -> Result<TaskState, Error> {
        let answer = self.platform.start(self.worker, task, order).await?;
        Ok(answer.status.state)
    }

    /// Starts a task that must run.
    async fn started(&self, task: TaskKey) -> Result<(), String> {
        let order = self.order(self.stamp().await?, LONG_MS);
        let state = self.try_start(task, order).await.map_err(|error| error.to_string())?;
        expect(state == TaskState::Running, || format!("{state:?}"))
    }

    /// What the next lease tells of a task.
    async fn told(&self, task: TaskKey) -> Result<Option<(TaskState, u32)>, String> {
        let order = Lease { term: TERM, stamp: None, lease_ms: LONG_MS, tasks: Vec::new() };
        let answer = self.platform.lease(self.worker, order).await;
        let tasks = answer.map_err(|error| error.to_string())?.tasks;
        let found = tasks.into_iter().find(|status| status.task == task);
        Ok(found.map(|status| (status.state, status.share)))
    }

    async fn stop(&self, task: TaskKey) -> Result<bool, String> {
        let order = Stop { term: TERM, grace_ms: 0 };
        let answer = self.platform.stop(self.worker, task, order).await;
        answer.map(|answer| answer.stopped).map_err(|error| error.to_string())
    }

    async fn foreign_stamp(&self) -> Result<(), String> {
        let stamp = self.stamp().await?;
        let foreign = Stamp { incarnation: stamp.incarnation ^ 1, ms: stamp.ms };
        let result = self.try_start(self.task(0), self.order(foreign, LONG_MS)).await;
        refused(result, RefusalCode::StaleStamp)
    }

    async fn stale_stamp(&self) -> Result<(), String> {
        let result = self.try_start(self.task(0), self.order(self.stamp().await?, 0)).await;
        refused(result, RefusalCode::StaleStamp)
    }

    async fn starts(&self) -> Result<(), String> {
        self.started(self.task(1)).await?;
        let told = self.told(self.task(1)).await?;
        expect(told == Some((TaskState::Running, 100)), || format!("{told:?}"))
    }

    async fn repeated_start(&self) -> Result<(), String> {
        self.started(self.task(1)).await
    }

    async fn too_large(&self) -> Result<(), String> {
        let mut order = self.order(self.stamp().await?, LONG_MS);
        order.size = Size::new(u32::MAX / 2, 10, 0);
        refused(self.try_start(self.task(2), order).await, RefusalCode::NoRoom)
    }

    async fn throttles(&self) -> Result<(), String> {
        let order = Throttle { term: TERM, share: 30 };
        let answer = self.platform.throttle(self.worker, self.task(1), order).await;
        answer.map_err(|error| error.to_string())?;
        let told = self.told(self.task(1)).await?;
        expect(told == Some((TaskState::Running, 30)), || format!("{told:?}"))
    }

    async fn checkpoints(&self) -> Result<(), String> {
        let mut last = None;
        for _ in 0..2 {
            let order = Checkpoint { term: TERM };
            let answer = self.platform.checkpoint(self.worker, self.task(1), order).await;
            let checkpoint = answer.map_err(|error| error.to_string())?.checkpoint;
            let holds = checkpoint.is_some() && checkpoint >= last;
            expect(holds, || format!("{last:?} then {checkpoint:?}"))?;
            last = checkpoint;
        }
        Ok(())
    }

    async fn stops(&self) -> Result<(), String> {
        expect(self.stop(self.task(1)).await?, || "it did not stop".to_owned())?;
        let told = self.told(self.task(1)).await?;
        expect(told.is_none(), || format!("{told:?}"))
    }

    async fn repeated_stop(&self) -> Result<(), String> {
        expect(self.stop(self.task(1)).await?, || "it was not stopped any more".to_owned())
    }

    async fn start_after_stop(&self) -> Result<(), String> {
        let order = self.order(self.stamp().await?, LONG_MS);
        refused(self.try_start(self.task(1), order).await, RefusalCode::Ended)
    }

    async fn stop_before_start(&self) -> Result<(), String> {
        self.stop(self.task(3)).await?;
        let order = self.order(self.stamp().await?, LONG_MS);
        refused(self.try_start(self.task(3), order).await, RefusalCode::Ended)
    }

    async fn no_task(&self) -> Result<(), String> {
        let order = Throttle { term: TERM, share: 30 };
        refused(self.platform.throttle(self.worker, self.task(9), order).await, RefusalCode::NoTask)
    }

    /// Waits for a short lease to run out by asking again and again.
    async fn expires(&self) -> Result<(), String> {
        let order = self.order(self.stamp().await?, 200);
        let started = self.try_start(self.task(4), order).await;
        started.map_err(|error| error.to_string())?;
        for _ in 0..100_000 {
            let told = self.told(self.task(4)).await?;
            if let Some((TaskState::Ended(ending), _)) = told {
                let holds = ending == Ending::Expired;
                return expect(holds, || format!("{ending:?}"));
            }
        }
        Err("it still runs".to_owned())
    }

    async fn old_term(&self) -> Result<(), String> {
        let newer = Lease { term: TERM + 1, stamp: None, lease_ms: LONG_MS, tasks: Vec::new() };
        let answer = self.platform.lease(self.worker, newer).await;
        answer.map_err(|error| error.to_string())?;
        let older = Lease { term: TERM, stamp: None, lease_ms: LONG_MS, tasks: Vec::new() };
        refused(self.platform.lease(self.worker, older).await, RefusalCode::OldTerm)
    }
}

/// The path that endpoints are tried at.
const ENDPOINT_PATH: &str = "/v1/services/contract";

/// How long an endpoint may take to answer one request of the table.
const ENDPOINT_PATIENCE: Duration = Duration::from_secs(5);

/// Tries the contract of endpoints on one address.
pub async fn check_endpoint(address: &str) -> Vec<Verdict> {
    let client = Client::new();
    let table: [(&'static str, usize, bool); 5] = [
        ("a request is answered whole", 10, false),
        ("a kept connection serves another request", 10, false),
        ("a request without a body is answered", 0, false),
        ("a large body is taken", 1 << 20, false),
        ("the headers of the contract are taken", 10, true),
    ];
    let mut verdicts = Vec::new();
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
        let reply = client.call(address, call, ENDPOINT_PATIENCE).await;
        let wrong = match reply {
            Ok(reply) if reply.status.is_success() => None,
            Ok(reply) => Some(format!("status {}", reply.status)),
            Err(error) => Some(error.to_string()),
        };
        verdicts.push(Verdict { rule, wrong });
    }
    verdicts
}
