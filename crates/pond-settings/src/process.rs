//! Settings of one process.

use std::net::SocketAddr;
use std::path::PathBuf;

use pond_proto::Span;

use crate::Reader;

/// Settings of one process: who it is, where it listens, whom it knows.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its name, unique in the installation.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// All control replicas.
    pub replicas: Vec<Replica>,
    /// The part for its role.
    pub role: Role,
    /// Limits on what it takes in.
    pub limits: Limits,
    /// How it logs.
    pub log: Log,
    /// Where its metrics go, if anywhere.
    pub metrics: Option<Metrics>,
    /// File with the shared token of internal links, if they ask for one.
    pub token_file: Option<PathBuf>,
}

/// The role of a process and what belongs to it alone.
#[derive(Clone, Debug)]
pub enum Role {
    /// A control replica.
    Control(Control),
    /// An entry.
    Entry(Entry),
    /// An endpoint process.
    Endpoint(EndpointProcess),
}

/// One control replica as others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Its name.
    pub name: String,
    /// Where it takes internal links.
    pub internal: SocketAddr,
    /// Where it takes operators' calls.
    pub operator: SocketAddr,
}

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Control {
    /// Where it listens.
    pub listen: Listen,
    /// The one folder for its durable files.
    pub data_folder: PathBuf,
    /// Base address of the platform's VM list.
    pub platform: SocketAddr,
    /// How long work may run without renewal.
    pub lease: Lease,
    /// File with the operators' tokens, if they must show one.
    pub operator_tokens: Option<PathBuf>,
}

/// Addresses that a control replica listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Internal links.
    pub internal: SocketAddr,
    /// Operators.
    pub operator: SocketAddr,
}

/// Times of leases on workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// How long a worker runs a task after the last renewal, in milliseconds.
    pub span_ms: Span,
    /// How often leases are renewed, in milliseconds.
    pub renew_ms: Span,
    /// How far two clocks may drift apart, in thousandths.
    pub drift_permille: u64,
}

impl Default for Lease {
    fn default() -> Lease {
        Lease { span_ms: 10_000, renew_ms: 2_000, drift_permille: 50 }
    }
}

impl Lease {
    /// How long after its last renewal work has surely ended, in milliseconds.
    pub fn expiry_ms(&self) -> Span {
        self.span_ms + self.span_ms * self.drift_permille / 1000 + 1
    }
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Deadline of requests that state none, in milliseconds.
    pub default_deadline_ms: Span,
}

/// Settings of an endpoint process.
#[derive(Clone, Debug)]
pub struct EndpointProcess {
    /// Where it takes internal links.
    pub internal: SocketAddr,
}

/// Limits on what a process takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest frame between processes, in bytes.
    pub frame_bytes: usize,
    /// Largest body of a request or an answer, in bytes.
    pub body_bytes: usize,
    /// Connections from callers.
    pub connections: usize,
    /// Time a caller may take for the head or the body of a request, in milliseconds.
    pub read_ms: Span,
    /// Frames that wait on a link in each direction.
    pub link_queue: usize,
    /// Time that a planned stop may take, in milliseconds.
    pub stop_ms: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            frame_bytes: 4 << 20,
            body_bytes: 1 << 20,
            connections: 4096,
            read_ms: 10_000,
            link_queue: 1024,
            stop_ms: 10_000,
        }
    }
}

/// How a process logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Text or JSON.
    pub format: LogFormat,
    /// Whether debug events are logged too.
    pub debug: bool,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: LogFormat::Terminal, debug: false }
    }
}

/// The format of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Terminal,
    /// One JSON object a line.
    Json,
    /// Nothing at all.
    Silent,
}

/// Where metrics go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// Address of a statsd server, over UDP.
    pub statsd: SocketAddr,
}

/// The word for a role in a file.
#[derive(Clone, Copy)]
enum RoleWord {
    Control,
    Entry,
    Endpoint,
}

/// Reads a settings file from its top mapping.
pub(crate) fn read(reader: &Reader<'_>) -> Process {
    let words = [
        ("control", RoleWord::Control),
        ("entry", RoleWord::Entry),
        ("endpoint", RoleWord::Endpoint),
    ];
    let role = match reader.choice("role", &words) {
        RoleWord::Control => Role::Control(read_control(reader)),
        RoleWord::Entry => Role::Entry(read_entry(reader)),
        RoleWord::Endpoint => Role::Endpoint(read_endpoint(reader)),
    };
    Process {
        name: reader.name("name"),
        data_centre: reader.name("data_centre"),
        replicas: read_replicas(reader),
        role,
        limits: reader.map_opt("limits").map(|map| read_limits(&map)).unwrap_or_default(),
        log: reader.map_opt("log").map(|map| read_log(&map)).unwrap_or_default(),
        metrics: reader.map_opt("metrics").map(|map| read_metrics(&map)),
        token_file: reader.text_opt("token_file").map(PathBuf::from),
    }
}

fn read_replicas(reader: &Reader<'_>) -> Vec<Replica> {
    let nodes = reader.list_needed("control");
    let replicas = nodes.iter().map(|node| {
        let reader = Reader::new(node, reader.findings());
        let replica = Replica {
            name: reader.name("name"),
            internal: reader.address("internal"),
            operator: reader.address("operator"),
        };
        reader.finish();
        replica
    });
    replicas.collect()
}

fn read_control(reader: &Reader<'_>) -> Control {
    let listen = reader.map("listen").map(|map| {
        let listen =
            Listen { internal: map.address("internal"), operator: map.address("operator") };
        map.finish();
        listen
    });
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    Control {
        listen: listen.unwrap_or(Listen { internal: nowhere, operator: nowhere }),
        data_folder: PathBuf::from(reader.text("data_folder")),
        platform: reader.address("platform"),
        lease: reader.map_opt("lease").map(|map| read_lease(&map)).unwrap_or_default(),
        operator_tokens: reader.text_opt("operator_tokens").map(PathBuf::from),
    }
}

pub(crate) fn read_lease(reader: &Reader<'_>) -> Lease {
    let default = Lease::default();
    let lease = Lease {
        span_ms: reader.number_or("span_ms", 500..=600_000, default.span_ms),
        renew_ms: reader.number_or("renew_ms", 50..=300_000, default.renew_ms),
        drift_permille: reader.number_or("drift_permille", 0..=500, default.drift_permille),
    };
    if lease.renew_ms * 3 > lease.span_ms {
        let help = "let span_ms be at least three times renew_ms";
        reader.findings().add(reader.place(), "a lease would not outlive two lost renewals", help);
    }
    reader.finish();
    lease
}

fn read_entry(reader: &Reader<'_>) -> Entry {
    let listen = reader.map("listen").map(|map| {
        let address = map.address("callers");
        map.finish();
        address
    });
    Entry {
        callers: listen.unwrap_or(([127, 0, 0, 1], 0).into()),
        default_deadline_ms: reader.number_or("default_deadline_ms", 1..=600_000, 10_000),
    }
}

fn read_endpoint(reader: &Reader<'_>) -> EndpointProcess {
    let listen = reader.map("listen").map(|map| {
        let address = map.address("internal");
        map.finish();
        address
    });
    EndpointProcess { internal: listen.unwrap_or(([127, 0, 0, 1], 0).into()) }
}

pub(crate) fn read_limits(reader: &Reader<'_>) -> Limits {
    let default = Limits::default();
    let number = |key, range, default: usize| reader.number_or(key, range, default as u64) as usize;
    let limits = Limits {
        frame_bytes: number("frame_bytes", 65_536..=67_108_864, default.frame_bytes),
        body_bytes: number("body_bytes", 1024..=33_554_432, default.body_bytes),
        connections: number("connections", 1..=65_536, default.connections),
        read_ms: reader.number_or("read_ms", 100..=600_000, default.read_ms),
        link_queue: number("link_queue", 16..=65_536, default.link_queue),
        stop_ms: reader.number_or("stop_ms", 100..=600_000, default.stop_ms),
    };
    if limits.body_bytes + 65_536 > limits.frame_bytes {
        let help = "let frame_bytes be at least body_bytes + 65536";
        reader.findings().add(reader.place(), "a whole body would not fit into a frame", help);
    }
    reader.finish();
    limits
}

pub(crate) fn read_log(reader: &Reader<'_>) -> Log {
    let formats = [
        ("terminal", LogFormat::Terminal),
        ("json", LogFormat::Json),
        ("silent", LogFormat::Silent),
    ];
    let log = Log {
        format: reader.choice_or("format", &formats, LogFormat::Terminal),
        debug: reader.choice_or("debug", &[("yes", true), ("no", false)], false),
    };
    reader.finish();
    log
}

fn read_metrics(reader: &Reader<'_>) -> Metrics {
    let metrics = Metrics { statsd: reader.address("statsd") };
    reader.finish();
    metrics
}
