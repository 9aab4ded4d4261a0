//! Checks the operators' HTTP contract with a table of requests.

mod support;

use std::time::Duration;

use pond_http::{Call, Client, HeaderValue, Method, Reply};
use serde_json::{Value, json};
use support::{example, start};
use tokio::runtime::Runtime;

struct Operator {
    runtime: Runtime,
    client: Client,
    address: String,
}

impl Operator {
    fn post(&self, path: &str, body: &Value) -> Reply {
        let mut call = Call::new(Method::POST, path, body.to_string());
        call.headers.insert("content-type", HeaderValue::from_static("application/json"));
        self.send(call)
    }

    fn get(&self, path: &str) -> Reply {
        self.send(Call::new(Method::GET, path, ""))
    }

    fn send(&self, call: Call) -> Reply {
        let timeout = Duration::from_secs(20);
        self.runtime.block_on(self.client.call(&self.address, call, timeout)).expect("an answer")
    }
}

fn origin(request: &str) -> Value {
    json!({"who": "amara", "request": request})
}

fn label(request: &str, value: &str, expect: Option<u64>) -> Value {
    json!({
        "origin": {"who": "amara", "request": request, "expect": expect},
        "vms": true,
        "selector": {"terms": []},
        "set": {"night": value},
    })
}

fn code(reply: &Reply) -> String {
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    body["error_code"].as_str().unwrap_or_default().to_owned()
}

#[test]
fn operator_requests_are_answered_according_to_the_contract() {
    let running = start(&example("ledgerline.yaml"));
    running.wait_for("get units", "10/10");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let mut operator = Operator { runtime, client: Client::new(), address: String::new() };
    // Only the leader answers a read; the other replicas name it in a header.
    let mut hints = Vec::new();
    for address in running.installation.operator_addresses() {
        let replica = Operator { address: address.to_string(), ..operator };
        let reply = replica.get("/v1/units");
        operator = replica;
        if reply.status.is_success() {
            hints.push(address.to_string());
        } else {
            assert_eq!((reply.status.as_u16(), code(&reply).as_str()), (503, "not-leading"));
            hints.push(reply.header("pondbay-leader").unwrap_or_default().to_owned());
        }
    }
    hints.dedup();
    assert_eq!(hints.len(), 1, "{hints:?}");
    operator.address = hints.remove(0);

    let first = operator.post("/v1/labels", &label("same", "yes", None));
    assert_eq!(first.status.as_u16(), 200);
    let resent = operator.post("/v1/labels", &label("same", "yes", None));
    assert_eq!(resent.body, first.body, "a resent order returns the first result");
    let version: Value = serde_json::from_slice(&first.body).expect("JSON");
    let version = version["version"].as_u64().expect("a version");
    let current = operator.post("/v1/labels", &label("a", "no", Some(version)));
    assert_eq!(current.status.as_u16(), 200);

    let cancel = json!({"origin": origin("b"), "names": ["nothing"]});
    let drain = json!({"origin": origin("c"), "drained": true,
        "selector": {"terms": [{"key": "rack", "operator": "In", "values": ["none"]}]}});
    let anonymous = json!({"origin": {"who": "", "request": "d"}, "teams": {}});
    let evacuate = json!({"origin": origin("g"), "data_centre": "nowhere", "evacuated": true});
    let table: [(&str, &str, Value, u16, &str); 7] = [
        (
            "another order with a used identity",
            "/v1/labels",
            label("same", "no", None),
            409,
            "identity-used",
        ),
        (
            "an order based on an old version",
            "/v1/labels",
            label("e", "maybe", Some(version)),
            409,
            "conflict",
        ),
        ("an unknown unit", "/v1/cancellations", cancel, 404, "no-match"),
        ("unknown VMs", "/v1/drains", drain, 404, "no-match"),
        ("an unknown data centre", "/v1/evacuations", evacuate, 404, "no-match"),
        ("an order without operator", "/v1/quotas", anonymous, 400, "origin"),
        ("a body that is not an order", "/v1/quotas", json!({"teams": 3}), 400, ""),
    ];
    for (name, path, body, status, expected) in table {
        let reply = operator.post(path, &body);
        assert_eq!((reply.status.as_u16(), code(&reply).as_str()), (status, expected), "{name}");
    }
    let conflict = operator.post("/v1/labels", &label("f", "maybe", Some(version)));
    let text = String::from_utf8_lossy(&conflict.body).into_owned();
    assert!(text.contains("by amara") && text.contains("night=no"), "the difference: {text}");
    assert_eq!(operator.get("/v1/units/nothing").status.as_u16(), 404);
    let audit = String::from_utf8_lossy(&operator.get("/v1/audit?count=1").body).into_owned();
    assert!(audit.contains("\"who\":\"amara\"") && audit.contains("night=no"), "{audit}");
    running.installation.stop();
}
