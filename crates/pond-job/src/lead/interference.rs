//! What filling tasks of one image do to serving tasks of another, learned from reports.

use std::collections::BTreeMap;

use pond_proto::Millis;
use pond_proto::fleet::{Report, RunRow};
use pond_proto::job::{RunName, Step};

use super::colocation::{BestEffort, ServingLoad, at_work, share};
use super::image::{Image, Images};
use super::load::Load;
use super::regression::{Regression, Tuning};
use super::utilization::{SATURATED_UTILIZATION, Scale};
use crate::lesson::{self, Lesson};
use crate::state::State;

/// Filling work is placed only where pressures are expected to stay this far below those at which
/// targets are missed: loads go up by some hundredths within the second until the next figure.
const UTILIZATION_MARGIN: f64 = 0.05;

/// A filling task that adds less than this to a pressure is not held back, however high it is
/// through others: less than the least deviation of a measured pressure.
const NEGLIGIBLE_UTILIZATION: f64 = 0.02;

/// A filling run that has ended shows in the figures for a while: with each new figure, half of it.
const USE_DECAY: f64 = 0.5;

/// Pressures over shares of the worker's processors. About half of all pairs of images do not harm
/// each other, others press with up to five times their share. About two reports a second come from
/// each worker, but what one image does to another hardly changes: certainty that is kept buys
/// filling work that is done in time.
const REGRESSION_TUNING: Tuning = Tuning { mean: 0.8, variance: 2.5, growth: 0.0001 };

/// What is learned, by the image of the serving tasks.
#[derive(Debug, Default)]
pub struct Interference {
    images: Images,
    /// By the place of the image; none of those that do not serve.
    models: Vec<Option<Model>>,
    /// Loads of serving runs.
    loads: BTreeMap<RunName, Load>,
    /// Shares of processors that filling images used lately, by the life of the worker.
    best_effort_use: BTreeMap<String, Vec<(Image, f64)>>,
}

/// Serving tasks of one image beside the filling tasks of a worker. A plan asks many times what one more
/// filling task would do, so the sum over those that are there is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The serving tasks.
    pub serving: ServingLoad,
    /// What the filling tasks there add to the pressure.
    added: f64,
    /// The pressure at which the target is just kept.
    allowed: f64,
}

/// What one more filling task of an image adds to the pressure on serving ones, over shares of the
/// worker's processors. A plan looks it up once for each task instead of for each worker.
pub struct Impact {
    /// By the place of the serving image.
    coefficients: Vec<f64>,
}

impl Impact {
    /// What such a task adds to the pressure on some serving tasks, with its share of the processors.
    fn added(&self, budget: &Budget, share: f64) -> f64 {
        let index = budget.serving.image.index();
        self.coefficients.get(index).copied().unwrap_or(REGRESSION_TUNING.mean) * share
    }

    /// How much such a task adds to the pressure on serving ones, the worst of them.
    pub fn max_added(&self, budgets: &[Budget], share: f64) -> f64 {
        budgets.iter().map(|budget| self.added(budget, share)).fold(0.0, f64::max)
    }

    /// By how much the pressure on serving tasks is expected to exceed what their targets allow beside
    /// one more such task, the worst of them.
    pub fn excess(&self, budgets: &[Budget], share: f64) -> f64 {
        let excess = |budget: &Budget| {
            budget.serving.load + (budget.added + self.added(budget, share)) - budget.allowed
        };
        budgets.iter().map(excess).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Whether serving tasks bear one more such task beside those that are there.
    pub fn tolerable(&self, budgets: &[Budget], share: f64) -> bool {
        budgets.is_empty()
            || self.max_added(budgets, share) <= NEGLIGIBLE_UTILIZATION
            || self.excess(budgets, share) <= -UTILIZATION_MARGIN
    }
}

/// A serving run with what is known of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingRun {
    image: Image,
    target_ms: u32,
    load: Option<Load>,
}

impl ServingRun {
    /// As it is expected to be then.
    pub fn at(&self, now: Millis) -> ServingLoad {
        let load = self.load.unwrap_or(Load::new(now)).at(now).0;
        ServingLoad { image: self.image, target_ms: self.target_ms, load }
    }
}

/// What is known of the serving tasks of an image.
#[derive(Debug)]
struct Model {
    scale: Scale,
    /// What filling images add to the pressure, over shares of the worker's processors.
    added: Regression,
}

impl Interference {
    /// What was written down, as it is worth now on the operators' clock.
    pub fn restore(estimates: &Lesson, wall: Millis) -> Interference {
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

    /// Writes down what may help the next leader. Loads change within seconds and are left out.
    pub fn estimates(&self, wall: Millis) -> Lesson {
        let image = |model: &Model| -> lesson::Image {
            model.added.estimates(model.scale.idle_ms(), &self.images)
        };
        let images = self.models.iter().enumerate().filter_map(|(index, model)| {
            Some((self.images.name_at(index).to_owned(), image(model.as_ref()?)))
        });
        Lesson { at: wall, images: images.collect() }
    }

    /// Where what is known of an image stands.
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
            if step.serves() && at_work(row) && row.figure > 0 {
                self.learn_one(now, step, row, &best_effort_use);
            }
        }
        self.best_effort_use.insert(report.worker.clone(), best_effort_use);
    }

    /// The shares of processors that filling images use, those that have just ended fading; in the
    /// order of the images.
    fn recent_use(&mut self, state: &State, report: &Report) -> Vec<(Image, f64)> {
        let mut best_effort_use: BTreeMap<Image, f64> = BTreeMap::new();
        for row in report.runs.iter().filter(|row| row.figure > 0) {
            let Some(step) = state.step(row.run.task).filter(|step| step.fills) else { continue };
            let image = self.images.key(&step.image);
            *best_effort_use.entry(image).or_default() += share(row.figure, report.milli_cpu);
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

    /// Learns from the tail of one serving run, beside which filling images use these shares.
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
        model.scale.learn(row.figure);
        let (mean, variance) = load.at(now);
        let measured = model.scale.utilization(row.figure);
        let expected: f64 = mean
            + best_effort_use
                .iter()
                .map(|(image, share)| model.added.coefficient(*image) * share)
                .sum::<f64>();
        if measured >= SATURATED_UTILIZATION && expected >= SATURATED_UTILIZATION {
            self.loads.insert(row.run, load);
            return;
        }
        let noise = variance + model.scale.noise(row.figure);
        let innovation = model.added.learn(best_effort_use, measured - mean, noise);
        let mut load = load;
        load.learn(now, innovation.error, innovation.variance);
        self.loads.insert(row.run, load);
    }

    /// Keeps only what is known of the runs and the lives of workers for which these hold.
    pub fn forget(&mut self, runs: impl Fn(RunName) -> bool, incarnations: impl Fn(&str) -> bool) {
        self.loads.retain(|run, _| runs(*run));
        self.best_effort_use.retain(|incarnation, _| incarnations(incarnation));
    }

    /// A serving run as it is expected to be now; none for other runs.
    pub fn serving(&mut self, now: Millis, run: RunName, step: &Step) -> Option<ServingLoad> {
        let load = self.loads.get(&run).copied();
        Some(self.serving_run(step, load)?.at(now))
    }

    /// A serving task that runs nowhere yet; none for other tasks.
    pub fn new_serving(&mut self, now: Millis, step: &Step) -> Option<ServingLoad> {
        Some(self.serving_run(step, None)?.at(now))
    }

    /// A serving run that is placed; none for other runs. What is known of its load counts while its
    /// job goes on.
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

    /// A filling task on a worker with so many thousandths of processors; none for other tasks.
    pub fn best_effort(&mut self, step: &Step, total_milli_cpu: u32) -> Option<BestEffort> {
        if !step.fills {
            return None;
        }
        let image = self.images.key(&step.image);
        Some(BestEffort { image, share: share(step.milli_cpu, total_milli_cpu) })
    }

    /// The key of an image.
    pub fn image(&mut self, name: &str) -> Image {
        self.images.key(name)
    }

    /// By how much the pressure on serving tasks is expected to exceed what their targets allow,
    /// the worst of them; negative while they keep their targets.
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

    /// The pressure at which a target is just kept.
    fn allowed(&self, serving: &ServingLoad) -> f64 {
        let scale = self.model(serving.image).map(|model| model.scale);
        scale.unwrap_or(Scale::new(serving.target_ms)).utilization(serving.target_ms)
    }

    /// What a filling image adds to the pressure on a serving one, over shares of the worker's
    /// processors.
    fn coefficient(&self, serving: Image, best_effort: Image) -> f64 {
        let model = self.model(serving);
        model.map_or(REGRESSION_TUNING.mean, |model| model.added.coefficient(best_effort))
    }

    /// How much one filling task adds to the pressure on one serving task.
    fn added_to(&self, serving: &ServingLoad, best_effort: &BestEffort) -> f64 {
        self.coefficient(serving.image, best_effort.image) * best_effort.share
    }

    /// How much one filling task adds to the pressure on serving ones, the worst of them.
    pub fn added(&self, serving: &[ServingLoad], best_effort: &BestEffort) -> f64 {
        serving.iter().map(|serving| self.added_to(serving, best_effort)).fold(0.0, f64::max)
    }

    /// Serving tasks beside these filling ones.
    pub fn budget(&self, serving: ServingLoad, best_effort_tasks: &[BestEffort]) -> Budget {
        let added = best_effort_tasks
            .iter()
            .map(|best_effort| self.added_to(&serving, best_effort))
            .sum::<f64>();
        let allowed = self.allowed(&serving);
        Budget { serving, added, allowed }
    }

    /// One more filling task comes.
    pub fn add_best_effort(&self, budgets: &mut [Budget], more: &BestEffort) {
        for budget in budgets {
            budget.added += self.added_to(&budget.serving, more);
        }
    }

    /// What a filling image adds to the pressure on all serving ones.
    pub fn impact(&self, image: Image) -> Impact {
        let coefficient = |model: &Option<Model>| {
            model.as_ref().map_or(REGRESSION_TUNING.mean, |model| model.added.coefficient(image))
        };
        Impact { coefficients: self.models.iter().map(coefficient).collect() }
    }

    /// Which filling tasks must go so that the serving ones keep their targets, none if they do;
    /// the most harmful first, and no more than needed.
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
            // Once some must go, those that stay should be as calm as after a placement.
            limit = -UTILIZATION_MARGIN;
            let Some(worst) = self.most_harmful(serving, &remaining) else { return culprits };
            culprits.push(indices.remove(worst));
        }
    }

    /// The place of the filling task that adds most, the last of equals; none if all add hardly
    /// anything.
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
