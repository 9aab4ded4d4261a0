//! A real pondbay process on its own loopback address, and what it uses of its machine.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The program under test.
const BINARY: &str = env!("CARGO_BIN_EXE_pondbay");

/// Memory of each machine, in MB, as stated in the settings.
pub const MEMORY_MB: u64 = 64;

/// Descriptors of each machine, as stated in the settings.
const MAX_FDS: usize = 456;

/// Descriptors of a machine that the platform reserves for files outside the data folder.
const RESERVED_FDS: usize = 200;

/// Maximum number of open descriptors of a process.
pub const MAX_OPEN: usize = MAX_FDS - RESERVED_FDS;

/// Port on which control serves operators and an agent serves its worker.
const CONTROL_PORT: u16 = 7600;
/// Port on which an entry serves callers.
const CALLERS_PORT: u16 = 7601;
/// Port on which an entry answers readiness probes.
const READINESS_PORT: u16 = 7602;
/// Port of the links between processes.
const LINK_PORT: u16 = 7610;
/// Port on which each process serves its metrics.
const METRICS_PORT: u16 = 9464;

/// States of connections in `/proc/net/tcp` that belong to a process or wait to be accepted: established, and
/// closed by the peer only.
const OPEN_STATES: [&str; 2] = ["01", "08"];

/// A listener of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Callers' requests to an entry.
    Callers,
    /// Readiness probes of an entry.
    Readiness,
    /// Operators' requests to control, or registrations at an agent.
    Control,
    /// Links from other processes to control.
    Links,
    /// Metrics.
    Metrics,
}

/// A running process.
pub struct Node {
    role: &'static str,
    ip: Ipv4Addr,
    child: Child,
}

impl Node {
    /// Starts a process whose settings name one control replica.
    pub fn start(role: &'static str, ip: Ipv4Addr, control: Ipv4Addr, folder: &Path) -> Node {
        let folder = folder.join(role);
        fs::create_dir_all(folder.join("data")).expect("a folder");
        let settings = folder.join("settings");
        fs::write(&settings, text(role, ip, control, &folder)).expect("writes");
        let child = Command::new(BINARY)
            .args(["platform", role])
            .env("PONDBAY_CONFIG", &settings)
            .stdout(fs::File::create(folder.join("log")).expect("a file"))
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        Node { role, ip, child }
    }

    /// Returns the address of a listener.
    pub fn address(&self, listener: Listener) -> SocketAddr {
        let port = match listener {
            Listener::Callers => CALLERS_PORT,
            Listener::Readiness => READINESS_PORT,
            Listener::Control => CONTROL_PORT,
            Listener::Links => LINK_PORT,
            Listener::Metrics => METRICS_PORT,
        };
        SocketAddr::from((self.ip, port))
    }

    /// Returns the address of the machine.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Returns the role as the command line names it.
    pub fn role(&self) -> &'static str {
        self.role
    }

    /// Returns whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns what to watch while the process runs.
    pub fn gauge(&self) -> Gauge {
        let bytes = self.ip.octets().map(|byte| format!("{byte:02X}"));
        Gauge {
            process: PathBuf::from(format!("/proc/{}", self.child.id())),
            ip: bytes.into_iter().rev().collect(),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the memory and the descriptors of a process.
pub struct Gauge {
    process: PathBuf,
    /// Address of the process as `/proc/net/tcp` has it.
    ip: String,
}

impl Gauge {
    /// Returns the resident memory and the bytes that have arrived and are not read, in bytes.
    pub fn memory(&self) -> u64 {
        self.resident() + self.unread()
    }

    fn resident(&self) -> u64 {
        let status = fs::read_to_string(self.process.join("status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) << 10
    }

    fn unread(&self) -> u64 {
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        table.lines().skip(1).filter_map(|line| self.unread_of(line)).sum()
    }

    fn unread_of(&self, line: &str) -> Option<u64> {
        let mut columns = line.split_whitespace().skip(1);
        let (local, _, state) = (columns.next()?, columns.next()?, columns.next()?);
        let queues = columns.next()?;
        let (ip, _) = local.split_once(':')?;
        let own = ip == self.ip && OPEN_STATES.contains(&state);
        let (_, received) = queues.split_once(':').filter(|_| own)?;
        u64::from_str_radix(received, 16).ok()
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(self.process.join("fd")).map_or(0, Iterator::count)
    }
}

fn text(role: &str, ip: Ipv4Addr, control: Ipv4Addr, folder: &Path) -> String {
    let listen = match role {
        "entry" => {
            format!("listen.front={ip}:{CALLERS_PORT}\nlisten.readiness={ip}:{READINESS_PORT}")
        }
        _ => format!("listen.control={ip}:{CONTROL_PORT}"),
    };
    let data = folder.join("data");
    format!(
        "node={role}-1\nzone=here\nzones.here=region\nip={ip}\n{listen}\ninternal_ports={LINK_PORT}\n\
         seeds={control}:{CONTROL_PORT}\nbootstrap=true\ndata_dir={}\nlimits.memory_mb={MEMORY_MB}\n\
         limits.max_fds={MAX_FDS}\nfault_tolerance.machines=0\nbounds.max_hold_ms=5000\n\
         bounds.status_s=120\nbounds.grace_s=6\nbounds.catch_up_s=4\n",
        data.display()
    )
}
