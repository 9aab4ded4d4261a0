//! Settings of a process.

use std::net::SocketAddr;
use std::path::PathBuf;

use pond_proto::Span;

use crate::Reader;

/// Settings of a process: identity, listen addresses and control replicas.
#[derive(Clone, Debug)]
pub struct Process {
    /// Name, unique in the installation.
    pub name: String,
    /// Data centre it runs in.
    pub data_centre: String,
    /// All control replicas.
    pub replicas: Vec<Replica>,
    /// Role and role-specific settings.
    pub role: Role,
    /// Limits on incoming data and time.
    pub limits: Limits,
    /// Log settings.
    pub log: Log,
    /// Metrics settings; without them, metrics are discarded.
    pub metrics: Option<Metrics>,
    /// File with the shared token of internal links, if one is required.
    pub token_file: Option<PathBuf>,
}

/// Role of a process with its role-specific settings.
#[derive(Clone, Debug)]
pub enum Role {
    /// A control replica.
    Control(Control),
    /// An entry.
    Entry(Entry),
    /// An endpoint process.
    Endpoint(EndpointProcess),
}

/// Name and addresses of a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Name.
    pub name: String,
    /// Listen address for internal links.
    pub internal: SocketAddr,
    /// Listen address for operator requests.
    pub operator: SocketAddr,
}

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Control {
    /// Listen addresses.
    pub listen: Listen,
    /// Directory of the durable files.
    pub data_folder: PathBuf,
    /// Address of the platform's VM list.
    pub platform: SocketAddr,
    /// Lease timing of workers.
    pub lease: Lease,
    /// File with the operators' tokens, if operators must authenticate.
    pub operator_tokens: Option<PathBuf>,
}

/// Listen addresses of a control replica.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Address for internal links.
    pub internal: SocketAddr,
    /// Address for operator requests.
    pub operator: SocketAddr,
}

/// Timing of the leases of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Time a worker keeps running a task after the last renewal, in milliseconds.
    pub span_ms: Span,
    /// Interval between renewals, in milliseconds.
    pub renew_ms: Span,
    /// Maximum relative drift between two clocks, in thousandths.
    pub drift_permille: u64,
}

impl Default for Lease {
    fn default() -> Lease {
        Lease { span_ms: 10_000, renew_ms: 2_000, drift_permille: 50 }
    }
}

impl Lease {
    /// Returns the time after the last renewal by which work has ended on any clock within the
    /// drift limit, in milliseconds.
    pub fn expiry_ms(&self) -> Span {
        self.span_ms + self.span_ms * self.drift_permille / 1000 + 1
    }
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Deadline of requests without an explicit one, in milliseconds.
    pub default_deadline_ms: Span,
}

/// Settings of an endpoint process.
#[derive(Clone, Debug)]
pub struct EndpointProcess {
    /// Listen address for internal links.
    pub internal: SocketAddr,
}

/// Limits on incoming data and time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum frame size between processes, in bytes.
    pub frame_bytes: usize,
    /// Maximum body size of a request or an answer, in bytes.
    pub body_bytes: usize,
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Memory for the connections and the requests of callers together, in bytes.
    pub request_memory_bytes: usize,
    /// Timeout for receiving the header or the body of a request, in milliseconds.
    pub read_ms: Span,
    /// Maximum number of queued frames per link and direction.
    pub link_queue: usize,
    /// Timeout of a planned stop, in milliseconds.
    pub stop_ms: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            frame_bytes: 4 << 20,
            body_bytes: 1 << 20,
            connections: 4096,
            request_memory_bytes: 256 << 20,
            read_ms: 10_000,
            link_queue: 1024,
            stop_ms: 10_000,
        }
    }
}

/// Log settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Output format.
    pub format: LogFormat,
    /// Whether to log debug events.
    pub debug: bool,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: LogFormat::Terminal, debug: false }
    }
}

/// Output format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    Terminal,
    /// One JSON object per line.
    Json,
    /// No output.
    Silent,
}

/// Metrics settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// UDP address of a statsd server.
    pub statsd: SocketAddr,
}

/// Value of the key `role`.
#[derive(Clone, Copy)]
enum RoleName {
    Control,
    Entry,
    Endpoint,
}

/// Reads a settings file from its top-level mapping.
pub(crate) fn read(reader: &Reader<'_>) -> Process {
    let roles = [
        ("control", RoleName::Control),
        ("entry", RoleName::Entry),
        ("endpoint", RoleName::Endpoint),
    ];
    let role = match reader.choice("role", &roles) {
        RoleName::Control => Role::Control(read_control(reader)),
        RoleName::Entry => Role::Entry(read_entry(reader)),
        RoleName::Endpoint => Role::Endpoint(read_endpoint(reader)),
    };
    Process {
        name: reader.name("name"),
        data_centre: reader.name("data_centre"),
        replicas: read_replicas(reader),
        role,
        limits: reader.optional_map("limits").map(|map| read_limits(&map)).unwrap_or_default(),
        log: reader.optional_map("log").map(|map| read_log(&map)).unwrap_or_default(),
        metrics: reader.optional_map("metrics").map(|map| read_metrics(&map)),
        token_file: reader.optional_text("token_file").map(PathBuf::from),
    }
}

fn read_replicas(reader: &Reader<'_>) -> Vec<Replica> {
    let nodes = reader.required_list("control");
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
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    Control {
        listen: listen.unwrap_or(Listen { internal: placeholder, operator: placeholder }),
        data_folder: PathBuf::from(reader.text("data_folder")),
        platform: reader.address("platform"),
        lease: reader.optional_map("lease").map(|map| read_lease(&map)).unwrap_or_default(),
        operator_tokens: reader.optional_text("operator_tokens").map(PathBuf::from),
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
        let help = "set span_ms to at least three times renew_ms";
        reader.findings().add(
            reader.position(),
            "a lease would expire after two lost renewals",
            help,
        );
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
        request_memory_bytes: number(
            "request_memory_bytes",
            1 << 20..=1 << 40,
            default.request_memory_bytes,
        ),
        read_ms: reader.number_or("read_ms", 100..=600_000, default.read_ms),
        link_queue: number("link_queue", 16..=65_536, default.link_queue),
        stop_ms: reader.number_or("stop_ms", 100..=600_000, default.stop_ms),
    };
    if limits.body_bytes + 65_536 > limits.frame_bytes {
        let help = "set frame_bytes to at least body_bytes + 65536";
        reader.findings().add(
            reader.position(),
            "a maximum-size body would not fit into a frame",
            help,
        );
    }
    if 2 * limits.body_bytes > limits.request_memory_bytes {
        let help = "set request_memory_bytes to at least twice body_bytes";
        reader.findings().add(reader.position(), "a maximum-size body would not fit", help);
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
