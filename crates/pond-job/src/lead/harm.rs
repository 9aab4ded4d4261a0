//! What filling tasks of one image do to serving tasks of another, learned from reports.

use std::collections::BTreeMap;

use pond_proto::Millis;
use pond_proto::fleet::{Report, RunRow};
use pond_proto::job::{RunName, Step};

use super::beside::{Filler, Served, at_work, share};
use super::image::{Image, Images};
use super::load::Load;
use super::pressure::{SATURATED, Scale};
use super::regression::{Regression, Tuning};
use crate::estimates::{self, Estimates};
use crate::state::State;

/// Filling work is placed only where pressures are expected to stay this far below those at which
/// targets are missed: loads go up by some hundredths within the second until the next figure.
const MARGIN: f64 = 0.05;

/// A filling task that adds less than this to a pressure is not held back, however high it is
/// through others: less than the least deviation of a measured pressure.
const SLIGHT: f64 = 0.02;

/// A filling run that has ended shows in the figures for a while: with each new figure, half of it.
const FADING: f64 = 0.5;

/// Pressures over shares of the worker's processors. About half of all pairs of images do not harm
/// each other, others press with up to five times their share. About two reports a second come from
/// each worker, but what one image does to another hardly changes: certainty that is kept buys
/// filling work that is done in time.
const TUNING: Tuning = Tuning { mean: 0.8, variance: 2.5, growth: 0.0001 };

/// What is learned, by the image of the serving tasks.
#[derive(Debug, Default)]
pub struct Harm {
    images: Images,
    /// By the place of the image; none of those that do not serve.
    models: Vec<Option<Model>>,
    /// Loads of serving runs.
    loads: BTreeMap<RunName, Load>,
    /// Shares of processors that filling images used lately, by the life of the worker.
    used: BTreeMap<String, Vec<(Image, f64)>>,
}

/// Serving tasks of one image beside the filling tasks of a worker. A plan asks many times what one more
/// filling task would do, so the sum over those that are there is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressed {
    /// The serving tasks.
    pub served: Served,
    /// What the filling tasks there add to the pressure.
    added: f64,
    /// The pressure at which the target is just kept.
    allowed: f64,
}

/// What one more filling task of an image adds to the pressure on serving ones, over shares of the
/// worker's processors. A plan looks it up once for each task instead of for each worker.
pub struct Column {
    /// By the place of the serving image.
    coefficients: Vec<f64>,
}

impl Column {
    /// What such a task adds to the pressure on some serving tasks, with its share of the processors.
    fn added(&self, there: &Pressed, share: f64) -> f64 {
        let place = there.served.image.place();
        self.coefficients.get(place).copied().unwrap_or(TUNING.mean) * share
    }

    /// How much such a task adds to the pressure on serving ones, the worst of them.
    pub fn worst(&self, there: &[Pressed], share: f64) -> f64 {
        there.iter().map(|pressed| self.added(pressed, share)).fold(0.0, f64::max)
    }

    /// By how much the pressure on serving tasks is expected to exceed what their targets allow beside
    /// one more such task, the worst of them.
    pub fn excess(&self, there: &[Pressed], share: f64) -> f64 {
        let excess = |pressed: &Pressed| {
            pressed.served.load + (pressed.added + self.added(pressed, share)) - pressed.allowed
        };
        there.iter().map(excess).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Whether serving tasks bear one more such task beside those that are there.
    pub fn bearable(&self, there: &[Pressed], share: f64) -> bool {
        there.is_empty()
            || self.worst(there, share) <= SLIGHT
            || self.excess(there, share) <= -MARGIN
    }
}

/// A serving run with what is known of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Serving {
    image: Image,
    target_ms: u32,
    load: Option<Load>,
}

impl Serving {
    /// As it is expected to be then.
    pub fn at(&self, now: Millis) -> Served {
        let load = self.load.unwrap_or(Load::new(now)).at(now).0;
        Served { image: self.image, target_ms: self.target_ms, load }
    }
}

/// What is known of the serving tasks of an image.
#[derive(Debug)]
struct Model {
    scale: Scale,
    /// What filling images add to the pressure, over shares of the worker's processors.
    added: Regression,
}

impl Harm {
    /// What was written down, as it is worth now on the operators' clock.
    pub fn recall(lesson: &Estimates, wall: Millis) -> Harm {
        let age_ms = wall.since(lesson.at);
        let mut harm = Harm::default();
        for (name, image) in &lesson.images {
            let key = harm.images.key(name);
            let added = Regression::recall(image, age_ms, TUNING, &mut harm.images);
            let scale = Scale::recall(f64::from(image.idle_ms));
            *harm.model_place(key) = Some(Model { scale, added });
        }
        harm
    }

    /// Writes down what may help the next leader. Loads change within seconds and are left out.
    pub fn write(&self, wall: Millis) -> Estimates {
        let image = |model: &Model| -> estimates::Image {
            model.added.write(model.scale.idle_ms(), &self.images)
        };
        let written = self.models.iter().enumerate().filter_map(|(place, model)| {
            Some((self.images.at(place).to_owned(), image(model.as_ref()?)))
        });
        Estimates { at: wall, images: written.collect() }
    }

    /// Where what is known of an image stands.
    fn model_place(&mut self, image: Image) -> &mut Option<Model> {
        let all = self.models.len().max(image.place() + 1);
        self.models.resize_with(all, || None);
        &mut self.models[image.place()]
    }

    fn model(&self, image: Image) -> Option<&Model> {
        self.models.get(image.place())?.as_ref()
    }

    /// Learns from the figures of a report.
    pub fn learn(&mut self, state: &State, now: Millis, report: &Report) {
        let used = self.used_lately(state, report);
        for row in &report.runs {
            let Some(step) = state.step(row.run.task) else { continue };
            if step.serves() && at_work(row) && row.figure > 0 {
                self.learn_one(now, step, row, &used);
            }
        }
        self.used.insert(report.worker.clone(), used);
    }

    /// The shares of processors that filling images use, those that have just ended fading; in the
    /// order of the images.
    fn used_lately(&mut self, state: &State, report: &Report) -> Vec<(Image, f64)> {
        let mut used: BTreeMap<Image, f64> = BTreeMap::new();
        for row in report.runs.iter().filter(|row| row.figure > 0) {
            let Some(step) = state.step(row.run.task).filter(|step| step.fills) else { continue };
            let image = self.images.key(&step.image);
            *used.entry(image).or_default() += share(row.figure, report.milli_cpu);
        }
        for (image, before) in self.used.get(&report.worker).into_iter().flatten() {
            let faded = before * FADING;
            if faded >= share(1, report.milli_cpu) {
                let now = used.entry(*image).or_default();
                *now = now.max(faded);
            }
        }
        used.into_iter().collect()
    }

    /// Learns from the tail of one serving run, beside which filling images use these shares.
    fn learn_one(&mut self, now: Millis, step: &Step, row: &RunRow, used: &[(Image, f64)]) {
        let image = self.images.key(&step.image);
        let load = self.loads.get(&row.run).copied().unwrap_or(Load::new(now));
        let new =
            || Model { scale: Scale::new(step.tail_target_ms), added: Regression::new(TUNING) };
        let model = self.model_place(image).get_or_insert_with(new);
        model.scale.learn(row.figure);
        let (mean, variance) = load.at(now);
        let measured = model.scale.pressure(row.figure);
        let expected: f64 = mean
            + used
                .iter()
                .map(|(image, share)| model.added.coefficient(*image) * share)
                .sum::<f64>();
        if measured >= SATURATED && expected >= SATURATED {
            self.loads.insert(row.run, load);
            return;
        }
        let noise = variance + model.scale.noise(row.figure);
        let surprise = model.added.learn(used, measured - mean, noise);
        let mut load = load;
        load.learn(now, surprise.error, surprise.variance);
        self.loads.insert(row.run, load);
    }

    /// Keeps only what is known of the runs and the lives of workers for which these hold.
    pub fn forget(&mut self, runs: impl Fn(RunName) -> bool, lives: impl Fn(&str) -> bool) {
        self.loads.retain(|run, _| runs(*run));
        self.used.retain(|life, _| lives(life));
    }

    /// A serving run as it is expected to be now; none for other runs.
    pub fn served(&mut self, now: Millis, run: RunName, step: &Step) -> Option<Served> {
        let load = self.loads.get(&run).copied();
        Some(self.serving(step, load)?.at(now))
    }

    /// A serving task that runs nowhere yet; none for other tasks.
    pub fn newly_served(&mut self, now: Millis, step: &Step) -> Option<Served> {
        Some(self.serving(step, None)?.at(now))
    }

    /// A serving run that is placed; none for other runs. What is known of its load counts while its
    /// job goes on.
    pub fn placed(&mut self, run: RunName, step: &Step, goes_on: bool) -> Option<Serving> {
        let load = self.loads.get(&run).filter(|_| goes_on).copied();
        self.serving(step, load)
    }

    fn serving(&mut self, step: &Step, load: Option<Load>) -> Option<Serving> {
        if !step.serves() {
            return None;
        }
        let image = self.images.key(&step.image);
        Some(Serving { image, target_ms: step.tail_target_ms, load })
    }

    /// A filling task on a worker with so many thousandths of processors; none for other tasks.
    pub fn filler(&mut self, step: &Step, processors: u32) -> Option<Filler> {
        if !step.fills {
            return None;
        }
        let image = self.images.key(&step.image);
        Some(Filler { image, share: share(step.milli_cpu, processors) })
    }

    /// The key of an image.
    pub fn image(&mut self, name: &str) -> Image {
        self.images.key(name)
    }

    /// By how much the pressure on serving tasks is expected to exceed what their targets allow,
    /// the worst of them; negative while they keep their targets.
    pub fn excess(&self, served: &[Served], fillers: &[Filler]) -> f64 {
        let excess = |served: &Served| {
            let added = fillers.iter().map(|filler| self.added_to(served, filler)).sum::<f64>();
            served.load + added - self.allowed(served)
        };
        served.iter().map(excess).fold(f64::NEG_INFINITY, f64::max)
    }

    /// The pressure at which a target is just kept.
    fn allowed(&self, served: &Served) -> f64 {
        let scale = self.model(served.image).map(|model| model.scale);
        scale.unwrap_or(Scale::new(served.target_ms)).pressure(served.target_ms)
    }

    /// What a filling image adds to the pressure on a serving one, over shares of the worker's
    /// processors.
    fn coefficient(&self, served: Image, filler: Image) -> f64 {
        let model = self.model(served);
        model.map_or(TUNING.mean, |model| model.added.coefficient(filler))
    }

    /// How much one filling task adds to the pressure on one serving task.
    fn added_to(&self, served: &Served, filler: &Filler) -> f64 {
        self.coefficient(served.image, filler.image) * filler.share
    }

    /// How much one filling task adds to the pressure on serving ones, the worst of them.
    pub fn added(&self, served: &[Served], filler: &Filler) -> f64 {
        served.iter().map(|served| self.added_to(served, filler)).fold(0.0, f64::max)
    }

    /// Serving tasks beside these filling ones.
    pub fn pressed(&self, served: Served, fillers: &[Filler]) -> Pressed {
        let added = fillers.iter().map(|filler| self.added_to(&served, filler)).sum::<f64>();
        let allowed = self.allowed(&served);
        Pressed { served, added, allowed }
    }

    /// One more filling task comes.
    pub fn press(&self, there: &mut [Pressed], more: &Filler) {
        for pressed in there {
            pressed.added += self.added_to(&pressed.served, more);
        }
    }

    /// What a filling image adds to the pressure on all serving ones.
    pub fn column(&self, image: Image) -> Column {
        let coefficient = |model: &Option<Model>| {
            model.as_ref().map_or(TUNING.mean, |model| model.added.coefficient(image))
        };
        Column { coefficients: self.models.iter().map(coefficient).collect() }
    }

    /// Which filling tasks must go so that the serving ones keep their targets, none if they do;
    /// the most harmful first, and no more than needed.
    pub fn guilty(&self, served: &[Served], fillers: &[Filler]) -> Vec<usize> {
        let mut left: Vec<usize> = (0..fillers.len()).collect();
        let mut guilty = Vec::new();
        let mut bound = 0.0;
        loop {
            let there: Vec<Filler> = left.iter().map(|i| fillers[*i]).collect();
            if served.is_empty() || self.excess(served, &there) <= bound {
                return guilty;
            }
            // Once some must go, those that stay should be as calm as after a placement.
            bound = -MARGIN;
            let Some(worst) = self.worst(served, &there) else { return guilty };
            guilty.push(left.remove(worst));
        }
    }

    /// The place of the filling task that adds most, the last of equals; none if all add hardly
    /// anything.
    fn worst(&self, served: &[Served], fillers: &[Filler]) -> Option<usize> {
        let added = fillers.iter().map(|filler| self.added(served, filler)).enumerate();
        let (worst, most) = added.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        (most > SLIGHT).then_some(worst)
    }
}
