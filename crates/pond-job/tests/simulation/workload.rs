//! The jobs that are handed in, and what their runs are like.

use std::collections::BTreeMap;

use pond_proto::Span;
use pond_proto::job::{RunName, Spec, Step, TaskName};
use rand::Rng;
use rand::rngs::StdRng;

use super::machine::id_of;

/// Images of filling tasks.
const FILLERS: [&str; 6] = ["grind", "press", "sift", "weave", "forge", "mill"];

/// Images of serving tasks.
const SERVERS: [&str; 3] = ["till", "desk", "gate"];

/// Racks, which are labels of workers as well.
pub const RACKS: [&str; 3] = ["rack-a", "rack-b", "rack-c"];

/// The label of some workers.
pub const SPECIAL: &str = "special";

/// A job as its owner knows it.
pub struct Work {
    pub spec: Spec,
    /// Every run of it fails.
    pub hopeless: bool,
    /// An adviser decides which workers may run it.
    pub advised: bool,
    pub cancelled: bool,
    /// The first task of the first step takes its worker down so long after its start, in milliseconds.
    pub crashes_ms: Option<Span>,
}

impl Work {
    pub fn lasts(&self) -> bool {
        self.spec.steps.iter().any(|step| step.lasting)
    }

    pub fn fills(&self) -> bool {
        self.spec.steps.iter().any(|step| step.fills)
    }
}

/// The share of workers that an adviser allows.
const ALLOWED: f64 = 0.7;

/// All jobs, and what runs of each image do to others.
pub struct Book {
    pub seed: u64,
    pub jobs: BTreeMap<u64, Work>,
}

impl Book {
    pub fn step(&self, task: TaskName) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// Whether a life of a worker may run a job, as its adviser sees it.
    pub fn allows(&self, id: u64, life: &str) -> bool {
        let advised = self.jobs.get(&id).is_some_and(|work| work.advised);
        !advised || self.unit(&[id, number_of(id_of(life))]) < ALLOWED
    }

    /// How long after its start a run takes down its worker, in milliseconds; none if it does not.
    pub fn crashes_ms(&self, run: RunName) -> Option<Span> {
        let work = self.jobs.get(&run.task.job)?;
        work.crashes_ms.filter(|_| run.task.step == 0 && run.task.index == 0)
    }

    /// How long a run works, in milliseconds; members of a gang take as long as each other.
    pub fn work_ms(&self, run: RunName, step: &Step) -> f64 {
        let index = if step.gang { 0 } else { run.task.index };
        let drawn = self.unit(&[run.task.job, run.task.step.into(), index.into()]);
        step.estimate_ms as f64 * (0.6 + drawn)
    }

    /// By how much a share of processors that a filling image uses presses on a serving one: half of
    /// the pairs hardly at all, others up to five times that share.
    pub fn harm(&self, server: &str, filler: &str) -> f64 {
        let pair = [number_of(server), number_of(filler)];
        let size = self.unit(&[pair[1], pair[0]]);
        if self.unit(&pair) < 0.5 { 0.1 * size } else { 0.5 + 4.5 * size }
    }

    /// A number below one that depends on nothing but the seed and these parts.
    pub fn unit(&self, parts: &[u64]) -> f64 {
        let mut mixed = self.seed ^ 0x9e37_79b9_7f4a_7c15;
        for part in parts {
            mixed = (mixed ^ part).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed ^= mixed >> 29;
        }
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A number for a name.
fn number_of(name: &str) -> u64 {
    name.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte))
}

fn any<'a>(rng: &mut StdRng, of: &[&'a str]) -> &'a str {
    of[rng.random_range(0..of.len())]
}

fn step(rng: &mut StdRng, tasks: u32, milli_cpu: u32) -> Step {
    Step {
        tasks,
        milli_cpu,
        memory_mib: rng.random_range(100..900),
        estimate_ms: rng.random_range(300..1_500),
        saves: rng.random_bool(0.5),
        ..Step::default()
    }
}

fn filling(rng: &mut StdRng) -> Step {
    let (tasks, milli_cpu) = (rng.random_range(2..=25), rng.random_range(1..=7) * 1_000);
    let image = any(rng, &FILLERS).to_owned();
    let estimate_ms = rng.random_range(500..3_000);
    Step { fills: true, image, estimate_ms, ..step(rng, tasks, milli_cpu) }
}

/// Tasks that take processors for themselves, one in ten of them many.
fn quick(rng: &mut StdRng) -> Step {
    let large = rng.random_bool(0.1);
    let milli_cpu = if large { 6_000 } else { rng.random_range(2..=8) * 250 };
    let tasks = rng.random_range(1..=if large { 2 } else { 6 });
    step(rng, tasks, milli_cpu)
}

fn gang(rng: &mut StdRng) -> Step {
    let tasks = rng.random_range(2..=5);
    let like = if rng.random_bool(0.3) { filling(rng) } else { quick(rng) };
    Step { gang: true, tasks, one_rack: rng.random_bool(0.5), ..like }
}

/// A chain or a fan of steps.
fn several(rng: &mut StdRng) -> Vec<Step> {
    let count = rng.random_range(2..=4u32);
    let mut steps = Vec::new();
    for i in 0..count {
        let own = if rng.random_bool(0.5) { filling(rng) } else { quick(rng) };
        let after = if i == 0 { Vec::new() } else { vec![rng.random_range(0..i)] };
        steps.push(Step { tasks: own.tasks.min(8), after, ..own });
    }
    steps
}

/// Makes a step that may not run everywhere.
fn picky(rng: &mut StdRng, step: Step) -> Step {
    match rng.random_range(0..3) {
        0 => Step { required_label: SPECIAL.to_owned(), ..step },
        1 => Step { most_per_worker: rng.random_range(1..=2), ..step },
        _ => Step { data_rack: any(rng, &RACKS).to_owned(), ..step },
    }
}

/// A job that ends by itself; it is hopeless or needs an adviser with these chances.
pub fn passing(rng: &mut StdRng, hopeless: f64, advised: f64) -> Work {
    let mut steps = match rng.random_range(0..100) {
        0..60 => vec![filling(rng)],
        60..80 => vec![quick(rng)],
        80..88 => vec![gang(rng)],
        _ => several(rng),
    };
    if rng.random_bool(0.1) {
        steps = steps.into_iter().map(|step| picky(rng, step)).collect();
    }
    Work {
        spec: Spec { text: String::new(), steps, repeat: None },
        hopeless: rng.random_bool(hopeless),
        advised: rng.random_bool(advised),
        cancelled: false,
        crashes_ms: None,
    }
}

/// A job that serves until it is cancelled, on about this many thousandths of a processor.
pub fn serving(rng: &mut StdRng, milli_cpu: u32) -> Work {
    let each = rng.random_range(2..=6) * 1_000;
    let tasks = (milli_cpu / each).max(1);
    let mut lasting = Step {
        lasting: true,
        image: any(rng, &SERVERS).to_owned(),
        tail_target_ms: rng.random_range(18..80),
        memory_mib: rng.random_range(500..2_000),
        ..step(rng, tasks, each)
    };
    if rng.random_bool(0.2) {
        lasting = picky(rng, lasting);
    }
    let spec = Spec { text: String::new(), steps: vec![lasting], repeat: None };
    Work { spec, hopeless: false, advised: false, cancelled: false, crashes_ms: None }
}

/// A job whose first task takes down its worker: mostly at once, as seen, else while it works.
pub fn crashing(rng: &mut StdRng) -> Work {
    let work = passing(rng, 0.0, 0.0);
    let crashes_ms = match rng.random_range(0..10) {
        0..7 => rng.random_range(0..100),
        7..9 => rng.random_range(100..1_000),
        _ => rng.random_range(1_000..6_000),
    };
    // It would be done before it crashes anything.
    let long = |step: Step| Step { estimate_ms: step.estimate_ms + 4 * crashes_ms, ..step };
    let steps = work.spec.steps.into_iter().map(long).collect();
    Work { spec: Spec { steps, ..work.spec }, crashes_ms: Some(crashes_ms), ..work }
}
