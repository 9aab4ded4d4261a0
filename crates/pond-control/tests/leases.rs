//! A task never runs in two places, whatever messages, clocks, leaders and workers do.
//!
//! The real state, scheduler and reconciler against pure workers, in virtual time, under a seed:
//! calls and answers are late, lost and overtaken; clocks drift; workers restart and are cut off;
//! leaders change, and calls of an old one still arrive.

use std::collections::BTreeMap;

use pond_control::{Answer, Call, Fact, Reconciler, Step, Times};
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

/// How far a worker's clock may run fast or slow, in thousandths; the leader reckons with 50.
const DRIFT: u64 = 40;

fn times() -> Times {
    Times {
        lease_ms: 2_000,
        surely_over_ms: 2_101,
        renew_ms: 400,
        drain_ms: 3_000,
        grace_ms: 100,
        missing_ms: 5_000,
    }
}

/// How often things go wrong, in thousandths of a step or of a message.
#[derive(Clone, Copy, Debug)]
struct Faults {
    loss: u32,
    delay_ms: u64,
    cut: u32,
    restart: u32,
    leader: u32,
    steer: u32,
}

const NONE: Faults = Faults { loss: 0, delay_ms: 5, cut: 0, restart: 0, leader: 0, steer: 0 };

const ALL: Faults = Faults { loss: 100, delay_ms: 1_500, cut: 2, restart: 1, leader: 2, steer: 10 };

struct Place {
    worker: Worker,
    rate: u64,
    cut_until: u64,
}

enum Message {
    Call { leader: u64, vm: VmKey, call: Call, sent: Millis },
    Fact { leader: u64, fact: Fact },
}

struct World {
    faults: Faults,
    rng: SmallRng,
    now: u64,
    state: State,
    scheduler: Scheduler,
    leader: u64,
    reconciler: Reconciler,
    places: Vec<Place>,
    flying: Vec<(u64, Message)>,
    /// Progress at which each unit was started, in order.
    resumed: BTreeMap<String, Vec<u64>>,
    wrong: Option<String>,
}

fn listed() -> Vec<Vm> {
    (0..3).map(|i| Vm { worker: i.to_string(), ..vm(&format!("vm-{i}")) }).collect()
}

impl World {
    fn new(seed: u64, faults: Faults, jobs: u32) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let place = |_| Place {
            worker: Worker::new(rng.random(), Size::new(4000, 4000, 0), 0),
            rate: rng.random_range(1000 - DRIFT..=1000 + DRIFT),
            cut_until: 0,
        };
        let places = (0..3).map(place).collect();
        let mut world = World {
            faults,
            rng,
            now: 10_000,
            state: State::new(),
            scheduler: Scheduler::new(),
            leader: 1,
            reconciler: Reconciler::new(times(), 1, Millis(10_000)),
            places,
            flying: Vec::new(),
            resumed: BTreeMap::new(),
            wrong: None,
        };
        let units = (0..jobs).map(|i| {
            let program = "work seconds=4".to_owned();
            pond_proto::Unit { program, ..job(&format!("job-{i}")) }
        });
        let order = Order::Apply { units: units.collect() };
        world.state.apply(Change::Order { meta: Meta::default(), order });
        world
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until && self.wrong.is_none() {
            self.now += STEP_MS;
            self.break_things();
            self.deliver();
            self.lead();
            self.check();
        }
    }

    fn break_things(&mut self) {
        for i in 0..self.places.len() {
            if self.chance(self.faults.cut) {
                self.places[i].cut_until = self.now + self.rng.random_range(100..8_000);
            }
            if self.chance(self.faults.restart) {
                let life = self.rng.random();
                self.places[i].worker = Worker::new(life, Size::new(4000, 4000, 0), 0);
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
        self.reconciler.notice(&self.state, &change);
        self.state.apply(change.clone());
        self.reconciler.settled(&change);
    }

    fn put(&mut self, message: Message) {
        let delay = self.rng.random_range(1..=self.faults.delay_ms);
        self.flying.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.flying).into_iter().partition(|(at, _)| *at <= now);
        self.flying = later;
        let due: Vec<(u64, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Call { leader, vm, call, sent } => self.call(leader, vm, call, sent),
                Message::Fact { leader, fact } if leader == self.leader => {
                    let at = Millis(now);
                    self.reconciler.fact(&self.state, at, at, fact);
                    self.carry_out();
                }
                Message::Fact { .. } => {}
            }
        }
    }

    /// A call reaches its worker, or not; the answer comes back, or the caller gives up.
    fn call(&mut self, leader: u64, vm: VmKey, call: Call, sent: Millis) {
        let cut = self.places[vm.0 as usize].cut_until > self.now;
        let result = if cut || self.chance(self.faults.loss) {
            Err(Error::Unknown("lost".to_owned()))
        } else {
            let answered = self.worker(vm, &call);
            let lost = self.chance(self.faults.loss);
            if lost { Err(Error::Unknown("answer lost".to_owned())) } else { answered }
        };
        self.put(Message::Fact { leader, fact: Fact { vm, call, sent, result } });
    }

    fn worker(&mut self, vm: VmKey, call: &Call) -> Result<Answer, Error> {
        let now = self.now;
        let place = &mut self.places[vm.0 as usize];
        place.worker.tick(Millis(now * place.rate / 1000));
        let worker = &mut place.worker;
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
                    self.put(Message::Call { leader, vm, call, sent });
                }
            }
        }
    }

    /// No unit runs twice, and no worker holds more than it has.
    fn check(&mut self) {
        let mut running: BTreeMap<String, usize> = BTreeMap::new();
        for place in &mut self.places {
            place.worker.tick(Millis(self.now * place.rate / 1000));
            let mut taken = Size::default();
            for held in place.worker.tasks().values().filter(|held| held.is_active()) {
                *running.entry(held.start.unit.clone()).or_default() += 1;
                taken = taken.plus(held.start.size);
            }
            if !taken.fits(Size::new(4000, 4000, 0)) {
                self.wrong = Some(format!("a worker holds {taken}"));
            }
        }
        if let Some((unit, count)) = running.iter().find(|(_, count)| **count > 1) {
            self.wrong = Some(format!("{unit} runs {count} times at {}", self.now));
        }
    }

    fn done(&self) -> usize {
        self.state.units().filter(|record| record.standing == Standing::Done).count()
    }
}

proptest! {
    #![proptest_config(cases(60))]

    #[test]
    fn no_task_runs_twice_when_everything_fails(seed in any::<u64>()) {
        let mut world = World::new(seed, ALL, 10);
        world.run(40_000);
        prop_assert_eq!(world.wrong.clone(), None);
        // Once nothing fails any more, all work comes to its end.
        world.faults = NONE;
        world.run(60_000);
        prop_assert_eq!(world.wrong.clone(), None);
        prop_assert_eq!(world.done(), 10);
    }
}

#[test]
fn jobs_run_once_and_end_when_nothing_fails() {
    let mut world = World::new(1, NONE, 10);
    world.run(20_000);
    assert_eq!((world.wrong.clone(), world.done()), (None, 10));
    assert!(world.resumed.values().all(|starts| starts == &[0]), "{:?}", world.resumed);
}

#[test]
fn a_vm_that_is_cut_off_loses_its_work_only_after_its_leases_are_surely_over() {
    let mut world = World::new(2, NONE, 6);
    world.run(2_000);
    let cut: Vec<TaskKey> = world.state.tasks_on(VmKey(0)).map(|task| task.key).collect();
    assert!(!cut.is_empty());
    world.places[0].cut_until = u64::MAX;
    let begun = world.now;
    while cut.iter().all(|task| world.state.task(*task).is_some()) {
        world.run(STEP_MS);
        assert!(world.now < begun + 10_000, "it is never given up");
    }
    assert!(world.now >= begun + 1_600, "given up after {} ms", world.now - begun);
    world.run(20_000);
    assert_eq!((world.wrong.clone(), world.done()), (None, 6));
}

#[test]
fn moved_work_resumes_once_from_where_it_stood() {
    let mut world = World::new(3, NONE, 1);
    world.run(2_000);
    let task = world.state.tasks().next().expect("a task").key;
    let at = Millis(world.now);
    let decision = Decision::new(at, Action::Move, "test");
    world.apply(Change::Steer { at, task, decision });
    world.run(20_000);
    let starts = world.resumed["job-0"].clone();
    assert_eq!((world.wrong.clone(), world.done()), (None, 1));
    assert!(matches!(starts[..], [0, from] if from > 500), "{starts:?}");
}

/// What a change of leader comes in the middle of.
#[test]
fn a_change_of_leader_at_any_step_of_a_move_leaves_one_run() {
    for moment in (0..3_000).step_by(50) {
        let mut world = World::new(4, Faults { delay_ms: 200, ..NONE }, 2);
        world.run(2_000);
        let task = world.state.tasks().next().expect("a task").key;
        let at = Millis(world.now);
        let decision = Decision::new(at, Action::Move, "test");
        world.apply(Change::Steer { at, task, decision });
        world.run(moment);
        world.leader += 1;
        world.reconciler = Reconciler::new(times(), world.leader, Millis(world.now));
        world.run(30_000);
        assert_eq!((world.wrong.clone(), world.done()), (None, 2), "after {moment} ms");
    }
}
