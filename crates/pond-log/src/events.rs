//! The catalogue of events. A number is never used for another event.

/// How much an event matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Something is broken and needs an operator.
    Error,
    /// Something went wrong and was dealt with.
    Warning,
    /// Something that operators like to see.
    Info,
    /// For those who look for a fault.
    Debug,
}

impl Level {
    /// The level for the logging library.
    pub const fn slog(self) -> slog::Level {
        match self {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        }
    }

    /// Its name in the catalogue.
    pub fn as_str(self) -> &'static str {
        match self {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Info => "info",
            Level::Debug => "debug",
        }
    }
}

/// One kind of event.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Its number.
    pub number: u16,
    /// Its level.
    pub level: Level,
    /// Its fixed text.
    pub text: &'static str,
    /// What to do about it.
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

        /// All events, in the order of their numbers.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

catalogue! {
    STARTED = 100, Info, "process started", "nothing";
    STOPPING = 101, Info, "process stops as planned", "nothing";
    STOPPED = 102, Info, "process stopped", "nothing";
    STOP_LATE = 103, Warning, "the planned stop took too long and was cut short",
        "raise limits.stop_ms if requests may take that long";
    SETTINGS_INVALID = 104, Error, "the settings are wrong", "run `pondbay check` on the file";
    RELOADED = 105, Info, "settings were read again", "nothing";
    LINK_UP = 200, Debug, "link is up", "nothing";
    LINK_DOWN = 201, Warning, "link is lost",
        "nothing if it comes back; else look at the process on the other side";
    LINK_REFUSED = 202, Warning, "an incoming link was refused",
        "look at the reason: another release, another token, or a stranger on the internal port";
    LEADER_FOUND = 203, Info, "the leading control replica is reached", "nothing";
    LEADER_LOST = 204, Warning, "the leading control replica is not reached any more",
        "nothing if it comes back; else look at the control replicas";
    READY = 205, Info, "readiness changed", "see the line before it for the cause";
    LEADER = 300, Info, "this replica leads", "nothing";
    FOLLOWER = 301, Info, "this replica follows", "nothing";
    QUORUM_FORMED = 302, Info, "the quorum is formed for the first time", "nothing";
    QUORUM_WAITS = 303, Info, "waiting for all replicas before the first start",
        "start all control processes that the settings name";
    MEMBERS = 304, Info, "the members of the quorum changed", "nothing";
    LOG_TRUNCATED = 305, Warning, "a torn end of the log was cut", "nothing: it had not been accepted";
    SNAPSHOT = 306, Info, "a snapshot was saved", "nothing";
    INSTALLED = 307, Info, "a snapshot of the leader was installed", "nothing";
    STORE_FAILED = 308, Error, "durable files failed; the replica stops",
        "free or replace the disk, then start the replica again";
    STATE_DIFFERS = 309, Error, "replicas hold different states",
        "stop the replica that differs from the others, move its folder away, start it empty";
    REPLACED = 310, Warning, "a replica came back with another disk and is replaced", "nothing";
    OLDER_DISK = 311, Error, "a replica came back with an older disk and is removed",
        "stop it, move its folder away, start it empty";
    DISK_FULL = 313, Warning, "the disk is full; the replica neither leads nor votes until it has room",
        "free space in the data folder's file system";
    DISK_RECOVERED = 314, Info, "the disk takes writes again", "nothing";
    MEMBER_ADDED = 312, Info, "a replica joins the quorum", "nothing";
    CHANGE_ACCEPTED = 400, Info, "a change was accepted", "nothing";
    CHANGE_REFUSED = 401, Info, "a change was refused", "nothing: the sender was told why";
    PLACED = 402, Info, "task placed", "nothing";
    SET_ASIDE = 403, Info, "unit can run nowhere now", "see `pondbay explain UNIT`";
    STEERED = 404, Info, "task steered", "see `pondbay explain UNIT`";
    TASK_STARTED = 405, Info, "task started", "nothing";
    TASK_ENDED = 406, Info, "task ended", "see `pondbay explain UNIT` if it failed";
    ORDER_FAILED = 407, Warning, "an order to a worker failed and is tried again",
        "look at the worker if it goes on";
    LIST_FAILED = 408, Warning, "the platform's VM list could not be read",
        "look at the platform; the last list stays in use";
    VM_LIVENESS_CHANGED = 409, Info, "a VM's liveness was judged anew", "nothing";
    DEADLINE_RISK = 410, Warning, "a job will probably miss its deadline",
        "give it more room or a higher priority";
    CONFIGURED = 411, Info, "a configuration is in force", "nothing";
    CONFIGURATION_REFUSED = 412, Warning, "a configuration was refused",
        "mend what the reason names and send it again";
    NO_LEADER = 413, Warning, "an operator is told that nobody is known to lead now",
        "nothing if it goes on after an election; else look at the control replicas";
    EVACUATED = 414, Info, "a data centre is evacuated; nothing more is started there",
        "take it back once the data centre is well";
    READMITTED = 415, Info, "an evacuated data centre takes work again", "nothing";
    EVACUATION_ORDERED = 416, Info, "an operator orders an evacuation, or its end",
        "414 or 415 follows once it is in force; 417 or 413 tell why not";
    EVACUATION_DROPPED = 417, Info, "an order about a data centre whose operator has left is dropped",
        "nothing: operators send an order again until it is answered";
    EVACUATION_REFUSED = 418, Warning, "an order about a data centre was refused",
        "mend what the reason names and send it again";
    VIEW_IN_FORCE = 500, Debug, "a configuration is in force", "nothing";
    VIEW_GAP = 501, Info, "a step of the configuration was missing; all of it is asked for",
        "nothing";
    REQUEST_NOT_RUN = 502, Debug, "a request was not run", "nothing: its caller was told";
    REQUEST_UNKNOWN = 503, Warning, "the fate of a request is unknown",
        "look at the endpoint that it was offered to";
    ENDPOINT_EJECTED = 504, Warning, "an endpoint is ejected", "look at the endpoint";
    DRAINING = 505, Info, "endpoint takes nothing new", "nothing";
    JOB_ACCEPTED = 600, Info, "a job was accepted", "nothing";
    JOB_REJECTED = 601, Info, "a job was not taken and will not run",
        "nothing: its caller was told when to come back";
    JOB_UNKNOWN = 602, Warning, "it is not known whether a job was taken",
        "nothing: its caller sends it again under the same id";
    JOB_CANCELLED = 603, Info, "a job was cancelled", "nothing";
    JOB_ENDED = 604, Info, "a job ended", "see the ends of its runs if it failed";
    RUN_PLACED = 605, Info, "a run was given to a worker", "nothing";
    RUN_ENDED = 606, Info, "a run ended", "look at the worker if many fail there";
    RUN_STALLED = 607, Warning, "a run makes no progress and is moved",
        "look at the worker if it goes on";
    WORKER_UP = 608, Info, "a worker is known", "nothing";
    WORKER_LOST = 609, Warning, "a worker is over or its lease ran out; its runs go elsewhere",
        "look at the VM if that was not planned";
    WORKER_UNHEALTHY = 610, Warning, "a worker gets no runs for a while", "look at the worker";
    REQUEST_ANSWERED = 611, Debug, "a request about jobs was answered", "nothing";
    ORDERED = 612, Debug, "an order went to an agent", "nothing";
    WORKER_CALLED = 613, Debug, "a worker answered a call", "nothing";
    CALL_FAILED = 614, Warning, "a worker refused a call or did not answer",
        "look at the worker if it goes on";
    WORKER_REGISTERED = 615, Info, "a worker registered or changed", "nothing";
    RUN_THROTTLED = 616, Info, "a filling run was slowed down or sped up", "nothing";
    RUN_MOVED = 617, Info, "a filling run disturbs serving ones and is moved", "nothing";
    ADVICE_FAILED = 618, Warning, "the adviser did not answer which workers may run a step",
        "look at the adviser; it is asked again";
    JOB_WAITING = 620, Info, "tasks of a job find no place",
        "see which obstacle counts most workers; rest points to sick workers, room to a full pool";
    RUN_FORCED = 621, Info, "a task that is expected to disturb has waited too long and is started",
        "nothing: its agent slows it down if need be";
    RUN_ABSENT = 622, Warning, "a run that was given to a worker is not on its lists",
        "see whether the worker is linked and answers; look for 614 on its agent";
    TASK_SUSPECTED = 623, Warning, "a worker went down with a task that may have caused it",
        "nothing: the task is started apart from others until it has survived; look at it if lines go on";
    TASK_GIVEN_UP = 624, Error, "a task is given up as its workers go down; its job has failed",
        "look at the task's program; 623 names the workers that went down with it";
    TASK_CLEARED = 625, Info, "a task that was there when workers went down has survived", "nothing";
    END_DROPPED = 626, Warning,
        "an end is dropped: its number counts as settled, though its run was there",
        "compare the worker's ends with `settled` in 612: both must be of one start of the worker";
    RUN_VANISHED = 627, Info, "a run that was listed is on no list any more and counts as ended",
        "nothing if 606 tells of its end; else see 626";
    WORKER_DEREGISTERED = 628, Info, "a worker says that it ends",
        "nothing: 609 of the leader follows once it takes no calls any more";
    ADVISED = 619, Info, "the adviser said which workers may run a step", "nothing";
}

/// The catalogue as the page `docs/EVENTS.md`.
pub fn page() -> String {
    let mut page = String::from(
        "# Events\n\nEvery line of the log carries one of these numbers in `event`. This page is \
         written by `pondbay docs events` and checked by a test.\n\n\
         | event | level | text | what to do |\n|---|---|---|---|\n",
    );
    for event in ALL {
        let Event { number, level, text, advice } = event;
        page.push_str(&format!("| {number} | {} | {text} | {advice} |\n", level.as_str()));
    }
    page
}
