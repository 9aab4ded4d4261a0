//! A worker served over HTTP, with the endpoints of its services.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pond_http::{Call, Handler, Limits, Method, Reply, StatusCode, Stop, serve};
use pond_platform::{
    Checkpoint, Lease, Refusal, RefusalCode, Start, StartAnswer, TaskStatus, Throttle,
};
use pond_proto::{Millis, Size, TaskKey};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::worker::Worker;

/// How often a worker's jobs get on and its leases are looked at.
const TICK: Duration = Duration::from_millis(20);

/// A worker with its endpoints. Clones share it.
#[derive(Clone, Debug)]
pub struct Host {
    worker: Arc<Mutex<Worker>>,
    endpoints: Arc<Mutex<BTreeMap<TaskKey, Stop>>>,
    slowdown: Arc<AtomicU64>,
    extra: Arc<AtomicU64>,
    record: Record,
    started: Instant,
}

impl Host {
    /// A host that runs nothing.
    pub fn new(size: Size, usage_lag_ms: u64, record: Record) -> Host {
        let incarnation = rand::random();
        Host {
            worker: Arc::new(Mutex::new(Worker::new(incarnation, size, usage_lag_ms))),
            endpoints: Arc::default(),
            slowdown: Arc::new(AtomicU64::new(100)),
            extra: Arc::new(AtomicU64::new(100)),
            record,
            started: Instant::now(),
        }
    }

    /// Makes its endpoints slower, in hundredths, beyond what its tasks do.
    pub fn slow_down(&self, hundredths: u64) {
        self.extra.store(hundredths, Ordering::Relaxed);
    }

    /// The worker.
    pub fn worker(&self) -> MutexGuard<'_, Worker> {
        self.worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(&self) {
        let now = Millis(self.started.elapsed().as_millis() as u64);
        let (slowdown, running) = {
            let mut worker = self.worker();
            worker.tick(now);
            let running: Vec<TaskKey> = worker
                .tasks()
                .iter()
                .filter(|(_, held)| held.is_active())
                .map(|(task, _)| *task)
                .collect();
            (worker.slowdown(), running)
        };
        let extra = self.extra.load(Ordering::Relaxed) as f64 / 100.0;
        self.slowdown.store((slowdown * extra * 100.0) as u64, Ordering::Relaxed);
        // An endpoint whose task ended is shut.
        let mut endpoints = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        endpoints.retain(|task, stop| {
            let keep = running.contains(task);
            if !keep {
                stop.stop();
            }
            keep
        });
    }

    async fn start(&self, task: TaskKey, order: Start) -> Result<StartAnswer, Refusal> {
        let (slots, connections) = (order.slots, order.connections);
        let (status, program) = {
            let mut worker = self.worker();
            let status = worker.start(task, order)?;
            let program = worker.tasks().get(&task).map(|held| held.program.clone());
            (status, program)
        };
        let Some(program) = program.filter(|_| slots > 0 && status.endpoint.is_none()) else {
            return Ok(StartAnswer { status });
        };
        let stop = Stop::new();
        let started = Endpoint::start(
            slots,
            connections,
            program.service_us,
            self.slowdown.clone(),
            self.record.clone(),
            stop.clone(),
        );
        let address = started
            .await
            .map_err(|error| Refusal { code: RefusalCode::NoRoom, message: error.to_string() })?;
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner).insert(task, stop);
        let told = self.worker().set_endpoint(task, &address.to_string());
        Ok(StartAnswer { status: told.unwrap_or(status) })
    }

    async fn task_call(&self, task: TaskKey, verb: &str, call: &Call) -> Reply {
        match verb {
            "start" => match read::<Start>(call) {
                Ok(order) => tell(self.start(task, order).await),
                Err(error) => bad(&error),
            },
            "checkpoint" => {
                with(call, |order: Checkpoint| self.worker().checkpoint(task, order.term))
            }
            "throttle" => with(call, |order: Throttle| -> Result<TaskStatus, Refusal> {
                self.worker().throttle(task, order.term, order.share)
            }),
            "stop" => with(call, |order| self.worker().stop(task, &order)),
            _ => not_here(),
        }
    }

    async fn answer(&self, call: Call) -> Reply {
        self.tick();
        let path = call.path.clone();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (&call.method, parts.as_slice()) {
            (&Method::GET, ["v1", "usage"]) => Reply::json(StatusCode::OK, &self.worker().usage()),
            (&Method::POST, ["v1", "lease"]) => {
                with(&call, |order: Lease| self.worker().lease(&order))
            }
            (&Method::POST, ["v1", "tasks", task, verb]) => match task.parse() {
                Ok(task) => self.task_call(TaskKey(task), verb, &call).await,
                Err(_) => not_here(),
            },
            _ => not_here(),
        }
    }
}

fn not_here() -> Reply {
    Reply::new(StatusCode::NOT_FOUND, "see docs/contracts/platform.md\n")
}

fn read<T: DeserializeOwned>(call: &Call) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&call.body)
}

fn bad(error: &serde_json::Error) -> Reply {
    Reply::new(StatusCode::BAD_REQUEST, format!("{error}\n"))
}

fn tell<T: Serialize>(result: Result<T, Refusal>) -> Reply {
    match result {
        Ok(answer) => Reply::json(StatusCode::OK, &answer),
        Err(refusal) => Reply::json(StatusCode::CONFLICT, &refusal),
    }
}

fn with<O: DeserializeOwned, T: Serialize>(
    call: &Call,
    act: impl FnOnce(O) -> Result<T, Refusal>,
) -> Reply {
    match read(call) {
        Ok(order) => tell(act(order)),
        Err(error) => bad(&error),
    }
}

impl Handler for Host {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.answer(call))
    }
}

/// Serves a host over HTTP.
#[derive(Debug)]
pub struct WorkerServer {}

impl WorkerServer {
    /// Serves a host until `stop`, letting its jobs get on meanwhile.
    pub async fn run(listener: TcpListener, host: Host, stop: Stop) {
        let ticking = host.clone();
        let ticker = tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                ticking.tick();
            }
        });
        let limits = Limits { body_bytes: 4 << 20, ..Limits::default() };
        serve(listener, limits, stop, Arc::new(host)).await;
        ticker.abort();
    }
}
