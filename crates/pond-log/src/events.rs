//! The event catalogue. Event numbers are never reused.

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Something is broken and needs an operator.
    Error,
    /// Something went wrong and was handled automatically.
    Warning,
    /// Normal operation, of interest to operators.
    Info,
    /// Details for fault diagnosis.
    Debug,
}

impl Level {
    /// Returns the corresponding level of the logging library.
    pub const fn slog(self) -> slog::Level {
        match self {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        }
    }

    /// Returns the name used in the catalogue.
    pub fn as_str(self) -> &'static str {
        match self {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Info => "info",
            Level::Debug => "debug",
        }
    }
}

/// An entry of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Unique number.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Fixed text of the log line.
    pub text: &'static str,
    /// What an operator should do about it.
    pub advice: &'static str,
}

macro_rules! catalogue {
    ($($name:ident = $number:literal, $level:ident, $text:literal, $advice:literal;)*) => {
        $(
            #[doc = $text]
            pub const $name: Event = Event {
                number: $number,
                level: Level::$level,
                text: $text,
                advice: $advice,
            };
        )*

        /// All events, in the order of the catalogue.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

catalogue! {
    STARTED = 100, Info, "process started", "nothing";
    STOPPING = 101, Info, "planned stop of the process began", "nothing";
    STOPPED = 102, Info, "process stopped", "nothing";
    STOP_LATE = 103, Warning, "planned stop exceeded its time limit and was aborted",
        "raise limits.stop_ms if requests may take that long";
    SETTINGS_INVALID = 104, Error, "settings are invalid", "run `pondbay check` on the file";
    RELOADED = 105, Info, "settings reloaded", "nothing";
    LINK_UP = 200, Debug, "link established", "nothing";
    LINK_DOWN = 201, Warning, "link lost",
        "nothing if it is re-established; otherwise check the process at the other end";
    LINK_REFUSED = 202, Warning, "incoming link refused",
        "check the reason: another release, another token, or an unknown host on the internal port";
    LEADER_FOUND = 203, Info, "connected to the leading control replica", "nothing";
    LEADER_LOST = 204, Warning, "connection to the leading control replica lost",
        "nothing if it is re-established; otherwise check the control replicas";
    READY = 205, Info, "readiness changed", "see the preceding log line for the cause";
    ADDRESS_EXPIRED = 206, Info, "replica that was unreachable for long is no longer dialled",
        "nothing: it is dialled again when it presents itself";
    LEADER = 300, Info, "this replica became leader", "nothing";
    FOLLOWER = 301, Info, "this replica became follower", "nothing";
    QUORUM_FORMED = 302, Info, "quorum formed for the first time", "nothing";
    QUORUM_WAITS = 303, Info, "waiting for all replicas before the first start",
        "start all control processes listed in the settings";
    MEMBERS = 304, Info, "quorum membership changed", "nothing";
    LOG_TRUNCATED = 305, Warning, "incomplete record at the end of the log was truncated",
        "nothing: it had not been acknowledged";
    SNAPSHOT = 306, Info, "snapshot written", "nothing";
    INSTALLED = 307, Info, "snapshot received from the leader was installed", "nothing";
    STORE_FAILED = 308, Error, "durable storage failed; the replica stops",
        "free or replace the disk, then restart the replica";
    STATE_DIFFERS = 309, Error, "replica states have diverged",
        "stop the replica that differs from the others, move its folder away, start it empty";
    REPLACED = 310, Warning, "replica returned with a different disk and is replaced", "nothing";
    OLDER_DISK = 311, Error, "replica returned with an outdated disk and is removed",
        "stop it, move its folder away, start it empty";
    DISK_FULL = 313, Warning,
        "disk is full; the replica neither leads nor votes until space is available",
        "free space in the data folder's file system";
    DISK_RECOVERED = 314, Info, "disk accepts writes again", "nothing";
    REDUNDANCY_REDUCED = 315, Warning, "quorum tolerates fewer further losses than the settings require",
        "if 316 does not follow, restart or replace the replicas named in `unreachable`";
    REDUNDANCY_RESTORED = 316, Info, "quorum tolerates the losses that the settings require", "nothing";
    UNREACHABLE_REMOVED = 317, Warning, "unreachable replica is removed from the quorum",
        "nothing: it is added again when it returns";
    MAJORITY_UNREACHABLE = 318, Warning, "replica cannot reach a majority of the voters",
        "start the replicas named in `unreachable` again on their disks";
    MEMBER_ADDED = 312, Info, "replica added to the quorum", "nothing";
    CHANGE_ACCEPTED = 400, Info, "change accepted", "nothing";
    CHANGE_REFUSED = 401, Info, "change refused", "nothing: the sender received the reason";
    PLACED = 402, Info, "task placed", "nothing";
    SET_ASIDE = 403, Info, "no VM can currently run the unit", "see `pondbay explain UNIT`";
    STEERED = 404, Info, "running task adjusted", "see `pondbay explain UNIT`";
    TASK_STARTED = 405, Info, "task started", "nothing";
    TASK_ENDED = 406, Info, "task ended", "see `pondbay explain UNIT` if it failed";
    ORDER_FAILED = 407, Warning, "order to a worker failed and is retried",
        "check the worker if this persists";
    LIST_FAILED = 408, Warning, "platform's VM list could not be read",
        "check the platform; the last list stays in use";
    VM_LIVENESS_CHANGED = 409, Info, "liveness of a VM changed", "nothing";
    DEADLINE_RISK = 410, Warning, "job will probably miss its deadline",
        "give it more capacity or a higher priority";
    CONFIGURED = 411, Info, "configuration is in force", "nothing";
    CONFIGURATION_REFUSED = 412, Warning, "configuration refused",
        "fix what the reason names and send it again";
    NO_LEADER = 413, Warning, "operator's request was answered: no leader is known",
        "nothing if a leader is elected; otherwise check the control replicas";
    EVACUATED = 414, Info, "data centre is evacuated; no further work is started there",
        "readmit the data centre once it has recovered";
    READMITTED = 415, Info, "evacuated data centre accepts work again", "nothing";
    EVACUATION_ORDERED = 416, Info, "operator ordered an evacuation or its end",
        "414 or 415 follows once it is in force; 417 or 413 states why it is not";
    EVACUATION_DROPPED = 417, Info,
        "order about a data centre was dropped because its operator disconnected",
        "nothing: operators repeat an order until it is answered";
    EVACUATION_REFUSED = 418, Warning, "order about a data centre refused",
        "fix what the reason names and send it again";
    VIEW_IN_FORCE = 500, Debug, "configuration is in force", "nothing";
    VIEW_GAP = 501, Info, "configuration update missing; requesting the complete configuration",
        "nothing";
    REQUEST_NOT_RUN = 502, Debug, "request was not run", "nothing: its caller was informed";
    REQUEST_UNKNOWN = 503, Warning, "outcome of a request is unknown",
        "check the endpoint it was offered to";
    ENDPOINT_EJECTED = 504, Warning, "endpoint ejected", "check the endpoint";
    DRAINING = 505, Info, "endpoint accepts no new requests", "nothing";
    JOB_ACCEPTED = 600, Info, "job accepted", "nothing";
    JOB_REJECTED = 601, Info, "job was not accepted and will not run",
        "nothing: the answer states when its caller may retry";
    JOB_UNKNOWN = 602, Warning, "unknown whether a job was accepted",
        "nothing: its caller resends it under the same id";
    JOB_CANCELLED = 603, Info, "job cancelled", "nothing";
    JOB_ENDED = 604, Info, "job ended", "see the ends of its runs if it failed";
    RUN_PLACED = 605, Info, "run assigned to a worker", "nothing";
    RUN_ENDED = 606, Info, "run ended", "check the worker if many runs fail there";
    RUN_STALLED = 607, Warning, "run makes no progress and is moved",
        "check the worker if this persists";
    WORKER_UP = 608, Info, "worker discovered", "nothing";
    WORKER_LOST = 609, Warning,
        "worker ended or its lease expired; its runs are placed on other workers",
        "check the VM if this was not planned";
    WORKER_UNHEALTHY = 610, Warning, "unhealthy worker is in backoff and gets no runs",
        "check the worker";
    REQUEST_ANSWERED = 611, Debug, "request about jobs answered", "nothing";
    ORDERED = 612, Debug, "order sent to an agent", "nothing";
    WORKER_CALLED = 613, Debug, "worker answered a call", "nothing";
    CALL_FAILED = 614, Warning, "worker refused a call or did not answer",
        "check the worker if this persists";
    WORKER_REGISTERED = 615, Info, "worker registered or changed its registration", "nothing";
    RUN_THROTTLED = 616, Info, "throttling of a best-effort run changed", "nothing";
    RUN_MOVED = 617, Info, "best-effort run interferes with serving runs and is moved", "nothing";
    ADVICE_FAILED = 618, Warning, "adviser did not answer which workers may run a step",
        "check the adviser; the request is repeated";
    JOB_WAITING = 620, Info, "tasks of a job cannot be placed",
        "find the obstacle with most workers: `resting` means unhealthy workers, `no_room` a full pool";
    RUN_FORCED = 621, Info, "task expected to interfere has reached its wait limit and is started",
        "nothing: its agent throttles it if necessary";
    RUN_ABSENT = 622, Warning, "run assigned to a worker is missing from the worker's lists",
        "check whether the worker is linked and answers; look for 614 on its agent";
    TASK_SUSPECTED = 623, Warning, "worker was lost with a task that may have caused the loss",
        "nothing: the task is isolated until it has survived; check the task if this persists";
    TASK_GIVEN_UP = 624, Error,
        "task is given up because workers were lost with it; its job has failed",
        "check the task's program; 623 names the workers lost with it";
    TASK_CLEARED = 625, Info, "task suspected of causing worker losses has survived", "nothing";
    END_DROPPED = 626, Warning,
        "end dropped: its number counts as committed although its run was present",
        "compare the worker's ends with `settled` in 612: both must be of one worker incarnation";
    RUN_VANISHED = 627, Info, "listed run is missing from all lists and counts as ended",
        "nothing if 606 reports its end; otherwise see 626";
    WORKER_DEREGISTERED = 628, Info, "worker deregistered",
        "nothing: the leader logs 609 once the worker accepts no more calls";
    LEASE_EXPIRED = 629, Warning, "lease of a silent worker has expired; none of its runs is running any more",
        "check the worker: the leader gives up its runs with 609";
    LEASE_RENEWED = 630, Info, "worker whose lease had expired has one again", "nothing";
    RUNS_WITHDRAWN = 631, Info, "given-up runs may still start on their worker; it gets no lease until that is excluded",
        "nothing if 632 follows once the worker answers; otherwise check the worker";
    RUNS_RESOLVED = 632, Info, "withdrawn runs have ended or will never start", "nothing";
    LOSS_EXPLAINED = 633, Info, "loss of a worker was explained together with earlier losses",
        "nothing: `probabilities` lists runs with the probability before and after the loss";
    ADMISSION_REFUSED = 634, Info, "new job was rejected because it cannot be done while it is of value",
        "nothing; if it lasts, add VMs to the pool: `room_milli_cpu` is less than `offered_milli_cpu`";
    FORECAST_ENDED = 635, Info, "job that had a forecast has ended",
        "nothing; large differences between `forecast_ms` and `duration_ms` show wrong estimates of durations";
    WORKER_SPEED = 636, Info, "worker has become slow or no longer is",
        "check the machine if a worker is slow again and again";
    RUN_TOO_SLOW = 637, Info, "run is stopped to run elsewhere because its worker is slow",
        "nothing: 636 with that worker tells since when";
    WORKER_CLAIMED = 638, Info, "incarnation other than the current one has registered and is called",
        "nothing if 639 or 641 follows; otherwise find what registers at this agent by `pool` and `address`";
    WORKER_ADOPTED = 639, Info, "registered incarnation is the current one and gets all calls",
        "nothing: 640 tells why the previous one has ended";
    INCARNATION_ENDED = 640, Info, "incarnation of a worker has ended",
        "nothing: `evidence` tells what shows it; the leader logs 609";
    CLAIM_DROPPED = 641, Info, "registered incarnation does not run at its address and is not called again",
        "nothing if it has ended; `displaced` means that several newer incarnations registered after it";
    CLAIM_HELD = 642, Warning, "registered incarnation answers, but nothing shows that the current one has ended",
        "nothing if 639 follows; otherwise find what registers at this agent by the address in 638";
    CONNECTIONS_RECLAIMED = 643, Warning,
        "connections were closed, or requests refused, to stay within the memory and the descriptors of the machine",
        "find the callers that send incomplete requests; add entries if all of them are ordinary ones";
    REQUEST_REFUSED = 644, Info, "request was refused before it was complete and has not run",
        "`why` is `TooLarge`, `TooSlow`, `CutOff` (by the caller) or `NoMemory`: see 643";
    CANCELLATION_REJECTED = 645, Warning,
        "cancellation of an unknown job was not kept because too many are",
        "nothing: its caller repeats it later; if this persists, find who cancels unknown jobs";
    ADVISED = 619, Info, "adviser answered which workers may run a step", "nothing";
}

/// Renders the catalogue as the page `docs/EVENTS.md`.
pub fn page() -> String {
    let mut page = String::from(
        "# Events\n\nEvery line of the log carries one of these numbers in `event`. This page is \
         generated by `pondbay docs events` and checked by a test.\n\n\
         | event | level | text | what to do |\n|---|---|---|---|\n",
    );
    for event in ALL {
        let Event { number, level, text, advice } = event;
        page.push_str(&format!("| {number} | {} | {text} | {advice} |\n", level.as_str()));
    }
    page
}
