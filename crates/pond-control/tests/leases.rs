//! A task never runs in two places, whatever messages, clocks, leaders and workers do.
//!
//! The tests run the real state, scheduler and reconciler with simulated workers in virtual time,
//! from a seed. Calls and answers are delayed, lost and reordered; clocks drift; workers restart
//! and are partitioned; leaders change, and calls of a former leader still arrive.

use std::collections::BTreeMap;

use pond_control::{Answer, Call, CallResult, Reconciler, Step, Times};
use pond_platform::{Error, Refusal, StartAnswer};
use pond_proto::{Millis, Size, TaskKey, Vm, VmKey};
use pond_sched::Scheduler;
use pond_standin::Worker;
use pond_state::{Action, Change, Decision, Meta, Order, Standing, State};
use pond_test::{cases, job, vm};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 10;

/// Maximum drift of a worker's clock, in thousandths; the leader allows for 50.
const MAX_DRIFT: u64 = 40;

fn times() -> Times {
    Times {
        lease_ms: 2_000,
        lease_expiry_ms: 2_101,
        renew_ms: 400,
        drain_ms: 3_000,
        grace_ms: 100,
        missing_ms: 5_000,
    }
}

/// The probabilities of faults, in thousandths, for each step or message.
#[derive(Clone, Copy, Debug)]
struct Faults {
    loss: u32,
    delay_ms: u64,
    partition: u32,
    restart: u32,
    leader: u32,
    steer: u32,
}

const NO_FAULTS: Faults =
    Faults { loss: 0, delay_ms: 5, partition: 0, restart: 0, leader: 0, steer: 0 };

const ALL_FAULTS: Faults =
    Faults { loss: 100, delay_ms: 1_500, partition: 2, restart: 1, leader: 2, steer: 10 };

struct Node {
    worker: Worker,
    rate: u64,
    partitioned_until: u64,
}

enum Message {
    Call { leader: u64, vm: VmKey, call: Call, sent: Millis },
    Result { leader: u64, call_result: CallResult },
}

struct Simulation {
    faults: Faults,
    rng: SmallRng,
    now: u64,
    state: State,
    scheduler: Scheduler,
    leader: u64,
    reconciler: Reconciler,
    nodes: Vec<Node>,
    in_flight: Vec<(u64, Message)>,
    /// The progress from which each unit was started, in order.
    resumed: BTreeMap<String, Vec<u64>>,
    violation: Option<String>,
}

fn listed() -> Vec<Vm> {
    (0..3).map(|i| Vm { worker: i.to_string(), ..vm(&format!("vm-{i}")) }).collect()
}

impl Simulation {
    fn new(seed: u64, faults: Faults, jobs: u32) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let node = |_| Node {
            worker: Worker::new(rng.random(), Size::new(4000, 4000, 0), 0),
            rate: rng.random_range(1000 - MAX_DRIFT..=1000 + MAX_DRIFT),
            partitioned_until: 0,
        };
        let nodes = (0..3).map(node).collect();
        let mut simulation = Simulation {
            faults,
            rng,
            now: 10_000,
            state: State::new(),
            scheduler: Scheduler::new(),
            leader: 1,
            reconciler: Reconciler::new(times(), 1, Millis(10_000)),
            nodes,
            in_flight: Vec::new(),
            resumed: BTreeMap::new(),
            violation: None,
        };
        let units = (0..jobs).map(|i| {
            let program = "work seconds=4".to_owned();
            pond_proto::Unit { program, ..job(&format!("job-{i}")) }
        });
        let order = Order::Apply { units: units.collect() };
        simulation.state.apply(Change::Order { meta: Meta::default(), order });
        simulation
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until && self.violation.is_none() {
            self.now += STEP_MS;
            self.inject_faults();
            self.deliver();
            self.lead();
            self.check();
        }
    }

    fn inject_faults(&mut self) {
        for i in 0..self.nodes.len() {
            if self.chance(self.faults.partition) {
                self.nodes[i].partitioned_until = self.now + self.rng.random_range(100..8_000);
            }
            if self.chance(self.faults.restart) {
                let incarnation = self.rng.random();
                self.nodes[i].worker = Worker::new(incarnation, Size::new(4000, 4000, 0), 0);
            }
        }
        if self.chance(self.faults.leader) {
            self.leader += 1;
            self.reconciler = Reconciler::new(times(), self.leader, Millis(self.now));
        }
        if self.chance(self.faults.steer) {
            self.steer();
        }
    }

    fn steer(&mut self) {
        let tasks: Vec<TaskKey> = self.state.tasks().map(|task| task.key).collect();
        if tasks.is_empty() {
            return;
        }
        let task = tasks[self.rng.random_range(0..tasks.len())];
        let actions = [Action::Move, Action::Pause, Action::Slow(50), Action::Release];
        let action = actions[self.rng.random_range(0..actions.len())].clone();
        let at = Millis(self.now);
        let decision = Decision::new(at, action, "test");
        self.apply(Change::Steer { at, task, decision });
    }

    fn apply(&mut self, change: Change) {
        self.reconciler.before_apply(&self.state, &change);
        self.state.apply(change.clone());
        self.reconciler.proposal_ended(&change);
    }

    fn send(&mut self, message: Message) {
        let delay = self.rng.random_range(1..=self.faults.delay_ms);
        self.in_flight.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        let due: Vec<(u64, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Call { leader, vm, call, sent } => self.call(leader, vm, call, sent),
                Message::Result { leader, call_result } if leader == self.leader => {
                    let at = Millis(now);
                    self.reconciler.call_ended(&self.state, at, at, call_result);
                    self.carry_out();
                }
                Message::Result { .. } => {}
            }
        }
    }

    /// Delivers a call to its worker unless it is lost, and sends the answer back or an error.
    fn call(&mut self, leader: u64, vm: VmKey, call: Call, sent: Millis) {
        let partitioned = self.nodes[vm.0 as usize].partitioned_until > self.now;
        let result = if partitioned || self.chance(self.faults.loss) {
            Err(Error::Unknown("lost".to_owned()))
        } else {
            let answered = self.worker(vm, &call);
            let lost = self.chance(self.faults.loss);
            if lost { Err(Error::Unknown("answer lost".to_owned())) } else { answered }
        };
        self.send(Message::Result { leader, call_result: CallResult { vm, call, sent, result } });
    }

    fn worker(&mut self, vm: VmKey, call: &Call) -> Result<Answer, Error> {
        let now = self.now;
        let node = &mut self.nodes[vm.0 as usize];
        node.worker.tick(Millis(now * node.rate / 1000));
        let worker = &mut node.worker;
        let refused = |refusal: Refusal| Error::Refused(refusal);
        match call {
            Call::Lease(order) => worker.lease(order).map(Answer::Lease).map_err(refused),
            Call::Start(task, order) => {
                let known = worker.tasks().contains_key(task);
                let status = worker.start(*task, order.clone()).map_err(refused)?;
                if !known {
                    let from = order.resume_from.unwrap_or(0);
                    self.resumed.entry(order.unit.clone()).or_default().push(from);
                }
                Ok(Answer::Start(StartAnswer { status }))
            }
            Call::Checkpoint(task, order) => {
                worker.checkpoint(*task, order.term).map(Answer::Status).map_err(refused)
            }
            Call::Throttle(task, order) => {
                let status = worker.throttle(*task, order.term, order.share);
                status.map(Answer::Status).map_err(refused)
            }
            Call::Stop(task, order) => worker.stop(*task, order).map(Answer::Stop).map_err(refused),
            Call::Usage => Ok(Answer::Usage(worker.usage())),
        }
    }

    fn lead(&mut self) {
        let at = Millis(self.now);
        if self.now.is_multiple_of(1000) {
            self.reconciler.listed(&self.state, at, at, listed());
        }
        self.reconciler.tick(&self.state, at, at, true, &|_, _| None);
        self.carry_out();
        for change in self.scheduler.plan(&self.state, at) {
            self.apply(change);
        }
    }

    fn carry_out(&mut self) {
        for step in self.reconciler.take_steps() {
            match step {
                Step::Propose(change) => self.apply(change),
                Step::Call { vm, call, .. } => {
                    let (leader, sent) = (self.leader, Millis(self.now));
                    self.send(Message::Call { leader, vm, call, sent });
                }
            }
        }
    }

    /// Checks that no unit runs twice and that no worker is overcommitted.
    fn check(&mut self) {
        let mut running: BTreeMap<String, usize> = BTreeMap::new();
        for node in &mut self.nodes {
            node.worker.tick(Millis(self.now * node.rate / 1000));
            let mut taken = Size::default();
            for task in node.worker.tasks().values().filter(|task| task.is_active()) {
                *running.entry(task.start.unit.clone()).or_default() += 1;
                taken = taken.plus(task.start.size);
            }
            if !taken.fits(Size::new(4000, 4000, 0)) {
                self.violation = Some(format!("a worker runs tasks of size {taken}"));
            }
        }
        if let Some((unit, count)) = running.iter().find(|(_, count)| **count > 1) {
            self.violation = Some(format!("{unit} runs {count} times at {}", self.now));
        }
    }

    fn done(&self) -> usize {
        self.state.units().filter(|record| record.standing == Standing::Done).count()
    }
}

proptest! {
    #![proptest_config(cases(60))]

    #[test]
    fn no_task_runs_twice_under_all_faults(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed, ALL_FAULTS, 10);
        simulation.run(40_000);
        prop_assert_eq!(simulation.violation.clone(), None);
        // Once the faults have stopped, all work must finish.
        simulation.faults = NO_FAULTS;
        simulation.run(60_000);
        prop_assert_eq!(simulation.violation.clone(), None);
        prop_assert_eq!(simulation.done(), 10);
    }
}

#[test]
fn jobs_run_once_and_end_when_nothing_fails() {
    let mut simulation = Simulation::new(1, NO_FAULTS, 10);
    simulation.run(20_000);
    assert_eq!((simulation.violation.clone(), simulation.done()), (None, 10));
    assert!(simulation.resumed.values().all(|starts| starts == &[0]), "{:?}", simulation.resumed);
}

#[test]
fn partitioned_vm_loses_its_work_only_after_its_leases_expired() {
    let mut simulation = Simulation::new(2, NO_FAULTS, 6);
    simulation.run(2_000);
    let tasks: Vec<TaskKey> = simulation.state.tasks_on(VmKey(0)).map(|task| task.key).collect();
    assert!(!tasks.is_empty());
    simulation.nodes[0].partitioned_until = u64::MAX;
    let started = simulation.now;
    while tasks.iter().all(|task| simulation.state.task(*task).is_some()) {
        simulation.run(STEP_MS);
        assert!(simulation.now < started + 10_000, "the tasks are never given up");
    }
    assert!(simulation.now >= started + 1_600, "given up after {} ms", simulation.now - started);
    simulation.run(20_000);
    assert_eq!((simulation.violation.clone(), simulation.done()), (None, 6));
}

#[test]
fn moved_job_resumes_once_from_its_checkpoint() {
    let mut simulation = Simulation::new(3, NO_FAULTS, 1);
    simulation.run(2_000);
    let task = simulation.state.tasks().next().expect("a task").key;
    let at = Millis(simulation.now);
    let decision = Decision::new(at, Action::Move, "test");
    simulation.apply(Change::Steer { at, task, decision });
    simulation.run(20_000);
    let starts = simulation.resumed["job-0"].clone();
    assert_eq!((simulation.violation.clone(), simulation.done()), (None, 1));
    assert!(matches!(starts[..], [0, from] if from > 500), "{starts:?}");
}

/// A leader that takes over at any moment of a move must not start a second run.
#[test]
fn leader_change_at_any_step_of_a_move_leaves_one_run() {
    for moment in (0..3_000).step_by(50) {
        let mut simulation = Simulation::new(4, Faults { delay_ms: 200, ..NO_FAULTS }, 2);
        simulation.run(2_000);
        let task = simulation.state.tasks().next().expect("a task").key;
        let at = Millis(simulation.now);
        let decision = Decision::new(at, Action::Move, "test");
        simulation.apply(Change::Steer { at, task, decision });
        simulation.run(moment);
        simulation.leader += 1;
        simulation.reconciler = Reconciler::new(times(), simulation.leader, Millis(simulation.now));
        simulation.run(30_000);
        assert_eq!(
            (simulation.violation.clone(), simulation.done()),
            (None, 2),
            "after {moment} ms"
        );
    }
}
