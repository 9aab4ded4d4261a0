//! A pool some of whose tasks take down the worker that starts them, in steps of virtual time.

use std::collections::{BTreeMap, BTreeSet};

use pond_job::State;
use pond_proto::fleet::{EndRow, Report, RunRow};
use pond_proto::job::{How, Phase, RunName, TaskName};
use pond_proto::{Millis, Span};

use super::Bench;

/// Time passes in steps of this, in milliseconds.
const STEP_MS: Span = 100;

/// A worker that is down is back as another life after this time, in milliseconds, unless a test says
/// otherwise.
const BACK_MS: Span = 3_000;

/// Time between reports, in milliseconds.
const REPORT_MS: Span = 500;

/// A task that crashes nothing is done after this time, in milliseconds.
const WORK_MS: Span = 1_000;

/// A machine of the pool.
struct Machine {
    lives: u32,
    /// Since when each of its runs is there.
    runs: BTreeMap<RunName, Millis>,
    /// Since when it is down, and when it is back.
    down: Option<(Millis, Millis)>,
    /// Its agent went down with it and has nothing to tell of its former life.
    forgetful: bool,
}

impl Machine {
    fn life(&self, place: usize) -> String {
        format!("life-{place}-{}", self.lives)
    }
}

pub struct Pool {
    pub bench: Bench,
    machines: Vec<Machine>,
    /// Tasks that take down each worker that starts them.
    pub culprits: BTreeSet<TaskName>,
    /// Starts of each task.
    pub starts: BTreeMap<TaskName, u32>,
    /// How jobs ended; the state forgets that a minute later.
    pub ended: BTreeMap<u64, Phase>,
    /// Workers that went down, by whatever cause.
    pub crashes: u32,
    back_ms: Span,
    /// Agents go down with their workers.
    agents_fall: bool,
}

impl Pool {
    /// A pool of idle machines with 32 processors each.
    pub fn new(machines: usize) -> Pool {
        let mut bench = Bench::new();
        let new = || Machine { lives: 1, runs: BTreeMap::new(), down: None, forgetful: false };
        let machines: Vec<Machine> = (0..machines).map(|_| new()).collect();
        for (place, machine) in machines.iter().enumerate() {
            bench.add_life(&agent(place), &machine.life(place), 32_000);
        }
        let (culprits, starts) = (BTreeSet::new(), BTreeMap::new());
        let ended = BTreeMap::new();
        let (back_ms, agents_fall) = (BACK_MS, false);
        Pool { bench, machines, culprits, starts, ended, crashes: 0, back_ms, agents_fall }
    }

    /// Each agent goes down with its worker and has nothing to tell of it afterwards.
    pub fn with_agents_that_fall(mut self) -> Pool {
        self.agents_fall = true;
        self
    }

    /// Workers that are down are back after this time, in milliseconds.
    pub fn with_back_ms(mut self, back_ms: Span) -> Pool {
        self.back_ms = back_ms;
        self
    }

    /// Time passes.
    pub fn pass(&mut self, span: Span) {
        for _ in 0..span / STEP_MS {
            self.bench.now = self.bench.now + STEP_MS;
            for place in 0..self.machines.len() {
                self.step(place);
            }
            self.bench.settle();
            self.note_ended();
        }
    }

    fn note_ended(&mut self) {
        let state = &self.bench.state;
        let phase = |id: u64| Some((id, state.job(id)?.phase));
        self.ended.extend(state.ended().filter_map(phase));
    }

    fn step(&mut self, place: usize) {
        let now = self.bench.now;
        match self.machines[place].down {
            Some((_, back)) if now < back => return,
            Some(_) => self.boot(place),
            None => {}
        }
        self.begin(place);
        if self.machines[place].down.is_none() && now.0.is_multiple_of(REPORT_MS) {
            self.report(place);
        }
    }

    /// The worker starts what it was told to, and may go down with it.
    fn begin(&mut self, place: usize) {
        let (life, now) = (self.machines[place].life(place), self.bench.now);
        let orders = std::mem::take(&mut self.bench.vms.get_mut(&life).expect("a life").orders);
        let mut down = false;
        for order in orders {
            for start in order.starts {
                if self.machines[place].runs.insert(start.run, now).is_none() {
                    *self.starts.entry(start.run.task).or_default() += 1;
                    down |= self.culprits.contains(&start.run.task);
                }
            }
            self.machines[place].runs.retain(|run, _| !order.stops.contains(run));
        }
        if down {
            self.crash(place);
        }
    }

    /// The worker goes down with all that runs there.
    pub fn crash(&mut self, place: usize) {
        self.crashes += 1;
        self.machines[place].down = Some((self.bench.now, self.bench.now + self.back_ms));
        self.machines[place].forgetful |= self.agents_fall;
    }

    /// Whether a worker that is down is back within that time.
    pub fn is_back_within(&self, span: Span) -> bool {
        let soon = self.bench.now + span;
        let due = |machine: &Machine| machine.down.is_some_and(|(_, back)| back <= soon);
        self.machines.iter().any(due)
    }

    /// Every worker loses power.
    pub fn crash_all(&mut self) {
        (0..self.machines.len()).for_each(|place| self.crash(place));
    }

    /// Everything is killed: workers, their agents and the leader.
    pub fn kill_all(&mut self) {
        (0..self.machines.len()).for_each(|place| self.crash_with_agent(place));
        self.replace_leader();
    }

    /// The worker goes down together with its agent, which has nothing to tell of it afterwards.
    pub fn crash_with_agent(&mut self, place: usize) {
        self.crash(place);
        self.machines[place].forgetful = true;
    }

    /// The worker is back as another life, and its agent tells what became of the one before.
    fn boot(&mut self, place: usize) {
        let (now, former) = (self.bench.now, self.machines[place].life(place));
        let link = self.bench.vms[&former].link;
        let runs = self.rows(place);
        if !std::mem::take(&mut self.machines[place].forgetful) {
            let gone = Report { worker: former, gone: true, runs, ..Report::default() };
            self.bench.leader.report(&self.bench.state, now, link, &agent(place), gone);
        }
        let machine = &mut self.machines[place];
        machine.down = None;
        machine.lives += 1;
        machine.runs.clear();
        let life = machine.life(place);
        self.bench.add_life(&agent(place), &life, 32_000);
    }

    fn rows(&self, place: usize) -> Vec<RunRow> {
        let machine = &self.machines[place];
        let alive = machine.down.map_or(self.bench.now, |(since, _)| since);
        let row = |(run, began): (&RunName, &Millis)| {
            let lived_ms = alive.since(*began) as u32;
            RunRow { run: *run, percent: 10, lived_ms, met: true, ..RunRow::default() }
        };
        machine.runs.iter().map(row).collect()
    }

    /// The worker reports; what has worked for long enough is done.
    fn report(&mut self, place: usize) {
        let (life, now) = (self.machines[place].life(place), self.bench.now);
        let state = &self.bench.state;
        let lasting = |run: &RunName| state.step(run.task).is_some_and(|step| step.lasting);
        let done =
            |run: &RunName, began: &mut Millis| now.since(*began) >= WORK_MS && !lasting(run);
        let over: Vec<RunName> =
            self.machines[place].runs.extract_if(.., done).map(|(run, _)| run).collect();
        let rows = self.rows(place);
        let Some(vm) = self.bench.vms.get_mut(&life) else { return };
        vm.clock_ms += REPORT_MS;
        for run in over {
            let number = vm.ends.len() as u64 + 1;
            vm.ends.push(EndRow { number, run, how: How::Done as i32, save: String::new() });
        }
        vm.runs = rows.into_iter().map(|row| (row.run, row)).collect();
        self.bench.report(&life);
    }

    /// Another replica leads, with a state from a snapshot; all agents reach it.
    pub fn replace_leader(&mut self) {
        let bytes = self.bench.state.encode().expect("the state can be written down");
        self.bench.state = State::decode(&bytes).expect("what was written down can be read");
        self.bench.replace_leader();
        for place in 0..self.machines.len() {
            if self.machines[place].down.is_none() {
                self.report(place);
            }
        }
    }
}

fn agent(place: usize) -> String {
    format!("agent-{place}")
}
