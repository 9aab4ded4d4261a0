//! Runs that a worker starts late or that nobody wants any more: how soon the agent tells control
//! of them, and how soon and how long it calls for their stop.

use std::collections::{BTreeMap, BTreeSet};

use pond_agent::{Answer, Call, Core, Output, Refusal, Registration, Reply};
use pond_proto::fleet::{EndRow, Order, Report, RunRow, StartOrder, Watch};
use pond_proto::job::{How, RunName, TaskName};
use pond_proto::{Millis, Size, Span};

const INCARNATION: &str = "life-1";
const TERM: u64 = 3;

/// Step of the injected clock, in milliseconds; the bounds below are met to within one.
const STEP_MS: Span = 10;

/// From a start that nobody waits for until control is told, in milliseconds: one list, which waits
/// for an end and not for a start.
const REPORTED_WITHIN_MS: Span = 1_000;

/// From an order to stop until the call, in milliseconds.
const CALLED_WITHIN_MS: Span = 0;

/// From a call to stop without an answer until the next one, in milliseconds: the time for its
/// answer and the first wait.
const FIRST_RETRY_MS: Span = 1_000;

/// The same however often there was none: the time for the answer and the longest wait.
const RETRY_MS: Span = 2_400;

/// From a confirmed stop of a run that goes on until the next call, in milliseconds: a stop takes a
/// fifth of a second, and half a second is given to it; two answers come before.
const STOP_REPEATED_WITHIN_MS: Span = 520;

/// The longest lease in these tests, in milliseconds.
const LEASE_MS: u64 = 6_000;

fn run(index: u32) -> RunName {
    RunName { task: TaskName { job: 1, time: 0, step: 0, index }, number: 1 }
}

/// A call on its way, and when it is answered at the latest.
struct PendingCall {
    token: u64,
    list_id: u64,
    call: Call,
    due: Millis,
    unanswered: bool,
}

/// A worker on the injected clock: it answers at once, but for the lists that wait, and leaves
/// calls unanswered as told.
#[derive(Default)]
struct Worker {
    running: BTreeSet<RunName>,
    ends: Vec<EndRow>,
    /// Runs that it does not start any more.
    refused_runs: BTreeSet<RunName>,
    ignore_starts: bool,
    ignore_stops: bool,
    /// It confirms stops, and the runs go on.
    runs_survive_stop: bool,
    fence: u64,
    lease_end_ms: u64,
}

impl Worker {
    fn end(&mut self, name: RunName, how: How) {
        if self.running.remove(&name) {
            let number = self.ends.len() as u64 + 1;
            self.ends.push(EndRow { number, run: name, how: how as i32, save: String::new() });
        }
    }

    fn stop(&mut self, name: RunName) {
        self.refused_runs.insert(name);
        if !self.runs_survive_stop {
            self.end(name, How::Stopped);
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

/// An agent beside that worker, with everything that it hands out and when.
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
    /// An agent that knows its worker and a leader, half a second into its second list.
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

    /// Another agent takes over, which knows nothing.
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

    /// Hands over the answers that are due; a list comes early if there is an end to tell.
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

    /// Time passes in steps of the clock.
    fn advance(&mut self, ms: Span) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            self.deliver();
            self.tick();
        }
    }

    /// Time passes until something is so; how long it took, at most `bound` and a step.
    fn advance_until(&mut self, bound: Span, what: fn(&Harness) -> bool) -> Span {
        let since = self.now;
        while !what(self) {
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

    /// Run 0 gets no answer, is given up and is reported as unstarted.
    fn give_up_start(&mut self) {
        self.worker.ignore_starts = true;
        self.order_start(0);
        self.advance_until(4_500, |harness| harness.last().unstarted == [run(0)]);
        assert_eq!((self.starts.len(), self.stops.len()), (3, 1));
    }

    /// The worker carries out an earlier start after all.
    fn start_late(&mut self, index: u32) {
        self.worker.running.insert(run(index));
    }

    fn last(&self) -> &Report {
        &self.reports.last().expect("no report").1
    }

    fn reports_run(&self) -> bool {
        self.last().runs.iter().any(|row| row.run == run(0))
    }
}

#[test]
fn start_that_was_given_up_and_came_late_is_told_with_the_list_that_shows_it() {
    let mut harness = Harness::new();
    harness.give_up_start();
    harness.order(Order { forget: vec![run(0)], ..Order::default() });
    // The time between reports must not add to it, whenever the start comes.
    for late_ms in [0, 300, 600, 900] {
        harness.advance(3_000 + late_ms);
        harness.start_late(0);
        harness.advance_until(REPORTED_WITHIN_MS, Harness::reports_run);
        harness.order_stop(0);
        harness.advance_until(100, |harness| !harness.last().ends.is_empty());
        let settled = harness.last().ends.iter().map(|end| end.number).max().unwrap_or(0);
        harness.order(Order { settled, ..Order::default() });
        harness.advance_until(REPORTED_WITHIN_MS, |harness| !harness.reports_run());
    }
}

#[test]
fn run_that_came_late_is_stopped_with_the_order() {
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
fn run_that_came_late_is_stopped_though_control_has_not_heard_that_it_was_given_up() {
    let mut harness = Harness::new();
    harness.give_up_start();
    harness.start_late(0);
    harness.advance_until(REPORTED_WITHIN_MS, Harness::reports_run);
    assert!(harness.last().unstarted.is_empty(), "it did start");
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 2);
}

#[test]
fn run_that_goes_on_after_its_confirmed_stop_is_stopped_again() {
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
fn stop_that_takes_its_time_is_called_once() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.worker.runs_survive_stop = true;
    harness.order_stop(0);
    // The list that is asked for after the stop shows the run still at its end.
    harness.advance(200);
    harness.worker.end(run(0), How::Stopped);
    harness.advance(5_000);
    assert_eq!(harness.stops.len(), 1);
}

#[test]
fn stop_does_not_wait_for_the_answer_to_a_start() {
    // Both are on their way; the worker refuses a start that comes after the stop.
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    harness.advance(100);
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 1);
    // The start's missing answer changes nothing: it is not made again, and neither is the stop.
    harness.advance(5_000);
    assert_eq!((harness.starts.len(), harness.stops.len()), (1, 1));
    assert_eq!(harness.last().unstarted, [run(0)]);
}

#[test]
fn missing_answer_to_a_start_does_not_bring_the_next_stop_forward() {
    // The worker leaves both unanswered; each stop has its own time for an answer.
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
fn start_with_tries_left_is_not_made_again_once_it_should_stop() {
    let mut harness = Harness::new();
    harness.worker.ignore_starts = true;
    harness.order_start(0);
    // Its first call had no answer, and the next one is not due yet.
    harness.advance(900);
    harness.order_stop(0);
    harness.advance_until(CALLED_WITHIN_MS, |harness| harness.stops.len() == 1);
    harness.advance(3_000);
    assert_eq!((harness.starts.len(), harness.stops.len()), (1, 1));
}

#[test]
fn start_of_a_run_that_should_stop_comes_late_and_is_found() {
    // Even if the worker carries it out after it confirmed the stop.
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
fn stop_without_an_answer_is_called_again_until_it_is_confirmed() {
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
fn stop_of_a_start_that_was_given_up_is_called_again_as_soon_as_any_other() {
    // The worker leaves everything about the run unanswered.
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
    harness.order(Order { settled: 1, ..Order::default() });
    harness.stops.clear();
    harness.advance(10_000);
    assert_eq!(harness.stops, []);
    assert!(harness.last().runs.is_empty());
    assert!(harness.last().unstarted.is_empty());
}

#[test]
fn run_that_ends_by_itself_while_its_stop_has_no_answer_counts_as_it_ended() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.worker.ignore_stops = true;
    harness.order_stop(0);
    harness.advance(1_200);
    harness.worker.end(run(0), How::Done);
    harness.advance_until(REPORTED_WITHIN_MS, |harness| harness.last().ends.len() == 1);
    assert_eq!(harness.last().ends[0].how(), How::Done);
    harness.stops.clear();
    harness.advance(10_000);
    assert_eq!(harness.stops, []);
}

#[test]
fn fresh_agent_tells_of_a_run_that_was_there_and_stops_it() {
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
fn fresh_agent_tells_of_a_run_that_its_predecessor_started_and_that_comes_late() {
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
        let settled = harness.last().ends.iter().map(|end| end.number).max().unwrap_or(0);
        harness.order(Order { term: TERM + 1, settled, ..Order::default() });
        harness.advance_until(REPORTED_WITHIN_MS, |harness| !harness.reports_run());
    }
}

#[test]
fn fresh_agent_stops_a_run_that_it_has_never_heard_of_before_it_starts() {
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
fn without_a_leader_no_lease_goes_on_beyond_what_was_granted() {
    let mut harness = Harness::new();
    harness.order_start(0);
    let granted = harness.clock_ms() + LEASE_MS;
    harness.advance(100);
    harness.start_late(1);
    // No leader says anything any more; lists go on, and extend nothing.
    let lists = harness.lists;
    harness.advance(2 * LEASE_MS);
    assert!(harness.lists > lists + 10);
    assert_eq!(harness.worker.lease_end_ms, granted);
}

#[test]
fn agent_that_knows_no_leader_extends_nothing() {
    let mut harness = Harness::without_leader();
    harness.start_late(0);
    harness.register(1);
    harness.advance(2 * LEASE_MS);
    assert_eq!((harness.lists, harness.worker.lease_end_ms), (0, 0));
    // The first leader that it finds is told at once.
    harness.core.leader_up(TERM);
    harness.register(2);
    harness.advance_until(STEP_MS, Harness::reports_run);
}

#[test]
fn agent_whose_token_is_refused_extends_nothing_and_tells_the_next_leader() {
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
fn lease_for_others_leaves_a_run_that_nobody_wants_alive_until_its_stop() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.advance(100);
    harness.start_late(1);
    let mut stopped: BTreeMap<RunName, Millis> = BTreeMap::new();
    for _ in 0..10 {
        let lease_end_ms = harness.clock_ms() + LEASE_MS;
        let stray = harness.last().runs.iter().any(|row| row.run == run(1));
        let stops = if stray { vec![run(1)] } else { Vec::new() };
        harness.order(Order { lease_end_ms, stops, ..Order::default() });
        harness.advance(500);
        stopped.extend(harness.stops.iter().map(|(at, run)| (*run, *at)));
    }
    assert_eq!(stopped.keys().copied().collect::<Vec<_>>(), [run(1)]);
    assert_eq!(harness.worker.running.iter().copied().collect::<Vec<_>>(), [run(0)]);
}
