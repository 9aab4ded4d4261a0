//! A worker as a candidate for tasks, with its remaining capacity, while a plan is made.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::job::{RunName, Step, TaskName};
use pond_proto::{Millis, Size, Span};

use crate::change::Start;
use crate::suspicion::{STARTUP_WINDOW_MS, Suspicion};

use super::advice::StepName;
use super::colocation::{BestEffort, ServingLoad, share};
use super::health::Health;
use super::image::Image;
use super::interference::{Budget, Impact, Interference, ServingRun};
use super::obstacle::Obstacle;
use super::speed::{Speeds, depends_on_speed};
use super::worker::Worker;

/// Share of its requested processors that a serving task typically uses, in percent: it requests
/// its peak. The rest is available to best-effort tasks.
const SERVING_USE_PERCENT: i64 = 50;

/// Score of a worker that already serves, relative to one more image there. It is larger than the
/// number of images that fit on a worker.
const COLOCATION_BONUS: i64 = 30;

/// Score of a worker that already serves the same image, relative to one more image there. It
/// matches the two or three images that a worker typically serves.
const SAME_IMAGE_BONUS: i64 = 3;

/// Penalty for each tenth of excess utilization, relative to one more image there. Only the bonus
/// for a worker that already serves weighs more.
const OVERLOAD_PENALTY: i64 = 10;

/// Time after which a started run has shown whether it takes the worker down at its start, in
/// milliseconds. It consists of the startup window and 200 ms for the order, the call and the
/// start.
const START_OBSERVED_MS: Span = STARTUP_WINDOW_MS + 200;

/// A worker as a candidate for tasks. State that depends only on its runs is rebuilt when one of
/// them changes, see the module `cache`; state that also depends on the time is updated before each
/// plan by [`Candidate::refresh`].
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Incarnation of the worker.
    pub incarnation: String,
    /// Agent of the worker.
    pub agent: String,
    /// Pool of the worker.
    pub pool: String,
    /// Labels of the worker.
    pub labels: BTreeSet<String>,
    /// All its processors, in thousandths of a processor.
    pub total_milli_cpu: u32,
    /// Capacity that no task occupies.
    pub free: Size,
    /// Capacity that is reserved for tasks that fit nowhere yet and have precedence over those
    /// being placed now.
    reservations: Vec<(StepName, Size)>,
    /// Capacity occupied by runs that end by themselves.
    pub finite_size: Size,
    /// Processors that are expected to stay idle while all tasks run, best-effort tasks included,
    /// in thousandths of a processor.
    pub idle_milli_cpu: i64,
    /// Serving runs on the worker.
    serving_runs: Vec<ServingRun>,
    /// Utilization budgets of the serving tasks, one for each image, with the target of its first
    /// task and its highest load.
    budgets: Vec<Budget>,
    /// Best-effort tasks on the worker.
    best_effort_tasks: Vec<BestEffort>,
    /// Number of runs that end by themselves.
    finite_runs: usize,
    /// How many more runs that end by themselves may be started here.
    pub finite_allowance: usize,
    /// Number of tasks that were started here despite expected interference.
    pub forced: usize,
    /// Whether the worker is in backoff and gets no work.
    pub in_backoff: bool,
    /// Whether the worker is slow or tries one run to show whether it still is.
    pub slow: bool,
    /// Whether one more task would make it slow.
    on_probation: bool,
    /// Whether its data centre is evacuated, so that nothing may start.
    pub evacuated: bool,
    /// Number of suspects that have not been cleared.
    pub suspects: usize,
    /// Job of the first suspect that the current plan assigned.
    suspect_job: Option<u64>,
    /// Whether a suspect here has started and may still take the worker down, so that nothing else
    /// may start.
    closed: bool,
    /// Whether the plan holds the worker for a suspect. Nothing else is started, so that the most
    /// recent starts have shown their effect before the suspect arrives.
    held_for_suspect: bool,
    /// Whether a task was started here just now that may still take the worker down.
    recently_started: bool,
    /// Number of tasks for each time and step of a job.
    pub steps: BTreeMap<StepName, u32>,
    /// Whether the current plan assigned a task or reserved capacity here. The state then no longer
    /// follows from the runs alone.
    pub planned: bool,
}

impl Candidate {
    /// Creates the candidate of a healthy worker without runs.
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
            slow: false,
            on_probation: false,
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

    /// Returns the start of a run on this worker.
    pub fn start(&self, run: RunName) -> Start {
        Start { run, worker: self.incarnation.clone(), agent: self.agent.clone() }
    }

    /// Adds a run that is placed here. `job_active` tells whether its job has not ended.
    pub fn add(
        &mut self,
        run: RunName,
        step: &Step,
        job_active: bool,
        interference: &mut Interference,
    ) {
        self.serving_runs.extend(interference.placed_run(run, step, job_active));
        self.best_effort_tasks.extend(interference.best_effort(step, self.total_milli_cpu));
        self.finite_runs += usize::from(!step.long_running);
        self.occupy(run.task, step);
    }

    /// Adds that a placed run is a suspect that the worker has survived for that long, in
    /// milliseconds.
    pub fn add_suspect(&mut self, suspicion: &Suspicion, survived_ms: Span) {
        self.suspects += 1;
        self.closed |= survived_ms < suspicion.isolation_ms();
    }

    /// Updates what depends on the time and on state outside of this worker. `last_start` is when a
    /// task was last assigned to the worker.
    pub fn refresh(
        &mut self,
        now: Millis,
        health: Option<&Health>,
        last_start: Millis,
        interference: &Interference,
        speeds: &Speeds,
    ) {
        self.held_for_suspect = false;
        self.slow = speeds.is_slow(&self.incarnation);
        self.on_probation = speeds.is_on_probation(&self.incarnation);
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

    /// Assigns a task of an image.
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
        if step.best_effort {
            let best_effort = BestEffort { image, share: self.share(step) };
            interference.add_best_effort(&mut self.budgets, &best_effort);
            self.best_effort_tasks.push(best_effort);
        }
        if !step.long_running {
            self.finite_allowance = self.finite_allowance.saturating_sub(1);
        }
        self.slow |= self.on_probation && depends_on_speed(step);
        self.occupy(task, step);
    }

    /// Marks the assigned task as a suspect. Nothing else may start next to it.
    pub fn assign_suspect(&mut self, job: u64) {
        self.suspects += 1;
        self.closed = true;
        self.suspect_job.get_or_insert(job);
    }

    /// Holds the worker for a suspect.
    pub fn hold_for_suspect(&mut self) {
        self.planned = true;
        self.held_for_suspect = true;
    }

    /// Returns whether a suspect keeps other work from this worker.
    pub fn closed(&self) -> bool {
        self.closed || self.held_for_suspect
    }

    /// Returns whether suspects of a job would run here only with tasks that have run well for a
    /// while.
    pub fn isolates(&self, job: u64) -> bool {
        let quiet = self.suspects == 0
            && !self.recently_started
            && (!self.planned || self.held_for_suspect);
        quiet || self.has_suspects_of(job)
    }

    /// Returns whether the plan assigned suspects of that job here, and none of other jobs before.
    pub fn has_suspects_of(&self, job: u64) -> bool {
        self.suspect_job == Some(job)
    }

    /// Returns whether a task may run here, apart from restrictions due to suspects. With
    /// `tolerate_interference` the expected use of serving tasks is ignored as well.
    pub fn could_isolate(
        &self,
        pool: &str,
        task: TaskName,
        step: &Step,
        tolerate_interference: bool,
    ) -> bool {
        let busy = !tolerate_interference
            && step.best_effort
            && self.idle_milli_cpu < i64::from(step.milli_cpu);
        self.may_start(pool, task, step)
            && self.unhealthy_for(step).is_none()
            && step.size().fits(self.unreserved(task))
            && !busy
    }

    /// Returns how many runs would be lost with this worker.
    pub fn runs_at_risk(&self) -> u32 {
        self.steps.values().sum()
    }

    /// Occupies capacity for a task that is stopped elsewhere and will be placed later.
    pub fn reserve_for_restart(&mut self, task: TaskName, step: &Step) {
        self.planned = true;
        self.occupy(task, step);
    }

    /// Occupies capacity for a task.
    fn occupy(&mut self, task: TaskName, step: &Step) {
        self.free = minus(self.free, step.size());
        self.idle_milli_cpu -= expected_use(step);
        if !step.long_running {
            self.finite_size = self.finite_size.plus(step.size());
        }
        *self.steps.entry(task.into()).or_default() += 1;
    }

    /// Adds a serving task. For each image, the highest load counts.
    fn add_serving(&mut self, serving: ServingLoad, interference: &Interference) {
        let same_image = |budget: &&mut Budget| budget.serving.image == serving.image;
        match self.budgets.iter_mut().find(same_image) {
            Some(budget) => budget.serving.load = budget.serving.load.max(serving.load),
            None => self.budgets.push(interference.budget(serving, &self.best_effort_tasks)),
        }
    }

    /// Returns whether a task may run here now, regardless of interference with serving tasks.
    pub fn fits(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        self.obstacle(pool, task, step).is_none()
    }

    /// Returns the most persistent reason why a task cannot run here now; `None` if at most
    /// interference prevents it.
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
        } else if step.best_effort && self.idle_milli_cpu < i64::from(step.milli_cpu) {
            Some(Obstacle::Busy)
        } else {
            None
        }
    }

    /// Returns whether the task fits here and only estimates that may be wrong prevent it:
    /// interference, the expected use of serving tasks, and the obstacles in `ignored`.
    pub fn admits(&self, pool: &str, task: TaskName, step: &Step, ignored: &[Obstacle]) -> bool {
        let ignores = |obstacle| ignored.contains(&obstacle);
        let free = if ignores(Obstacle::Reserved) { self.free } else { self.unreserved(task) };
        let isolated = self.closed() && !ignores(Obstacle::Suspect);
        let available = !isolated && self.unhealthy_for(step).is_none_or(ignores);
        self.may_start(pool, task, step) && available && step.size().fits(free)
    }

    /// Returns why the worker is not considered healthy; `None` if it is. A long-running task
    /// reveals nothing about the health of a worker for a long time, so it is no probe.
    fn exclusion_for(&self, step: &Step) -> Option<Obstacle> {
        if self.closed() { Some(Obstacle::Suspect) } else { self.unhealthy_for(step) }
    }

    /// Returns why the worker is considered unhealthy; `None` if it is not.
    fn unhealthy_for(&self, step: &Step) -> Option<Obstacle> {
        if self.in_backoff {
            Some(Obstacle::Backoff)
        } else if !step.long_running && self.finite_allowance == 0 {
            Some(Obstacle::Probing)
        } else {
            None
        }
    }

    /// Returns whether a task may be started here, now or later.
    fn may_start(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        self.may_start_with(pool, task, step, 0)
    }

    /// Returns whether a task may be started here, now or later, in addition to `more` tasks of its
    /// step.
    fn may_start_with(&self, pool: &str, task: TaskName, step: &Step, more: u32) -> bool {
        !self.evacuated && self.eligible(pool, task, step, more)
    }

    /// Returns whether the worker matches the requirements of a task, in addition to `more` tasks
    /// of its step.
    fn eligible(&self, pool: &str, task: TaskName, step: &Step, more: u32) -> bool {
        let count = || self.steps.get(&task.into()).copied().unwrap_or(0) + more;
        let below_limit = step.max_per_worker == 0 || count() < step.max_per_worker;
        let labelled = step.required_label.is_empty() || self.labels.contains(&step.required_label);
        self.pool == pool && below_limit && labelled
    }

    /// Returns the capacity that is neither occupied nor reserved for other steps.
    fn unreserved(&self, task: TaskName) -> Size {
        let own = StepName::from(task);
        let others = self.reservations.iter().filter(|(step, _)| *step != own);
        others.fold(self.free, |free, (_, size)| minus(free, *size))
    }

    /// Returns the capacity that can still be reserved, including that of runs that end by
    /// themselves.
    fn reservable(&self) -> Size {
        let capacity = self.free.plus(self.finite_size);
        self.reservations.iter().fold(capacity, |capacity, (_, size)| minus(capacity, *size))
    }

    /// Returns the processors that are neither occupied nor reserved, in thousandths of a
    /// processor.
    pub fn unreserved_milli_cpu(&self) -> i64 {
        let reserved: i64 =
            self.reservations.iter().map(|(_, size)| i64::from(size.milli_cpu)).sum();
        i64::from(self.free.milli_cpu) - reserved
    }

    /// Returns the processors that long-running tasks occupy, in thousandths of a processor.
    pub fn long_running_milli_cpu(&self) -> u32 {
        let others = self.free.milli_cpu.saturating_add(self.finite_size.milli_cpu);
        self.total_milli_cpu.saturating_sub(others)
    }

    /// Returns how many more tasks of a step fit into the free capacity, up to a limit. Reservations
    /// and the health of the worker do not count.
    pub fn vacancies(&self, pool: &str, task: TaskName, step: &Step, limit: usize) -> usize {
        let mut taken = Size::default();
        (0..limit)
            .take_while(|more| {
                taken = taken.plus(step.size());
                self.may_start_with(pool, task, step, *more as u32) && taken.fits(self.free)
            })
            .count()
    }

    /// Returns whether a task will fit here once the runs that end by themselves have ended.
    pub fn could_reserve(&self, pool: &str, task: TaskName, step: &Step) -> bool {
        let own = StepName::from(task);
        let reserved = self.reservations.iter().filter(|(step, _)| *step == own).count() as u32;
        self.may_start_with(pool, task, step, reserved) && step.size().fits(self.reservable())
    }

    /// Reserves capacity for a task, so that later tasks of other steps do not use it up gradually.
    pub fn reserve(&mut self, task: TaskName, step: &Step) {
        self.planned = true;
        self.reservations.push((task.into(), step.size()));
    }

    /// Scores the placement of a task, first by proximity to its data, then by criteria that depend
    /// on the kind of task; higher is better.
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

    /// Scores the placement of a serving task; higher is better. Serving tasks are placed together,
    /// away from interfering tasks, and with those of their own image: the fewer images a worker
    /// serves, the more best-effort images interfere with none of them.
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

    /// Returns whether the serving tasks here would meet their targets with one more best-effort
    /// task.
    pub fn tolerates(&self, step: &Step, impact: &Impact) -> bool {
        !self.may_interfere(step) || impact.tolerable(&self.budgets, self.share(step))
    }

    /// Returns by how much the utilization of serving tasks here would exceed their targets with
    /// one more task.
    pub fn excess_with(&self, step: &Step, impact: &Impact) -> f64 {
        // Only best-effort tasks add utilization.
        let share = if step.best_effort { self.share(step) } else { 0.0 };
        impact.excess(&self.budgets, share)
    }

    /// Returns whether the task is best-effort and there are serving tasks that it could interfere
    /// with.
    fn may_interfere(&self, step: &Step) -> bool {
        step.best_effort && !self.budgets.is_empty()
    }

    /// Returns the share of this worker's processors that a task requests.
    fn share(&self, step: &Step) -> f64 {
        share(step.milli_cpu, self.total_milli_cpu)
    }
}

/// Candidates as they were before a plan assigned them tasks that must be placed together. Only
/// changed candidates are saved: copying all of 1,200 candidates for each gang takes 2.5 ms.
#[derive(Default)]
pub struct Undo {
    before: Vec<(usize, Candidate)>,
}

impl Undo {
    /// Saves the candidate at that index before it is assigned a task.
    pub fn record(&mut self, index: usize, candidates: &[Candidate]) {
        self.before.push((index, candidates[index].clone()));
    }

    /// Restores all candidates, the last change first.
    pub fn restore(self, candidates: &mut [Candidate]) {
        for (index, before) in self.before.into_iter().rev() {
            candidates[index] = before;
        }
    }
}

/// Converts a share to whole tenths, so that small differences do not matter.
fn tenths(share: f64) -> i64 {
    (share * 10.0) as i64
}

/// Converts a share to whole hundredths.
fn hundredths(share: f64) -> i64 {
    (share * 100.0) as i64
}

/// Returns the processors that a task is expected to use while it is busy, in thousandths of a
/// processor.
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
