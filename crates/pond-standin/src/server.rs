//! The HTTP server of a simulated worker and of the endpoints of its services.

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

/// Interval at which jobs advance and leases are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Worker with the endpoints of its services. Clones share them.
#[derive(Clone, Debug)]
pub struct Host {
    worker: Arc<Mutex<Worker>>,
    endpoints: Arc<Mutex<BTreeMap<TaskKey, Stop>>>,
    slowdown: Arc<AtomicU64>,
    extra_slowdown: Arc<AtomicU64>,
    record: Record,
    started: Instant,
}

impl Host {
    /// Creates a host without tasks. Usage reports lag by `usage_lag_ms` milliseconds.
    pub fn new(size: Size, usage_lag_ms: u64, record: Record) -> Host {
        let incarnation = rand::random();
        Host {
            worker: Arc::new(Mutex::new(Worker::new(incarnation, size, usage_lag_ms))),
            endpoints: Arc::default(),
            slowdown: Arc::new(AtomicU64::new(100)),
            extra_slowdown: Arc::new(AtomicU64::new(100)),
            record,
            started: Instant::now(),
        }
    }

    /// Sets an additional slowdown of the endpoints in percent: 100 is none. It multiplies the
    /// slowdown that running tasks cause.
    pub fn slow_down(&self, percent: u64) {
        self.extra_slowdown.store(percent, Ordering::Relaxed);
    }

    /// Locks and returns the worker.
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
                .filter(|(_, hosted)| hosted.is_active())
                .map(|(task, _)| *task)
                .collect();
            (worker.slowdown(), running)
        };
        let extra_slowdown = self.extra_slowdown.load(Ordering::Relaxed) as f64 / 100.0;
        self.slowdown.store((slowdown * extra_slowdown * 100.0) as u64, Ordering::Relaxed);
        // Stops the endpoints of tasks that have ended.
        let mut endpoints = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        endpoints.retain(|task, stop| {
            let keep = running.contains(task);
            if !keep {
                stop.stop();
            }
            keep
        });
    }

    async fn start(&self, task: TaskKey, request: Start) -> Result<StartAnswer, Refusal> {
        let (slots, connections) = (request.slots, request.connections);
        let (status, program) = {
            let mut worker = self.worker();
            let status = worker.start(task, request)?;
            let program = worker.tasks().get(&task).map(|hosted| hosted.program.clone());
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
        let updated = self.worker().set_endpoint(task, &address.to_string());
        Ok(StartAnswer { status: updated.unwrap_or(status) })
    }

    async fn task_call(&self, task: TaskKey, verb: &str, call: &Call) -> Reply {
        match verb {
            "start" => match parse::<Start>(call) {
                Ok(request) => to_reply(self.start(task, request).await),
                Err(error) => bad_request(&error),
            },
            "checkpoint" => handle_request(call, |request: Checkpoint| {
                self.worker().checkpoint(task, request.term)
            }),
            "throttle" => {
                handle_request(call, |request: Throttle| -> Result<TaskStatus, Refusal> {
                    self.worker().throttle(task, request.term, request.share)
                })
            }
            "stop" => handle_request(call, |request| self.worker().stop(task, &request)),
            _ => not_found(),
        }
    }

    async fn answer(&self, call: Call) -> Reply {
        self.tick();
        let path = call.path.clone();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (&call.method, segments.as_slice()) {
            (&Method::GET, ["v1", "usage"]) => Reply::json(StatusCode::OK, &self.worker().usage()),
            (&Method::POST, ["v1", "lease"]) => {
                handle_request(&call, |request: Lease| self.worker().lease(&request))
            }
            (&Method::POST, ["v1", "tasks", task, verb]) => match task.parse() {
                Ok(task) => self.task_call(TaskKey(task), verb, &call).await,
                Err(_) => not_found(),
            },
            _ => not_found(),
        }
    }
}

fn not_found() -> Reply {
    Reply::new(StatusCode::NOT_FOUND, "see docs/contracts/platform.md\n")
}

fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&call.body)
}

fn bad_request(error: &serde_json::Error) -> Reply {
    Reply::new(StatusCode::BAD_REQUEST, format!("{error}\n"))
}

fn to_reply<T: Serialize>(result: Result<T, Refusal>) -> Reply {
    match result {
        Ok(answer) => Reply::json(StatusCode::OK, &answer),
        Err(refusal) => Reply::json(StatusCode::CONFLICT, &refusal),
    }
}

fn handle_request<O: DeserializeOwned, T: Serialize>(
    call: &Call,
    execute: impl FnOnce(O) -> Result<T, Refusal>,
) -> Reply {
    match parse(call) {
        Ok(request) => to_reply(execute(request)),
        Err(error) => bad_request(&error),
    }
}

impl Handler for Host {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.answer(call))
    }
}

/// HTTP server of a host.
#[derive(Debug)]
pub struct WorkerServer {}

impl WorkerServer {
    /// Serves a host until `stop` is triggered and advances its jobs meanwhile.
    pub async fn run(listener: TcpListener, host: Host, stop: Stop) {
        let ticking_host = host.clone();
        let ticker = tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                ticking_host.tick();
            }
        });
        let limits = Limits { max_body_bytes: 4 << 20, ..Limits::default() };
        serve(listener, limits, stop, Arc::new(host)).await;
        ticker.abort();
    }
}
