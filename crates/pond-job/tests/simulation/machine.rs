//! A machine: an agent, the worker beside it, and the link from the agent to the leader.

use pond_agent::{Answer, Call, Core, Output, Registration, Reply};
use pond_proto::fleet::{Order, Report};
use pond_proto::job::TaskName;
use pond_proto::{Millis, Size, Span};

use super::worker::{Ill, Whole, Worker};
use super::workload::Book;

/// Time between registrations of a worker, in milliseconds.
const REGISTER_MS: Span = 1_000;

/// A call whose answer is on its way.
struct Pending {
    life: String,
    token: u64,
    look: u64,
    call: Call,
    /// None for a list, which is made when it is due or when there is an end.
    reply: Option<Reply>,
    due: Millis,
}

/// In the name of a life, between the id and the start of a worker that kept its id.
const START: char = '~';

/// The id in the name of a life.
pub fn id_of(life: &str) -> &str {
    life.split(START).next().unwrap_or(life)
}

pub struct Machine {
    pub name: String,
    /// The id of its worker.
    id: String,
    pub room: Size,
    pub labels: Vec<String>,
    pub data_centre: &'static str,
    /// None while it is down.
    pub worker: Option<Worker>,
    /// How fast the clock of its worker goes, in thousandths.
    pub clock_permille: u64,
    /// Lives so far.
    pub lives: u32,
    pub agent: Core,
    /// The link to the leader, while there is one.
    pub link: Option<u64>,
    /// When the agent next reaches the leader, while there is no link.
    pub join_at: Millis,
    /// Nothing comes through the link, although nobody has noticed.
    pub cut: bool,
    /// While the worker is down, calls are refused at once and get no silence.
    pub refuses: bool,
    /// The task under which the worker went down since the world last asked.
    pub fallen: Option<TaskName>,
    sequence: u64,
    registered: Millis,
    orders: Vec<(Millis, Order)>,
    pending: Vec<Pending>,
}

impl Machine {
    pub fn new(name: String, room: Size, labels: Vec<String>, clock_permille: u64) -> Machine {
        Machine {
            name,
            id: String::new(),
            room,
            labels,
            data_centre: "",
            worker: None,
            clock_permille,
            lives: 0,
            agent: Core::new(),
            link: None,
            join_at: Millis(0),
            cut: false,
            refuses: false,
            fallen: None,
            sequence: 0,
            registered: Millis(0),
            orders: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// A new life of the worker, under the id of the one before or another one.
    pub fn boot(&mut self, now: Millis, same_id: bool) {
        self.lives += 1;
        self.refuses = false;
        if !same_id || self.id.is_empty() {
            self.id = format!("{}-{}", self.name, self.lives);
        }
        let life =
            if same_id { format!("{}{START}{}", self.id, self.lives) } else { self.id.clone() };
        let (room, labels) = (self.room, self.labels.clone());
        self.worker = Some(Worker::new(life, room, labels, now, self.clock_permille));
        self.registered = Millis(0);
    }

    /// All that runs on the worker is gone.
    pub fn crash(&mut self) {
        self.worker = None;
    }

    /// Another agent takes over, which knows nothing.
    pub fn replace_agent(&mut self) {
        self.agent = Core::new();
        self.pending.clear();
        self.orders.clear();
        self.registered = Millis(0);
    }

    pub fn set_ill(&mut self, ill: Ill) {
        if let Some(worker) = &mut self.worker {
            worker.ill = ill;
        }
    }

    /// The agent has a link to the leader of that term.
    pub fn join(&mut self, link: u64, term: u64) {
        self.link = Some(link);
        self.orders.clear();
        self.agent.leader_up(term);
    }

    /// An order is on its way to the agent.
    pub fn send(&mut self, due: Millis, order: Order) {
        if !self.cut {
            self.orders.push((due, order));
        }
    }

    /// Time passes; what the agent reports.
    pub fn pass(&mut self, now: Millis, span: Span, book: &Book, whole: &Whole) -> Vec<Report> {
        if let Some(worker) = &mut self.worker {
            worker.work(now, span, book, whole);
            if let Some(task) = worker.falls_to(now, book) {
                self.fallen = Some(task);
                self.refuses = true;
                self.worker = None;
            }
        }
        self.register(now);
        for (_, order) in self.orders.extract_if(.., |(due, _)| *due <= now).collect::<Vec<_>>() {
            self.agent.order(now, order);
        }
        self.answer(now, book);
        let mut reports = Vec::new();
        for output in self.agent.tick(now) {
            match output {
                Output::Report(report) => reports.push(report),
                Output::Observed(_) => {}
                Output::Call { life, token, look, call, .. } => {
                    self.call(now, book, life, token, look, call);
                }
            }
        }
        if self.cut || self.link.is_none() { Vec::new() } else { reports }
    }

    fn register(&mut self, now: Millis) {
        let Some(worker) = &self.worker else { return };
        if self.registered != Millis(0) && now.since(self.registered) < REGISTER_MS {
            return;
        }
        self.registered = now;
        self.sequence += 1;
        let registration = Registration {
            id: id_of(&worker.life).to_owned(),
            life: worker.life.clone(),
            address: self.name.clone(),
            pool: "vms".to_owned(),
            data_centre: self.data_centre.to_owned(),
            room: worker.room,
            labels: worker.labels.clone(),
            clock_ms: worker.clock_ms(now),
            sequence: self.sequence,
            ..Registration::default()
        };
        self.agent.registered(now, registration);
    }

    /// The agent calls its worker. A call to a dead worker, or one whose answer is lost, is given up
    /// in the end.
    fn call(&mut self, now: Millis, book: &Book, life: String, token: u64, look: u64, call: Call) {
        let patience = now + call.patience_ms();
        let worker = self.worker.as_mut();
        let (reply, due) = match worker {
            None if self.refuses => (Some(Reply::NotSent), now),
            None => (Some(Reply::Unknown), patience),
            Some(worker) if id_of(&worker.life) != id_of(&life) => (Some(Reply::OtherLife), now),
            Some(worker) => match (worker.call(now, book, token, &call), &call) {
                (Some(reply), _) => (Some(reply), now),
                (None, Call::Look { wait_ms, .. }) => (None, now + *wait_ms),
                (None, _) => (Some(Reply::Unknown), patience),
            },
        };
        self.pending.push(Pending { life, token, look, call, reply, due });
    }

    fn answer(&mut self, now: Millis, book: &Book) {
        let worker = self.worker.as_ref();
        let ended = worker.is_some_and(|worker| !worker.ends.is_empty());
        let ready =
            |pending: &mut Pending| pending.due <= now || (pending.reply.is_none() && ended);
        let due: Vec<Pending> = self.pending.extract_if(.., ready).collect();
        for Pending { life, token, look, call, reply, .. } in due {
            let there = worker.filter(|worker| id_of(&worker.life) == id_of(&life));
            let reply = match (reply, there) {
                (Some(reply), _) => reply,
                (None, None) => Reply::Unknown,
                (None, Some(worker)) if worker.life != life => Reply::Restarted,
                (None, Some(worker)) => {
                    Reply::Listed { runs: worker.rows(book, now), ends: worker.ends.clone() }
                }
            };
            let clock_ms = there.map(|worker| worker.clock_ms(now));
            self.agent.answer(now, &life, token, look, &call, Answer { clock_ms, reply });
        }
    }
}
