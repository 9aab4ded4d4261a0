//! A worker with what it has room for, while tasks are being placed.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::job::{RunName, Step, TaskName};
use pond_proto::{Millis, Size, Span};

use crate::change::Start;
use crate::suspicion::{SURVIVED_MS, Suspicion};

use super::advice::StepName;
use super::beside::{Filler, Served, share};
use super::harm::{Column, Harm, Pressed, Serving};
use super::health::Health;
use super::image::Image;
use super::obstacle::Obstacle;
use super::worker::Worker;

/// A serving task uses about this share of the processors that it asks for, in percent: it asks for
/// its peak. Filling tasks get the rest.
const SERVING_USE_PERCENT: i64 = 50;

/// How much it counts that a worker serves already, against one more image there: more than the
/// images that fit on one worker.
const TOGETHER: i64 = 30;

/// How much it counts that a worker serves the same image already, against one more image there: the
/// two or three images that workers of the trial sites serve. Measured only as it is.
const ALIKE: i64 = 3;

/// How much a tenth of pressure too much counts, against one more image there: more than all else
/// but an empty worker. Measured only as it is.
const DISTURBED: i64 = 10;

/// What a worker was given has shown itself after this time, in milliseconds: it has survived, and the order,
/// the call and the start took their time before.
const SHOWN_MS: Span = SURVIVED_MS + 200;

/// A worker with what it has room for. What hangs on its runs alone is made when one of them changes, see
/// the module `board`; what also hangs on the time, before each plan, by [`Candidate::refresh`].
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// This life of the worker.
    pub life: String,
    /// The agent beside it.
    pub agent: String,
    /// Its pool.
    pub pool: String,
    /// Its labels.
    pub labels: BTreeSet<String>,
    /// All its processors, in thousandths.
    pub processors: u32,
    /// Its room that nothing takes.
    pub free: Size,
    /// Room that is kept for tasks that fit nowhere yet and come before those that are placed now.
    kept: Vec<(StepName, Size)>,
    /// Room of runs that will end by themselves.
    pub passing: Size,
    /// Processors that nothing uses, filling tasks counted, in thousandths.
    pub idle: i64,
    /// The serving runs there.
    serving: Vec<Serving>,
    /// Serving tasks there, one entry for each image: the target of the first, the highest load.
    served: Vec<Pressed>,
    /// Filling tasks there.
    fillers: Vec<Filler>,
    /// Runs there that will end by themselves.
    passing_runs: usize,
    /// How many more runs it may be given that end by themselves.
    pub more: usize,
    /// Tasks that were started there although they were expected to disturb.
    pub tried: usize,
    /// It gets nothing at all.
    pub resting: bool,
    /// Nothing is started in its data centre.
    pub evacuated: bool,
    /// Suspects that it has, which no run has cleared.
    pub suspects: usize,
    /// The job of the suspects that a plan gave it first.
    suspects_of: Option<u64>,
    /// One of them has begun and may still take the worker down: nothing else is started there.
    closed: bool,
    /// A plan keeps it for a suspect: nothing else is started there, so that what began last has shown
    /// itself when the suspect comes.
    reserved: bool,
    /// It was given something just now, which may still take the worker down.
    fresh: bool,
    /// How many tasks of each time and step of a job it has.
    pub steps: BTreeMap<StepName, u32>,
    /// A plan gave it something or keeps room there: it is no longer what its runs make it.
    pub planned: bool,
}

impl Candidate {
    /// A worker on which nothing runs, and that is sound.
    pub fn new(life: &str, worker: &Worker) -> Candidate {
        Candidate {
            life: life.to_owned(),
            agent: worker.agent.clone(),
            pool: worker.pool.clone(),
            labels: worker.labels.clone(),
            processors: worker.room.milli_cpu,
            free: worker.room,
            kept: Vec::new(),
            passing: Size::default(),
            idle: i64::from(worker.room.milli_cpu),
            serving: Vec::new(),
            served: Vec::new(),
            fillers: Vec::new(),
            passing_runs: 0,
            more: usize::MAX,
            tried: 0,
            resting: false,
            evacuated: false,
            suspects: 0,
            suspects_of: None,
            closed: false,
            reserved: false,
            fresh: false,
            steps: BTreeMap::new(),
            planned: false,
        }
    }

    /// A run for it.
    pub fn start(&self, run: RunName) -> Start {
        Start { run, worker: self.life.clone(), agent: self.agent.clone() }
    }

    /// Adds a run that is placed there, of a job that goes on or not.
    pub fn add(&mut self, run: RunName, step: &Step, goes_on: bool, harm: &mut Harm) {
        self.serving.extend(harm.placed(run, step, goes_on));
        self.fillers.extend(harm.filler(step, self.processors));
        self.passing_runs += usize::from(!step.lasting);
        self.occupy(run.task, step);
    }

    /// Adds that a run placed there is of a suspect, with which the worker has lived on for so long.
    pub fn add_suspect(&mut self, suspicion: &Suspicion, lived_ms: Span) {
        self.suspects += 1;
        self.closed |= lived_ms < suspicion.apart_ms();
    }

    /// Brings up to date what changes with time and with what is learned elsewhere. `begun` tells when the
    /// worker was last given something.
    pub fn refresh(&mut self, now: Millis, health: Option<&Health>, begun: Millis, harm: &Harm) {
        self.reserved = false;
        self.fresh = now.since(begun) < SHOWN_MS;
        self.more = health.map_or(usize::MAX, |health| health.allowed(now, self.passing_runs));
        self.resting = health.is_some_and(|health| health.resting(now));
        self.served.clear();
        for place in 0..self.serving.len() {
            let served = self.serving[place].at(now);
            self.serve(served, harm);
        }
    }

    /// Gives it a task of an image.
    pub fn take(
        &mut self,
        task: TaskName,
        step: &Step,
        image: Image,
        served: Option<Served>,
        harm: &Harm,
    ) {
        self.planned = true;
        if let Some(served) = served {
            self.serve(served, harm);
        }
        if step.fills {
            let filler = Filler { image, share: self.share(step) };
            harm.press(&mut self.served, &filler);
            self.fillers.push(filler);
        }
        if !step.lasting {
            self.more = self.more.saturating_sub(1);
        }
        self.occupy(task, step);
    }

    /// Gives it a suspect, in whose company nothing else begins.
    pub fn take_suspect(&mut self, job: u64) {
        self.suspects += 1;
        self.closed = true;
        self.suspects_of.get_or_insert(job);
    }

    /// Keeps it for a suspect.
    pub fn reserve(&mut self) {
        self.planned = true;
        self.reserved = true;
    }

    /// Whether it is kept from other work by a suspect.
    pub fn closed(&self) -> bool {
        self.closed || self.reserved
    }

    /// Whether suspects of a job would be alone there with what has worked well for a while.
    pub fn isolates(&self, job: u64) -> bool {
        let peaceful = self.suspects == 0 && !self.fresh && (!self.planned || self.reserved);
        peaceful || self.isolated(job)
    }

    /// Whether a plan gave it suspects of that job, and none of others before.
    pub fn isolated(&self, job: u64) -> bool {
        self.suspects_of == Some(job)
    }

    /// Whether a task may run there but for what a suspect keeps it from; if `bold`, also for what serving
    /// tasks are expected to use.
    pub fn could_isolate(&self, pool: &str, task: TaskName, step: &Step, bold: bool) -> bool {
        let busy = !bold && step.fills && self.idle < i64::from(step.milli_cpu);
        self.allows(pool, task, step)
            && self.sick_for(step).is_none()
            && step.size().fits(self.free_beside_kept(task))
            && !busy
    }

    /// How many runs would be lost with it.
    pub fn at_stake(&self) -> u32 {
        self.steps.values().sum()
    }

    /// Takes room for a task.
    fn occupy(&mut self, task: TaskName, step: &Step) {
        self.free = minus(self.free, step.size());
        self.idle -= used(step);
        if !step.lasting {
            self.passing = self.passing.plus(step.size());
        }
        *self.steps.entry(task.into()).or_default() += 1;
    }

    /// Adds a serving task, the highest load of each image counting.
    fn serve(&mut self, served: Served, harm: &Harm) {
        let alike = |there: &&mut Pressed| there.served.image == served.image;
        match self.served.iter_mut().find(alike) {
            Some(there) => there.served.load = there.served.load.max(served.load),
            None => self.served.push(harm.pressed(served, &self.fillers)),
        }
    }

    /// Whether a task may run there now, whatever it does to the serving tasks there.
    pub fn fits(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        self.obstacle(pool, task, step).is_none()
    }

    /// What keeps a task from running there now, the most lasting reason first; none if nothing but
    /// harm does.
    pub fn obstacle(&self, pool: &str, task: TaskName, step: &Step) -> Option<Obstacle> {
        if !self.suits_step(pool, task, step, 0) {
            Some(Obstacle::Unsuitable)
        } else if self.evacuated {
            Some(Obstacle::Evacuated)
        } else if let Some(unsound) = self.unsound_for(step) {
            Some(unsound)
        } else if !step.size().fits(self.free) {
            Some(Obstacle::NoRoom)
        } else if !step.size().fits(self.free_beside_kept(task)) {
            Some(Obstacle::Reserved)
        } else if step.fills && self.idle < i64::from(step.milli_cpu) {
            Some(Obstacle::Busy)
        } else {
            None
        }
    }

    /// Whether a task has room there, and nothing but beliefs that may be wrong keeps it away: harm,
    /// what serving tasks use, and those that `overlooked` names.
    pub fn admits(&self, pool: &str, task: TaskName, step: &Step, overlooked: &[Obstacle]) -> bool {
        let overlooks = |obstacle| overlooked.contains(&obstacle);
        let free =
            if overlooks(Obstacle::Reserved) { self.free } else { self.free_beside_kept(task) };
        let apart = self.closed() && !overlooks(Obstacle::Suspect);
        let sound = !apart && self.sick_for(step).is_none_or(overlooks);
        self.allows(pool, task, step) && sound && step.size().fits(free)
    }

    /// Why the worker is not taken for sound; none if it is. A lasting task tells nothing about a
    /// worker's health for long, so it is no probe.
    fn unsound_for(&self, step: &Step) -> Option<Obstacle> {
        if self.closed() { Some(Obstacle::Suspect) } else { self.sick_for(step) }
    }

    /// Why the worker is taken for sick; none if it is not.
    fn sick_for(&self, step: &Step) -> Option<Obstacle> {
        if self.resting {
            Some(Obstacle::Backoff)
        } else if !step.lasting && self.more == 0 {
            Some(Obstacle::Probing)
        } else {
            None
        }
    }

    /// Whether a task may be started there, now or later.
    fn allows(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        self.allows_beside(pool, task, step, 0)
    }

    /// Whether a task may be started there, now or later, beside so many more of its step.
    fn allows_beside(&self, pool: &str, task: TaskName, step: &Step, more: u32) -> bool {
        !self.evacuated && self.suits_step(pool, task, step, more)
    }

    /// Whether the worker is of a kind that may run a task, beside so many more of its step.
    fn suits_step(&self, pool: &str, task: TaskName, step: &Step, more: u32) -> bool {
        let held = || self.steps.get(&task.into()).copied().unwrap_or(0) + more;
        let apart = step.most_per_worker == 0 || held() < step.most_per_worker;
        let labelled = step.required_label.is_empty() || self.labels.contains(&step.required_label);
        self.pool == pool && apart && labelled
    }

    /// The room that is neither taken nor kept for other steps than that of a task.
    fn free_beside_kept(&self, task: TaskName) -> Size {
        let own = StepName::from(task);
        let others = self.kept.iter().filter(|(step, _)| *step != own);
        others.fold(self.free, |free, (_, size)| minus(free, *size))
    }

    /// The room that all kept room leaves, with that of runs that will end by themselves.
    fn room_to_keep(&self) -> Size {
        let room = self.free.plus(self.passing);
        self.kept.iter().fold(room, |room, (_, size)| minus(room, *size))
    }

    /// Processors that are neither taken nor kept, in thousandths.
    pub fn unkept_milli_cpu(&self) -> i64 {
        let kept: i64 = self.kept.iter().map(|(_, size)| i64::from(size.milli_cpu)).sum();
        i64::from(self.free.milli_cpu) - kept
    }

    /// Whether a task will fit there once what runs there for a while has ended.
    pub fn could_keep(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        let own = StepName::from(task);
        let kept = self.kept.iter().filter(|(step, _)| *step == own).count() as u32;
        self.allows_beside(pool, task, step, kept) && step.size().fits(self.room_to_keep())
    }

    /// Keeps room for a task, so that later ones of other steps do not take it bit by bit.
    pub fn keep(&mut self, task: TaskName, step: &Step) {
        self.planned = true;
        self.kept.push((task.into(), step.size()));
    }

    /// How well a task stands here, as nearness to its data, then what its kind depends on; higher
    /// is better.
    pub fn score(
        &self,
        step: &Step,
        served: Option<&Served>,
        harm: &Harm,
        column: &Column,
    ) -> (bool, i64, i64) {
        let near = step.data_rack.is_empty() || self.labels.contains(&step.data_rack);
        if let Some(served) = served {
            return (near, self.suits(served, harm), -self.idle);
        }
        if self.disturbs(step) {
            let added = column.worst(&self.served, self.share(step));
            return (near, -hundredths(added), self.idle);
        }
        let room = i64::from(self.idle >= i64::from(step.milli_cpu));
        (near, room, self.idle)
    }

    /// How well a serving task stands here; higher is better. Serving tasks stand together, away
    /// from what would disturb them, and with those of their own image: the fewer images a worker
    /// serves, the more filling images disturb none of them.
    fn suits(&self, served: &Served, harm: &Harm) -> i64 {
        let disturbed = harm.excess(std::slice::from_ref(served), &self.fillers).max(0.0);
        let together = i64::from(!self.served.is_empty());
        let alike = i64::from(self.served.iter().any(|there| there.served.image == served.image));
        let images = self.served.len() as i64;
        TOGETHER * together + ALIKE * alike - images - DISTURBED * tenths(disturbed)
    }

    /// Whether the serving tasks here would keep their targets beside one more filling task.
    pub fn bears(&self, step: &Step, column: &Column) -> bool {
        !self.disturbs(step) || column.bearable(&self.served, self.share(step))
    }

    /// By how much the pressure on serving tasks here would exceed what their targets allow beside
    /// one more task.
    pub fn excess_with(&self, step: &Step, column: &Column) -> f64 {
        // A task that does not fill adds nothing.
        let share = if step.fills { self.share(step) } else { 0.0 };
        column.excess(&self.served, share)
    }

    /// Whether a task fills, and there are serving ones that it could disturb.
    fn disturbs(&self, step: &Step) -> bool {
        step.fills && !self.served.is_empty()
    }

    /// The share of the processors here that a task asks for.
    fn share(&self, step: &Step) -> f64 {
        share(step.milli_cpu, self.processors)
    }
}

/// Candidates as they were before they were given tasks that need a place all together. (To copy all of
/// 1,200 candidates for each gang takes 2.5 ms.)
#[derive(Default)]
pub struct Undo {
    before: Vec<(usize, Candidate)>,
}

impl Undo {
    /// The candidate at that place is about to be given a task.
    pub fn note(&mut self, place: usize, candidates: &[Candidate]) {
        self.before.push((place, candidates[place].clone()));
    }

    /// Makes all candidates what they were, the last change first.
    pub fn restore(self, candidates: &mut [Candidate]) {
        for (place, before) in self.before.into_iter().rev() {
            candidates[place] = before;
        }
    }
}

/// A share in tenths, so that small differences do not decide.
fn tenths(share: f64) -> i64 {
    (share * 10.0) as i64
}

/// A share in hundredths.
fn hundredths(share: f64) -> i64 {
    (share * 100.0) as i64
}

/// The processors that a task uses when it is busy, in thousandths.
fn used(step: &Step) -> i64 {
    let asked = i64::from(step.milli_cpu);
    if step.serves() { asked * SERVING_USE_PERCENT / 100 } else { asked }
}

fn minus(size: Size, taken: Size) -> Size {
    Size {
        milli_cpu: size.milli_cpu.saturating_sub(taken.milli_cpu),
        memory_mib: size.memory_mib.saturating_sub(taken.memory_mib),
        accelerators: size.accelerators.saturating_sub(taken.accelerators),
    }
}
