//! Runs a load.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pond_http::{Call, Client, HeaderName, HeaderValue, Method};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plan::{Plan, Target};
use crate::tally::{Asked, Tally, judge};

/// Below this time the pacing thread spins, as a sleep is too coarse.
const SPIN: Duration = Duration::from_micros(150);

/// Extra time that the tool waits for an answer beyond the request's deadline.
const EXTRA: Duration = Duration::from_secs(5);

/// Runs a load to its end; every request with what became of it.
///
/// Arrivals are at random times from the plan's seed and do not wait for answers, so that a slow
/// system cannot slow the load down. Latency counts from the intended start.
///
/// # Errors
/// What the system says if there is no runtime.
pub fn run(plan: &Plan) -> std::io::Result<Vec<Tally>> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let client = Client::new();
    let plan = Arc::new(plan.clone());
    let (done, ended) = mpsc::channel();
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let begun = Instant::now();
    let mut start = Duration::ZERO;
    let mut count = 0;
    while start < plan.time {
        wait_until(begun + start);
        let asked = asked(&plan, &mut rng, count);
        let (shared, client, done) = (plan.clone(), client.clone(), done.clone());
        runtime.spawn(async move {
            let tally = ask(&shared, &client, asked, count, begun, start).await;
            let _ = done.send(tally);
        });
        count += 1;
        let pause = -rng.random::<f64>().max(1e-12).ln() / plan.rate;
        start += Duration::from_secs_f64(pause);
    }
    drop(done);
    Ok(ended.into_iter().collect())
}

fn wait_until(moment: Instant) {
    loop {
        let left = moment.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        if left > SPIN { std::thread::sleep(left - SPIN) } else { std::hint::spin_loop() }
    }
}

fn asked(plan: &Plan, rng: &mut SmallRng, count: usize) -> Asked {
    let repeatable = rng.random_bool(plan.repeatable);
    let keyed = !repeatable && rng.random_bool(plan.keyed);
    let line = format!("{} {count}", plan.name);
    let crc = crc32c::crc32c(&body(plan, &line));
    Asked { line, crc, repeatable, keyed }
}

fn body(plan: &Plan, line: &str) -> Vec<u8> {
    let mut body = format!("{line}\n").into_bytes();
    body.resize(body.len().max(plan.body_bytes), b'.');
    body
}

async fn ask(
    plan: &Plan,
    client: &Client,
    asked: Asked,
    count: usize,
    begun: Instant,
    start: Duration,
) -> Tally {
    let service = &plan.services[count % plan.services.len()];
    let call = call(plan, &asked, service);
    let (address, direct) = match &plan.target {
        Target::Entries(entries) => (&entries[count % entries.len()], false),
        Target::Endpoint(address) => (address, true),
    };
    let patience = Duration::from_millis(plan.deadline_ms) + EXTRA;
    let result = client.call(address, call, patience).await;
    let ended = judge(&asked, direct, &result);
    Tally { asked, ended, latency: begun.elapsed().saturating_sub(start), start }
}

fn call(plan: &Plan, asked: &Asked, service: &str) -> Call {
    let path = format!("/v1/services/{service}");
    let mut call = Call::new(Method::POST, &path, body(plan, &asked.line));
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            call.headers.insert(HeaderName::from_static(name), value);
        }
    };
    let repeatable = if asked.repeatable { "yes" } else { "no" };
    put("pondbay-repeatable", repeatable.to_owned());
    put("pondbay-deadline-ms", plan.deadline_ms.to_string());
    if asked.keyed {
        put("idempotency-key", asked.line.replace(' ', "-"));
    }
    call
}
