//! Runs a load.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pond_http::{Call, Client, HeaderName, HeaderValue, Method};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plan::{Plan, Target};
use crate::sample::{Request, Sample, classify};

/// The pacing thread spins for shorter waits, because sleeping is too imprecise.
const SPIN_THRESHOLD: Duration = Duration::from_micros(150);

/// Time to wait for an answer beyond the deadline of its request.
const DEADLINE_MARGIN: Duration = Duration::from_secs(5);

/// Runs a load to its end and returns a sample per request.
///
/// Arrival times are random, determined by the plan's seed, and do not wait for answers, so that a
/// slow system cannot reduce the load. Latency counts from the intended start.
///
/// # Errors
/// The I/O error if the runtime cannot be created.
pub fn run(plan: &Plan) -> std::io::Result<Vec<Sample>> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let client = Client::new();
    let plan = Arc::new(plan.clone());
    let (sender, samples) = mpsc::channel();
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let load_start = Instant::now();
    let mut start = Duration::ZERO;
    let mut count = 0;
    while start < plan.duration {
        wait_until(load_start + start);
        let request = new_request(&plan, &mut rng, count);
        let (shared, client, sender) = (plan.clone(), client.clone(), sender.clone());
        runtime.spawn(async move {
            let sample = send(&shared, &client, request, count, load_start, start).await;
            let _ = sender.send(sample);
        });
        count += 1;
        let interval = -rng.random::<f64>().max(1e-12).ln() / plan.rate;
        start += Duration::from_secs_f64(interval);
    }
    drop(sender);
    Ok(samples.into_iter().collect())
}

fn wait_until(moment: Instant) {
    loop {
        let remaining = moment.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        if remaining > SPIN_THRESHOLD {
            std::thread::sleep(remaining - SPIN_THRESHOLD)
        } else {
            std::hint::spin_loop()
        }
    }
}

fn new_request(plan: &Plan, rng: &mut SmallRng, count: usize) -> Request {
    let repeatable = rng.random_bool(plan.repeatable);
    let keyed = !repeatable && rng.random_bool(plan.keyed);
    let line = format!("{} {count}", plan.name);
    let crc = crc32c::crc32c(&body(plan, &line));
    Request { line, crc, repeatable, keyed }
}

fn body(plan: &Plan, line: &str) -> Vec<u8> {
    let mut body = format!("{line}\n").into_bytes();
    body.resize(body.len().max(plan.body_bytes), b'.');
    body
}

async fn send(
    plan: &Plan,
    client: &Client,
    request: Request,
    count: usize,
    load_start: Instant,
    start: Duration,
) -> Sample {
    let service = &plan.services[count % plan.services.len()];
    let call = call(plan, &request, service);
    let (address, direct) = match &plan.target {
        Target::Entries(entries) => (&entries[count % entries.len()], false),
        Target::Endpoint(address) => (address, true),
    };
    let timeout = Duration::from_millis(plan.deadline_ms) + DEADLINE_MARGIN;
    let result = client.call(address, call, timeout).await;
    let outcome = classify(&request, direct, &result);
    Sample { request, outcome, latency: load_start.elapsed().saturating_sub(start), start }
}

fn call(plan: &Plan, request: &Request, service: &str) -> Call {
    let path = format!("/v1/services/{service}");
    let mut call = Call::new(Method::POST, &path, body(plan, &request.line));
    let mut insert = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            call.headers.insert(HeaderName::from_static(name), value);
        }
    };
    let repeatable = if request.repeatable { "yes" } else { "no" };
    insert("pondbay-repeatable", repeatable.to_owned());
    insert("pondbay-deadline-ms", plan.deadline_ms.to_string());
    if request.keyed {
        insert("idempotency-key", request.line.replace(' ', "-"));
    }
    call
}
