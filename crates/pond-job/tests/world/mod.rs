//! A pool of machines with real agents, a leader that may be replaced, and jobs that come in, all in
//! virtual time and drawn from one seed.
#![allow(dead_code)]

pub mod book;
pub mod cases;
pub mod evacuation;
pub mod fault;
pub mod machine;
pub mod watch;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};

use pond_job::{Change, Decision, Leader, Output, Permit, Question, State};
use pond_proto::job::{Phase, RunName, TaskName};
use pond_proto::{Millis, Size, Span};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::{ADVISED, BATCH, HOST, PATH, configuration, terms};
use book::{Book, RACKS, SPECIAL, Work};
use evacuation::{DATA_CENTRES, Evacuations};
use fault::Fault;
use machine::Machine;
use watch::Watch;
use worker::{Whole, gang_of};

/// Time passes in steps of this, in milliseconds.
pub const STEP_MS: Span = 50;

/// Serving jobs that are replaced by others in a second.
const SERVING_RATE: f64 = 0.15;

/// The share of workers that come back with their id, where some do.
const SAME_ID: f64 = 0.8;

/// When everything begins.
const START: Millis = Millis(100_000);

/// What becomes of proposals. They come into the log in their order; those that vanish or cannot be
/// made are a leader's last, which another one replaces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fate {
    #[default]
    Committed,
    /// They vanish, and nobody says so.
    Lost,
    /// They take up to this long.
    Slow(Span),
    /// They cannot be made.
    Rejected,
}

pub struct World {
    pub now: Millis,
    pub rng: StdRng,
    pub state: State,
    /// None while nobody leads.
    pub leader: Option<Leader>,
    /// When the next leader begins, while nobody leads.
    pub lead_at: Millis,
    term: u64,
    pub machines: Vec<Machine>,
    pub book: Book,
    pub fate: Fate,
    /// Proposals on their way, in their order in the log.
    commits: Vec<(Millis, Change)>,
    /// Ends of faults.
    pub mends: Vec<(Millis, Fault)>,
    /// Jobs a second that end by themselves.
    pub rate: f64,
    /// The share of them that cannot be done.
    hopeless: f64,
    /// The share of them that needs an adviser.
    advised: f64,
    /// Questions to the adviser, and when it has an answer.
    questions: Vec<(Millis, Question)>,
    links: u64,
    /// Most workers that come back have the id that they had.
    pub same_ids: bool,
    /// Draws which; apart from all else, so that it changes nothing of other histories.
    ids: StdRng,
    /// No worker goes down but under a task.
    pub sturdy: bool,
    /// When a worker goes down under a task, most often its agent does, too, or a new leader has just begun when it
    /// is back, or it stays away for longer than its lease.
    pub unseen: bool,
    /// What the leaders decided.
    pub diary: Vec<(Millis, Decision)>,
    pub watch: Watch,
    pub evacuations: Evacuations,
}

impl World {
    /// A pool with serving work on a part of it.
    pub fn new(seed: u64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut state = State::new();
        state.apply(Change::Configure(configuration(1)));
        let count = rng.random_range(3..=12);
        let machines: Vec<Machine> = (0..count).map(|i| machine(&mut rng, i)).collect();
        let processors: u32 = machines.iter().map(|machine| machine.room.milli_cpu).sum();
        let rate = f64::from(processors) / 150_000.0 * rng.random_range(0.4..1.3);
        let hopeless = if rng.random_bool(0.3) { 0.25 } else { 0.04 };
        let advised = if rng.random_bool(0.3) { 0.2 } else { 0.0 };
        let mut world = World {
            now: START,
            rng,
            state,
            leader: None,
            lead_at: START,
            term: 6,
            machines,
            book: Book { seed, jobs: BTreeMap::new() },
            fate: Fate::Committed,
            commits: Vec::new(),
            mends: Vec::new(),
            rate,
            hopeless,
            advised,
            questions: Vec::new(),
            links: 0,
            same_ids: false,
            ids: StdRng::seed_from_u64(!seed),
            sturdy: false,
            unseen: false,
            diary: Vec::new(),
            watch: Watch::default(),
            evacuations: Evacuations::default(),
        };
        world.machines.iter_mut().for_each(|machine| machine.boot(START, false));
        world.serve(processors);
        world
    }

    /// Hands in serving jobs for a part of the pool.
    fn serve(&mut self, processors: u32) {
        let part = self.rng.random_range(0.1..0.4);
        self.serve_part(processors, part);
    }

    /// Hands in more serving jobs, for that part of the pool.
    pub fn serve_more(&mut self, part: f64) {
        let processors = self.machines.iter().map(|machine| machine.room.milli_cpu).sum();
        self.serve_part(processors, part);
    }

    fn serve_part(&mut self, processors: u32, part: f64) {
        let jobs = self.rng.random_range(1..=6);
        let each = (f64::from(processors) * part) as u32 / jobs;
        for _ in 0..jobs {
            let work = book::serving(&mut self.rng, each);
            self.submit(work);
        }
    }

    /// A step of time passes.
    pub fn pass(&mut self) {
        self.now = self.now + STEP_MS;
        self.mend();
        self.commit();
        self.take_lead();
        self.operate();
        self.advise();
        let whole = self.whole_gangs();
        for i in 0..self.machines.len() {
            self.link_up(i);
            let reports = self.machines[i].pass(self.now, STEP_MS, &self.book, &whole);
            self.note_fallen(i);
            let (Some(link), Some(leader)) = (self.machines[i].link, &mut self.leader) else {
                continue;
            };
            for report in reports {
                leader.report(&self.state, self.now, link, &self.machines[i].name, report);
            }
        }
        self.lead();
        self.look();
    }

    /// Jobs come in, mostly such that end by themselves.
    pub fn arrive(&mut self) {
        let step = STEP_MS as f64 / 1_000.0;
        if self.rng.random_bool((self.rate * step).min(1.0)) {
            self.submit_passing();
        }
        if self.rng.random_bool(SERVING_RATE * step) {
            self.change_serving();
        }
    }

    pub fn submit_passing(&mut self) {
        let (hopeless, advised) = (self.hopeless, self.advised);
        let work = book::passing(&mut self.rng, hopeless, advised);
        self.submit(work);
    }

    /// A serving job is cancelled, and another one comes.
    fn change_serving(&mut self) {
        let open = |(_, work): &(&u64, &Work)| work.lasts() && !work.cancelled;
        let Some((id, work)) = self.book.jobs.iter().find(open) else { return };
        let (id, step) = (*id, &work.spec.steps[0]);
        let milli_cpu = step.milli_cpu * step.tasks;
        self.cancel(id);
        let work = book::serving(&mut self.rng, milli_cpu);
        self.submit(work);
    }

    pub fn submit(&mut self, work: Work) {
        let id = self.book.jobs.len() as u64 + 1;
        let low = work.fills() && self.rng.random_bool(0.8);
        let prefix = match work.advised {
            true => ADVISED,
            false if low => BATCH,
            false => PATH,
        };
        let (host, path) = (HOST.to_owned(), format!("{prefix}{id:016x}"));
        let spec = work.spec.clone();
        self.book.jobs.insert(id, work);
        self.apply(Change::Submit { host, path, id, spec, at: self.now });
    }

    pub fn cancel(&mut self, id: u64) {
        let Some(work) = self.book.jobs.get_mut(&id) else { return };
        work.cancelled = true;
        let (host, path) = (HOST.to_owned(), format!("{PATH}{id:016x}"));
        self.apply(Change::Cancel { host, path, id });
    }

    /// A worker that went down under a task is back after some seconds, as another life.
    fn note_fallen(&mut self, i: usize) {
        let Some(task) = self.machines[i].fallen.take() else { return };
        self.watch.fallen.entry(task).or_default().push(self.now);
        self.watch.disturbed = self.now;
        let down_ms = match self.unseen {
            true => self.rng.random_range(200..12_000),
            false => self.rng.random_range(1_400..3_500),
        };
        if self.unseen && self.rng.random_bool(0.7) {
            self.machines[i].replace_agent();
            self.drop_link(i, 600);
        }
        self.mends.push((self.now + down_ms, Fault::Crash(i)));
    }

    /// The machine of that place is back; where losses go unseen, often just as another replica leads.
    fn bring_back(&mut self, i: usize) {
        if self.unseen && self.rng.random_bool(0.5) {
            let gap_ms = self.rng.random_range(50..400);
            self.depose(gap_ms);
        }
        let same_id = self.same_ids && self.ids.random_bool(SAME_ID);
        self.machines[i].boot(self.now, same_id);
    }

    /// Keeps which tasks are given up for what they may have done to workers.
    fn note_given_up(&mut self, change: &Change, open: &BTreeSet<u64>) {
        let Change::WorkerLost { blame, .. } = change else { return };
        self.watch.blames.extend(blame.iter().map(|blame| (self.now, *blame)));
        for task in blame.iter().map(|blame| blame.run.task) {
            let job = self.state.job(task.job).filter(|job| job.phase == Phase::Failed);
            let suspicion = job.and_then(|job| job.task(task)?.suspicion.as_ref());
            if open.contains(&task.job) && suspicion.is_some_and(|lost| lost.convicts()) {
                self.watch.given_up.insert(task, self.now);
            }
        }
    }

    fn apply(&mut self, change: Change) {
        let open = self.state.active().filter(|(_, job)| !job.phase.ended());
        let open: BTreeSet<u64> = open.map(|(id, _)| id).collect();
        let reply = self.state.apply(change.clone());
        self.note_given_up(&change, &open);
        self.acknowledge(&change);
        if let Some(leader) = &mut self.leader {
            leader.applied(&self.state, self.now, &change, &reply);
        }
    }

    fn commit(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.commits.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, change) in due {
            self.apply(change);
        }
    }

    /// Nobody leads from now on for a while; what was proposed may or may not come into the log.
    pub fn depose(&mut self, gap_ms: Span) {
        for (_, change) in std::mem::take(&mut self.commits) {
            if self.rng.random_bool(0.5) {
                self.apply(change);
            }
        }
        self.leader = None;
        self.questions.clear();
        self.lead_at = self.now + gap_ms;
        for i in 0..self.machines.len() {
            self.drop_link(i, 600);
        }
    }

    fn take_lead(&mut self) {
        if self.leader.is_some() || self.now < self.lead_at {
            return;
        }
        self.term += 1;
        let leader = Leader::new(self.term, terms(), self.now);
        self.leader = Some(leader.with_estimates(self.state.lesson(), self.now));
    }

    /// The link of a machine closes; its agent finds the leader again within some time.
    pub fn drop_link(&mut self, i: usize, within_ms: Span) {
        if let (Some(link), Some(leader)) = (self.machines[i].link.take(), &mut self.leader) {
            leader.link_down(link);
        }
        self.machines[i].join_at = self.now + self.rng.random_range(50..=within_ms);
    }

    fn link_up(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        let waits = machine.link.is_none() && !machine.cut && self.now >= machine.join_at;
        if waits && self.leader.is_some() {
            self.links += 1;
            machine.join(self.links, self.term);
        }
    }

    fn lead(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        for output in leader.tick(&self.state, self.now, self.now, true) {
            match output {
                Output::Propose(change) => self.propose(change),
                Output::Order { link, order } => {
                    let found = self.machines.iter_mut().find(|there| there.link == Some(link));
                    if let Some(machine) = found {
                        machine.send(self.now + STEP_MS, order);
                    }
                }
                Output::Advise(question) => {
                    let named = question.workers.len() as u64;
                    let takes_ms = question.advice.decide_ms + question.advice.each_ms * named;
                    self.questions.push((self.now + takes_ms, question));
                }
                Output::Decided(decision) => self.diary.push((self.now, decision)),
            }
        }
    }

    /// The adviser answers what it was asked.
    fn advise(&mut self) {
        let (now, book) = (self.now, &self.book);
        for (_, question) in self.questions.extract_if(.., |(at, _)| *at <= now) {
            let ticket = (now + question.advice.valid_ms).0.to_string();
            let allowed =
                question.workers.iter().filter(|life| book.allows(question.step.job, life));
            let permit = |life: &String| Permit { worker: life.clone(), ticket: ticket.clone() };
            if let Some(leader) = &mut self.leader {
                leader.advised(now, &question, Some(allowed.map(permit).collect()));
            }
        }
    }

    fn propose(&mut self, change: Change) {
        let wait_ms = match self.fate {
            Fate::Committed => self.rng.random_range(10..60),
            Fate::Slow(most_ms) => self.rng.random_range(50..most_ms),
            Fate::Lost => return,
            Fate::Rejected => {
                if let (Change::Start(_), Some(leader)) = (&change, &mut self.leader) {
                    leader.start_rejected();
                }
                return;
            }
        };
        let before = self.commits.last().map_or(Millis(0), |(at, _)| *at);
        self.commits.push((before.max(self.now + wait_ms), change));
    }

    /// All runs at workers.
    pub fn runs(&self) -> impl Iterator<Item = (&worker::Worker, RunName, &worker::Run)> {
        let workers = self.machines.iter().filter_map(|machine| machine.worker.as_ref());
        workers.flat_map(|worker| worker.runs.iter().map(move |(run, there)| (worker, *run, there)))
    }

    fn whole_gangs(&self) -> Whole {
        let mut members: BTreeMap<(TaskName, u32), (u32, u32)> = BTreeMap::new();
        for (_, name, run) in self.runs().filter(|(_, _, run)| run.step.gang) {
            let (there, of) = members.entry(gang_of(name)).or_insert((0, run.step.tasks));
            *there += 1;
            *of = run.step.tasks;
        }
        members.into_iter().filter(|(_, (there, of))| there >= of).map(|(gang, _)| gang).collect()
    }
}

fn machine(rng: &mut StdRng, i: usize) -> Machine {
    let processors = if rng.random_bool(0.6) { 32 } else { 16 };
    let room = Size::new(processors * 1_000, processors * 2_048, 0);
    let mut labels = vec![RACKS[i % RACKS.len()].to_owned()];
    if i < 2 || rng.random_bool(0.3) {
        labels.push(SPECIAL.to_owned());
    }
    let mut machine = Machine::new(format!("m{i:02}"), room, labels, rng.random_range(980..=1_000));
    machine.data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
    machine
}
