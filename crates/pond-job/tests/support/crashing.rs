//! A pool in virtual time in which some tasks crash each worker that starts them.

use std::collections::{BTreeMap, BTreeSet};

use pond_job::State;
use pond_proto::fleet::{EndRow, Report, RunRow};
use pond_proto::job::{EndReason, Phase, RunName, TaskName};
use pond_proto::{Millis, Span};

use super::Harness;

/// Length of a time step, in milliseconds.
const STEP_MS: Span = 100;

/// Time after which a crashed worker is back as another incarnation, in milliseconds, unless a test
/// sets another one.
const BACK_MS: Span = 3_000;

/// Time between reports, in milliseconds.
const REPORT_MS: Span = 500;

/// Time after which a task that crashes nothing is done, in milliseconds.
const WORK_MS: Span = 1_000;

/// A machine of the pool.
struct Machine {
    incarnations: u32,
    /// Its runs, each with its start time.
    runs: BTreeMap<RunName, Millis>,
    /// Since when the worker is down, and when it is back.
    down: Option<(Millis, Millis)>,
    /// Whether the agent crashed with the worker, so that it reports nothing about the previous
    /// incarnation.
    agent_restarted: bool,
}

impl Machine {
    fn incarnation(&self, index: usize) -> String {
        format!("worker-{index}-{}", self.incarnations)
    }
}

pub struct Pool {
    pub harness: Harness,
    machines: Vec<Machine>,
    /// Tasks that crash each worker that starts them.
    pub culprits: BTreeSet<TaskName>,
    /// The number of starts of each task.
    pub starts: BTreeMap<TaskName, u32>,
    /// The final phase of each job; the state drops ended jobs after a minute.
    pub ended: BTreeMap<u64, Phase>,
    /// The number of worker crashes, whatever the cause.
    pub crashes: u32,
    back_ms: Span,
    /// Whether agents crash with their workers.
    agents_crash: bool,
}

impl Pool {
    /// Creates a pool of idle machines with 32 processors each.
    pub fn new(machines: usize) -> Pool {
        let mut harness = Harness::new();
        let new = || Machine {
            incarnations: 1,
            runs: BTreeMap::new(),
            down: None,
            agent_restarted: false,
        };
        let machines: Vec<Machine> = (0..machines).map(|_| new()).collect();
        for (index, machine) in machines.iter().enumerate() {
            harness.add_incarnation(&agent(index), &machine.incarnation(index), 32_000);
        }
        let (culprits, starts) = (BTreeSet::new(), BTreeMap::new());
        let ended = BTreeMap::new();
        let (back_ms, agents_crash) = (BACK_MS, false);
        Pool { harness, machines, culprits, starts, ended, crashes: 0, back_ms, agents_crash }
    }

    /// Makes each agent crash with its worker and report nothing about it afterwards.
    pub fn with_crashing_agents(mut self) -> Pool {
        self.agents_crash = true;
        self
    }

    /// Sets the time after which crashed workers are back, in milliseconds.
    pub fn with_back_ms(mut self, back_ms: Span) -> Pool {
        self.back_ms = back_ms;
        self
    }

    /// Advances the time by `span`.
    pub fn advance(&mut self, span: Span) {
        for _ in 0..span / STEP_MS {
            self.harness.now = self.harness.now + STEP_MS;
            for index in 0..self.machines.len() {
                self.step(index);
            }
            self.harness.run_until_idle();
            self.record_ended();
        }
    }

    fn record_ended(&mut self) {
        let state = &self.harness.state;
        let phase = |id: u64| Some((id, state.job(id)?.phase));
        self.ended.extend(state.ended().filter_map(phase));
    }

    fn step(&mut self, index: usize) {
        let now = self.harness.now;
        match self.machines[index].down {
            Some((_, back)) if now < back => return,
            Some(_) => self.restart(index),
            None => {}
        }
        self.start_orders(index);
        if self.machines[index].down.is_none() && now.0.is_multiple_of(REPORT_MS) {
            self.report(index);
        }
    }

    /// Starts what the worker was ordered to start, and crashes it if that includes a culprit.
    fn start_orders(&mut self, index: usize) {
        let (incarnation, now) = (self.machines[index].incarnation(index), self.harness.now);
        let orders = std::mem::take(
            &mut self.harness.vms.get_mut(&incarnation).expect("the incarnation exists").orders,
        );
        let mut down = false;
        for order in orders {
            for start in order.starts {
                if self.machines[index].runs.insert(start.run, now).is_none() {
                    *self.starts.entry(start.run.task).or_default() += 1;
                    down |= self.culprits.contains(&start.run.task);
                }
            }
            self.machines[index].runs.retain(|run, _| !order.stops.contains(run));
        }
        if down {
            self.crash(index);
        }
    }

    /// Crashes a worker with all its runs.
    pub fn crash(&mut self, index: usize) {
        self.crashes += 1;
        self.machines[index].down = Some((self.harness.now, self.harness.now + self.back_ms));
        self.machines[index].agent_restarted |= self.agents_crash;
    }

    /// Returns whether a crashed worker will be back within this time.
    pub fn is_back_within(&self, span: Span) -> bool {
        let soon = self.harness.now + span;
        let due = |machine: &Machine| machine.down.is_some_and(|(_, back)| back <= soon);
        self.machines.iter().any(due)
    }

    /// Crashes every worker.
    pub fn crash_all(&mut self) {
        (0..self.machines.len()).for_each(|index| self.crash(index));
    }

    /// Crashes all workers, their agents and the leader.
    pub fn kill_all(&mut self) {
        (0..self.machines.len()).for_each(|index| self.crash_with_agent(index));
        self.replace_leader();
    }

    /// Crashes a worker with its agent, which reports nothing about it afterwards.
    pub fn crash_with_agent(&mut self, index: usize) {
        self.crash(index);
        self.machines[index].agent_restarted = true;
    }

    /// Restarts a worker as a new incarnation; its agent reports the end of the previous one.
    fn restart(&mut self, index: usize) {
        let (now, previous) = (self.harness.now, self.machines[index].incarnation(index));
        let link = self.harness.vms[&previous].link;
        let runs = self.rows(index);
        if !std::mem::take(&mut self.machines[index].agent_restarted) {
            let report = Report { worker: previous, gone: true, runs, ..Report::default() };
            self.harness.leader.report(&self.harness.state, now, link, &agent(index), report);
        }
        let machine = &mut self.machines[index];
        machine.down = None;
        machine.incarnations += 1;
        machine.runs.clear();
        let incarnation = machine.incarnation(index);
        self.harness.add_incarnation(&agent(index), &incarnation, 32_000);
    }

    fn rows(&self, index: usize) -> Vec<RunRow> {
        let machine = &self.machines[index];
        let end = machine.down.map_or(self.harness.now, |(since, _)| since);
        let row = |(run, began): (&RunName, &Millis)| {
            let survived_ms = end.since(*began) as u32;
            RunRow { run: *run, percent: 10, survived_ms, confirmed_up: true, ..RunRow::default() }
        };
        machine.runs.iter().map(row).collect()
    }

    /// Sends a worker's report; tasks that have run long enough are done.
    fn report(&mut self, index: usize) {
        let (incarnation, now) = (self.machines[index].incarnation(index), self.harness.now);
        let state = &self.harness.state;
        let is_long_running =
            |run: &RunName| state.step(run.task).is_some_and(|step| step.long_running);
        let done = |run: &RunName, began: &mut Millis| {
            now.since(*began) >= WORK_MS && !is_long_running(run)
        };
        let ended_runs: Vec<RunName> =
            self.machines[index].runs.extract_if(.., done).map(|(run, _)| run).collect();
        let rows = self.rows(index);
        let Some(vm) = self.harness.vms.get_mut(&incarnation) else { return };
        vm.clock_ms += REPORT_MS;
        for run in ended_runs {
            let number = vm.ends.len() as u64 + 1;
            vm.ends.push(EndRow {
                number,
                run,
                how: EndReason::Done as i32,
                checkpoint: String::new(),
            });
        }
        vm.runs = rows.into_iter().map(|row| (row.run, row)).collect();
        self.harness.report(&incarnation);
    }

    /// Replaces the leader by another replica with a state from a snapshot, to which all agents
    /// connect.
    pub fn replace_leader(&mut self) {
        let bytes = self.harness.state.encode().expect("the state can be encoded");
        self.harness.state = State::decode(&bytes).expect("an encoded state can be decoded");
        self.harness.replace_leader();
        for index in 0..self.machines.len() {
            if self.machines[index].down.is_none() {
                self.report(index);
            }
        }
    }
}

fn agent(index: usize) -> String {
    format!("agent-{index}")
}
