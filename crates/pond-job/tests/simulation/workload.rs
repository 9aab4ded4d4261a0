//! The submitted jobs, and how their runs behave.

use std::collections::BTreeMap;

use pond_proto::Span;
use pond_proto::job::{RunName, Spec, Step, TaskName};
use rand::Rng;
use rand::rngs::StdRng;

use super::machine::id_of;

/// Images of best-effort tasks.
const BEST_EFFORT_IMAGES: [&str; 6] = ["grind", "press", "sift", "weave", "forge", "mill"];

/// Images of serving tasks.
const SERVING_IMAGES: [&str; 3] = ["till", "desk", "gate"];

/// Racks, which are labels of workers as well.
pub const RACKS: [&str; 3] = ["rack-a", "rack-b", "rack-c"];

/// A label that some workers have.
pub const SPECIAL: &str = "special";

/// A submitted job, with the behaviour of its runs.
pub struct Submission {
    pub spec: Spec,
    /// Every run of the job fails.
    pub always_fails: bool,
    /// An adviser decides which workers may run it.
    pub advised: bool,
    pub cancelled: bool,
    /// How long after its start the first task of the first step crashes its worker, in
    /// milliseconds.
    pub crashes_ms: Option<Span>,
}

impl Submission {
    pub fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    pub fn is_best_effort(&self) -> bool {
        self.spec.steps.iter().any(|step| step.best_effort)
    }
}

/// The share of workers that an adviser allows for a job.
const ALLOWED_SHARE: f64 = 0.7;

/// All submitted jobs, and how much the runs of one image slow down those of another.
pub struct Workload {
    pub seed: u64,
    pub jobs: BTreeMap<u64, Submission>,
}

impl Workload {
    pub fn step(&self, task: TaskName) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// Returns whether the adviser allows a job on an incarnation of a worker.
    pub fn allows(&self, id: u64, incarnation: &str) -> bool {
        let advised = self.jobs.get(&id).is_some_and(|submission| submission.advised);
        !advised || self.hash_fraction(&[id, hash(id_of(incarnation))]) < ALLOWED_SHARE
    }

    /// Returns how long after its start a run crashes its worker, in milliseconds, or `None` if it
    /// does not.
    pub fn crashes_ms(&self, run: RunName) -> Option<Span> {
        let submission = self.jobs.get(&run.task.job)?;
        submission.crashes_ms.filter(|_| run.task.step == 0 && run.task.index == 0)
    }

    /// Returns how long a run works, in milliseconds. The members of a gang all take the same time.
    pub fn work_ms(&self, run: RunName, step: &Step) -> f64 {
        let index = if step.gang { 0 } else { run.task.index };
        let drawn = self.hash_fraction(&[run.task.job, run.task.step.into(), index.into()]);
        step.estimate_ms as f64 * (0.6 + drawn)
    }

    /// Returns by how much a best-effort image raises the utilization of a serving image, per share
    /// of the worker's processors that it uses: hardly at all for half of the pairs, up to five
    /// times that share for the others.
    pub fn interference(&self, serving_image: &str, best_effort_image: &str) -> f64 {
        let pair = [hash(serving_image), hash(best_effort_image)];
        let size = self.hash_fraction(&[pair[1], pair[0]]);
        if self.hash_fraction(&pair) < 0.5 { 0.1 * size } else { 0.5 + 4.5 * size }
    }

    /// Returns a fraction in `0..1` that depends only on the seed and these parts.
    pub fn hash_fraction(&self, parts: &[u64]) -> f64 {
        let mut mixed = self.seed ^ 0x9e37_79b9_7f4a_7c15;
        for part in parts {
            mixed = (mixed ^ part).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed ^= mixed >> 29;
        }
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn hash(name: &str) -> u64 {
    name.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte))
}

fn choose<'a>(rng: &mut StdRng, options: &[&'a str]) -> &'a str {
    options[rng.random_range(0..options.len())]
}

fn step(rng: &mut StdRng, tasks: u32, milli_cpu: u32) -> Step {
    Step {
        tasks,
        milli_cpu,
        memory_mib: rng.random_range(100..900),
        estimate_ms: rng.random_range(300..1_500),
        checkpoints: rng.random_bool(0.5),
        ..Step::default()
    }
}

fn best_effort(rng: &mut StdRng) -> Step {
    let (tasks, milli_cpu) = (rng.random_range(2..=25), rng.random_range(1..=7) * 1_000);
    let image = choose(rng, &BEST_EFFORT_IMAGES).to_owned();
    let estimate_ms = rng.random_range(500..3_000);
    Step { best_effort: true, image, estimate_ms, ..step(rng, tasks, milli_cpu) }
}

/// Returns a step whose tasks reserve their processors; one in ten such steps has large tasks.
fn dedicated(rng: &mut StdRng) -> Step {
    let large = rng.random_bool(0.1);
    let milli_cpu = if large { 6_000 } else { rng.random_range(2..=8) * 250 };
    let tasks = rng.random_range(1..=if large { 2 } else { 6 });
    step(rng, tasks, milli_cpu)
}

fn gang(rng: &mut StdRng) -> Step {
    let tasks = rng.random_range(2..=5);
    let base = if rng.random_bool(0.3) { best_effort(rng) } else { dedicated(rng) };
    Step { gang: true, tasks, one_rack: rng.random_bool(0.5), ..base }
}

/// Returns two to four steps, each but the first after a random earlier one.
fn multi_step(rng: &mut StdRng) -> Vec<Step> {
    let count = rng.random_range(2..=4u32);
    let mut steps = Vec::new();
    for i in 0..count {
        let base = if rng.random_bool(0.5) { best_effort(rng) } else { dedicated(rng) };
        let after = if i == 0 { Vec::new() } else { vec![rng.random_range(0..i)] };
        steps.push(Step { tasks: base.tasks.min(8), after, ..base });
    }
    steps
}

/// Adds a random placement constraint to a step.
fn constrained(rng: &mut StdRng, step: Step) -> Step {
    match rng.random_range(0..3) {
        0 => Step { required_label: SPECIAL.to_owned(), ..step },
        1 => Step { max_per_worker: rng.random_range(1..=2), ..step },
        _ => Step { data_rack: choose(rng, &RACKS).to_owned(), ..step },
    }
}

/// Returns a job that ends by itself. With the given chances all its runs fail, or it needs an
/// adviser's permission.
pub fn finite(rng: &mut StdRng, failing_share: f64, advised_share: f64) -> Submission {
    let mut steps = match rng.random_range(0..100) {
        0..60 => vec![best_effort(rng)],
        60..80 => vec![dedicated(rng)],
        80..88 => vec![gang(rng)],
        _ => multi_step(rng),
    };
    if rng.random_bool(0.1) {
        steps = steps.into_iter().map(|step| constrained(rng, step)).collect();
    }
    Submission {
        spec: Spec { text: String::new(), steps, repeat: None },
        always_fails: rng.random_bool(failing_share),
        advised: rng.random_bool(advised_share),
        cancelled: false,
        crashes_ms: None,
    }
}

/// Returns a job that serves until it is cancelled, with tasks that take about `milli_cpu` in
/// total.
pub fn serving(rng: &mut StdRng, milli_cpu: u32) -> Submission {
    let each = rng.random_range(2..=6) * 1_000;
    let tasks = (milli_cpu / each).max(1);
    let mut serving_step = Step {
        long_running: true,
        image: choose(rng, &SERVING_IMAGES).to_owned(),
        tail_target_ms: rng.random_range(18..80),
        memory_mib: rng.random_range(500..2_000),
        ..step(rng, tasks, each)
    };
    if rng.random_bool(0.2) {
        serving_step = constrained(rng, serving_step);
    }
    let spec = Spec { text: String::new(), steps: vec![serving_step], repeat: None };
    Submission { spec, always_fails: false, advised: false, cancelled: false, crashes_ms: None }
}

/// Returns a job whose first task crashes its worker: in 7 of 10 cases within 100 ms of its start,
/// otherwise while it works. Most of the crashes seen in operation were immediate, too.
pub fn crashing(rng: &mut StdRng) -> Submission {
    let submission = finite(rng, 0.0, 0.0);
    let crashes_ms = match rng.random_range(0..10) {
        0..7 => rng.random_range(0..100),
        7..9 => rng.random_range(100..1_000),
        _ => rng.random_range(1_000..6_000),
    };
    // Without more work the task would be done before it crashes its worker.
    let lengthened = |step: Step| Step { estimate_ms: step.estimate_ms + 4 * crashes_ms, ..step };
    let steps = submission.spec.steps.into_iter().map(lengthened).collect();
    Submission {
        spec: Spec { steps, ..submission.spec },
        crashes_ms: Some(crashes_ms),
        ..submission
    }
}
