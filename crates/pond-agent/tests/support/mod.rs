//! The core of an agent, and a worker whose answers the test defines.
#![allow(dead_code)]

use pond_agent::{Answer, Call, Core, Observation, Output, Registration, Reply};
use pond_proto::fleet::{EndRow, Order, Report, RunRow, StartOrder, Watch};
use pond_proto::job::{EndReason, RunName, TaskName};
use pond_proto::{Millis, Size};

pub const INCARNATION: &str = "incarnation-1";

pub fn run(index: u32) -> RunName {
    RunName { task: TaskName { job: 1, repetition: 0, step: 0, index }, number: 1 }
}

/// The core of an agent, with all its outputs.
pub struct Harness {
    pub core: Core,
    pub now: Millis,
    pub calls: Vec<(u64, Call)>,
    /// Calls to incarnations that have registered but not answered yet.
    pub claims: Vec<(String, u64, Call)>,
    /// Token of the last call.
    pub token: u64,
    pub reports: Vec<Report>,
    pub observed: Vec<Observation>,
    /// The numbers up to which ends were acknowledged.
    pub acknowledged: Vec<u64>,
}

impl Harness {
    /// Creates an agent that knows neither a leader nor a worker.
    pub fn without_leader() -> Harness {
        Harness {
            core: Core::new(),
            now: Millis(1_000),
            calls: vec![],
            claims: vec![],
            token: 0,
            reports: vec![],
            observed: vec![],
            acknowledged: vec![],
        }
    }

    pub fn new() -> Harness {
        let mut harness = Harness::without_leader();
        harness.core.leader_up(3);
        harness.register(INCARNATION, false, 1);
        harness
    }

    /// Registers an incarnation and answers the call that this causes, if any.
    pub fn register(&mut self, incarnation: &str, draining: bool, sequence: u64) {
        self.claim(incarnation, draining, sequence);
        self.answer_claim(incarnation, Reply::Listed { runs: vec![], ends: vec![] });
    }

    /// Registers a worker whose ID is the name of its incarnation.
    pub fn claim(&mut self, incarnation: &str, draining: bool, sequence: u64) {
        self.registration(incarnation, incarnation, draining, sequence);
    }

    /// Registers an incarnation of the worker with this ID.
    pub fn claim_as(&mut self, id: &str, incarnation: &str, sequence: u64) {
        self.registration(id, incarnation, false, sequence);
    }

    fn registration(&mut self, id: &str, incarnation: &str, draining: bool, sequence: u64) {
        let registration = Registration {
            id: id.to_owned(),
            incarnation: incarnation.to_owned(),
            address: "127.0.0.1:1".to_owned(),
            room: Size::new(4_000, 1_000, 0),
            draining,
            clock_ms: 50_000,
            sequence,
            ..Registration::default()
        };
        self.core.registered(self.now, registration);
        self.tick();
    }

    pub fn tick(&mut self) {
        for output in self.core.tick(self.now) {
            match output {
                Output::Call { incarnation, list_id, call, .. }
                    if self.core.incarnation() != Some(&incarnation) =>
                {
                    self.claims.push((incarnation, list_id, call));
                }
                Output::Call { token, list_id, call, .. } => {
                    if let Call::List { committed, .. } = call {
                        self.acknowledged.extend((committed > 0).then_some(committed));
                    }
                    self.token = token;
                    self.calls.push((list_id, call));
                }
                Output::Report(report) => self.reports.push(report),
                Output::Observed(observation) => self.observed.push(observation),
            }
        }
    }

    pub fn order(&mut self, order: Order) {
        let order = Order { worker: INCARNATION.to_owned(), term: order.term.max(3), ..order };
        self.core.order(self.now, order);
        self.tick();
    }

    pub fn start(&mut self, index: u32) {
        let watch = Watch { run: run(index), ..Watch::default() };
        let start = StartOrder { run: run(index), watch, ..StartOrder::default() };
        self.order(Order { lease_end_ms: 56_000, starts: vec![start], ..Order::default() });
    }

    /// Starts a run for each watch. The worker confirms all of them.
    pub fn run_all(&mut self, watches: Vec<Watch>) {
        let confirmed = watches.len();
        let start = |watch: Watch| StartOrder { run: watch.run, watch, ..StartOrder::default() };
        let starts = watches.into_iter().map(start).collect();
        self.order(Order { lease_end_ms: 56_000, starts, ..Order::default() });
        for _ in 0..confirmed {
            self.answer(is_start, Reply::Done);
        }
    }

    /// Lists the serving run 0 with this tail latency, and the best-effort runs 1 to `best_effort`.
    pub fn list_tail(&mut self, tail_ms: u32, best_effort: u32) {
        let row = |index: u32, percent: u32, figure: u32| RunRow {
            run: run(index),
            percent,
            measurement: figure,
            ..RunRow::default()
        };
        let fill = (1..=best_effort).map(|index| row(index, 10, 900));
        let runs = std::iter::once(row(0, 100, tail_ms)).chain(fill).collect();
        self.answer(is_list, Reply::Listed { runs, ends: vec![] });
    }

    /// Confirms all pace calls and returns the paces by the index of the run.
    pub fn confirm_paces(&mut self) -> Vec<(u32, u32)> {
        let mut paces = Vec::new();
        while self.count(is_pace) > 0 {
            let found = self.calls.iter().find(|(_, call)| is_pace(call));
            if let Some((_, Call::Pace { run, percent })) = found {
                paces.push((run.task.index, *percent));
            }
            self.answer(is_pace, Reply::Done);
        }
        paces
    }

    /// Answers the oldest unanswered call of this kind.
    pub fn answer(&mut self, wanted: fn(&Call) -> bool, reply: Reply) {
        self.answer_as(INCARNATION, wanted, reply);
    }

    /// The same for a call to this incarnation.
    pub fn answer_as(&mut self, incarnation: &str, wanted: fn(&Call) -> bool, reply: Reply) {
        let found = self.calls.iter().position(|(_, call)| wanted(call)).expect("no such call");
        let (list_id, call) = self.calls.remove(found);
        let answer = Answer { clock_ms: Some(51_000), reply };
        self.core.answer(self.now, incarnation, self.token, list_id, &call, answer);
        self.tick();
    }

    /// Answers the call to an incarnation that has only registered.
    pub fn answer_claim(&mut self, incarnation: &str, reply: Reply) {
        let Some(found) = self.claims.iter().position(|(claim, ..)| claim == incarnation) else {
            return;
        };
        let (incarnation, list_id, call) = self.claims.remove(found);
        let answer = Answer { clock_ms: Some(50_000), reply };
        self.core.answer(self.now, &incarnation, self.token, list_id, &call, answer);
        self.tick();
    }

    pub fn list(&mut self, running: &[u32], ended: &[(u64, u32, EndReason)]) {
        let row = |index: &u32| RunRow { run: run(*index), percent: 5, ..RunRow::default() };
        let end = |(number, index, reason): &(u64, u32, EndReason)| EndRow {
            number: *number,
            run: run(*index),
            how: *reason as i32,
            checkpoint: String::new(),
        };
        let runs = running.iter().map(row).collect();
        let ends = ended.iter().map(end).collect();
        self.answer(is_list, Reply::Listed { runs, ends });
    }

    /// Answers all requested lists, and those requested as a result.
    pub fn list_all(&mut self, running: &[u32], ended: &[(u64, u32, EndReason)]) {
        while self.count(is_list) > 0 {
            self.list(running, ended);
            if self.count(is_list) == 1 && self.list_waits() {
                return;
            }
        }
    }

    /// Returns whether a list that waits for an end is in flight.
    fn list_waits(&self) -> bool {
        self.calls
            .iter()
            .any(|(_, call)| matches!(call, Call::List { wait_ms, .. } if *wait_ms > 0))
    }

    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + ms;
        self.tick();
    }

    pub fn count(&self, wanted: fn(&Call) -> bool) -> usize {
        self.calls.iter().filter(|(_, call)| wanted(call)).count()
    }

    /// Returns the newest report that an incarnation has ended.
    pub fn gone(&self) -> &Report {
        self.reports.iter().rev().find(|report| report.gone).expect("no incarnation has ended")
    }

    pub fn last(&self) -> &Report {
        self.reports.last().expect("no report")
    }
}

pub fn is_start(call: &Call) -> bool {
    matches!(call, Call::Start { .. })
}

pub fn is_stop(call: &Call) -> bool {
    matches!(call, Call::Stop { .. })
}

pub fn is_list(call: &Call) -> bool {
    matches!(call, Call::List { .. })
}

pub fn is_pace(call: &Call) -> bool {
    matches!(call, Call::Pace { .. })
}

pub fn serving(index: u32, tail_target_ms: u32) -> Watch {
    Watch { run: run(index), tail_target_ms, ..Watch::default() }
}

pub fn best_effort(index: u32, image: &str, blame_permille: u32) -> Watch {
    let image = image.to_owned();
    Watch {
        run: run(index),
        best_effort: true,
        image,
        interference_permille: blame_permille,
        ..Watch::default()
    }
}
