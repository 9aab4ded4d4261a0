//! What goes wrong, and when it is over.

use pond_job::State;
use pond_proto::{Millis, Span};
use rand::Rng;

use super::worker::Ill;
use super::{Fate, World, workload};

/// Something that goes wrong with the machine of that place, or with all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Crash(usize),
    Cut(usize),
    Ill(usize, Ill),
    Agent(usize),
    Link(usize),
    Leader,
    Restore,
    Proposals(Fate),
    Burst,
    Cancels,
    Blackout,
}

impl World {
    /// Something goes wrong, over at the latest by `end`.
    pub fn disturb(&mut self, end: Millis) {
        let i = self.rng.random_range(0..self.machines.len());
        let fault = match self.rng.random_range(0..24) {
            0..4 => Fault::Crash(i),
            4..7 => Fault::Cut(i),
            7..9 => Fault::Ill(i, Ill::Fails),
            9..11 => Fault::Ill(i, Ill::Still),
            11..13 => Fault::Ill(i, Ill::Deaf(self.rng.random_range(2_000..12_000))),
            13 => Fault::Agent(i),
            14 => Fault::Link(i),
            15..17 => Fault::Leader,
            17 => Fault::Restore,
            18 => Fault::Proposals(Fate::Lost),
            19 => Fault::Proposals(Fate::Slow(2_500)),
            20 => Fault::Proposals(Fate::Rejected),
            21..23 => Fault::Burst,
            _ => Fault::Cancels,
        };
        self.begin(fault, end);
    }

    /// A fault begins; its end is planned.
    pub fn begin(&mut self, fault: Fault, end: Millis) {
        let lasts_ms: Span = self.rng.random_range(500..9_000);
        let until = end.min(self.now + lasts_ms);
        if self.sturdy && matches!(fault, Fault::Crash(_) | Fault::Blackout) {
            return;
        }
        match fault {
            Fault::Crash(i) => self.machines[i].crash(),
            Fault::Cut(i) => self.machines[i].cut = true,
            Fault::Ill(i, ill) => self.machines[i].set_ill(ill),
            Fault::Agent(i) => {
                self.machines[i].replace_agent();
                self.drop_link(i, 600);
            }
            Fault::Link(i) => self.drop_link(i, 600),
            Fault::Leader => {
                let gap_ms = self.rng.random_range(100..1_500);
                self.depose(gap_ms);
            }
            Fault::Restore => self.restore(),
            Fault::Proposals(fate) => self.fate = fate,
            Fault::Burst => self.burst(),
            Fault::Cancels => self.cancel_many(),
            Fault::Blackout => self.blackout(),
        }
        self.mends.push((until, fault));
    }

    /// Ends the faults that are over.
    pub fn mend(&mut self) {
        let now = self.now;
        let over: Vec<_> = self.mends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, fault) in over {
            match fault {
                Fault::Crash(i) if self.machines[i].worker.is_none() => self.bring_back(i),
                Fault::Cut(i) => {
                    self.machines[i].cut = false;
                    self.drop_link(i, 600);
                }
                Fault::Ill(i, _) => self.machines[i].set_ill(Ill::Nothing),
                Fault::Proposals(fate) => {
                    self.fate = Fate::Committed;
                    if matches!(fate, Fate::Lost | Fate::Rejected) {
                        self.depose(300);
                    }
                }
                _ => {}
            }
        }
    }

    /// The replicated state as another replica has it from a snapshot.
    fn restore(&mut self) {
        let bytes = self.state.encode().expect("the state can be written down");
        self.state = State::decode(&bytes).expect("what was written down can be read");
        self.depose(300);
    }

    pub fn burst(&mut self) {
        for _ in 0..(self.rate * 8.0) as usize + 2 {
            self.submit_passing();
        }
    }

    /// Half of the jobs that end by themselves are cancelled.
    pub fn cancel_many(&mut self) {
        let open =
            |(id, work): (&u64, &workload::Work)| (!work.cancelled && !work.lasts()).then_some(*id);
        let ids: Vec<u64> = self.book.jobs.iter().filter_map(open).collect();
        for id in ids {
            if self.rng.random_bool(0.5) {
                self.cancel(id);
            }
        }
    }

    /// Everything loses its power.
    fn blackout(&mut self) {
        for machine in &mut self.machines {
            machine.crash();
            machine.replace_agent();
        }
        let gap_ms = self.rng.random_range(300..2_000);
        self.depose(gap_ms);
        for i in 0..self.machines.len() {
            let back = self.now + self.rng.random_range(200..2_000);
            self.mends.push((back, Fault::Crash(i)));
        }
    }
}
