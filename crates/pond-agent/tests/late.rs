//! Runs that start late or are no longer wanted: how soon the agent reports them to control, and
//! how soon and how long it calls the worker to stop them.

use std::collections::{BTreeMap, BTreeSet};

use pond_agent::{Answer, Call, Core, Output, Refusal, Registration, Reply};
use pond_proto::fleet::{EndRow, Order, Report, RunRow, StartOrder, Watch};
use pond_proto::job::{EndReason, RunName, TaskName};
use pond_proto::{Millis, Size, Span};

const INCARNATION: &str = "incarnation-1";
const TERM: u64 = 3;

/// Step of the simulated clock, in milliseconds. The limits below are met to within one step.
const STEP_MS: Span = 10;

/// Time from an unexpected start until it is reported to control, in milliseconds: one list, which
/// waits for an end and not for a start.
const REPORTED_WITHIN_MS: Span = 1_000;

/// Time from an order to stop until the call, in milliseconds.
const CALLED_WITHIN_MS: Span = 0;

/// Time from an unanswered stop call until the next one, in milliseconds: the answer timeout and
/// the first wait.
const FIRST_RETRY_MS: Span = 1_000;

/// The same after any number of unanswered calls: the answer timeout and the longest wait.
const RETRY_MS: Span = 2_400;

/// Time from a confirmed stop until the stop is called again because the run continues, in
/// milliseconds. A stop takes 200 ms and is given 500 ms. The answers to the stop and to the list
/// after it take one step each.
const STOP_REPEATED_WITHIN_MS: Span = 520;

/// The longest lease in these tests, in milliseconds.
const LEASE_MS: u64 = 6_000;

fn run(index: u32) -> RunName {
    RunName { task: TaskName { job: 1, repetition: 0, step: 0, index }, number: 1 }
}

/// A call in flight, and when it is answered at the latest.
struct PendingCall {
    token: u64,
    list_id: u64,
    call: Call,
    due: Millis,
    unanswered: bool,
}

/// A worker on the simulated clock. It answers at once, except for lists that wait, and can leave
/// calls unanswered.
#[derive(Default)]
struct Worker {
    running: BTreeSet<RunName>,
    ends: Vec<EndRow>,
    /// Runs that it refuses to start.
    refused_runs: BTreeSet<RunName>,
    ignore_starts: bool,
    ignore_stops: bool,
    /// It confirms stops, but the runs continue.
    runs_survive_stop: bool,
    fence: u64,
    lease_end_ms: u64,
}

impl Worker {
    fn end(&mut self, name: RunName, reason: EndReason) {
        if self.running.remove(&name) {
            let number = self.ends.len() as u64 + 1;
            self.ends.push(EndRow {
                number,
                run: name,
                how: reason as i32,
                checkpoint: String::new(),
            });
        }
    }

    fn stop(&mut self, name: RunName) {
        self.refused_runs.insert(name);
        if !self.runs_survive_stop {
            self.end(name, EndReason::Stopped);
        }
    }

    fn ignores(&self, call: &Call) -> bool {
        match call {
            Call::Start { .. } => self.ignore_starts,
            Call::Stop { .. } => self.ignore_stops,
            _ => false,
        }
    }

    fn has_new_ends(&self, committed: u64) -> bool {
        self.ends.iter().any(|end| end.number > committed)
    }

    fn carry_out(&mut self, token: u64, call: &Call) -> Reply {
        if token < self.fence {
            return Reply::Refused(Refusal::Fenced);
        }
        self.fence = token;
        match call {
            Call::Start { run, lease_end_ms, .. } => {
                if self.refused_runs.contains(run) {
                    return Reply::Refused(Refusal::Old);
                }
                self.lease_end_ms = self.lease_end_ms.max(*lease_end_ms);
                self.running.insert(*run);
                Reply::Done
            }
            Call::Stop { run } => {
                self.stop(*run);
                Reply::Done
            }
            Call::List { lease_end_ms, committed, .. } => {
                self.lease_end_ms = self.lease_end_ms.max(*lease_end_ms);
                let row = |run: &RunName| RunRow { run: *run, percent: 5, ..RunRow::default() };
                let ends = self.ends.iter().filter(|end| end.number > *committed).cloned();
                Reply::Listed { runs: self.running.iter().map(row).collect(), ends: ends.collect() }
            }
            Call::Pace { .. } => Reply::Done,
        }
    }
}

/// An agent and its worker, with all outputs of the agent and their times.
struct Harness {
    core: Core,
    now: Millis,
    worker: Worker,
    pending_calls: Vec<PendingCall>,
    stops: Vec<(Millis, RunName)>,
    starts: Vec<Millis>,
    lists: usize,
    reports: Vec<(Millis, Report)>,
}

impl Harness {
    /// Creates an agent that knows its worker and a leader, half a second into its second list.
    fn new() -> Harness {
        let mut harness = Harness::without_leader();
        harness.core.leader_up(TERM);
        harness.register(1);
        harness.advance(1_500);
        harness
    }

    fn without_leader() -> Harness {
        Harness {
            core: Core::new(),
            now: Millis(10_000),
            worker: Worker::default(),
            pending_calls: Vec::new(),
            stops: Vec::new(),
            starts: Vec::new(),
            lists: 0,
            reports: Vec::new(),
        }
    }

    fn register(&mut self, sequence: u64) {
        let registration = Registration {
            id: INCARNATION.to_owned(),
            incarnation: INCARNATION.to_owned(),
            address: "127.0.0.1:1".to_owned(),
            room: Size::new(4_000, 1_000, 0),
            clock_ms: self.clock_ms(),
            sequence,
            ..Registration::default()
        };
        self.core.registered(self.now, registration);
        self.tick();
    }

    /// Replaces the agent with a new one that knows nothing.
    fn replace_agent(&mut self) {
        self.core = Core::new();
        self.pending_calls.clear();
    }

    fn clock_ms(&self) -> u64 {
        self.now.0 + 40_000
    }

    fn tick(&mut self) {
        for output in self.core.tick(self.now) {
            match output {
                Output::Call { token, list_id, call, .. } => self.call(token, list_id, call),
                Output::Report(report) => self.reports.push((self.now, report)),
                Output::Observed(_) => {}
            }
        }
    }

    fn call(&mut self, token: u64, list_id: u64, call: Call) {
        match &call {
            Call::Stop { run } => self.stops.push((self.now, *run)),
            Call::Start { .. } => self.starts.push(self.now),
            Call::List { .. } => self.lists += 1,
            Call::Pace { .. } => {}
        }
        let unanswered = self.worker.ignores(&call);
        let wait = match &call {
            _ if unanswered => call.timeout_ms(),
            Call::List { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        self.pending_calls.push(PendingCall {
            token,
            list_id,
            call,
            due: self.now + wait,
            unanswered,
        });
    }

    /// Delivers the answers that are due. A list is answered early if there is an end to report.
    fn deliver(&mut self) {
        let due = |pending: &PendingCall, worker: &Worker| {
            let early = match &pending.call {
                Call::List { committed, .. } => worker.has_new_ends(*committed),
                _ => false,
            };
            early || pending.due <= self.now
        };
        while let Some(found) =
            self.pending_calls.iter().position(|pending| due(pending, &self.worker))
        {
            let pending = self.pending_calls.remove(found);
            let answer = if pending.unanswered {
                Answer { clock_ms: None, reply: Reply::Unknown }
            } else {
                let reply = self.worker.carry_out(pending.token, &pending.call);
                Answer { clock_ms: Some(self.clock_ms()), reply }
            };
            self.core.answer(
                self.now,
                INCARNATION,
                pending.token,
                pending.list_id,
                &pending.call,
                answer,
            );
        }
    }

    /// Advances the time in steps of the clock.
    fn advance(&mut self, ms: Span) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            self.deliver();
            self.tick();
        }
    }

    /// Advances the time until `condition` holds. Returns how long it took, at most `bound` and one
    /// step.
    fn advance_until(&mut self, bound: Span, condition: fn(&Harness) -> bool) -> Span {
        let since = self.now;
        while !condition(self) {
            let took = self.now.since(since);
            assert!(took <= bound, "not within {bound} ms");
            self.advance(STEP_MS);
        }
        self.now.since(since)
    }

    fn order(&mut self, order: Order) {
        let order = Order { worker: INCARNATION.to_owned(), term: order.term.max(TERM), ..order };
        self.core.order(self.now, order);
        self.tick();
    }

    fn order_start(&mut self, index: u32) {
        let watch = Watch { run: run(index), ..Watch::default() };
        let start = StartOrder { run: run(index), watch, ..StartOrder::default() };
        let lease_end_ms = self.clock_ms() + LEASE_MS;
        self.order(Order { lease_end_ms, starts: vec![start], ..Order::default() });
    }

    fn order_stop(&mut self, index: u32) {
        self.order(Order { stops: vec![run(index)], ..Order::default() });
    }

    /// Orders run 0, whose start gets no answer, and waits until it is reported as unstarted.
    fn give_up_start(&mut self) {
        self.worker.ignore_starts = true;
        self.order_start(0);
        self.advance_until(4_500, |harness| harness.last().unstarted == [run(0)]);
        assert_eq!((self.starts.len(), self.stops.len()), (3, 1));
    }

    /// Makes the worker carry out an earlier start late.
    fn start_late(&mut self, index: u32) {
        self.worker.running.insert(run(index));
    }

    fn last(&self) -> &Report {
        &self.reports.last().expect("no report").1
    }

    /// Returns whether the last report contains the run. An agent whose worker has not answered yet
    /// makes no report.
    fn reports_run(&self) -> bool {
        self.reports.last().is_some_and(|(_, last)| last.runs.iter().any(|row| row.run == run(0)))
    }
}

#[test]
fn late_start_after_giving_up_is_reported_with_the_list_that_shows_it() {
    let mut harness = Harness::new();
    harness.give_up_start();
    harness.order(Order { forget: vec![run(0)], ..Order::default() });
    // The time between reports must not add to the delay, whenever the start happens.
    for late_ms in [0, 300, 600, 900] {
        harness.advance(3_000 + late_ms);
        harness.start_late(0);
        harness.advance_until(REPORTED_WITHIN_MS, Harness::reports_run);
        harness.order_stop(0);
        harness.advance_until(100, |harness| !harness.last().ends.is_empty());
        let committed = harness.last().ends.iter().map(|end| end.number).max().unwrap_or(0);
        harness.order(Order { committed, ..Order::default() });
        harness.advance_until(REPORTED_WITHIN_MS, |harness| !harness.reports_run());
    }
}

#[test]
fn run_that_started_late_is_stopped_with_the_order() {
    let mut harness = Harness::new();
    harness.give_up_start();
    harness.order(Order { forget: vec![run(0)], ..Order::default() });
    harness.start_late(0);
    harness.advance(2_000);
    let before = harness.stops.len();
    harness.order_stop(0);
    let took = harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() > 1);
    assert_eq!((before, took), (1, 0));
    harness.advance_until(REPORTED_WITHIN_MS, |harness| {
        harness.last().ends.iter().any(|end| end.run == run(0))
    });
}

#[test]
fn run_that_started_late_is_stopped_before_control_hears_that_it_was_given_up() {
    let mut harness = Harness::new();
    harness.give_up_start();
    harness.start_late(0);
    harness.advance_until(REPORTED_WITHIN_MS, Harness::reports_run);
    assert!(harness.last().unstarted.is_empty(), "the run has started");
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 2);
}

#[test]
fn run_that_continues_after_its_confirmed_stop_is_stopped_again() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.worker.runs_survive_stop = true;
    harness.order_stop(0);
    for stops in 2..6 {
        harness.advance_until(STOP_REPEATED_WITHIN_MS, |harness| harness.stops.len() >= 2);
        assert_eq!(harness.stops.len(), 2, "round {stops}");
        harness.stops.remove(0);
    }
    harness.worker.runs_survive_stop = false;
    harness.advance_until(STOP_REPEATED_WITHIN_MS + REPORTED_WITHIN_MS, |harness| {
        !harness.last().ends.is_empty()
    });
    harness.stops.clear();
    harness.advance(5_000);
    assert_eq!(harness.stops, []);
}

#[test]
fn slow_stop_is_called_once() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.worker.runs_survive_stop = true;
    harness.order_stop(0);
    // The list requested after the stop still shows the run at its end.
    harness.advance(200);
    harness.worker.end(run(0), EndReason::Stopped);
    harness.advance(5_000);
    assert_eq!(harness.stops.len(), 1);
}

#[test]
fn stop_does_not_wait_for_the_answer_to_a_start() {
    // Both calls are in flight. The worker refuses a start that arrives after the stop.
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    harness.advance(100);
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 1);
    // The missing answer to the start has no effect: neither the start nor the stop is repeated.
    harness.advance(5_000);
    assert_eq!((harness.starts.len(), harness.stops.len()), (1, 1));
    assert_eq!(harness.last().unstarted, [run(0)]);
}

#[test]
fn missing_answer_to_a_start_does_not_advance_the_next_stop() {
    // The worker answers neither call. Each stop has its own answer timeout.
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.worker.ignore_stops = true;
    harness.order_start(0);
    harness.advance(100);
    harness.order_stop(0);
    harness.advance(FIRST_RETRY_MS - STEP_MS);
    assert_eq!(harness.stops.len(), 1);
    harness.advance(STEP_MS);
    assert_eq!((harness.starts.len(), harness.stops.len()), (1, 2));
}

#[test]
fn start_with_attempts_left_is_not_repeated_after_an_order_to_stop() {
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    // The first call got no answer, and the next one is not due yet.
    harness.advance(900);
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 1);
    harness.advance(3_000);
    assert_eq!((harness.starts.len(), harness.stops.len()), (1, 1));
}

#[test]
fn late_start_of_a_run_that_should_stop_is_found() {
    // This holds even if the worker carries out the start after it confirmed the stop.
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    harness.advance(100);
    harness.order_stop(0);
    harness.advance_until(REPORTED_WITHIN_MS, |harness| !harness.last().unstarted.is_empty());
    harness.order(Order { forget: vec![run(0)], ..Order::default() });
    harness.advance(2_000);
    harness.start_late(0);
    harness.advance_until(REPORTED_WITHIN_MS, Harness::reports_run);
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 2);
}

#[test]
fn stop_without_an_answer_is_repeated_until_confirmed() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.worker.ignore_stops = true;
    harness.order_stop(0);
    harness.advance_until(FIRST_RETRY_MS, |harness| harness.stops.len() == 2);
    for _ in 0..5 {
        harness.stops.clear();
        harness.advance_until(RETRY_MS, |harness| harness.stops.len() == 1);
    }
    harness.worker.ignore_stops = false;
    harness.advance_until(2 * RETRY_MS, |harness| !harness.last().ends.is_empty());
}

#[test]
fn stop_of_a_start_that_was_given_up_is_repeated_as_soon_as_any_other() {
    // The worker answers no call about the run.
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.worker.ignore_stops = true;
    harness.order_start(0);
    harness.advance_until(4_500, |harness| harness.stops.len() == 1);
    harness.advance_until(FIRST_RETRY_MS, |harness| harness.stops.len() == 2);
}

#[test]
fn stop_that_is_carried_out_late_ends_the_calls() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.worker.ignore_stops = true;
    harness.order_stop(0);
    harness.advance(2_500);
    harness.worker.stop(run(0));
    harness.advance_until(REPORTED_WITHIN_MS, |harness| harness.last().ends.len() == 1);
    harness.order(Order { committed: 1, ..Order::default() });
    harness.stops.clear();
    harness.advance(10_000);
    assert_eq!(harness.stops, []);
    assert!(harness.last().runs.is_empty());
    assert!(harness.last().unstarted.is_empty());
}

#[test]
fn run_that_ends_by_itself_while_its_stop_has_no_answer_keeps_its_outcome() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.worker.ignore_stops = true;
    harness.order_stop(0);
    harness.advance(1_200);
    harness.worker.end(run(0), EndReason::Done);
    harness.advance_until(REPORTED_WITHIN_MS, |harness| harness.last().ends.len() == 1);
    assert_eq!(harness.last().ends[0].how(), EndReason::Done);
    harness.stops.clear();
    harness.advance(10_000);
    assert_eq!(harness.stops, []);
}

#[test]
fn new_agent_reports_an_existing_run_and_stops_it() {
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    harness.advance(100);
    harness.replace_agent();
    harness.start_late(0);
    harness.core.leader_up(TERM);
    harness.register(9);
    harness.advance_until(STEP_MS, Harness::reports_run);
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 1);
    harness.advance_until(REPORTED_WITHIN_MS, |harness| !harness.last().ends.is_empty());
}

#[test]
fn new_agent_reports_a_late_run_that_its_predecessor_started() {
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    harness.replace_agent();
    harness.core.leader_up(TERM + 1);
    harness.register(9);
    for late_ms in [2_000, 2_700, 3_300] {
        harness.advance(late_ms);
        harness.start_late(0);
        harness.advance_until(REPORTED_WITHIN_MS, Harness::reports_run);
        let stop = Order { term: TERM + 1, stops: vec![run(0)], ..Order::default() };
        harness.order(stop);
        harness.advance_until(100, |harness| !harness.last().ends.is_empty());
        let committed = harness.last().ends.iter().map(|end| end.number).max().unwrap_or(0);
        harness.order(Order { term: TERM + 1, committed, ..Order::default() });
        harness.advance_until(REPORTED_WITHIN_MS, |harness| !harness.reports_run());
    }
}

#[test]
fn new_agent_stops_an_unknown_run_before_it_starts() {
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    harness.replace_agent();
    harness.core.leader_up(TERM);
    harness.register(9);
    harness.advance(100);
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 1);
    harness.advance_until(REPORTED_WITHIN_MS, |harness| harness.last().unstarted == [run(0)]);
    assert!(harness.worker.refused_runs.contains(&run(0)));
}

#[test]
fn without_a_leader_no_lease_is_extended_beyond_the_granted_time() {
    let mut harness = Harness::new();
    harness.order_start(0);
    let granted = harness.clock_ms() + LEASE_MS;
    harness.advance(100);
    harness.start_late(1);
    // No leader sends anything any more. Lists continue and extend nothing.
    let lists = harness.lists;
    harness.advance(2 * LEASE_MS);
    assert!(harness.lists > lists + 10);
    assert_eq!(harness.worker.lease_end_ms, granted);
}

#[test]
fn agent_without_a_leader_extends_nothing() {
    let mut harness = Harness::without_leader();
    harness.start_late(0);
    harness.register(1);
    harness.advance(2 * LEASE_MS);
    assert_eq!((harness.lists, harness.worker.lease_end_ms), (0, 0));
    // The first leader that is found gets a report at once.
    harness.core.leader_up(TERM);
    harness.register(2);
    harness.advance_until(STEP_MS, Harness::reports_run);
}

#[test]
fn agent_with_a_refused_token_extends_nothing_and_reports_to_the_next_leader() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    let granted = harness.worker.lease_end_ms;
    harness.worker.fence = TERM + 2;
    harness.advance(2 * LEASE_MS);
    harness.start_late(1);
    assert_eq!(harness.worker.lease_end_ms, granted);
    harness.core.leader_up(TERM + 2);
    harness.advance_until(REPORTED_WITHIN_MS, |harness| {
        harness.last().runs.iter().any(|row| row.run == run(1))
    });
    harness.order(Order { term: TERM + 2, stops: vec![run(1)], ..Order::default() });
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 1);
}

#[test]
fn lease_extended_for_other_runs_keeps_an_unwanted_run_alive_until_its_stop() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.start_late(1);
    let mut stopped: BTreeMap<RunName, Millis> = BTreeMap::new();
    for _ in 0..10 {
        let lease_end_ms = harness.clock_ms() + LEASE_MS;
        let unwanted = harness.last().runs.iter().any(|row| row.run == run(1));
        let stops = if unwanted { vec![run(1)] } else { Vec::new() };
        harness.order(Order { lease_end_ms, stops, ..Order::default() });
        harness.advance(500);
        stopped.extend(harness.stops.iter().map(|(at, run)| (*run, *at)));
    }
    assert_eq!(stopped.keys().copied().collect::<Vec<_>>(), [run(1)]);
    assert_eq!(harness.worker.running.iter().copied().collect::<Vec<_>>(), [run(0)]);
}
