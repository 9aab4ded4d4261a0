//! Tests a complete local installation: requests, jobs, and stops under load.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use pond_http::{Call, Client, Error, Method, Reply};
use support::{example, start, until};
use tokio::runtime::Runtime;

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
}

async fn send(client: &Client, entry: &str, service: &str, body: &str) -> Result<Reply, Error> {
    let path = format!("/v1/services/{service}");
    let call = Call::new(Method::POST, &path, body.to_owned());
    client.call(entry, call, Duration::from_secs(20)).await
}

fn outcome(reply: &Reply) -> &str {
    reply.header("pondbay-outcome").unwrap_or("none")
}

#[test]
fn requests_are_answered_and_jobs_complete() {
    let running = start(&example("found-property-matching.yaml"));
    running.wait_for("status", "in force at 12 of 12");
    running.wait_for("get units", "10/10");
    let entry = running.installation.caller_addresses()[0].to_string();
    let reply = runtime().block_on(send(&Client::new(), &entry, "counter-query", "passport 7"));
    let reply = reply.expect("an answer");
    assert_eq!(outcome(&reply), "answered");
    assert!(String::from_utf8_lossy(&reply.body).starts_with("answer to passport 7\n"));
    let (_, explained) = running.command("explain confirm-reports");
    assert!(explained.contains("VMs can take it"), "{explained}");
    running.wait_for("describe confirm-reports", "standing:      done");
    // The job that fits on no VM is explained and did not block the others.
    running.wait_for("explain too-large", "none has 2 accelerators there, the largest has 0");
    running.installation.stop();
}

#[test]
fn invalid_requests_are_answered_as_not_run() {
    let running = start(&example("ledgerline.yaml"));
    running.wait_for("get units", "10/10");
    let entry = running.installation.caller_addresses()[0].to_string();
    let client = Client::new();
    let table: [(&str, &str, &str, u16); 6] = [
        ("/v1/services/checkout", "pondbay-repeatable", "perhaps", 400),
        ("/v1/services/checkout", "pondbay-deadline-ms", "soon", 400),
        ("/v1/services/checkout", "pondbay-deadline-ms", "0", 400),
        ("/v1/services/checkout", "idempotency-key", "", 400),
        ("/v1/services/nothing", "pondbay-repeatable", "yes", 404),
        ("/elsewhere", "pondbay-repeatable", "yes", 400),
    ];
    let runtime = runtime();
    for (path, name, value, status) in table {
        let mut call = Call::new(Method::POST, path, "x");
        call.headers.insert(name, value.parse().expect("a value"));
        let reply = runtime.block_on(client.call(&entry, call, Duration::from_secs(20)));
        let reply = reply.expect("an answer");
        assert_eq!((reply.status.as_u16(), outcome(&reply)), (status, "not-run"), "{name} {value}");
    }
    let large = Call::new(Method::POST, "/v1/services/checkout", vec![b'x'; 2 << 20]);
    let reply = runtime.block_on(client.call(&entry, large, Duration::from_secs(20)));
    // The entry may close the connection before it has read all of the body.
    if let Ok(reply) = reply {
        assert_eq!((reply.status.as_u16(), outcome(&reply)), (413, "not-run"));
    }
    running.installation.stop();
}

#[test]
fn resent_request_with_the_same_key_runs_once_and_gets_the_same_answer() {
    let running = start(&example("ledgerline.yaml"));
    running.wait_for("get units", "10/10");
    let entries = running.installation.caller_addresses();
    let runtime = runtime();
    let client = Client::new();
    let send = |entry: usize, body: &str| {
        let mut call = Call::new(Method::POST, "/v1/services/checkout", body.to_owned());
        call.headers.insert("idempotency-key", "loan-77".parse().expect("a value"));
        let address = entries[entry].to_string();
        runtime.block_on(client.call(&address, call, Duration::from_secs(20))).expect("an answer")
    };
    let first = send(0, "issue loan 77");
    assert_eq!(outcome(&first), "answered");
    for entry in [0, 1, 0] {
        let again = send(entry, "issue loan 77");
        assert_eq!((outcome(&again), &again.body), ("answered", &first.body));
    }
    assert_eq!(running.installation.record().get("issue loan 77").started, 1);
    let other = send(1, "issue another loan");
    assert_eq!((other.status.as_u16(), outcome(&other)), (422, "not-run"));
    running.installation.stop();
}

/// Callers that send requests continuously until stopped.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU32>,
    not_run: Arc<AtomicU32>,
    wrong: Arc<AtomicU32>,
    runtime: Runtime,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    fn start(entries: Vec<String>, service: &'static str) -> Load {
        let mut load = Load {
            stop: Arc::default(),
            answered: Arc::default(),
            not_run: Arc::default(),
            wrong: Arc::default(),
            runtime: runtime(),
            tasks: Vec::new(),
        };
        for caller in 0..8 {
            let entry = entries[caller % entries.len()].clone();
            let (stop, answered) = (load.stop.clone(), load.answered.clone());
            let (not_run, wrong) = (load.not_run.clone(), load.wrong.clone());
            load.tasks.push(load.runtime.spawn(async move {
                let client = Client::new();
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let body = format!("caller {caller} request {number}");
                    let reply = match send(&client, &entry, service, &body).await {
                        Ok(reply) => reply,
                        Err(error) if error.not_sent() => {
                            // The entry has stopped, so nothing listens on its address.
                            tokio::time::sleep(Duration::from_millis(5)).await;
                            continue;
                        }
                        Err(error) => {
                            eprintln!("{body}: {error}");
                            wrong.fetch_add(1, Ordering::Relaxed);
                            continue;
                        }
                    };
                    let text = String::from_utf8_lossy(&reply.body);
                    match outcome(&reply) {
                        "answered" if text.starts_with(&format!("answer to {body}\n")) => {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        "not-run" => {
                            not_run.fetch_add(1, Ordering::Relaxed);
                        }
                        other => {
                            eprintln!("{body}: {other}: {text}");
                            wrong.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            }));
        }
        load
    }

    fn answered(&self) -> u32 {
        self.answered.load(Ordering::Relaxed)
    }

    fn wait_for_answers(&self, count: u32) {
        let before = self.answered();
        until("more answers", || self.answered() >= before + count);
    }

    /// Stops the load and returns the number of requests with a lost, unknown or wrong answer.
    fn stop(self) -> u32 {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            self.runtime.block_on(task).expect("a caller ends");
        }
        self.wrong.load(Ordering::Relaxed)
    }
}

fn addresses(running: &support::Running) -> Vec<String> {
    running.installation.caller_addresses().iter().map(ToString::to_string).collect()
}

#[test]
fn stop_under_load_cuts_off_no_request() {
    let running = start(&example("ledgerline.yaml"));
    running.wait_for("get units", "10/10");
    let load = Load::start(addresses(&running), "checkout");
    load.wait_for_answers(500);
    running.installation.stop();
    assert_eq!(load.stop(), 0);
}

#[test]
fn rolling_restart_loses_no_request() {
    let mut running = start(&example("ledgerline.yaml"));
    running.wait_for("get units", "10/10");
    // Entries are not restarted: on the platform, a load balancer would redirect their callers.
    let load = Load::start(addresses(&running), "checkout");
    load.wait_for_answers(200);
    let plan = running.installation.plan().clone();
    for settings in plan.endpoints.iter().chain(&plan.control) {
        assert!(running.installation.stop_process(&settings.name));
        load.wait_for_answers(20);
        running.installation.restart_process(&settings.name).expect("the process restarts");
        running.wait_for("status", "in force at 12 of 12");
        load.wait_for_answers(20);
    }
    assert_eq!(load.stop(), 0);
    running.installation.stop();
}

#[test]
fn killing_a_control_replica_under_load_loses_no_accepted_order() {
    let mut running = start(&example("ledgerline.yaml"));
    running.wait_for("get units", "10/10");
    let load = Load::start(addresses(&running), "checkout");
    for round in 0..2 {
        for replica in ["control-1", "control-2", "control-3"] {
            let value = format!("{round}-{replica}");
            let (result, printed) = running.command(&format!("label vms pool test={value}"));
            assert!(result.is_ok(), "{result:?} {printed}");
            assert!(running.installation.kill_process(replica));
            running.wait_for("get vms", &format!("test={value}"));
            running.installation.restart_process(replica).expect("the process restarts");
            load.wait_for_answers(20);
        }
    }
    running.wait_for("get units", "10/10");
    assert_eq!(load.stop(), 0);
    running.installation.stop();
}

#[test]
fn draining_a_rack_loses_no_request() {
    let running = start(&example("found-property-matching.yaml"));
    running.wait_for("get units", "10/10");
    let load = Load::start(addresses(&running), "counter-query");
    load.wait_for_answers(200);
    let (result, printed) = running.command("drain rack=matching-rack-1");
    assert!(result.is_ok(), "{result:?} {printed}");
    until("no task is left in the rack", || {
        let (_, tasks) = running.command("get tasks");
        !["matching-1 ", "matching-2 ", "matching-3 "].iter().any(|vm| tasks.contains(vm))
    });
    running.wait_for("get units", "10/10");
    load.wait_for_answers(100);
    assert_eq!(load.stop(), 0);
    running.installation.stop();
}

#[test]
fn evacuated_data_centre_is_marked_until_readmitted() {
    let running = start(&example("found-property-matching.yaml"));
    running.wait_for("get units", "10/10");
    let (_, vms) = running.command("get vms --json");
    let rows: Vec<pond_proto::operator::VmRow> = serde_json::from_str(&vms).expect("a list");
    let name = rows[0].labels["data-centre"].clone();
    let (result, printed) = running.command(&format!("evacuate {name}"));
    assert!(result.is_ok() && printed.contains("evacuated"), "{result:?} {printed}");
    let (_, list) = running.command("get evacuations");
    assert!(list.contains(&name), "{list}");
    let (_, vms) = running.command("get vms");
    assert!(vms.contains(", evacuated"), "{vms}");
    let (result, printed) = running.command(&format!("evacuate --undo {name}"));
    assert!(result.is_ok() && printed.contains("took back"), "{result:?} {printed}");
    let (_, list) = running.command("get evacuations");
    assert!(!list.contains(&name), "{list}");
    let (result, printed) = running.command("evacuate nowhere");
    assert!(result.is_err() || printed.contains("nowhere"), "{result:?} {printed}");
    running.installation.stop();
}

#[test]
fn no_worker_is_overcommitted() {
    let running = start(&example("ledgerline.yaml"));
    running.wait_for("describe rebuild-schedules-a", "standing:      done");
    for (name, host) in running.installation.hosts() {
        let size = running.installation.plan().vms.iter().find(|vm| vm.name == *name);
        assert!(host.worker().peak.fits(size.expect("a VM").size), "{name}");
    }
    running.installation.stop();
}
