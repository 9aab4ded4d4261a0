//! What must hold: at all times for runs at the workers, and after calm for jobs that wait.

use std::collections::{BTreeMap, BTreeSet};

use pond_job::{Blame, Decision, Job, Obstacle};
use pond_proto::job::{RunName, Step, TaskName};
use pond_proto::{Millis, Size, Span};

use super::World;
use super::machine::id_of;
use super::worker::Worker;

/// A lasting task counts as waiting only this long after its last run, in milliseconds.
const LASTING_AFTER_MS: Span = 6_000;

/// An order to start may be on its way for this long after the end of another run of the task comes
/// into the log, in milliseconds: the lease of that one had run out before.
const ON_WAY_MS: Span = 100;

/// Of lasting tasks in a full pool waits count from this long after a worker went down, in milliseconds: what users allow.
const CALM_MS: Span = 4_000;

/// Decisions about a job that are shown if it waits too long.
const SHOWN: usize = 12;

/// Decisions that are no older than this tell why something waits now, in milliseconds: there is a
/// line a second for each job.
const LATELY_MS: Span = 1_200;

/// Above this share of free processors the leader takes room for plenty, in percent.
const PLENTY_PERCENT: u32 = 40;

/// What may be in the way on workers on which a task may run.
const OBSTACLES: [Obstacle; 8] = [
    Obstacle::Evacuated,
    Obstacle::Backoff,
    Obstacle::Probing,
    Obstacle::NoRoom,
    Obstacle::Reserved,
    Obstacle::Busy,
    Obstacle::NoTicket,
    Obstacle::Interference,
];

/// Something that waits: a job of which nothing runs, or one lasting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    Job(u64),
    Task(TaskName),
}

/// Something waited longer than allowed.
pub struct Finding {
    pub cause: String,
    pub text: String,
}

/// What was seen so far.
#[derive(Default)]
pub struct Watch {
    /// Waits count from here on; none while there are faults.
    pub from: Option<Millis>,
    /// Longer waits are findings, in milliseconds.
    pub bound_ms: Span,
    /// Only lasting tasks count, however full the pool is, and only while nothing goes down.
    pub lasting_only: bool,
    /// When a worker last went down under a task.
    pub disturbed: Millis,
    pub since: BTreeMap<Waiter, Millis>,
    pub longest: BTreeMap<Waiter, Span>,
    /// When lasting tasks last ran.
    ran: BTreeMap<TaskName, Millis>,
    /// Since when tasks of placed runs are done in the state.
    done: BTreeMap<RunName, Millis>,
    pub findings: BTreeMap<Waiter, Finding>,
    /// Rules about runs that were broken.
    pub broken: Vec<String>,
    /// When workers went down under a task.
    pub fallen: BTreeMap<TaskName, Vec<Millis>>,
    /// How losses of workers counted.
    pub blames: Vec<(Millis, Blame)>,
    /// When a task was given up for workers that went down.
    pub given_up: BTreeMap<TaskName, Millis>,
}

impl World {
    /// Looks at all that can be seen at the workers.
    pub fn look(&mut self) {
        self.look_at_runs();
        let Some(from) = self.watch.from.filter(|from| self.now >= *from) else { return };
        if self.watch.lasting_only && self.now.since(self.watch.disturbed) < CALM_MS {
            self.watch.since.clear();
            return;
        }
        let waiting = self.waiting();
        self.watch.since.retain(|waiter, _| waiting.contains(waiter));
        for waiter in waiting {
            let since = *self.watch.since.entry(waiter).or_insert(self.now.max(from));
            let waited = self.now.since(since);
            let longest = self.watch.longest.entry(waiter).or_default();
            *longest = waited.max(*longest);
            if waited > self.watch.bound_ms && !self.watch.findings.contains_key(&waiter) {
                let finding = self.explain(waiter);
                self.watch.findings.insert(waiter, finding);
            }
        }
    }

    fn look_at_runs(&mut self) {
        let mut broken = Vec::new();
        let mut tasks: BTreeMap<TaskName, String> = BTreeMap::new();
        let mut ran = Vec::new();
        for (worker, name, run) in self.runs() {
            if let Some(other) = tasks.insert(name.task, worker.life.clone()) {
                broken.push(format!("{name} runs on {} and on {other}", worker.life));
            }
            if run.step.lasting {
                ran.push(name.task);
            }
        }
        let closed: Vec<bool> =
            (0..self.machines.len()).map(|i| self.closed_to_starts(i)).collect();
        let workers = self.machines.iter_mut().zip(closed);
        let workers =
            workers.filter_map(|(machine, closed)| Some((machine.worker.as_mut()?, closed)));
        for (worker, closed) in workers {
            if !worker.taken().fits(worker.room) {
                broken.push(format!("{} has {} of {}", worker.life, worker.taken(), worker.room));
            }
            for name in std::mem::take(&mut worker.begun) {
                // A start may reach the life after the one that it was meant for, if that has the same id.
                let same_id = |life: &&str| id_of(life) == id_of(&worker.life);
                let mut lives = self.state.workers().filter(same_id);
                let placed = lives.any(|life| self.state.placed(life).any(|run| run == name));
                let done = self.watch.done.get(&name);
                if closed {
                    broken.push(format!("{name} began on {}, which is evacuated", worker.life));
                }
                if !placed {
                    broken.push(format!("{name} began on {}, where it has no place", worker.life));
                } else if done.is_some_and(|at| self.now.since(*at) > ON_WAY_MS) {
                    broken.push(format!("{name} began on {} after its task was done", worker.life));
                }
            }
        }
        let forgotten = self.forgotten().into_iter();
        broken.extend(forgotten.map(|name| format!("what was acknowledged of {name} is gone")));
        let now = self.now;
        for name in self.placed_and_done() {
            self.watch.done.entry(name).or_insert(now);
        }
        self.watch.ran.extend(ran.into_iter().map(|task| (task, now)));
        self.watch.broken.extend(broken.into_iter().map(|what| format!("at {}: {what}", now.0)));
    }

    /// Runs that have a place in the state although their task is done.
    fn placed_and_done(&self) -> Vec<RunName> {
        let runs = self.state.workers().flat_map(|life| self.state.placed(life));
        let done = |run: &RunName| {
            let job = self.state.job(run.task.job);
            job.and_then(|job| job.task(run.task)).is_some_and(|task| task.done)
        };
        runs.filter(done).collect()
    }

    /// What waits although there is room for it twice over.
    fn waiting(&self) -> Vec<Waiter> {
        let mut waiting = Vec::new();
        let lasting_only = self.watch.lasting_only;
        if !lasting_only && !self.half_free() {
            return waiting;
        }
        let at_work: BTreeSet<TaskName> = self.runs().map(|(_, run, _)| run.task).collect();
        let busy: BTreeSet<u64> = at_work.iter().map(|task| task.job).collect();
        for (id, job) in self.state.active().filter(|(_, job)| !job.phase.ended()) {
            for (step_index, step) in job.spec.steps.iter().enumerate() {
                let idle = !lasting_only && !busy.contains(&id);
                if !(idle || step.lasting) || !job.turn(0, step_index) || !self.fits(id, step) {
                    continue;
                }
                if self.hidden(id, job) {
                    continue;
                }
                for task in open_tasks(id, job, step_index) {
                    if idle {
                        waiting.push(Waiter::Job(id));
                    }
                    if step.lasting && !at_work.contains(&task) && self.away_long(task) {
                        waiting.push(Waiter::Task(task));
                    }
                }
            }
        }
        waiting
    }

    /// Whether all that is left of a job has its place on workers that are down: nobody can know before they are back, or
    /// their leases are over, that nothing of it runs, and there is nothing else of it to start.
    fn hidden(&self, id: u64, job: &Job) -> bool {
        let down = self.machines.iter().filter(|machine| machine.worker.is_none());
        let down: Vec<String> = down.map(|machine| format!("{}-", machine.name)).collect();
        let mut places = job.places(id).peekable();
        // A gang begins whole, once all of its last run has ended.
        let startable = |step: usize| {
            let mut tasks = job.times[0][step].iter();
            match job.spec.steps[step].gang {
                true => tasks.all(pond_job::Task::waits),
                false => tasks.any(pond_job::Task::waits),
            }
        };
        let waits = (0..job.spec.steps.len()).any(|step| job.turn(0, step) && startable(step));
        !waits
            && places.peek().is_some()
            && places.all(|(_, life)| down.iter().any(|name| life.starts_with(name)))
    }

    fn away_long(&self, task: TaskName) -> bool {
        let ran = self.watch.ran.get(&task);
        ran.is_none_or(|at| self.now.since(*at) >= LASTING_AFTER_MS)
    }

    fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.machines.iter().filter_map(|machine| machine.worker.as_ref())
    }

    /// Whether less than half of the pool is in use.
    fn half_free(&self) -> bool {
        let sum = |sum: Size, size: Size| sum.plus(size);
        let taken = self.workers().map(Worker::taken).fold(Size::default(), sum);
        let room = self.workers().map(|worker| worker.room).fold(Size::default(), sum);
        taken.milli_cpu * 2 < room.milli_cpu && taken.memory_mib * 2 < room.memory_mib
    }

    /// Whether there is room for a task of a step twice over, for a gang with all its tasks.
    fn fits(&self, id: u64, step: &Step) -> bool {
        let need = if step.gang { step.tasks } else { 1 };
        let allowed = self.workers().filter(|worker| self.book.allows(id, &worker.life));
        let places: u32 = allowed.map(|worker| places(worker, id, step)).sum();
        places >= 2 * need
    }

    /// Why something waits, as far as it can be told from outside.
    fn explain(&self, waiter: Waiter) -> Finding {
        let id = match waiter {
            Waiter::Job(id) => id,
            Waiter::Task(task) => task.job,
        };
        let about: Vec<&(Millis, Decision)> =
            self.diary.iter().filter(|(_, decision)| concerns(decision, id)).collect();
        let cause = self.cause(id, &about);
        let mut text = format!("{waiter:?} at {} waits: {cause}", self.now.0);
        if let Some(job) = self.state.job(id) {
            let steps: Vec<String> = job.spec.steps.iter().map(Step::to_string).collect();
            text += &format!("\n  {} placed {} of {steps:?}", job.queue, job.placed);
            let placed = job.times.iter().flatten().flatten();
            for life in placed.filter_map(|task| task.worker.as_ref()) {
                text += &format!("\n  a run is placed on {life}");
            }
        }
        if let Waiter::Task(task) = waiter {
            let held = self.state.job(id).and_then(|job| job.task(task)?.suspicion.as_deref());
            text += &format!("\n  held against it: {held:?}");
        }
        for (at, decision) in about.iter().skip(about.len().saturating_sub(SHOWN)) {
            text += &format!("\n  {} {decision:?}", at.0);
        }
        Finding { cause, text }
    }

    /// The kind of what waits, as bounds may differ by it.
    pub fn kind(&self, waiter: Waiter) -> &'static str {
        let Waiter::Job(id) = waiter else { return "lasting task" };
        let Some(work) = self.book.jobs.get(&id) else { return "unknown" };
        if work.spec.steps.iter().any(|step| step.gang) {
            "gang"
        } else if work.advised {
            "advised"
        } else {
            "other"
        }
    }

    /// What is in the way of a job, in a few words that tell causes apart.
    fn cause(&self, id: u64, about: &[&(Millis, Decision)]) -> String {
        let Some(job) = self.state.job(id) else { return "no such job".to_owned() };
        let last = about.iter().rev().find(|(_, decision)| {
            matches!(decision, Decision::Waiting { .. } | Decision::Forced { .. })
        });
        if job.placed > 0 {
            let lately = last.is_some_and(|(at, _)| self.now.since(*at) <= LATELY_MS);
            let cause = if lately { "a start came late" } else { "what is placed runs nowhere" };
            return cause.to_owned();
        }
        let waiting = about.iter().rev().find_map(|(at, decision)| match decision {
            Decision::Waiting { obstacles, waited_ms, .. } => Some((*at, obstacles, *waited_ms)),
            _ => None,
        });
        let Some((at, obstacles, waited_ms)) = waiting else { return "no plan".to_owned() };
        let there = OBSTACLES.iter().filter(|there| obstacles.count(**there) > 0);
        let mut cause = format!("{:?}", there.collect::<Vec<_>>());
        if job.spec.steps.iter().any(|step| step.gang) {
            cause += " gang";
        }
        if job.advice.is_some() {
            cause += " advised";
        }
        if waited_ms + self.now.since(at) < self.watch.bound_ms {
            cause += " counted anew";
        }
        if self.free_percent() <= PLENTY_PERCENT {
            cause += " scarce";
        }
        cause
    }

    /// The share of the pool's processors that the state leaves free.
    fn free_percent(&self) -> u32 {
        let placed = self.state.workers().flat_map(|life| self.state.placed(life));
        let sizes = placed.filter_map(|run| Some(self.state.step(run.task)?.size()));
        let taken = sizes.fold(Size::default(), Size::plus).milli_cpu;
        let room: u32 = self.workers().map(|worker| worker.room.milli_cpu).sum();
        100 - (taken * 100 / room.max(1)).min(100)
    }
}

/// The tasks of a step that are not done.
fn open_tasks(id: u64, job: &Job, step: usize) -> Vec<TaskName> {
    let tasks = job.times[0][step].iter().enumerate().filter(|(_, task)| !task.done);
    let name = |index| TaskName { job: id, time: 0, step: step as u32, index };
    tasks.map(|(index, _)| name(index as u32)).collect()
}

/// How many more tasks of a step a worker has room for.
fn places(worker: &Worker, id: u64, step: &Step) -> u32 {
    let label = &step.required_label;
    if !label.is_empty() && !worker.labels.contains(label) {
        return 0;
    }
    let free = worker.room.minus(worker.taken());
    let (size, most) = (step.size(), u32::MAX / 64);
    let of = |free: u32, need: u32| free.checked_div(need).unwrap_or(most);
    let room = of(free.milli_cpu, size.milli_cpu).min(of(free.memory_mib, size.memory_mib));
    if step.most_per_worker == 0 {
        return room;
    }
    let alike = worker.runs.iter().filter(|(name, run)| name.task.job == id && run.step == *step);
    room.min(step.most_per_worker.saturating_sub(alike.count() as u32))
}

/// Whether a decision is about a job.
fn concerns(decision: &Decision, id: u64) -> bool {
    match decision {
        Decision::Waiting { job, .. } => *job == id,
        Decision::Stalled { run, .. }
        | Decision::Moved { run, .. }
        | Decision::Forced { run, .. } => run.task.job == id,
        _ => false,
    }
}
