//! The lease that the worker holds: short while its agent can renew it, up to the whole grant
//! without control, and certainly over before the agent says so.

use pond_agent::{Answer, Call, Core, Output, Registration, Reply};
use pond_proto::fleet::{Order, Report, StartOrder, Watch};
use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Size, Span};

const INCARNATION: &str = "incarnation-1";
const TERM: u64 = 3;
const STEP_MS: Span = 10;

/// How long control grants the lease beyond the reported clock, in milliseconds.
const GRANT_MS: u64 = 6_000;

/// How far the agent extends it at a time, in milliseconds.
const EXTENSION_MS: u64 = 4_000;

/// From the last answer until the agent knows that the lease has expired: the extension, its drift
/// and the slack, and one list that was still answered, in milliseconds.
const LAPSED_WITHIN_MS: Span = 4_000 + 100 + 250 + 2 * STEP_MS;

/// Time between registrations of the worker, in milliseconds.
const REGISTER_MS: Span = 1_100;

/// A worker with its own clock, and its agent.
struct Pair {
    core: Core,
    now: Millis,
    /// Speed of the worker's clock, in thousandths.
    clock_permille: u64,
    /// End of the lease that the worker holds, on its clock in milliseconds.
    held_ms: u64,
    dark: bool,
    /// Whether the worker registers regularly, also while it answers nothing.
    registers: bool,
    sequence: u64,
    /// Of so many lists in a row, the worker answers the last one.
    answers_one_of: usize,
    lists: usize,
    control: bool,
    pending: Vec<(Millis, u64, Call, bool)>,
    reports: Vec<Report>,
    starts: Vec<RunName>,
}

impl Pair {
    fn new(clock_permille: u64) -> Pair {
        let mut core = Core::new();
        core.leader_up(TERM);
        let mut pair = Pair {
            core,
            now: Millis(1_000),
            clock_permille,
            held_ms: 0,
            dark: false,
            registers: false,
            sequence: 0,
            answers_one_of: 1,
            lists: 0,
            control: true,
            pending: Vec::new(),
            reports: Vec::new(),
            starts: Vec::new(),
        };
        pair.register();
        pair.advance(5_000);
        pair
    }

    fn register(&mut self) {
        self.sequence += 1;
        let registration = Registration {
            id: INCARNATION.to_owned(),
            incarnation: INCARNATION.to_owned(),
            room: Size::new(4_000, 1_000, 0),
            clock_ms: self.clock_ms(),
            sequence: self.sequence,
            ..Registration::default()
        };
        self.core.registered(self.now, registration);
    }

    fn clock_ms(&self) -> u64 {
        50_000 + self.now.0 * self.clock_permille / 1_000
    }

    fn advance(&mut self, span: Span) {
        for _ in 0..span / STEP_MS {
            self.now = self.now + STEP_MS;
            if self.registers && self.now.0.is_multiple_of(REGISTER_MS) {
                self.register();
            }
            self.answer_due();
            for output in self.core.tick(self.now) {
                match output {
                    Output::Call { list_id, call, .. } => self.call(list_id, call),
                    Output::Report(report) => self.report(report),
                    Output::Observed(_) => {}
                }
            }
        }
    }

    fn call(&mut self, list_id: u64, call: Call) {
        let mut answered = !self.dark;
        let mut due = self.now + call.timeout_ms();
        match &call {
            Call::List { lease_end_ms, wait_ms, .. } => {
                self.lists += 1;
                answered &= self.lists.is_multiple_of(self.answers_one_of);
                if answered {
                    self.held_ms = self.held_ms.max(*lease_end_ms);
                    due = self.now + *wait_ms;
                }
            }
            Call::Start { run, .. } => self.starts.push(*run),
            _ => {}
        }
        self.pending.push((due, list_id, call, answered));
    }

    fn answer_due(&mut self) {
        let now = self.now;
        for (_, list_id, call, answered) in
            self.pending.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>()
        {
            let answered = answered && !self.dark;
            let listed = Reply::Listed { runs: Vec::new(), ends: Vec::new() };
            let reply = if answered { listed } else { Reply::Unknown };
            let clock_ms = answered.then(|| self.clock_ms());
            let answer = Answer { clock_ms, reply };
            self.core.answer(now, INCARNATION, TERM, list_id, &call, answer);
        }
    }

    fn report(&mut self, report: Report) {
        if self.control {
            self.order(&report, Vec::new());
        }
        self.reports.push(report);
    }

    /// Sends the order that answers a report.
    fn order(&mut self, report: &Report, starts: Vec<StartOrder>) {
        let order = Order {
            worker: INCARNATION.to_owned(),
            term: TERM,
            lease_end_ms: report.clock_ms + GRANT_MS,
            extension_ms: EXTENSION_MS,
            lapses: report.lapses,
            starts,
            ..Order::default()
        };
        self.core.order(self.now, order);
    }

    fn lapsed(&self) -> bool {
        self.reports.last().is_some_and(|report| report.lapsed)
    }
}

/// Returns an order to start a run.
fn start() -> StartOrder {
    let task = TaskName { job: 1, repetition: 0, step: 0, index: 0 };
    let run = RunName { task, number: 1 };
    StartOrder { run, watch: Watch { run, ..Watch::default() }, ..StartOrder::default() }
}

#[test]
fn lease_of_a_silent_worker_has_expired_when_its_agent_reports_that() {
    for clock_permille in [978, 1_000, 1_030] {
        let mut pair = Pair::new(clock_permille);
        pair.dark = true;
        let dark_at = pair.now;
        while !pair.lapsed() {
            pair.advance(STEP_MS);
            assert!(pair.now.since(dark_at) <= LAPSED_WITHIN_MS, "{clock_permille}");
        }
        assert!(pair.clock_ms() >= pair.held_ms, "{clock_permille}: the worker still holds it");
    }
}

#[test]
fn worker_that_answers_again_has_its_lease_renewed() {
    let mut pair = Pair::new(1_000);
    pair.dark = true;
    pair.advance(LAPSED_WITHIN_MS);
    assert!(pair.lapsed());
    pair.dark = false;
    pair.advance(3_000);
    assert!(!pair.lapsed());
    assert!(pair.held_ms > pair.clock_ms() + EXTENSION_MS / 2);
}

#[test]
fn agent_without_control_renews_the_lease_up_to_the_grant() {
    let mut pair = Pair::new(1_000);
    pair.control = false;
    let granted_ms = pair.reports.last().map_or(0, |report| report.clock_ms) + GRANT_MS;
    while pair.clock_ms() < granted_ms {
        assert!(pair.held_ms > pair.clock_ms(), "the lease ends before the grant");
        assert!(pair.held_ms <= granted_ms, "the lease exceeds the grant");
        pair.advance(STEP_MS);
    }
}

/// Guards against a start that a former agent called and that begins with the rest of the former grant.
#[test]
fn lease_that_has_expired_is_not_renewed_without_control() {
    let mut pair = Pair::new(1_000);
    pair.control = false;
    pair.dark = true;
    pair.advance(LAPSED_WITHIN_MS);
    assert!(pair.lapsed());
    let held_ms = pair.held_ms;
    pair.dark = false;
    pair.advance(3_000);
    assert_eq!(pair.held_ms, held_ms);
    pair.control = true;
    pair.advance(3_000);
    assert!(pair.held_ms > pair.clock_ms());
}

#[test]
fn lost_answers_do_not_end_the_lease() {
    for answers_one_of in [2, 3] {
        let mut pair = Pair::new(1_000);
        pair.answers_one_of = answers_one_of;
        for _ in 0..3_000 {
            pair.advance(STEP_MS);
            assert!(pair.held_ms > pair.clock_ms(), "one of {answers_one_of} is too few");
        }
    }
}

/// Guards against a worker whose runs expire although it answers again before the end of its lease: it was not called
/// to renew the lease, because its registrations showed its clock, and the next list was due after up to 1.6 s.
#[test]
fn worker_that_only_registers_for_a_while_is_called_before_its_lease_ends() {
    for phase in 0..11 {
        let mut pair = Pair::new(1_000);
        pair.registers = true;
        pair.advance(100 * phase);
        pair.dark = true;
        // The lease ends at least 0.6 s after this, as the last list was requested at most 1 s before.
        pair.advance(2_400);
        pair.dark = false;
        for _ in 0..300 {
            pair.advance(STEP_MS);
            assert!(pair.held_ms > pair.clock_ms(), "{phase}: the lease has expired");
        }
        assert!(!pair.reports.iter().any(|report| report.lapsed), "{phase}");
    }
}

#[test]
fn start_that_was_ordered_before_the_lease_expired_is_not_carried_out() {
    let mut pair = Pair::new(1_000);
    let before = pair.reports.last().cloned().expect("a report");
    pair.dark = true;
    pair.advance(LAPSED_WITHIN_MS);
    pair.dark = false;
    pair.advance(1_000);
    pair.order(&before, vec![start()]);
    pair.advance(1_000);
    assert_eq!(pair.starts, []);
    let now = pair.reports.last().cloned().expect("a report");
    pair.order(&now, vec![start()]);
    pair.advance(1_000);
    assert_eq!(pair.starts.len(), 1);
}

#[test]
fn start_in_transit_is_withdrawn_when_the_lease_expires() {
    let mut pair = Pair::new(1_000);
    pair.dark = true;
    let report = pair.reports.last().cloned().expect("a report");
    pair.advance(2_500);
    pair.order(&report, vec![start()]);
    pair.advance(LAPSED_WITHIN_MS - 2_500);
    assert!(pair.lapsed());
    let started = pair.starts.len();
    pair.dark = false;
    pair.advance(3_000);
    assert_eq!(pair.starts.len(), started, "it is not called again");
}
