//! A leader with its state, whose proposals are accepted at once, and workers that do as told.
#![allow(dead_code)]

pub mod crashing;

use std::collections::BTreeMap;

use pond_job::{
    Advice, Change, Configuration, Decision, Leader, Output, Pool, Question, Queue, Reply, State,
    Timing,
};
use pond_proto::Millis;
use pond_proto::fleet::{EndRow, Order, Report, RunRow, StartOrder};
use pond_proto::job::{How, Phase, RunName, Spec, Step, TaskName};

pub const HOST: &str = "jobs.example";
pub const PATH: &str = "/quick/";
pub const BATCH: &str = "/batch/";
pub const ADVISED: &str = "/advised/";

pub fn terms() -> Timing {
    Timing { lease_ms: 6_000, drift_permille: 20, timer_slack_ms: 100, retention_ms: 60_000 }
}

pub fn configuration(version: u64) -> Configuration {
    let queue = |name: &str, prefix: &str, priority: u32| Queue {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        pool: "vms".to_owned(),
        priority,
        attempts: 2,
        stretch_permille: 1500,
        target_ms: 250,
        timeout_ms: 3000,
        advice: None,
    };
    let advice = Some(Advice { decide_ms: 50, each_ms: 10, valid_ms: 4_000 });
    let advised = Queue { advice, ..queue("advised", ADVISED, 0) };
    let queues = vec![queue("quick", PATH, 0), queue("batch", BATCH, 2), advised];
    let pool = Pool { name: "vms".to_owned(), guards: true, spare: false };
    Configuration { version, queues, pools: vec![pool], ..Configuration::default() }
}

pub fn step(tasks: u32, milli_cpu: u32) -> Step {
    Step { tasks, milli_cpu, memory_mib: 100, estimate_ms: 1_000, ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { text: "text".to_owned(), steps, repeat: None }
}

pub fn task(job: u64, step: u32, index: u32) -> TaskName {
    TaskName { job, time: 0, step, index }
}

/// The job that serves, in tests of what fills beside it.
pub const SERVING: u64 = 1;

/// Serving work that should answer within 18 ms, on a quarter of a worker of 32 processors.
pub fn serving() -> Step {
    let image = "till".to_owned();
    Step { lasting: true, image, tail_target_ms: 18, ..step(1, 8_000) }
}

/// Filling tasks of an image that asks for a tenth of such a worker.
pub fn filling(image: &str, tasks: u32) -> Step {
    Step { fills: true, image: image.to_owned(), ..step(tasks, 3_200) }
}

/// A worker as the tests see it.
pub struct Vm {
    pub link: u64,
    pub agent: String,
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

pub struct Bench {
    pub state: State,
    pub leader: Leader,
    pub now: Millis,
    pub vms: BTreeMap<String, Vm>,
    pub decided: Vec<Decision>,
    pub proposed: Vec<Change>,
    pub asked: Vec<Question>,
}

impl Bench {
    /// A leader with a configuration and no workers, which has led for two seconds.
    pub fn new() -> Bench {
        let mut state = State::new();
        state.apply(Change::Configure(configuration(1)));
        let now = Millis(100_000);
        let leader = Leader::new(7, terms(), Millis(now.0 - 2_000));
        let (vms, decided, proposed) = (BTreeMap::new(), Vec::new(), Vec::new());
        Bench { state, leader, now, vms, decided, proposed, asked: Vec::new() }
    }

    /// Adds a worker of so many thousandths of a processor and lets it report.
    pub fn with_vm(mut self, life: &str, room: u32) -> Bench {
        self.add_vm(life, room);
        self
    }

    pub fn add_vm(&mut self, life: &str, room: u32) {
        self.add_life(&format!("agent-of-{life}"), life, room);
    }

    /// Adds a worker in a data centre.
    pub fn with_vm_in(mut self, data_centre: &str, life: &str, room: u32) -> Bench {
        self.add_vm(life, room);
        self.vms.get_mut(life).expect("a worker").data_centre = data_centre.to_owned();
        self.report(life);
        self
    }

    /// Adds a life of the worker beside an agent.
    pub fn add_life(&mut self, agent: &str, life: &str, room: u32) {
        let vm = Vm {
            link: 1_000 + self.vms.len() as u64,
            agent: agent.to_owned(),
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
        self.vms.insert(life.to_owned(), vm);
        self.report(life);
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

    /// Another replica leads, which knows only the log.
    pub fn replace_leader(&mut self) {
        let leader = Leader::new(8, terms(), self.now);
        self.leader = leader.with_estimates(self.state.lesson(), self.now);
    }

    /// A worker reports what it has, with its clock as it stands.
    pub fn report(&mut self, life: &str) {
        let Some(vm) = self.vms.get(life) else { return };
        let report = Report {
            worker: life.to_owned(),
            pool: "vms".to_owned(),
            milli_cpu: vm.room,
            memory_mib: 100_000,
            labels: vm.labels.clone(),
            data_centre: vm.data_centre.clone(),
            draining: vm.draining,
            clock_ms: vm.clock_ms,
            answers: vm.answers,
            runs: vm.runs.values().cloned().collect(),
            ends: vm.ends.clone(),
            unstarted: vm.unstarted.clone(),
            ..Report::default()
        };
        let (link, agent) = (vm.link, vm.agent.clone());
        self.leader.report(&self.state, self.now, link, &agent, report);
    }

    /// Lets the leader decide until nothing comes any more.
    pub fn settle(&mut self) {
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

    /// The same, with proposals that are lost on their way.
    pub fn settle_losing(&mut self, lost: impl Fn(&Change) -> bool) {
        for _ in 0..20 {
            let outputs = self.leader.tick(&self.state, self.now, self.now, true);
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Propose(change) if lost(&change) => self.proposed.push(change),
                    other => self.output(other),
                }
            }
        }
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::Propose(change) => {
                self.proposed.push(change.clone());
                self.apply(change);
            }
            Output::Order { link, order } => {
                let vm = self.vms.values_mut().find(|vm| vm.link == link);
                if let Some(vm) = vm {
                    vm.orders.push(order);
                }
            }
            Output::Advise(question) => self.asked.push(question),
            Output::Decided(decision) => self.decided.push(decision),
        }
    }

    /// Time passes in steps of a second; the workers named report in each.
    pub fn pass(&mut self, seconds: u64, reporting: &[&str]) {
        for _ in 0..seconds {
            self.now = self.now + 1_000;
            for life in reporting {
                if let Some(vm) = self.vms.get_mut(*life) {
                    vm.clock_ms += 1_000;
                }
                self.report(life);
            }
            self.settle();
        }
    }

    /// The runs that a worker was told to start, in order.
    pub fn started(&self, life: &str) -> Vec<RunName> {
        self.starts(life).into_iter().map(|start| start.run).collect()
    }

    pub fn starts(&self, life: &str) -> Vec<StartOrder> {
        self.vms[life].orders.iter().flat_map(|order| order.starts.clone()).collect()
    }

    /// The runs that a worker was told to stop.
    pub fn stopped(&self, life: &str) -> Vec<RunName> {
        self.vms[life].orders.iter().flat_map(|order| order.stops.clone()).collect()
    }

    /// The worker has started all that it was told to.
    pub fn obey(&mut self, life: &str) {
        let started = self.started(life);
        let Some(vm) = self.vms.get_mut(life) else { return };
        for run in started {
            let ended = vm.ends.iter().any(|end| end.run == run);
            if !ended {
                let row = RunRow { run, percent: 10, ..RunRow::default() };
                vm.runs.entry(run).or_insert(row);
            }
        }
    }

    /// A run ends at a worker, and the worker reports it.
    pub fn end(&mut self, life: &str, run: RunName, how: How) {
        self.end_with_save(life, run, how, "");
    }

    pub fn end_with_save(&mut self, life: &str, run: RunName, how: How, save: &str) {
        let Some(vm) = self.vms.get_mut(life) else { return };
        vm.runs.remove(&run);
        let number = vm.ends.len() as u64 + 1;
        vm.ends.push(EndRow { number, run, how: how as i32, save: save.to_owned() });
        self.report(life);
        self.settle();
    }

    /// The life of the worker that has a task.
    pub fn place_of(&self, name: TaskName) -> Option<String> {
        self.state.job(name.job)?.task(name)?.worker.clone()
    }

    pub fn phase(&self, id: u64) -> Option<Phase> {
        self.state.job(id).map(|job| job.phase)
    }
}
