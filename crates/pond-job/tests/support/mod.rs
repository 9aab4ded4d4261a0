//! A test harness: a leader with its state, whose proposals are committed immediately, and workers
//! that carry out their orders.
#![allow(dead_code)]

pub mod crashing;

use std::collections::BTreeMap;

use pond_job::{
    Advice, Change, Configuration, Decision, Leader, Output, Pool, Question, Queue, Reply, State,
    Timing,
};
use pond_proto::Millis;
use pond_proto::fleet::{EndRow, Order, Report, RunRow, StartOrder};
use pond_proto::job::{EndReason, Phase, RunName, Spec, Step, TaskName};

pub const HOST: &str = "jobs.example";
pub const PATH: &str = "/quick/";
pub const BATCH: &str = "/batch/";
pub const ADVISED: &str = "/advised/";

pub fn timing() -> Timing {
    Timing { lease_ms: 6_000, drift_permille: 20, timer_slack_ms: 100, retention_ms: 60_000 }
}

pub fn configuration(version: u64) -> Configuration {
    let queue = |name: &str, prefix: &str, priority: u32| Queue {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        pool: "vms".to_owned(),
        priority,
        max_attempts: 2,
        stretch_permille: 1500,
        target_ms: 250,
        timeout_ms: 3000,
        advice: None,
    };
    let advice = Some(Advice { decide_ms: 50, per_worker_ms: 10, valid_ms: 4_000 });
    let advised = Queue { advice, ..queue("advised", ADVISED, 0) };
    let queues = vec![queue("quick", PATH, 0), queue("batch", BATCH, 2), advised];
    let pool = Pool { name: "vms".to_owned(), admission_check: true, powered_off: false };
    Configuration { version, queues, pools: vec![pool], ..Configuration::default() }
}

pub fn step(tasks: u32, milli_cpu: u32) -> Step {
    Step { tasks, milli_cpu, memory_mib: 100, estimate_ms: 1_000, ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { text: "text".to_owned(), steps, repeat: None }
}

pub fn task(job: u64, step: u32, index: u32) -> TaskName {
    TaskName { job, repetition: 0, step, index }
}

/// The serving job in tests of co-located best-effort work.
pub const SERVING: u64 = 1;

/// A serving step with a tail latency target of 18 ms, on a quarter of a worker with 32 processors.
pub fn serving() -> Step {
    let image = "till".to_owned();
    Step { long_running: true, image, tail_target_ms: 18, ..step(1, 8_000) }
}

/// Best-effort tasks of an image, each of which requests a tenth of such a worker.
pub fn best_effort(image: &str, tasks: u32) -> Step {
    Step { best_effort: true, image: image.to_owned(), ..step(tasks, 3_200) }
}

/// A worker and its agent as the leader sees them.
pub struct Vm {
    pub link: u64,
    pub agent: String,
    pub pool: String,
    pub clock_ms: u64,
    pub room: u32,
    pub labels: Vec<String>,
    pub data_centre: String,
    pub draining: bool,
    pub answers: bool,
    pub runs: BTreeMap<RunName, RunRow>,
    pub ends: Vec<EndRow>,
    pub unstarted: Vec<RunName>,
    pub orders: Vec<Order>,
}

impl Vm {
    /// Confirms the stops of runs that the worker does not have, if the order withholds the lease
    /// until then. Returns whether there are some.
    fn confirm_withdrawn(&mut self, order: &Order) -> bool {
        self.unstarted.retain(|run| !order.forget.contains(run));
        if order.lease_end_ms > 0 {
            return false;
        }
        let runs = &self.runs;
        let before = self.unstarted.len();
        self.unstarted.extend(order.stops.iter().filter(|run| !runs.contains_key(run)));
        self.unstarted.len() > before
    }
}

pub struct Harness {
    pub state: State,
    pub leader: Leader,
    pub now: Millis,
    pub vms: BTreeMap<String, Vm>,
    pub decisions: Vec<Decision>,
    pub proposals: Vec<Change>,
    pub questions: Vec<Question>,
}

impl Harness {
    /// Creates a leader that has led for 2 s, with a configuration and no workers.
    pub fn new() -> Harness {
        let mut state = State::new();
        state.apply(Change::Configure(configuration(1)));
        let now = Millis(100_000);
        let leader = Leader::new(7, timing(), Millis(now.0 - 2_000));
        let (vms, decisions, proposals) = (BTreeMap::new(), Vec::new(), Vec::new());
        Harness { state, leader, now, vms, decisions, proposals, questions: Vec::new() }
    }

    /// Adds a worker with this many thousandths of a processor and sends its first report.
    pub fn with_vm(mut self, incarnation: &str, room: u32) -> Harness {
        self.add_vm(incarnation, room);
        self
    }

    pub fn add_vm(&mut self, incarnation: &str, room: u32) {
        self.add_incarnation(&format!("agent-of-{incarnation}"), incarnation, room);
    }

    /// Adds a worker in a data centre.
    pub fn with_vm_in(mut self, data_centre: &str, incarnation: &str, room: u32) -> Harness {
        self.add_vm(incarnation, room);
        self.vms.get_mut(incarnation).expect("the worker exists").data_centre =
            data_centre.to_owned();
        self.report(incarnation);
        self
    }

    /// Adds a worker to a pool.
    pub fn with_vm_in_pool(mut self, pool: &str, incarnation: &str, room: u32) -> Harness {
        self.add_vm(incarnation, room);
        self.vms.get_mut(incarnation).expect("the worker exists").pool = pool.to_owned();
        self.report(incarnation);
        self
    }

    /// Adds an incarnation of the worker of an agent.
    pub fn add_incarnation(&mut self, agent: &str, incarnation: &str, room: u32) {
        let vm = Vm {
            link: 1_000 + self.vms.len() as u64,
            agent: agent.to_owned(),
            pool: "vms".to_owned(),
            clock_ms: 5_000,
            room,
            labels: Vec::new(),
            data_centre: String::new(),
            draining: false,
            answers: true,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            unstarted: Vec::new(),
            orders: Vec::new(),
        };
        self.vms.insert(incarnation.to_owned(), vm);
        self.report(incarnation);
    }

    pub fn submit(&mut self, id: u64, steps: Vec<Step>) {
        self.submit_spec(id, spec(steps));
    }

    pub fn submit_batch(&mut self, id: u64, steps: Vec<Step>) {
        self.submit_to(BATCH, id, spec(steps));
    }

    pub fn submit_spec(&mut self, id: u64, spec: Spec) {
        self.submit_to(PATH, id, spec);
    }

    pub fn submit_advised(&mut self, id: u64, steps: Vec<Step>) {
        self.submit_to(ADVISED, id, spec(steps));
    }

    fn submit_to(&mut self, prefix: &str, id: u64, spec: Spec) {
        let (host, path) = (HOST.to_owned(), format!("{prefix}{id:016x}"));
        let reply = self.apply(Change::Submit { host, path, id, spec, at: self.now });
        assert_eq!(reply, Reply::Accepted);
    }

    pub fn cancel(&mut self, id: u64) -> Reply {
        let (host, path) = (HOST.to_owned(), format!("{PATH}{id:016x}"));
        self.apply(Change::Cancel { host, path, id })
    }

    pub fn evacuate(&mut self, data_centre: &str) {
        let (data_centre, at) = (data_centre.to_owned(), self.now);
        assert_eq!(self.apply(Change::Evacuate { data_centre, at }), Reply::Accepted);
    }

    pub fn readmit(&mut self, data_centre: &str) {
        let data_centre = data_centre.to_owned();
        assert_eq!(self.apply(Change::Readmit { data_centre }), Reply::Accepted);
    }

    pub fn apply(&mut self, change: Change) -> Reply {
        let reply = self.state.apply(change.clone());
        self.leader.applied(&self.state, self.now, &change, &reply);
        reply
    }

    /// Replaces the leader by another replica, which knows only the log.
    pub fn replace_leader(&mut self) {
        let leader = Leader::new(8, timing(), self.now);
        self.leader = leader.with_estimates(self.state.estimates(), self.now);
    }

    /// Sends a worker's report without advancing its clock.
    pub fn report(&mut self, incarnation: &str) {
        let Some(vm) = self.vms.get(incarnation) else { return };
        let report = Report {
            worker: incarnation.to_owned(),
            pool: vm.pool.clone(),
            milli_cpu: vm.room,
            memory_mib: 100_000,
            labels: vm.labels.clone(),
            data_centre: vm.data_centre.clone(),
            draining: vm.draining,
            clock_ms: vm.clock_ms,
            responsive: vm.answers,
            runs: vm.runs.values().cloned().collect(),
            ends: vm.ends.clone(),
            unstarted: vm.unstarted.clone(),
            ..Report::default()
        };
        let (link, agent) = (vm.link, vm.agent.clone());
        self.leader.report(&self.state, self.now, link, &agent, report);
    }

    /// Runs the leader until it has no more outputs.
    pub fn run_until_idle(&mut self) {
        for _ in 0..20 {
            let outputs = self.leader.tick(&self.state, self.now, self.now, true);
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.output(output);
            }
        }
    }

    /// Runs the leader until it has no more outputs, and drops the proposals that `lost` selects.
    pub fn run_until_idle_dropping(&mut self, lost: impl Fn(&Change) -> bool) {
        for _ in 0..20 {
            let outputs = self.leader.tick(&self.state, self.now, self.now, true);
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Propose(change) if lost(&change) => self.proposals.push(change),
                    other => self.output(other),
                }
            }
        }
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::Propose(change) => {
                self.proposals.push(change.clone());
                self.apply(change);
            }
            Output::Order { link, order } => {
                let found = self.vms.iter_mut().find(|(_, vm)| vm.link == link);
                let Some((incarnation, vm)) = found else { return };
                let (incarnation, confirmed) = (incarnation.clone(), vm.confirm_withdrawn(&order));
                vm.orders.push(order);
                if confirmed {
                    self.report(&incarnation);
                }
            }
            Output::Advise(question) => self.questions.push(question),
            Output::Decided(decision) => self.decisions.push(decision),
            Output::Share(_) => {}
        }
    }

    /// Advances the time in steps of a second; the named workers report in each.
    pub fn advance(&mut self, seconds: u64, reporting: &[&str]) {
        for _ in 0..seconds {
            self.now = self.now + 1_000;
            for incarnation in reporting {
                if let Some(vm) = self.vms.get_mut(*incarnation) {
                    vm.clock_ms += 1_000;
                }
                self.report(incarnation);
            }
            self.run_until_idle();
        }
    }

    /// Returns the runs that a worker was ordered to start, in order.
    pub fn started(&self, incarnation: &str) -> Vec<RunName> {
        self.starts(incarnation).into_iter().map(|start| start.run).collect()
    }

    pub fn starts(&self, incarnation: &str) -> Vec<StartOrder> {
        self.vms[incarnation].orders.iter().flat_map(|order| order.starts.clone()).collect()
    }

    /// Returns the runs that a worker was ordered to stop.
    pub fn stopped(&self, incarnation: &str) -> Vec<RunName> {
        self.vms[incarnation].orders.iter().flat_map(|order| order.stops.clone()).collect()
    }

    /// Starts all runs that the worker was ordered to start.
    pub fn start_ordered(&mut self, incarnation: &str) {
        let started = self.started(incarnation);
        let Some(vm) = self.vms.get_mut(incarnation) else { return };
        for run in started {
            let ended = vm.ends.iter().any(|end| end.run == run);
            if !ended {
                let row = RunRow { run, percent: 10, ..RunRow::default() };
                vm.runs.entry(run).or_insert(row);
            }
        }
    }

    /// Ends a run on a worker, which reports it.
    pub fn end(&mut self, incarnation: &str, run: RunName, reason: EndReason) {
        self.end_with_checkpoint(incarnation, run, reason, "");
    }

    pub fn end_with_checkpoint(
        &mut self,
        incarnation: &str,
        run: RunName,
        reason: EndReason,
        checkpoint: &str,
    ) {
        let Some(vm) = self.vms.get_mut(incarnation) else { return };
        vm.runs.remove(&run);
        let number = vm.ends.len() as u64 + 1;
        vm.ends.push(EndRow { number, run, how: reason as i32, checkpoint: checkpoint.to_owned() });
        self.report(incarnation);
        self.run_until_idle();
    }

    /// Returns the incarnation of the worker on which a task is placed.
    pub fn worker_of(&self, name: TaskName) -> Option<String> {
        self.state.job(name.job)?.task(name)?.worker.clone()
    }

    pub fn phase(&self, id: u64) -> Option<Phase> {
        self.state.job(id).map(|job| job.phase)
    }
}
