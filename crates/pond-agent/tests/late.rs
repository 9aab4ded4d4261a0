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
const TOLD_MS: Span = 1_000;

/// From an order to stop until the call, in milliseconds.
const CALLED_MS: Span = 0;

/// From a call to stop without an answer until the next one, in milliseconds: the time for its
/// answer and the first wait.
const FIRST_AGAIN_MS: Span = 1_000;

/// The same however often there was none: the time for the answer and the longest wait.
const AGAIN_MS: Span = 2_400;

/// From a confirmed stop of a run that goes on until the next call, in milliseconds: a stop takes a
/// fifth of a second, and half a second is given to it; two answers come before.
const NOT_STOPPED_MS: Span = 520;

/// The longest lease in these tests, in milliseconds.
const HOLD_MS: u64 = 6_000;

fn run(index: u32) -> RunName {
    RunName { task: TaskName { job: 1, time: 0, step: 0, index }, number: 1 }
}

/// A call on its way, and when it is answered at the latest.
struct Flight {
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
    barred: BTreeSet<RunName>,
    mute_starts: bool,
    mute_stops: bool,
    /// It confirms stops, and the runs go on.
    deaf: bool,
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
        self.barred.insert(name);
        if !self.deaf {
            self.end(name, How::Stopped);
        }
    }

    fn is_mute(&self, call: &Call) -> bool {
        match call {
            Call::Start { .. } => self.mute_starts,
            Call::Stop { .. } => self.mute_stops,
            _ => false,
        }
    }

    fn has_news(&self, committed: u64) -> bool {
        self.ends.iter().any(|end| end.number > committed)
    }

    fn carry_out(&mut self, token: u64, call: &Call) -> Reply {
        if token < self.fence {
            return Reply::Refused(Refusal::Fenced);
        }
        self.fence = token;
        match call {
            Call::Start { run, lease_end_ms, .. } => {
                if self.barred.contains(run) {
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
struct Bench {
    core: Core,
    now: Millis,
    worker: Worker,
    flights: Vec<Flight>,
    stops: Vec<(Millis, RunName)>,
    starts: Vec<Millis>,
    looks: usize,
    reports: Vec<(Millis, Report)>,
}

impl Bench {
    /// An agent that knows its worker and a leader, half a second into its second list.
    fn new() -> Bench {
        let mut bench = Bench::without_leader();
        bench.core.leader_up(TERM);
        bench.register(1);
        bench.pass(1_500);
        bench
    }

    fn without_leader() -> Bench {
        Bench {
            core: Core::new(),
            now: Millis(10_000),
            worker: Worker::default(),
            flights: Vec::new(),
            stops: Vec::new(),
            starts: Vec::new(),
            looks: 0,
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
        self.flights.clear();
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
            Call::List { .. } => self.looks += 1,
            Call::Pace { .. } => {}
        }
        let unanswered = self.worker.is_mute(&call);
        let wait = match &call {
            _ if unanswered => call.timeout_ms(),
            Call::List { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        self.flights.push(Flight { token, list_id, call, due: self.now + wait, unanswered });
    }

    /// Hands over the answers that are due; a list comes early if there is an end to tell.
    fn deliver(&mut self) {
        let due = |flight: &Flight, worker: &Worker| {
            let early = match &flight.call {
                Call::List { committed, .. } => worker.has_news(*committed),
                _ => false,
            };
            early || flight.due <= self.now
        };
        while let Some(found) = self.flights.iter().position(|flight| due(flight, &self.worker)) {
            let flight = self.flights.remove(found);
            let answer = if flight.unanswered {
                Answer { clock_ms: None, reply: Reply::Unknown }
            } else {
                let reply = self.worker.carry_out(flight.token, &flight.call);
                Answer { clock_ms: Some(self.clock_ms()), reply }
            };
            self.core.answer(
                self.now,
                INCARNATION,
                flight.token,
                flight.list_id,
                &flight.call,
                answer,
            );
        }
    }

    /// Time passes in steps of the clock.
    fn pass(&mut self, ms: Span) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            self.deliver();
            self.tick();
        }
    }

    /// Time passes until something is so; how long it took, at most `bound` and a step.
    fn until(&mut self, bound: Span, what: fn(&Bench) -> bool) -> Span {
        let since = self.now;
        while !what(self) {
            let took = self.now.since(since);
            assert!(took <= bound, "not within {bound} ms");
            self.pass(STEP_MS);
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
        let lease_end_ms = self.clock_ms() + HOLD_MS;
        self.order(Order { lease_end_ms, starts: vec![start], ..Order::default() });
    }

    fn order_stop(&mut self, index: u32) {
        self.order(Order { stops: vec![run(index)], ..Order::default() });
    }

    /// Run 0 gets no answer, is given up and is reported as unstarted.
    fn give_up_start(&mut self) {
        self.worker.mute_starts = true;
        self.order_start(0);
        self.until(4_500, |bench| bench.last().unstarted == [run(0)]);
        assert_eq!((self.starts.len(), self.stops.len()), (3, 1));
    }

    /// The worker carries out an earlier start after all.
    fn start_late(&mut self, index: u32) {
        self.worker.running.insert(run(index));
    }

    fn last(&self) -> &Report {
        &self.reports.last().expect("no report").1
    }

    fn tells_of_run(&self) -> bool {
        self.last().runs.iter().any(|row| row.run == run(0))
    }
}

#[test]
fn start_that_was_given_up_and_came_late_is_told_with_the_list_that_shows_it() {
    let mut bench = Bench::new();
    bench.give_up_start();
    bench.order(Order { forget: vec![run(0)], ..Order::default() });
    // The time between reports must not add to it, whenever the start comes.
    for late_ms in [0, 300, 600, 900] {
        bench.pass(3_000 + late_ms);
        bench.start_late(0);
        bench.until(TOLD_MS, Bench::tells_of_run);
        bench.order_stop(0);
        bench.until(100, |bench| !bench.last().ends.is_empty());
        let settled = bench.last().ends.iter().map(|end| end.number).max().unwrap_or(0);
        bench.order(Order { settled, ..Order::default() });
        bench.until(TOLD_MS, |bench| !bench.tells_of_run());
    }
}

#[test]
fn run_that_came_late_is_stopped_with_the_order() {
    let mut bench = Bench::new();
    bench.give_up_start();
    bench.order(Order { forget: vec![run(0)], ..Order::default() });
    bench.start_late(0);
    bench.pass(2_000);
    let before = bench.stops.len();
    bench.order_stop(0);
    let took = bench.until(CALLED_MS, |bench| bench.stops.len() > 1);
    assert_eq!((before, took), (1, 0));
    bench.until(TOLD_MS, |bench| bench.last().ends.iter().any(|end| end.run == run(0)));
}

#[test]
fn run_that_came_late_is_stopped_though_control_has_not_heard_that_it_was_given_up() {
    let mut bench = Bench::new();
    bench.give_up_start();
    bench.start_late(0);
    bench.until(TOLD_MS, Bench::tells_of_run);
    assert!(bench.last().unstarted.is_empty(), "it did start");
    bench.order_stop(0);
    bench.until(CALLED_MS, |bench| bench.stops.len() == 2);
}

#[test]
fn run_that_goes_on_after_its_confirmed_stop_is_stopped_again() {
    let mut bench = Bench::new();
    bench.order_start(0);
    bench.pass(100);
    bench.worker.deaf = true;
    bench.order_stop(0);
    for stops in 2..6 {
        bench.until(NOT_STOPPED_MS, |bench| bench.stops.len() >= 2);
        assert_eq!(bench.stops.len(), 2, "round {stops}");
        bench.stops.remove(0);
    }
    bench.worker.deaf = false;
    bench.until(NOT_STOPPED_MS + TOLD_MS, |bench| !bench.last().ends.is_empty());
    bench.stops.clear();
    bench.pass(5_000);
    assert_eq!(bench.stops, []);
}

#[test]
fn stop_that_takes_its_time_is_called_once() {
    let mut bench = Bench::new();
    bench.order_start(0);
    bench.pass(100);
    bench.worker.deaf = true;
    bench.order_stop(0);
    // The list that is asked for after the stop shows the run still at its end.
    bench.pass(200);
    bench.worker.end(run(0), How::Stopped);
    bench.pass(5_000);
    assert_eq!(bench.stops.len(), 1);
}

#[test]
fn stop_does_not_wait_for_the_answer_to_a_start() {
    // Both are on their way; the worker refuses a start that comes after the stop.
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.order_start(0);
    bench.pass(100);
    bench.order_stop(0);
    bench.until(CALLED_MS, |bench| bench.stops.len() == 1);
    // The start's missing answer changes nothing: it is not made again, and neither is the stop.
    bench.pass(5_000);
    assert_eq!((bench.starts.len(), bench.stops.len()), (1, 1));
    assert_eq!(bench.last().unstarted, [run(0)]);
}

#[test]
fn missing_answer_to_a_start_does_not_bring_the_next_stop_forward() {
    // The worker leaves both unanswered; each stop has its own time for an answer.
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.worker.mute_stops = true;
    bench.order_start(0);
    bench.pass(100);
    bench.order_stop(0);
    bench.pass(FIRST_AGAIN_MS - STEP_MS);
    assert_eq!(bench.stops.len(), 1);
    bench.pass(STEP_MS);
    assert_eq!((bench.starts.len(), bench.stops.len()), (1, 2));
}

#[test]
fn start_with_tries_left_is_not_made_again_once_it_should_stop() {
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.order_start(0);
    // Its first call had no answer, and the next one is not due yet.
    bench.pass(900);
    bench.order_stop(0);
    bench.until(CALLED_MS, |bench| bench.stops.len() == 1);
    bench.pass(3_000);
    assert_eq!((bench.starts.len(), bench.stops.len()), (1, 1));
}

#[test]
fn start_of_a_run_that_should_stop_comes_late_and_is_found() {
    // Even if the worker carries it out after it confirmed the stop.
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.order_start(0);
    bench.pass(100);
    bench.order_stop(0);
    bench.until(TOLD_MS, |bench| !bench.last().unstarted.is_empty());
    bench.order(Order { forget: vec![run(0)], ..Order::default() });
    bench.pass(2_000);
    bench.start_late(0);
    bench.until(TOLD_MS, Bench::tells_of_run);
    bench.order_stop(0);
    bench.until(CALLED_MS, |bench| bench.stops.len() == 2);
}

#[test]
fn stop_without_an_answer_is_called_again_until_it_is_confirmed() {
    let mut bench = Bench::new();
    bench.order_start(0);
    bench.pass(100);
    bench.worker.mute_stops = true;
    bench.order_stop(0);
    bench.until(FIRST_AGAIN_MS, |bench| bench.stops.len() == 2);
    for _ in 0..5 {
        bench.stops.clear();
        bench.until(AGAIN_MS, |bench| bench.stops.len() == 1);
    }
    bench.worker.mute_stops = false;
    bench.until(2 * AGAIN_MS, |bench| !bench.last().ends.is_empty());
}

#[test]
fn stop_of_a_start_that_was_given_up_is_called_again_as_soon_as_any_other() {
    // The worker leaves everything about the run unanswered.
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.worker.mute_stops = true;
    bench.order_start(0);
    bench.until(4_500, |bench| bench.stops.len() == 1);
    bench.until(FIRST_AGAIN_MS, |bench| bench.stops.len() == 2);
}

#[test]
fn stop_that_is_carried_out_late_ends_the_calls() {
    let mut bench = Bench::new();
    bench.order_start(0);
    bench.pass(100);
    bench.worker.mute_stops = true;
    bench.order_stop(0);
    bench.pass(2_500);
    bench.worker.stop(run(0));
    bench.until(TOLD_MS, |bench| bench.last().ends.len() == 1);
    bench.order(Order { settled: 1, ..Order::default() });
    bench.stops.clear();
    bench.pass(10_000);
    assert_eq!(bench.stops, []);
    assert!(bench.last().runs.is_empty());
    assert!(bench.last().unstarted.is_empty());
}

#[test]
fn run_that_ends_by_itself_while_its_stop_has_no_answer_counts_as_it_ended() {
    let mut bench = Bench::new();
    bench.order_start(0);
    bench.pass(100);
    bench.worker.mute_stops = true;
    bench.order_stop(0);
    bench.pass(1_200);
    bench.worker.end(run(0), How::Done);
    bench.until(TOLD_MS, |bench| bench.last().ends.len() == 1);
    assert_eq!(bench.last().ends[0].how(), How::Done);
    bench.stops.clear();
    bench.pass(10_000);
    assert_eq!(bench.stops, []);
}

#[test]
fn fresh_agent_tells_of_a_run_that_was_there_and_stops_it() {
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.order_start(0);
    bench.pass(100);
    bench.replace_agent();
    bench.start_late(0);
    bench.core.leader_up(TERM);
    bench.register(9);
    bench.until(STEP_MS, Bench::tells_of_run);
    bench.order_stop(0);
    bench.until(CALLED_MS, |bench| bench.stops.len() == 1);
    bench.until(TOLD_MS, |bench| !bench.last().ends.is_empty());
}

#[test]
fn fresh_agent_tells_of_a_run_that_its_predecessor_started_and_that_comes_late() {
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.order_start(0);
    bench.replace_agent();
    bench.core.leader_up(TERM + 1);
    bench.register(9);
    for late_ms in [2_000, 2_700, 3_300] {
        bench.pass(late_ms);
        bench.start_late(0);
        bench.until(TOLD_MS, Bench::tells_of_run);
        let stop = Order { term: TERM + 1, stops: vec![run(0)], ..Order::default() };
        bench.order(stop);
        bench.until(100, |bench| !bench.last().ends.is_empty());
        let settled = bench.last().ends.iter().map(|end| end.number).max().unwrap_or(0);
        bench.order(Order { term: TERM + 1, settled, ..Order::default() });
        bench.until(TOLD_MS, |bench| !bench.tells_of_run());
    }
}

#[test]
fn fresh_agent_stops_a_run_that_it_has_never_heard_of_before_it_starts() {
    let mut bench = Bench::new();
    bench.worker.mute_starts = true;
    bench.order_start(0);
    bench.replace_agent();
    bench.core.leader_up(TERM);
    bench.register(9);
    bench.pass(100);
    bench.order_stop(0);
    bench.until(CALLED_MS, |bench| bench.stops.len() == 1);
    bench.until(TOLD_MS, |bench| bench.last().unstarted == [run(0)]);
    assert!(bench.worker.barred.contains(&run(0)));
}

#[test]
fn without_a_leader_no_lease_goes_on_beyond_what_was_granted() {
    let mut bench = Bench::new();
    bench.order_start(0);
    let granted = bench.clock_ms() + HOLD_MS;
    bench.pass(100);
    bench.start_late(1);
    // No leader says anything any more; lists go on, and extend nothing.
    let looks = bench.looks;
    bench.pass(2 * HOLD_MS);
    assert!(bench.looks > looks + 10);
    assert_eq!(bench.worker.lease_end_ms, granted);
}

#[test]
fn agent_that_knows_no_leader_extends_nothing() {
    let mut bench = Bench::without_leader();
    bench.start_late(0);
    bench.register(1);
    bench.pass(2 * HOLD_MS);
    assert_eq!((bench.looks, bench.worker.lease_end_ms), (0, 0));
    // The first leader that it finds is told at once.
    bench.core.leader_up(TERM);
    bench.register(2);
    bench.until(STEP_MS, Bench::tells_of_run);
}

#[test]
fn agent_whose_token_is_refused_extends_nothing_and_tells_the_next_leader() {
    let mut bench = Bench::new();
    bench.order_start(0);
    bench.pass(100);
    let granted = bench.worker.lease_end_ms;
    bench.worker.fence = TERM + 2;
    bench.pass(2 * HOLD_MS);
    bench.start_late(1);
    assert_eq!(bench.worker.lease_end_ms, granted);
    bench.core.leader_up(TERM + 2);
    bench.until(TOLD_MS, |bench| bench.last().runs.iter().any(|row| row.run == run(1)));
    bench.order(Order { term: TERM + 2, stops: vec![run(1)], ..Order::default() });
    bench.until(CALLED_MS, |bench| bench.stops.len() == 1);
}

#[test]
fn lease_for_others_leaves_a_run_that_nobody_wants_alive_until_its_stop() {
    let mut bench = Bench::new();
    bench.order_start(0);
    bench.pass(100);
    bench.start_late(1);
    let mut stopped: BTreeMap<RunName, Millis> = BTreeMap::new();
    for _ in 0..10 {
        let lease_end_ms = bench.clock_ms() + HOLD_MS;
        let stray = bench.last().runs.iter().any(|row| row.run == run(1));
        let stops = if stray { vec![run(1)] } else { Vec::new() };
        bench.order(Order { lease_end_ms, stops, ..Order::default() });
        bench.pass(500);
        stopped.extend(bench.stops.iter().map(|(at, run)| (*run, *at)));
    }
    assert_eq!(stopped.keys().copied().collect::<Vec<_>>(), [run(1)]);
    assert_eq!(bench.worker.running.iter().copied().collect::<Vec<_>>(), [run(0)]);
}
