//! Each role as a separate process with a settings file, on a simulated platform.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use pond_http::{Call, Client, Method, Stop};
use pond_proto::{Labels, Presence, Size, Vm};
use pond_standin::{Host, LaggingList, ListServer, Record, WorkerServer};
use tokio::runtime::Runtime;

const BINARY: &str = env!("CARGO_BIN_EXE_pondbay");

/// Maximum time to wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(60);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// Process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Deployment {
    folder: PathBuf,
    internal: SocketAddr,
    operator: SocketAddr,
    list: SocketAddr,
    worker: SocketAddr,
    endpoint: SocketAddr,
    callers: SocketAddr,
}

impl Deployment {
    fn new() -> Deployment {
        let folder = std::env::temp_dir().join(format!("pondbay-processes-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        Deployment {
            folder,
            internal: free_address(),
            operator: free_address(),
            list: free_address(),
            worker: free_address(),
            endpoint: free_address(),
            callers: free_address(),
        }
    }

    /// Writes a settings file for a role and starts its process.
    fn start_process(&self, role: &str, extra_settings: &str) -> Process {
        let file = self.folder.join(format!("{role}.yaml"));
        let text = format!(
            "role: {role}\nname: {role}-1\ndata_centre: here\nlog: {{ format: json }}\ncontrol:\n  - \
             {{ name: control-1, internal: '{}', operator: '{}' }}\n{extra_settings}",
            self.internal, self.operator
        );
        fs::write(&file, text).expect("writes");
        let child = Command::new(BINARY)
            .args([role, "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Process(child.expect("it starts"))
    }

    fn run_command(&self, arguments: &[&str]) -> String {
        let output = Command::new(BINARY)
            .args(arguments)
            .args(["--control", &self.operator.to_string()])
            .output()
            .expect("it runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

/// Starts the worker and the VM list of the simulated platform.
fn start_platform(runtime: &Runtime, deployment: &Deployment) {
    let vm = Vm {
        name: "vm-1".to_owned(),
        labels: Labels::from([(Vm::DATA_CENTRE.to_owned(), "here".to_owned())]),
        size: Size::new(8000, 16_000, 0),
        worker: deployment.worker.to_string(),
        endpoint_process: Some(deployment.endpoint.to_string()),
        presence: Presence::Live,
    };
    let host = Host::new(vm.size, 1000, Record::new());
    let list = LaggingList::new(Duration::ZERO, vec![vm]);
    let (worker, list_address) = (deployment.worker, deployment.list);
    runtime.spawn(async move {
        let listener = tokio::net::TcpListener::bind(worker).await.expect("listens");
        WorkerServer::run(listener, host, Stop::new()).await;
    });
    runtime.spawn(async move {
        let listener = tokio::net::TcpListener::bind(list_address).await.expect("listens");
        ListServer::run(listener, list, Stop::new()).await;
    });
}

fn terminate(mut process: Process) -> Option<i32> {
    let kill = Command::new("kill").arg(process.0.id().to_string()).status();
    assert!(kill.is_ok_and(|status| status.success()));
    process.0.wait().ok()?.code()
}

#[test]
fn roles_run_as_separate_processes_and_exit_cleanly() {
    let deployment = Deployment::new();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    start_platform(&runtime, &deployment);
    let (internal, operator) = (deployment.internal, deployment.operator);
    let control = deployment.start_process(
        "control",
        &format!(
            "listen: {{ internal: '{internal}', operator: '{operator}' }}\ndata_folder: '{}'\n\
             platform: '{}'\n",
            deployment.folder.join("data").display(),
            deployment.list
        ),
    );
    let endpoint = deployment
        .start_process("endpoint", &format!("listen: {{ internal: '{}' }}\n", deployment.endpoint));
    let entry = deployment
        .start_process("entry", &format!("listen: {{ callers: '{}' }}\n", deployment.callers));
    let units = deployment.folder.join("units.yaml");
    let text = "units:\n  - name: till\n    service: { replicas: 1 }\n    size: { memory_mib: 100 }\n    \
                program: check service_us=100\n";
    fs::write(&units, text).expect("writes");
    let started = Instant::now();
    while !deployment.run_command(&["apply", &units.display().to_string()]).contains("applied") {
        assert!(started.elapsed() < TIMEOUT, "control does not accept units");
    }
    let client = Client::new();
    let answer = loop {
        let call = Call::new(Method::POST, "/v1/services/till", "a purchase");
        let address = deployment.callers.to_string();
        let reply = runtime.block_on(client.call(&address, call, Duration::from_secs(5)));
        match reply {
            Ok(reply) if reply.header("pondbay-outcome") == Some("answered") => break reply,
            other => assert!(started.elapsed() < TIMEOUT, "no answer: {other:?}"),
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(String::from_utf8_lossy(&answer.body).starts_with("answer to a purchase\n"));
    assert!(deployment.run_command(&["status"]).contains("in force at 2 of 2 processes"));
    assert_eq!(terminate(entry), Some(0));
    assert_eq!(terminate(endpoint), Some(0));
    assert_eq!(terminate(control), Some(0));
    let _ = fs::remove_dir_all(&deployment.folder);
}
