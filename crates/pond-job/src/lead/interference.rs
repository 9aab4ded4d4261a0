//! Model of how best-effort tasks of one image slow down serving tasks of another, learned from
//! reports.

use std::collections::BTreeMap;

use pond_proto::Millis;
use pond_proto::fleet::{Report, RunRow};
use pond_proto::job::{RunName, Step};

use super::colocation::{BestEffort, ServingLoad, at_work, share};
use super::image::{Image, Images};
use super::load::Load;
use super::regression::{Regression, Tuning};
use super::utilization::{SATURATED_UTILIZATION, Scale};
use crate::estimates::{self, Estimates};
use crate::state::State;

/// Best-effort tasks are placed only where the expected utilization stays this far below the one at
/// which targets are missed: loads grow by a few hundredths within the second until the next
/// report.
const UTILIZATION_MARGIN: f64 = 0.05;

/// A best-effort task that adds less than this to a utilization is not held back, however high
/// others have raised it. It is less than the minimum deviation of a measured utilization.
const NEGLIGIBLE_UTILIZATION: f64 = 0.02;

/// An ended best-effort run affects the figures for a while. With each new figure, this share of
/// its use remains.
const USE_DECAY: f64 = 0.5;

/// Prior assumptions about the utilization that best-effort images add, per share of the worker's
/// processors. About half of all pairs of images do not interfere; the others add up to five times
/// their share. Each worker sends about two reports per second, but the effect of one image on
/// another hardly changes, so the variance grows slowly: estimates that stay certain let more
/// best-effort work finish in time.
const REGRESSION_TUNING: Tuning = Tuning { mean: 0.8, variance: 2.5, growth: 0.0001 };

/// Learned interference, by the image of the serving tasks.
#[derive(Debug, Default)]
pub struct Interference {
    images: Images,
    /// Models by index of the image; `None` for images that do not serve.
    models: Vec<Option<Model>>,
    /// Loads of serving runs.
    loads: BTreeMap<RunName, Load>,
    /// Shares of processors that best-effort images used recently, by incarnation of the worker.
    best_effort_use: BTreeMap<String, Vec<(Image, f64)>>,
}

/// Utilization budget of the serving tasks of one image on a worker with best-effort tasks. A plan
/// often asks for the effect of one more best-effort task, so the sum over the present ones is
/// stored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The serving tasks.
    pub serving: ServingLoad,
    /// Utilization that the present best-effort tasks add.
    added: f64,
    /// Utilization at which the target is just met.
    allowed: f64,
}

/// Utilization that one more best-effort task of an image adds to serving tasks, per share of the
/// worker's processors. A plan looks it up once for each task instead of once for each worker.
pub struct Impact {
    /// Coefficients by index of the serving image.
    coefficients: Vec<f64>,
}

impl Impact {
    /// Returns the utilization that such a task adds to serving tasks, given its share of the
    /// processors.
    fn added(&self, budget: &Budget, share: f64) -> f64 {
        let index = budget.serving.image.index();
        self.coefficients.get(index).copied().unwrap_or(REGRESSION_TUNING.mean) * share
    }

    /// Returns the highest utilization that such a task adds to any of the serving tasks.
    pub fn max_added(&self, budgets: &[Budget], share: f64) -> f64 {
        budgets.iter().map(|budget| self.added(budget, share)).fold(0.0, f64::max)
    }

    /// Returns by how much the utilization with one more such task is expected to exceed what the
    /// targets allow, as the maximum over the serving tasks.
    pub fn excess(&self, budgets: &[Budget], share: f64) -> f64 {
        let excess = |budget: &Budget| {
            budget.serving.load + (budget.added + self.added(budget, share)) - budget.allowed
        };
        budgets.iter().map(excess).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns whether the serving tasks tolerate one more such task.
    pub fn tolerable(&self, budgets: &[Budget], share: f64) -> bool {
        budgets.is_empty()
            || self.max_added(budgets, share) <= NEGLIGIBLE_UTILIZATION
            || self.excess(budgets, share) <= -UTILIZATION_MARGIN
    }
}

/// A serving run with its measured load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingRun {
    image: Image,
    target_ms: u32,
    load: Option<Load>,
}

impl ServingRun {
    /// Returns the expected load at that time.
    pub fn at(&self, now: Millis) -> ServingLoad {
        let load = self.load.unwrap_or(Load::new(now)).at(now).0;
        ServingLoad { image: self.image, target_ms: self.target_ms, load }
    }
}

/// Model of the serving tasks of an image.
#[derive(Debug)]
struct Model {
    scale: Scale,
    /// Utilization that best-effort images add, per share of the worker's processors.
    added: Regression,
}

impl Interference {
    /// Restores stored estimates, with uncertainties that account for their age on the operators'
    /// clock.
    pub fn restore(estimates: &Estimates, wall: Millis) -> Interference {
        let age_ms = wall.since(estimates.at);
        let mut interference = Interference::default();
        for (name, image) in &estimates.images {
            let key = interference.images.key(name);
            let added =
                Regression::restore(image, age_ms, REGRESSION_TUNING, &mut interference.images);
            let scale = Scale::restore(f64::from(image.idle_ms));
            *interference.model_slot(key) = Some(Model { scale, added });
        }
        interference
    }

    /// Returns the estimates that help the next leader. Loads change within seconds and are left
    /// out.
    pub fn estimates(&self, wall: Millis) -> Estimates {
        let image = |model: &Model| -> estimates::Image {
            model.added.estimates(model.scale.idle_ms(), &self.images)
        };
        let images = self.models.iter().enumerate().filter_map(|(index, model)| {
            Some((self.images.name_at(index).to_owned(), image(model.as_ref()?)))
        });
        Estimates { at: wall, images: images.collect() }
    }

    /// Returns the slot for the model of an image.
    fn model_slot(&mut self, image: Image) -> &mut Option<Model> {
        let all = self.models.len().max(image.index() + 1);
        self.models.resize_with(all, || None);
        &mut self.models[image.index()]
    }

    fn model(&self, image: Image) -> Option<&Model> {
        self.models.get(image.index())?.as_ref()
    }

    /// Learns from the figures of a report.
    pub fn learn(&mut self, state: &State, now: Millis, report: &Report) {
        let best_effort_use = self.recent_use(state, report);
        for row in &report.runs {
            let Some(step) = state.step(row.run.task) else { continue };
            if step.serves() && at_work(row) && row.measurement > 0 {
                self.learn_one(now, step, row, &best_effort_use);
            }
        }
        self.best_effort_use.insert(report.worker.clone(), best_effort_use);
    }

    /// Returns the shares of processors that best-effort images use, ordered by image. The use of
    /// images that have just ended decays.
    fn recent_use(&mut self, state: &State, report: &Report) -> Vec<(Image, f64)> {
        let mut best_effort_use: BTreeMap<Image, f64> = BTreeMap::new();
        for row in report.runs.iter().filter(|row| row.measurement > 0) {
            let Some(step) = state.step(row.run.task).filter(|step| step.best_effort) else {
                continue;
            };
            let image = self.images.key(&step.image);
            *best_effort_use.entry(image).or_default() += share(row.measurement, report.milli_cpu);
        }
        for (image, before) in self.best_effort_use.get(&report.worker).into_iter().flatten() {
            let decayed = before * USE_DECAY;
            if decayed >= share(1, report.milli_cpu) {
                let now = best_effort_use.entry(*image).or_default();
                *now = now.max(decayed);
            }
        }
        best_effort_use.into_iter().collect()
    }

    /// Learns from the tail latency of one serving run next to best-effort images that use these
    /// shares.
    fn learn_one(
        &mut self,
        now: Millis,
        step: &Step,
        row: &RunRow,
        best_effort_use: &[(Image, f64)],
    ) {
        let image = self.images.key(&step.image);
        let load = self.loads.get(&row.run).copied().unwrap_or(Load::new(now));
        let new = || Model {
            scale: Scale::new(step.tail_target_ms),
            added: Regression::new(REGRESSION_TUNING),
        };
        let model = self.model_slot(image).get_or_insert_with(new);
        model.scale.learn(row.measurement);
        let (mean, variance) = load.at(now);
        let measured = model.scale.utilization(row.measurement);
        let expected: f64 = mean
            + best_effort_use
                .iter()
                .map(|(image, share)| model.added.coefficient(*image) * share)
                .sum::<f64>();
        if measured >= SATURATED_UTILIZATION && expected >= SATURATED_UTILIZATION {
            self.loads.insert(row.run, load);
            return;
        }
        let noise = variance + model.scale.noise(row.measurement);
        let innovation = model.added.learn(best_effort_use, measured - mean, noise);
        let mut load = load;
        load.learn(now, innovation.error, innovation.variance);
        self.loads.insert(row.run, load);
    }

    /// Keeps only data about runs and incarnations for which these functions return true.
    pub fn forget(&mut self, runs: impl Fn(RunName) -> bool, incarnations: impl Fn(&str) -> bool) {
        self.loads.retain(|run, _| runs(*run));
        self.best_effort_use.retain(|incarnation, _| incarnations(incarnation));
    }

    /// Returns the expected load of a serving run now; `None` for other runs.
    pub fn serving(&mut self, now: Millis, run: RunName, step: &Step) -> Option<ServingLoad> {
        let load = self.loads.get(&run).copied();
        Some(self.serving_run(step, load)?.at(now))
    }

    /// Returns the expected load of a serving task that is not running yet; `None` for other tasks.
    pub fn new_serving(&mut self, now: Millis, step: &Step) -> Option<ServingLoad> {
        Some(self.serving_run(step, None)?.at(now))
    }

    /// Returns a placed serving run; `None` for other runs. Its measured load counts only while its
    /// job is active.
    pub fn placed_run(
        &mut self,
        run: RunName,
        step: &Step,
        job_active: bool,
    ) -> Option<ServingRun> {
        let load = self.loads.get(&run).filter(|_| job_active).copied();
        self.serving_run(step, load)
    }

    fn serving_run(&mut self, step: &Step, load: Option<Load>) -> Option<ServingRun> {
        if !step.serves() {
            return None;
        }
        let image = self.images.key(&step.image);
        Some(ServingRun { image, target_ms: step.tail_target_ms, load })
    }

    /// Returns a best-effort task on a worker with that many thousandths of a processor; `None` for
    /// other tasks.
    pub fn best_effort(&mut self, step: &Step, total_milli_cpu: u32) -> Option<BestEffort> {
        if !step.best_effort {
            return None;
        }
        let image = self.images.key(&step.image);
        Some(BestEffort { image, share: share(step.milli_cpu, total_milli_cpu) })
    }

    /// Returns the key of an image.
    pub fn image(&mut self, name: &str) -> Image {
        self.images.key(name)
    }

    /// Returns by how much the utilization is expected to exceed what the targets allow, as the
    /// maximum over the serving tasks; negative while all meet their targets.
    pub fn excess(&self, serving: &[ServingLoad], best_effort_tasks: &[BestEffort]) -> f64 {
        let excess = |serving: &ServingLoad| {
            let added = best_effort_tasks
                .iter()
                .map(|best_effort| self.added_to(serving, best_effort))
                .sum::<f64>();
            serving.load + added - self.allowed(serving)
        };
        serving.iter().map(excess).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the utilization at which a target is just met.
    fn allowed(&self, serving: &ServingLoad) -> f64 {
        let scale = self.model(serving.image).map(|model| model.scale);
        scale.unwrap_or(Scale::new(serving.target_ms)).utilization(serving.target_ms)
    }

    /// Returns the utilization that a best-effort image adds to a serving image, per share of the
    /// worker's processors.
    fn coefficient(&self, serving: Image, best_effort: Image) -> f64 {
        let model = self.model(serving);
        model.map_or(REGRESSION_TUNING.mean, |model| model.added.coefficient(best_effort))
    }

    /// Returns the utilization that one best-effort task adds to one serving task.
    fn added_to(&self, serving: &ServingLoad, best_effort: &BestEffort) -> f64 {
        self.coefficient(serving.image, best_effort.image) * best_effort.share
    }

    /// Returns the highest utilization that one best-effort task adds to any of the serving tasks.
    pub fn added(&self, serving: &[ServingLoad], best_effort: &BestEffort) -> f64 {
        serving.iter().map(|serving| self.added_to(serving, best_effort)).fold(0.0, f64::max)
    }

    /// Returns the budget of serving tasks next to these best-effort tasks.
    pub fn budget(&self, serving: ServingLoad, best_effort_tasks: &[BestEffort]) -> Budget {
        let added = best_effort_tasks
            .iter()
            .map(|best_effort| self.added_to(&serving, best_effort))
            .sum::<f64>();
        let allowed = self.allowed(&serving);
        Budget { serving, added, allowed }
    }

    /// Adds one more best-effort task to the budgets.
    pub fn add_best_effort(&self, budgets: &mut [Budget], more: &BestEffort) {
        for budget in budgets {
            budget.added += self.added_to(&budget.serving, more);
        }
    }

    /// Returns the utilization that a best-effort image adds to each serving image.
    pub fn impact(&self, image: Image) -> Impact {
        let coefficient = |model: &Option<Model>| {
            model.as_ref().map_or(REGRESSION_TUNING.mean, |model| model.added.coefficient(image))
        };
        Impact { coefficients: self.models.iter().map(coefficient).collect() }
    }

    /// Returns the indices of the best-effort tasks that must be removed for the serving tasks to
    /// meet their targets, most harmful first and no more than necessary; empty if the targets are
    /// met.
    pub fn culprits(
        &self,
        serving: &[ServingLoad],
        best_effort_tasks: &[BestEffort],
    ) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..best_effort_tasks.len()).collect();
        let mut culprits = Vec::new();
        let mut limit = 0.0;
        loop {
            let remaining: Vec<BestEffort> =
                indices.iter().map(|i| best_effort_tasks[*i]).collect();
            if serving.is_empty() || self.excess(serving, &remaining) <= limit {
                return culprits;
            }
            // If any must be removed, the others should leave the same margin as after a placement.
            limit = -UTILIZATION_MARGIN;
            let Some(worst) = self.most_harmful(serving, &remaining) else { return culprits };
            culprits.push(indices.remove(worst));
        }
    }

    /// Returns the index of the best-effort task that adds most, the last one of equals; `None` if
    /// all add a negligible amount.
    fn most_harmful(
        &self,
        serving: &[ServingLoad],
        best_effort_tasks: &[BestEffort],
    ) -> Option<usize> {
        let added = best_effort_tasks
            .iter()
            .map(|best_effort| self.added(serving, best_effort))
            .enumerate();
        let (worst, most) = added.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        (most > NEGLIGIBLE_UTILIZATION).then_some(worst)
    }
}
