//! The cost of a leader's plan, report and look by the number of workers, tasks and groups that wait.
//!
//! `cargo bench -p pond-job --bench plan` writes the tables of docs/CAPACITY.md.

use std::collections::BTreeMap;
use std::time::Instant;

use pond_job::{
    Change, Configuration, Leader, Lesson, Output, Pool, Queue, Reply, Start, State, Timing,
};
use pond_proto::Millis;
use pond_proto::fleet::{Report, RunRow};
use pond_proto::job::{RunName, Spec, Step, TaskName};

/// Workers.
const SIZES: [u32; 4] = [11, 76, 300, 1_200];

/// Groups that wait.
const GROUPS: [u64; 3] = [10, 50, 150];

/// Processors of a worker, in thousandths.
const ROOM: u32 = 32_000;

/// Serving and filling tasks that run on each worker.
const SERVING: u32 = 5;
const FILLING: u32 = 10;

/// Images of serving and of filling tasks.
const SERVING_IMAGES: u32 = 10;
const FILLING_IMAGES: u32 = 30;

/// The filling image that is known to disturb.
const LOUD: &str = "loud";

/// Tasks of a group that waits.
const TASKS: u32 = 2;

/// Tasks of a wide one.
const WIDE: u32 = 24;

/// What filling images add to the pressure on serving ones, over shares of processors.
const STILL: f32 = 0.1;
const DISTURBING: f32 = 5.0;

/// The tail of a serving task on an idle worker, in milliseconds.
const IDLE_MS: f32 = 4.5;

/// Times that each figure is taken; the median is told.
const TIMES: usize = 9;

/// The first look of the leader.
const BEGIN: Millis = Millis(100_000);

/// From the first plan to the one that is measured, in milliseconds: beyond all patience with beliefs.
const WAIT_MS: u64 = 2_600;

/// Time between looks, in milliseconds.
const LOOK_MS: u64 = 100;

const HOST: &str = "jobs.example";
const SERVE: &str = "/serve/";
const FILL: &str = "/fill/";

/// Why groups wait.
#[derive(Clone, Copy)]
enum Kind {
    /// They have only just come.
    Fits,
    /// The same, and their tasks start together.
    Gang,
    /// The same, with as many tasks as one proposal of starts holds for ten groups.
    Wide,
    /// They are alike, and nothing has room for one of their tasks.
    Full,
    /// They are taken to disturb wherever they go, or find the processors used, in turn.
    Overdue,
}

struct World {
    state: State,
    leader: Leader,
    now: Millis,
    workers: u32,
    reports: u32,
}

fn configuration() -> Configuration {
    let queue = |name: &str, prefix: &str, priority: u32| Queue {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        pool: "vms".to_owned(),
        priority,
        attempts: 2,
        stretch_permille: 1500,
        target_ms: 250,
        timeout_ms: 3000,
        advice: None,
    };
    let pool = Pool { name: "vms".to_owned(), guards: true, spare: false };
    let queues = vec![queue("serve", SERVE, 0), queue("fill", FILL, 2)];
    Configuration { version: 1, queues, pools: vec![pool], ..Configuration::default() }
}

/// What a former leader knew: one image disturbs, the others hardly do.
fn lesson() -> Lesson {
    let mut fillers: Vec<String> = (0..FILLING_IMAGES).map(filling_image).collect();
    fillers.push(LOUD.to_owned());
    let mean = |image: &String| if image == LOUD { DISTURBING } else { STILL };
    let means: Vec<f32> = fillers.iter().map(mean).collect();
    let row = |i| (0..fillers.len()).map(|j| if i == j { 0.01 } else { 0.0 }).collect();
    let spread: Vec<Vec<f32>> = (0..fillers.len()).map(row).collect();
    let image = (IDLE_MS, fillers, means, spread);
    let images: BTreeMap<String, _> =
        (0..SERVING_IMAGES).map(|i| (serving_image(i), image.clone())).collect();
    // As it stands in a snapshot.
    let bytes = rmp_serde::to_vec(&(BEGIN, images)).expect("a lesson can be written");
    rmp_serde::from_slice(&bytes).expect("a lesson can be read")
}

fn serving_image(i: u32) -> String {
    format!("till-{}", i % SERVING_IMAGES)
}

fn filling_image(i: u32) -> String {
    format!("fill-{}", i % FILLING_IMAGES)
}

fn serving(i: u32) -> Step {
    Step {
        tasks: 1,
        milli_cpu: 3_000,
        memory_mib: 1_000,
        estimate_ms: 1_000,
        image: serving_image(i),
        tail_target_ms: 18,
        lasting: true,
        ..Step::default()
    }
}

fn filling(i: u32, tasks: u32, milli_cpu: u32) -> Step {
    Step {
        tasks,
        milli_cpu,
        memory_mib: 500,
        estimate_ms: 10_000,
        image: filling_image(i),
        fills: true,
        ..Step::default()
    }
}

fn life(worker: u32) -> String {
    format!("worker-{worker:04}-1234567890")
}

fn agent(worker: u32) -> String {
    format!("agent-{worker:04}")
}

impl World {
    /// Workers that all run their tasks and have reported.
    fn new(workers: u32) -> World {
        let mut state = State::new();
        state.apply(Change::Configure(configuration()));
        state.apply(Change::Learned(lesson()));
        let terms = Timing {
            lease_ms: 6_000,
            drift_permille: 20,
            timer_slack_ms: 100,
            retention_ms: 60_000,
        };
        let leader =
            Leader::new(7, terms, Millis(BEGIN.0 - 2_000)).with_estimates(&lesson(), BEGIN);
        let mut world = World { state, leader, now: BEGIN, workers, reports: 0 };
        for worker in 0..workers {
            world.run_on(worker);
        }
        world.report_all();
        world.tick();
        world
    }

    /// One serving job whose tasks all run on the worker, and one filling job whose tasks run on it and
    /// on those after it.
    fn run_on(&mut self, worker: u32) {
        let steps = (0..SERVING).map(|step| serving(worker + step)).collect();
        let id = u64::from(worker) * 2 + 1;
        self.submit(SERVE, id, steps);
        let places =
            (0..SERVING).map(|step| (TaskName { job: id, time: 0, step, index: 0 }, worker));
        let mut places: Vec<(TaskName, u32)> = places.collect();
        let id = id + 1;
        self.submit(FILL, id, vec![filling(worker, FILLING, 1_000)]);
        places.extend((0..FILLING).map(|index| {
            (TaskName { job: id, time: 0, step: 0, index }, (worker + index) % self.workers)
        }));
        let start = |(task, worker): (TaskName, u32)| Start {
            run: RunName { task, number: 1 },
            worker: life(worker),
            agent: agent(worker),
        };
        let reply = self.state.apply(Change::Start(places.into_iter().map(start).collect()));
        assert!(
            matches!(reply, Reply::Started(runs) if runs.len() == (SERVING + FILLING) as usize)
        );
    }

    fn submit(&mut self, prefix: &str, id: u64, steps: Vec<Step>) {
        let (host, path) = (HOST.to_owned(), format!("{prefix}{id:016x}"));
        let spec = Spec { text: "text".to_owned(), steps, repeat: None };
        let reply = self.state.apply(Change::Submit { host, path, id, spec, at: self.now });
        assert_eq!(reply, Reply::Accepted);
    }

    /// The same world with groups that wait, when it is time to place them.
    fn with_groups(workers: u32, groups: u64, kind: Kind) -> World {
        let mut world = World::new(workers);
        for group in 0..groups {
            world.submit(FILL, 1_000_000 + group, vec![waiting_step(group, kind)]);
        }
        if matches!(kind, Kind::Overdue) {
            let starts = world.tick();
            assert_eq!(starts, 0, "a group that should wait is placed");
            world.now = world.now + WAIT_MS;
        } else {
            world.now = world.now + LOOK_MS;
        }
        world.report_all();
        world.tick();
        world.leader.start_rejected();
        world
    }

    fn report_of(&self, worker: u32) -> Report {
        // Workers report in turn; tails and used processors waver, so each report brings new figures.
        let wavers = self.reports / self.workers % 2;
        let row = |run: RunName| {
            let serves = self.state.step(run.task).is_some_and(Step::serves);
            let figure = if serves { 6 } else { 900 } + wavers;
            let percent = if serves { 100 } else { 20 };
            RunRow { run, percent, figure, ..RunRow::default() }
        };
        let life = life(worker);
        Report {
            runs: self.state.placed(&life).map(row).collect(),
            worker: life,
            pool: "vms".to_owned(),
            milli_cpu: ROOM,
            memory_mib: 128_000,
            clock_ms: self.now.0,
            answers: true,
            ..Report::default()
        }
    }

    /// One worker reports; how long that took to take in, in microseconds.
    fn report(&mut self, worker: u32) -> f64 {
        let report = self.report_of(worker);
        self.reports += 1;
        let link = 1_000 + u64::from(worker);
        let agent = agent(worker);
        let begun = Instant::now();
        self.leader.report(&self.state, self.now, link, &agent, report);
        begun.elapsed().as_secs_f64() * 1e6
    }

    fn report_all(&mut self) {
        for worker in 0..self.workers {
            self.report(worker);
        }
    }

    /// The leader looks at what is due; the number of starts that it proposes.
    fn tick(&mut self) -> usize {
        starts(&self.leader.tick(&self.state, self.now, self.now, true))
    }

    /// The same; how long it took, in microseconds, and the number of starts.
    fn timed_tick(&mut self) -> (f64, usize) {
        let begun = Instant::now();
        let outputs = self.leader.tick(&self.state, self.now, self.now, true);
        (begun.elapsed().as_secs_f64() * 1e6, starts(&outputs))
    }

    /// Microseconds of a tick with a plan and nothing else, and the number of starts in it.
    fn plan(&mut self) -> (f64, usize) {
        let mut found = 0;
        let plans = (0..TIMES).map(|_| {
            let (us, starts) = self.timed_tick();
            self.leader.start_rejected();
            found = starts;
            us
        });
        (median(plans.collect()), found)
    }
}

fn waiting_step(group: u64, kind: Kind) -> Step {
    let i = group as u32;
    match kind {
        Kind::Fits => filling(i, TASKS, 1_000),
        Kind::Gang => Step { gang: true, ..filling(i, TASKS, 1_000) },
        Kind::Wide => filling(i, WIDE, 1_000),
        Kind::Full => filling(0, TASKS, ROOM),
        Kind::Overdue if group.is_multiple_of(2) => {
            Step { image: LOUD.to_owned(), ..filling(i, TASKS, 8_000) }
        }
        // More than serving and filling tasks leave unused, less than the worker has.
        Kind::Overdue => filling(i, TASKS, ROOM - 8_000),
    }
}

fn starts(outputs: &[Output]) -> usize {
    let starts = |output: &Output| match output {
        Output::Propose(Change::Start(starts)) => starts.len(),
        _ => 0,
    };
    outputs.iter().map(starts).sum()
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

/// Microseconds of a look alone, of taking in a report and of the order that answers it. No plan comes
/// in between, as a proposal of starts is on its way.
fn steady(workers: u32) -> [f64; 3] {
    let mut world = World::with_groups(workers, 1, Kind::Fits);
    assert_eq!(world.tick(), TASKS as usize);
    let mut looks = Vec::new();
    for _ in 0..TIMES {
        world.now = world.now + LOOK_MS;
        looks.push(world.timed_tick().0);
    }
    let (mut reports, mut orders) = (Vec::new(), Vec::new());
    for i in 0..TIMES as u32 * 10 {
        reports.push(world.report(i % workers));
        orders.push(world.timed_tick().0);
    }
    [median(looks), median(reports), median(orders)]
}

fn main() {
    let kinds: BTreeMap<&str, Kind> = BTreeMap::from([
        ("1. that fit", Kind::Fits),
        ("2. gangs that fit", Kind::Gang),
        ("3. whose trials are due", Kind::Overdue),
        ("4. of 24 tasks that fit", Kind::Wide),
        ("5. alike without room", Kind::Full),
    ]);
    println!(
        "| workers | tasks | us a plan, nothing waits | us a look | us a report | us its order |"
    );
    println!("|---|---|---|---|---|---|");
    for workers in SIZES {
        let idle = World::new(workers).plan().0;
        let [look, report, order] = steady(workers);
        let tasks = workers * (SERVING + FILLING);
        println!("| {workers} | {tasks} | {idle:.0} | {look:.0} | {report:.1} | {order:.1} |");
    }
    println!();
    println!(
        "| groups | workers | us with {} (starts) | with {} | with {} |",
        GROUPS[0], GROUPS[1], GROUPS[2]
    );
    println!("|---|---|---|---|---|");
    for (name, kind) in kinds {
        for workers in SIZES {
            let plan = |groups| World::with_groups(workers, groups, kind).plan();
            let cells = GROUPS.map(plan).map(|(us, starts)| format!("{us:.0} ({starts})"));
            println!("| {name} | {workers} | {} |", cells.join(" | "));
        }
    }
}
