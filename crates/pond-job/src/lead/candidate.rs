//! A worker with what it has room for, while tasks are being placed.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::job::{RunName, Step, TaskName};
use pond_proto::{Millis, Size, Span};

use crate::change::Start;
use crate::suspicion::{SURVIVED_MS, Suspicion};

use super::advice::StepName;
use super::colocation::{BestEffort, ServingLoad, share};
use super::health::Health;
use super::image::Image;
use super::interference::{Budget, Impact, Interference, ServingRun};
use super::obstacle::Obstacle;
use super::worker::Worker;

/// A serving task uses about this share of the processors that it asks for, in percent: it asks for
/// its peak. Filling tasks get the rest.
const SERVING_USE_PERCENT: i64 = 50;

/// How much it counts that a worker serves already, against one more image there: more than the
/// images that fit on one worker.
const COLOCATION_BONUS: i64 = 30;

/// How much it counts that a worker serves the same image already, against one more image there: the
/// two or three images that workers of the trial sites serve. Measured only as it is.
const SAME_IMAGE_BONUS: i64 = 3;

/// How much a tenth of pressure too much counts, against one more image there: more than all else
/// but an empty worker. Measured only as it is.
const OVERLOAD_PENALTY: i64 = 10;

/// What a worker was given has shown itself after this time, in milliseconds: it has survived, and the order,
/// the call and the start took their time before.
const START_OBSERVED_MS: Span = SURVIVED_MS + 200;

/// A worker with what it has room for. What hangs on its runs alone is made when one of them changes, see
/// the module `board`; what also hangs on the time, before each plan, by [`Candidate::refresh`].
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// This life of the worker.
    pub incarnation: String,
    /// The agent beside it.
    pub agent: String,
    /// Its pool.
    pub pool: String,
    /// Its labels.
    pub labels: BTreeSet<String>,
    /// All its processors, in thousandths.
    pub total_milli_cpu: u32,
    /// Its room that nothing takes.
    pub free: Size,
    /// Room that is kept for tasks that fit nowhere yet and come before those that are placed now.
    reservations: Vec<(StepName, Size)>,
    /// Room of runs that will end by themselves.
    pub finite_size: Size,
    /// Processors that nothing uses, filling tasks counted, in thousandths.
    pub idle_milli_cpu: i64,
    /// The serving runs there.
    serving_runs: Vec<ServingRun>,
    /// Serving tasks there, one entry for each image: the target of the first, the highest load.
    budgets: Vec<Budget>,
    /// Filling tasks there.
    best_effort_tasks: Vec<BestEffort>,
    /// Runs there that will end by themselves.
    finite_runs: usize,
    /// How many more runs it may be given that end by themselves.
    pub finite_allowance: usize,
    /// Tasks that were started there although they were expected to disturb.
    pub forced: usize,
    /// It gets nothing at all.
    pub in_backoff: bool,
    /// Nothing is started in its data centre.
    pub evacuated: bool,
    /// Suspects that it has, which no run has cleared.
    pub suspects: usize,
    /// The job of the suspects that a plan gave it first.
    suspect_job: Option<u64>,
    /// One of them has begun and may still take the worker down: nothing else is started there.
    closed: bool,
    /// A plan keeps it for a suspect: nothing else is started there, so that what began last has shown
    /// itself when the suspect comes.
    held_for_suspect: bool,
    /// It was given something just now, which may still take the worker down.
    recently_started: bool,
    /// How many tasks of each time and step of a job it has.
    pub steps: BTreeMap<StepName, u32>,
    /// A plan gave it something or keeps room there: it is no longer what its runs make it.
    pub planned: bool,
}

impl Candidate {
    /// A worker on which nothing runs, and that is sound.
    pub fn new(incarnation: &str, worker: &Worker) -> Candidate {
        Candidate {
            incarnation: incarnation.to_owned(),
            agent: worker.agent.clone(),
            pool: worker.pool.clone(),
            labels: worker.labels.clone(),
            total_milli_cpu: worker.capacity.milli_cpu,
            free: worker.capacity,
            reservations: Vec::new(),
            finite_size: Size::default(),
            idle_milli_cpu: i64::from(worker.capacity.milli_cpu),
            serving_runs: Vec::new(),
            budgets: Vec::new(),
            best_effort_tasks: Vec::new(),
            finite_runs: 0,
            finite_allowance: usize::MAX,
            forced: 0,
            in_backoff: false,
            evacuated: false,
            suspects: 0,
            suspect_job: None,
            closed: false,
            held_for_suspect: false,
            recently_started: false,
            steps: BTreeMap::new(),
            planned: false,
        }
    }

    /// A run for it.
    pub fn start(&self, run: RunName) -> Start {
        Start { run, worker: self.incarnation.clone(), agent: self.agent.clone() }
    }

    /// Adds a run that is placed there, of a job that goes on or not.
    pub fn add(
        &mut self,
        run: RunName,
        step: &Step,
        job_active: bool,
        interference: &mut Interference,
    ) {
        self.serving_runs.extend(interference.placed_run(run, step, job_active));
        self.best_effort_tasks.extend(interference.best_effort(step, self.total_milli_cpu));
        self.finite_runs += usize::from(!step.lasting);
        self.occupy(run.task, step);
    }

    /// Adds that a run placed there is of a suspect, with which the worker has lived on for so long.
    pub fn add_suspect(&mut self, suspicion: &Suspicion, survived_ms: Span) {
        self.suspects += 1;
        self.closed |= survived_ms < suspicion.apart_ms();
    }

    /// Brings up to date what changes with time and with what is learned elsewhere. `begun` tells when the
    /// worker was last given something.
    pub fn refresh(
        &mut self,
        now: Millis,
        health: Option<&Health>,
        last_start: Millis,
        interference: &Interference,
    ) {
        self.held_for_suspect = false;
        self.recently_started = now.since(last_start) < START_OBSERVED_MS;
        self.finite_allowance =
            health.map_or(usize::MAX, |health| health.allowed_runs(now, self.finite_runs));
        self.in_backoff = health.is_some_and(|health| health.in_backoff(now));
        self.budgets.clear();
        for index in 0..self.serving_runs.len() {
            let serving = self.serving_runs[index].at(now);
            self.add_serving(serving, interference);
        }
    }

    /// Gives it a task of an image.
    pub fn assign(
        &mut self,
        task: TaskName,
        step: &Step,
        image: Image,
        serving: Option<ServingLoad>,
        interference: &Interference,
    ) {
        self.planned = true;
        if let Some(serving) = serving {
            self.add_serving(serving, interference);
        }
        if step.fills {
            let best_effort = BestEffort { image, share: self.share(step) };
            interference.add_best_effort(&mut self.budgets, &best_effort);
            self.best_effort_tasks.push(best_effort);
        }
        if !step.lasting {
            self.finite_allowance = self.finite_allowance.saturating_sub(1);
        }
        self.occupy(task, step);
    }

    /// Gives it a suspect, in whose company nothing else begins.
    pub fn assign_suspect(&mut self, job: u64) {
        self.suspects += 1;
        self.closed = true;
        self.suspect_job.get_or_insert(job);
    }

    /// Keeps it for a suspect.
    pub fn hold_for_suspect(&mut self) {
        self.planned = true;
        self.held_for_suspect = true;
    }

    /// Whether it is kept from other work by a suspect.
    pub fn closed(&self) -> bool {
        self.closed || self.held_for_suspect
    }

    /// Whether suspects of a job would be alone there with what has worked well for a while.
    pub fn isolates(&self, job: u64) -> bool {
        let quiet = self.suspects == 0
            && !self.recently_started
            && (!self.planned || self.held_for_suspect);
        quiet || self.has_suspects_of(job)
    }

    /// Whether a plan gave it suspects of that job, and none of others before.
    pub fn has_suspects_of(&self, job: u64) -> bool {
        self.suspect_job == Some(job)
    }

    /// Whether a task may run there but for what a suspect keeps it from; if `bold`, also for what serving
    /// tasks are expected to use.
    pub fn could_isolate(
        &self,
        pool: &str,
        task: TaskName,
        step: &Step,
        tolerate_interference: bool,
    ) -> bool {
        let busy =
            !tolerate_interference && step.fills && self.idle_milli_cpu < i64::from(step.milli_cpu);
        self.may_start(pool, task, step)
            && self.unhealthy_for(step).is_none()
            && step.size().fits(self.unreserved(task))
            && !busy
    }

    /// How many runs would be lost with it.
    pub fn runs_at_risk(&self) -> u32 {
        self.steps.values().sum()
    }

    /// Takes room for a task.
    fn occupy(&mut self, task: TaskName, step: &Step) {
        self.free = minus(self.free, step.size());
        self.idle_milli_cpu -= expected_use(step);
        if !step.lasting {
            self.finite_size = self.finite_size.plus(step.size());
        }
        *self.steps.entry(task.into()).or_default() += 1;
    }

    /// Adds a serving task, the highest load of each image counting.
    fn add_serving(&mut self, serving: ServingLoad, interference: &Interference) {
        let same_image = |budget: &&mut Budget| budget.serving.image == serving.image;
        match self.budgets.iter_mut().find(same_image) {
            Some(budget) => budget.serving.load = budget.serving.load.max(serving.load),
            None => self.budgets.push(interference.budget(serving, &self.best_effort_tasks)),
        }
    }

    /// Whether a task may run there now, whatever it does to the serving tasks there.
    pub fn fits(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        self.obstacle(pool, task, step).is_none()
    }

    /// What keeps a task from running there now, the most lasting reason first; none if nothing but
    /// harm does.
    pub fn obstacle(&self, pool: &str, task: TaskName, step: &Step) -> Option<Obstacle> {
        if !self.eligible(pool, task, step, 0) {
            Some(Obstacle::Unsuitable)
        } else if self.evacuated {
            Some(Obstacle::Evacuated)
        } else if let Some(reason) = self.exclusion_for(step) {
            Some(reason)
        } else if !step.size().fits(self.free) {
            Some(Obstacle::NoRoom)
        } else if !step.size().fits(self.unreserved(task)) {
            Some(Obstacle::Reserved)
        } else if step.fills && self.idle_milli_cpu < i64::from(step.milli_cpu) {
            Some(Obstacle::Busy)
        } else {
            None
        }
    }

    /// Whether a task has room there, and nothing but beliefs that may be wrong keeps it away: harm,
    /// what serving tasks use, and those that `overlooked` names.
    pub fn admits(&self, pool: &str, task: TaskName, step: &Step, ignored: &[Obstacle]) -> bool {
        let ignores = |obstacle| ignored.contains(&obstacle);
        let free = if ignores(Obstacle::Reserved) { self.free } else { self.unreserved(task) };
        let isolated = self.closed() && !ignores(Obstacle::Suspect);
        let available = !isolated && self.unhealthy_for(step).is_none_or(ignores);
        self.may_start(pool, task, step) && available && step.size().fits(free)
    }

    /// Why the worker is not taken for sound; none if it is. A lasting task tells nothing about a
    /// worker's health for long, so it is no probe.
    fn exclusion_for(&self, step: &Step) -> Option<Obstacle> {
        if self.closed() { Some(Obstacle::Suspect) } else { self.unhealthy_for(step) }
    }

    /// Why the worker is taken for sick; none if it is not.
    fn unhealthy_for(&self, step: &Step) -> Option<Obstacle> {
        if self.in_backoff {
            Some(Obstacle::Backoff)
        } else if !step.lasting && self.finite_allowance == 0 {
            Some(Obstacle::Probing)
        } else {
            None
        }
    }

    /// Whether a task may be started there, now or later.
    fn may_start(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        self.may_start_with(pool, task, step, 0)
    }

    /// Whether a task may be started there, now or later, beside so many more of its step.
    fn may_start_with(&self, pool: &str, task: TaskName, step: &Step, more: u32) -> bool {
        !self.evacuated && self.eligible(pool, task, step, more)
    }

    /// Whether the worker is of a kind that may run a task, beside so many more of its step.
    fn eligible(&self, pool: &str, task: TaskName, step: &Step, more: u32) -> bool {
        let count = || self.steps.get(&task.into()).copied().unwrap_or(0) + more;
        let below_limit = step.most_per_worker == 0 || count() < step.most_per_worker;
        let labelled = step.required_label.is_empty() || self.labels.contains(&step.required_label);
        self.pool == pool && below_limit && labelled
    }

    /// The room that is neither taken nor kept for other steps than that of a task.
    fn unreserved(&self, task: TaskName) -> Size {
        let own = StepName::from(task);
        let others = self.reservations.iter().filter(|(step, _)| *step != own);
        others.fold(self.free, |free, (_, size)| minus(free, *size))
    }

    /// The room that all kept room leaves, with that of runs that will end by themselves.
    fn reservable(&self) -> Size {
        let capacity = self.free.plus(self.finite_size);
        self.reservations.iter().fold(capacity, |capacity, (_, size)| minus(capacity, *size))
    }

    /// Processors that are neither taken nor kept, in thousandths.
    pub fn unreserved_milli_cpu(&self) -> i64 {
        let reserved: i64 =
            self.reservations.iter().map(|(_, size)| i64::from(size.milli_cpu)).sum();
        i64::from(self.free.milli_cpu) - reserved
    }

    /// Whether a task will fit there once what runs there for a while has ended.
    pub fn could_reserve(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        let own = StepName::from(task);
        let reserved = self.reservations.iter().filter(|(step, _)| *step == own).count() as u32;
        self.may_start_with(pool, task, step, reserved) && step.size().fits(self.reservable())
    }

    /// Keeps room for a task, so that later ones of other steps do not take it bit by bit.
    pub fn reserve(&mut self, task: TaskName, step: &Step) {
        self.planned = true;
        self.reservations.push((task.into(), step.size()));
    }

    /// How well a task stands here, as nearness to its data, then what its kind depends on; higher
    /// is better.
    pub fn score(
        &self,
        step: &Step,
        serving: Option<&ServingLoad>,
        interference: &Interference,
        impact: &Impact,
    ) -> (bool, i64, i64) {
        let near_data = step.data_rack.is_empty() || self.labels.contains(&step.data_rack);
        if let Some(serving) = serving {
            return (near_data, self.serving_score(serving, interference), -self.idle_milli_cpu);
        }
        if self.may_interfere(step) {
            let added = impact.max_added(&self.budgets, self.share(step));
            return (near_data, -hundredths(added), self.idle_milli_cpu);
        }
        let has_idle = i64::from(self.idle_milli_cpu >= i64::from(step.milli_cpu));
        (near_data, has_idle, self.idle_milli_cpu)
    }

    /// How well a serving task stands here; higher is better. Serving tasks stand together, away
    /// from what would disturb them, and with those of their own image: the fewer images a worker
    /// serves, the more filling images disturb none of them.
    fn serving_score(&self, serving: &ServingLoad, interference: &Interference) -> i64 {
        let excess =
            interference.excess(std::slice::from_ref(serving), &self.best_effort_tasks).max(0.0);
        let serves = i64::from(!self.budgets.is_empty());
        let same_image =
            i64::from(self.budgets.iter().any(|budget| budget.serving.image == serving.image));
        let images = self.budgets.len() as i64;
        COLOCATION_BONUS * serves + SAME_IMAGE_BONUS * same_image
            - images
            - OVERLOAD_PENALTY * tenths(excess)
    }

    /// Whether the serving tasks here would keep their targets beside one more filling task.
    pub fn tolerates(&self, step: &Step, impact: &Impact) -> bool {
        !self.may_interfere(step) || impact.tolerable(&self.budgets, self.share(step))
    }

    /// By how much the pressure on serving tasks here would exceed what their targets allow beside
    /// one more task.
    pub fn excess_with(&self, step: &Step, impact: &Impact) -> f64 {
        // A task that does not fill adds nothing.
        let share = if step.fills { self.share(step) } else { 0.0 };
        impact.excess(&self.budgets, share)
    }

    /// Whether a task fills, and there are serving ones that it could disturb.
    fn may_interfere(&self, step: &Step) -> bool {
        step.fills && !self.budgets.is_empty()
    }

    /// The share of the processors here that a task asks for.
    fn share(&self, step: &Step) -> f64 {
        share(step.milli_cpu, self.total_milli_cpu)
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
    pub fn record(&mut self, index: usize, candidates: &[Candidate]) {
        self.before.push((index, candidates[index].clone()));
    }

    /// Makes all candidates what they were, the last change first.
    pub fn restore(self, candidates: &mut [Candidate]) {
        for (index, before) in self.before.into_iter().rev() {
            candidates[index] = before;
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
fn expected_use(step: &Step) -> i64 {
    let requested = i64::from(step.milli_cpu);
    if step.serves() { requested * SERVING_USE_PERCENT / 100 } else { requested }
}

fn minus(size: Size, taken: Size) -> Size {
    Size {
        milli_cpu: size.milli_cpu.saturating_sub(taken.milli_cpu),
        memory_mib: size.memory_mib.saturating_sub(taken.memory_mib),
        accelerators: size.accelerators.saturating_sub(taken.accelerators),
    }
}
