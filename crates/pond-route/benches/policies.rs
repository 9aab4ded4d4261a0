//! Compares load-balancing policies at the same offered load, in virtual time.
//!
//! `cargo bench -p pond-route --bench policies` prints the table in docs/MEASUREMENTS.md: three
//! entries share ten endpoints of eight slots each, without a central queue.

use pond_proto::Outcome;
use pond_route::{PolicyKind, Tuning};
use pond_test::{Behaviour, RequestPath};

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 10;
const SLOTS: u32 = 8;

/// Mean service time of a healthy endpoint, in microseconds.
const SERVICE_US: u64 = 2_000;

/// Duration of the measured load in virtual time, in microseconds.
const RUN_US: u64 = 1_000_000;

/// Requests a second that all endpoints can serve when healthy.
const CAPACITY: f64 = ENDPOINTS as f64 * SLOTS as f64 * 1e6 / SERVICE_US as f64;

struct Case {
    name: &'static str,
    load: f64,
    delay_us: u64,
    first: Behaviour,
}

const CASES: [Case; 5] = [
    Case { name: "healthy, 70 %", load: 0.7, delay_us: 100, first: Behaviour::Serve(SERVICE_US) },
    Case { name: "healthy, 90 %", load: 0.9, delay_us: 100, first: Behaviour::Serve(SERVICE_US) },
    Case {
        name: "one 10x slow, 70 %",
        load: 0.7,
        delay_us: 100,
        first: Behaviour::Serve(10 * SERVICE_US),
    },
    Case { name: "one fails at once, 70 %", load: 0.7, delay_us: 100, first: Behaviour::Fail(50) },
    Case {
        name: "load 5 ms stale, 70 %",
        load: 0.7,
        delay_us: 5_000,
        first: Behaviour::Serve(SERVICE_US),
    },
];

const POLICIES: [(&str, PolicyKind, bool); 5] = [
    ("random", PolicyKind::Random, false),
    ("least open", PolicyKind::LeastOpen, false),
    ("two choices", PolicyKind::TwoChoices, false),
    ("grants", PolicyKind::Grants, false),
    ("two choices, hedged", PolicyKind::TwoChoices, true),
];

fn main() {
    println!("| case | policy | p50 ms | p99 ms | p99.9 ms | not answered | share at the first |");
    println!("|---|---|---|---|---|---|---|");
    for case in &CASES {
        for (name, policy, hedge) in POLICIES {
            let tuning = Tuning { policy, hedge, ..Tuning::default() };
            run(case, name, tuning);
        }
    }
}

fn run(case: &Case, name: &str, tuning: Tuning) {
    let mut path =
        RequestPath::new(ENTRIES, ENDPOINTS, SLOTS, tuning, 11).with_delay(case.delay_us);
    (0..ENDPOINTS).for_each(|i| path.set_behaviour(i, Behaviour::Serve(SERVICE_US)));
    path.set_behaviour(0, case.first);
    path.run_load(CAPACITY * case.load, RUN_US / 4, true, 1000);
    let since = path.now();
    path.run_load(CAPACITY * case.load, RUN_US, true, 1000);
    path.run_for(200_000);
    let latencies = path.latencies(since);
    let at = |quantile: f64| {
        let place = (latencies.len() as f64 * quantile) as usize;
        latencies.get(place).copied().unwrap_or(0) as f64 / 1000.0
    };
    let replies = path.replies.values().filter(|result| result.requested_at >= since);
    let bad = replies
        .filter(|result| match &result.finish {
            pond_route::Finish::Answered(answer) => answer.status >= 500,
            other => other.outcome() != Outcome::Answered,
        })
        .count();
    let starts: u32 = path.starts.iter().sum();
    println!(
        "| {} | {name} | {:.2} | {:.2} | {:.2} | {bad} | {:.1} % |",
        case.name,
        at(0.5),
        at(0.99),
        at(0.999),
        f64::from(path.starts[0]) * 100.0 / f64::from(starts)
    );
}
