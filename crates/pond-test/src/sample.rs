//! Sample units and VMs.

use pond_proto::{Job, Kind, Labels, Millis, Presence, Selector, Service, Size, Unit, Vm};
use pond_state::Meta;

/// Returns a job with one processor and 1000 MiB.
pub fn job(name: &str) -> Unit {
    Unit {
        name: name.to_owned(),
        kind: Kind::Job(Job { run_ms: 10_000, deadline_ms: None, retries: 2 }),
        labels: Labels::from([("class".to_owned(), "batch".to_owned())]),
        size: Size::new(1000, 1000, 0),
        priority: 0,
        team: "team".to_owned(),
        selector: Selector::default(),
        affinity: None,
        anti_affinity: None,
        program: String::new(),
    }
}

/// Returns a service with one processor and 1000 MiB per replica.
pub fn service(name: &str, replicas: u32) -> Unit {
    let kind = Kind::Service(Service {
        replicas,
        slots: 8,
        connections: 64,
        p99_ms: Some(20),
        concurrency: 256,
        rate: 0,
    });
    let labels = Labels::from([("class".to_owned(), "latency-critical".to_owned())]);
    Unit { kind, labels, priority: 100, ..job(name) }
}

/// Returns a VM with four processors and 4000 MiB.
pub fn vm(name: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        labels: Labels::from([("data-centre".to_owned(), "north".to_owned())]),
        size: Size::new(4000, 4000, 0),
        worker: "127.0.0.1:1".to_owned(),
        endpoint_process: Some("127.0.0.1:2".to_owned()),
        presence: Presence::Live,
    }
}

/// Returns the metadata of an order by an operator with the given request identity.
pub fn meta(request: &str) -> Meta {
    Meta { who: "operator".to_owned(), at: Millis(1), request: request.to_owned(), expect: None }
}
