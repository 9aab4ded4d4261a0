//! One life of a worker: what it runs, how that gets on, and what it answers its agent.

use std::collections::{BTreeMap, BTreeSet};

use pond_agent::{Call, Refusal, Reply};
use pond_proto::fleet::{EndRow, RunRow};
use pond_proto::job::{How, RunName, Step, TaskName};
use pond_proto::{Millis, Size, Span};

use super::workload::Book;

/// A serving run is at work after this time, in milliseconds.
const WARM_MS: Span = 400;

/// A run on a worker that fails everything takes this long to fail, in milliseconds.
const FAILS_MS: Span = 300;

/// Members of a gang wait this long for the others, in milliseconds.
const GANG_MS: Span = 5_000;

/// A queue as pressed as this answers no slower, whatever is added.
const HIGHEST: f64 = 0.97;

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Ill {
    #[default]
    Nothing,
    /// All that runs there fails.
    Fails,
    /// Nothing makes progress there.
    Still,
    /// Starts get no answer and are carried out this much later.
    Deaf(Span),
}

/// Gangs of which all members run, by the first of their tasks and the number of the run.
pub type Whole = BTreeSet<(TaskName, u32)>;

/// The name that the members of a gang share.
pub fn gang_of(run: RunName) -> (TaskName, u32) {
    (TaskName { index: 0, ..run.task }, run.number)
}

pub struct Run {
    pub step: Step,
    pub began: Millis,
    hopeless: bool,
    work_ms: f64,
    worked_ms: f64,
    pace: f64,
    /// Its gang was complete.
    whole: bool,
}

pub struct Worker {
    pub life: String,
    pub room: Size,
    pub labels: Vec<String>,
    pub ill: Ill,
    pub runs: BTreeMap<RunName, Run>,
    /// Runs that began since the world last asked.
    pub begun: Vec<RunName>,
    pub ends: Vec<EndRow>,
    born: Millis,
    /// How fast its clock goes, in thousandths.
    clock_permille: u64,
    token: u64,
    lease_end_ms: u64,
    last_end: u64,
    /// Runs up to this number of a task are over or refused.
    over: BTreeMap<TaskName, u32>,
    /// Starts that are carried out later.
    late: Vec<(Millis, Call)>,
}

impl Worker {
    pub fn new(life: String, room: Size, labels: Vec<String>, now: Millis, clock: u64) -> Worker {
        Worker {
            life,
            room,
            labels,
            ill: Ill::Nothing,
            runs: BTreeMap::new(),
            begun: Vec::new(),
            ends: Vec::new(),
            born: now,
            clock_permille: clock,
            token: 0,
            lease_end_ms: 0,
            last_end: 0,
            over: BTreeMap::new(),
            late: Vec::new(),
        }
    }

    pub fn clock_ms(&self, now: Millis) -> u64 {
        1_000 + now.since(self.born) * self.clock_permille / 1_000
    }

    /// Takes a call; none if its answer is lost.
    pub fn call(&mut self, now: Millis, book: &Book, token: u64, call: &Call) -> Option<Reply> {
        if token < self.token {
            return Some(Reply::Refused(Refusal::Fenced));
        }
        self.token = token;
        match call {
            Call::Start { .. } => {
                if let Ill::Deaf(later) = self.ill {
                    self.late.push((now + later, call.clone()));
                    return None;
                }
                Some(self.start(now, book, call))
            }
            Call::Stop { run } => {
                self.end(*run, How::Stopped);
                let over = self.over.entry(run.task).or_default();
                *over = run.number.max(*over);
                Some(Reply::Done)
            }
            Call::Look { lease_end_ms, settled, .. } => {
                self.lease_end_ms = self.lease_end_ms.max(*lease_end_ms);
                self.ends.retain(|end| end.number > *settled);
                None
            }
            Call::Pace { run, percent } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.pace = f64::from(*percent) / 100.0;
                }
                Some(Reply::Done)
            }
        }
    }

    fn start(&mut self, now: Millis, book: &Book, call: &Call) -> Reply {
        let Call::Start { run, save, lease_end_ms, ticket, .. } = call else {
            return Reply::Unknown;
        };
        self.lease_end_ms = self.lease_end_ms.max(*lease_end_ms);
        let over = self.over.get(&run.task).copied().unwrap_or(0);
        if self.runs.contains_key(run) {
            return Reply::Done;
        }
        if run.number <= over {
            return Reply::Refused(Refusal::Old);
        }
        if self.clock_ms(now) >= self.lease_end_ms {
            return Reply::Refused(Refusal::Late);
        }
        let (Some(step), Some(work)) = (book.step(run.task).cloned(), book.jobs.get(&run.task.job))
        else {
            return Reply::Refused(Refusal::Other);
        };
        // A ticket tells until when it is good.
        if work.advised && !ticket.parse::<u64>().is_ok_and(|until| now.0 < until) {
            return Reply::Refused(Refusal::NoTicket);
        }
        let work_ms = book.work_ms(*run, &step);
        // A save tells the thousandths of the work.
        let saved = save.parse::<f64>().map_or(0.0, |part| work_ms * part / 1_000.0);
        let new = Run {
            step,
            began: now,
            hopeless: work.hopeless,
            work_ms,
            worked_ms: saved,
            pace: 1.0,
            whole: false,
        };
        self.runs.insert(*run, new);
        self.begun.push(*run);
        Reply::Done
    }

    fn end(&mut self, name: RunName, how: How) {
        let Some(run) = self.runs.remove(&name) else { return };
        let save = run.save();
        self.last_end += 1;
        let over = self.over.entry(name.task).or_default();
        *over = name.number.max(*over);
        let end = EndRow { number: self.last_end, run: name, how: how as i32, save };
        self.ends.push(end);
    }

    /// The task that takes the worker down now, if one does.
    pub fn falls_to(&self, now: Millis, book: &Book) -> Option<TaskName> {
        let due = |(name, run): &(&RunName, &Run)| {
            book.crashes_ms(**name).is_some_and(|after| now.since(run.began) >= after)
        };
        self.runs.iter().find(due).map(|(name, _)| name.task)
    }

    /// Time passes.
    pub fn work(&mut self, now: Millis, span: Span, book: &Book, whole: &Whole) {
        let due: Vec<Call> =
            self.late.extract_if(.., |(at, _)| *at <= now).map(|(_, call)| call).collect();
        for call in due {
            self.start(now, book, &call);
        }
        let rate = self.filling_rate(book, now);
        let lapsed = self.clock_ms(now) >= self.lease_end_ms;
        let mut ends = Vec::new();
        for (name, run) in &mut self.runs {
            if self.ill != Ill::Still {
                run.get_on(*name, span, rate, whole);
            }
            if let Some(how) = run.ending(*name, now, whole, self.ill) {
                ends.push((*name, how));
            } else if lapsed {
                ends.push((*name, How::Lapsed));
            }
        }
        for (name, how) in ends {
            self.end(name, how);
        }
    }

    /// The load of a serving run, which swings by itself.
    fn load(book: &Book, name: RunName, now: Millis) -> f64 {
        let phase = book.unit(&[name.task.job, name.task.index.into()]) * 6.3;
        0.45 + 0.15 * (now.0 as f64 / 2_500.0 + phase).sin()
    }

    /// The part of their pace that filling runs reach in what others leave.
    fn filling_rate(&self, book: &Book, now: Millis) -> f64 {
        let used = |(name, run): (&RunName, &Run)| {
            let asked = f64::from(run.step.milli_cpu);
            if run.step.serves() { asked * Worker::load(book, *name, now) } else { asked }
        };
        let others: f64 = self.runs.iter().filter(|(_, run)| !run.step.fills).map(used).sum();
        let wanted: f64 = self.runs.values().filter(|run| run.step.fills).map(Run::wanted).sum();
        ((f64::from(self.room.milli_cpu) - others).max(0.0) / wanted.max(1.0)).min(1.0)
    }

    /// What it lists.
    pub fn rows(&self, book: &Book, now: Millis) -> Vec<RunRow> {
        let rate = self.filling_rate(book, now);
        let row = |(name, run): (&RunName, &Run)| {
            let figure = if run.step.serves() {
                self.tail_ms(book, now, *name, run, rate)
            } else if run.step.fills {
                (run.wanted() * rate) as u32
            } else {
                run.step.milli_cpu
            };
            let percent = run.percent(now, self.ill);
            RunRow { run: *name, save: run.save(), percent, figure, ..RunRow::default() }
        };
        self.runs.iter().map(row).collect()
    }

    /// The tail of a serving run's answers, pressed by its own load and the filling runs beside it.
    fn tail_ms(&self, book: &Book, now: Millis, name: RunName, run: &Run, rate: f64) -> u32 {
        let mut pressure = Worker::load(book, name, now);
        for other in self.runs.values().filter(|other| other.step.fills) {
            let share = other.wanted() * rate / f64::from(self.room.milli_cpu);
            pressure += book.harm(&run.step.image, &other.step.image) * share;
        }
        let idle_ms = 0.2 * f64::from(run.step.tail_target_ms);
        let noise = 0.92 + 0.16 * book.unit(&[now.0, name.task.job, name.task.index.into()]);
        (idle_ms / (1.0 - pressure.min(HIGHEST)) * noise) as u32
    }

    /// What its runs take of its room.
    pub fn taken(&self) -> Size {
        self.runs.values().fold(Size::default(), |sum, run| sum.plus(run.step.size()))
    }
}

impl Run {
    fn wanted(&self) -> f64 {
        f64::from(self.step.milli_cpu) * self.pace
    }

    fn get_on(&mut self, name: RunName, span: Span, rate: f64, whole: &Whole) {
        self.whole |= whole.contains(&gang_of(name));
        let works = !self.step.gang || self.whole;
        let rate = if self.step.fills { rate * self.pace } else { 1.0 };
        if works {
            self.worked_ms += span as f64 * rate;
        }
    }

    fn ending(&self, name: RunName, now: Millis, whole: &Whole, ill: Ill) -> Option<How> {
        let age = now.since(self.began);
        let gang = self.step.gang;
        if ill == Ill::Fails && age >= FAILS_MS {
            Some(How::Failed)
        } else if gang && self.whole && !whole.contains(&gang_of(name)) {
            Some(How::Broken)
        } else if gang && !self.whole && age >= GANG_MS {
            Some(How::Alone)
        } else if self.hopeless && self.worked_ms * 2.0 >= self.work_ms {
            Some(How::Failed)
        } else if !self.step.lasting && self.worked_ms >= self.work_ms {
            Some(How::Done)
        } else {
            None
        }
    }

    fn percent(&self, now: Millis, ill: Ill) -> u32 {
        if self.step.lasting {
            let warm = now.since(self.began) >= WARM_MS && ill != Ill::Still;
            return if warm { 100 } else { 0 };
        }
        (self.worked_ms * 100.0 / self.work_ms).min(100.0) as u32
    }

    fn save(&self) -> String {
        let part = (self.worked_ms * 1_000.0 / self.work_ms).min(1_000.0) as u32;
        if self.step.saves && !self.step.lasting { part.to_string() } else { String::new() }
    }
}
