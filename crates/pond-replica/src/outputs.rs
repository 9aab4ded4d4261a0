//! Carries out what the quorum hands out: files, messages, the replicated state.

use std::sync::Arc;
use std::time::Instant;

use pond_job::{Change, Reply, State};
use pond_log::event;
use pond_proto::quorum::{Entry, Kind};
use pond_proto::{Millis, Span};
use pond_quorum::{Input, Output, Role, SnapshotImage};
use pond_store::{Error, Snapshot};

use crate::handle::Elsewhere;
use crate::replica::Replica;
use crate::waiting::Waiter;

/// A snapshot is taken at every index that is a multiple of this, the same on every replica. Half of
/// the figure of pond-control, as starts and ends come many to an entry here.
const SNAPSHOT_EVERY: u64 = 4096;

/// How often a full disk is told of while it lasts, in milliseconds.
const TELL_FULL_MS: Span = 5_000;

/// Inputs of the quorum's replicas are left out while more than this waits for room on the disk: some
/// seconds of appends. They are sent again.
const MOST_WAITING: usize = 1_000;

impl Replica {
    /// Carries out all that is to be done, with one sync for all that came together.
    pub(crate) fn carry_out(&mut self) -> Result<(), Error> {
        if self.writer.full() {
            self.write()?;
        }
        loop {
            let outputs = self.core.outputs(self.now());
            if outputs.is_empty() {
                return Ok(());
            }
            for output in &outputs {
                self.put(output);
            }
            self.write()?;
            for output in outputs {
                self.output(output)?;
            }
        }
    }

    /// Sends what need not wait, and hands in what must last and what waits for it.
    fn put(&mut self, output: &Output) {
        match output {
            Output::Send(letter) => self.peers.send(letter.clone()),
            Output::SendDurable(letter) => self.writer.then(letter.clone()),
            other => other.write().into_iter().for_each(|write| self.writer.put(write)),
        }
    }

    /// Writes what must last, and does what may follow. A full disk is none of the errors: the
    /// replica abstains until there is room.
    fn write(&mut self) -> Result<(), Error> {
        let was_full = self.writer.full();
        let started = Instant::now();
        let flushed = self.writer.flush()?;
        for letter in flushed.then {
            self.peers.send(letter);
        }
        if flushed.lasts {
            self.metrics.time_us("sync", started.elapsed().as_micros() as u64);
            self.core.step(self.now(), Input::Persisted);
        }
        match (was_full, self.writer.full()) {
            (false, false) => {}
            (false, true) => self.becomes_full(),
            (true, true) => self.stays_full(),
            (true, false) => self.has_room(),
        }
        Ok(())
    }

    /// Another replica should lead: this one can accept nothing.
    fn becomes_full(&mut self) {
        let now = self.now();
        self.full_since = Some(now);
        self.metrics.gauge("disk_full", 1);
        self.tell_full(now);
        self.core.step(now, Input::HandOver);
    }

    fn stays_full(&mut self) {
        let now = self.now();
        if self.full_told.is_none_or(|told| now.since(told) >= TELL_FULL_MS) {
            self.tell_full(now);
        }
    }

    fn tell_full(&mut self, now: Millis) {
        self.full_told = Some(now);
        let free = self.writer.store().free_bytes();
        event!(self.log, DISK_FULL, "waiting" => self.writer.len(),
            "free_bytes" => free.map_or("unknown".to_owned(), |free| free.to_string()),
            "for_ms" => self.full_since.map_or(0, |since| now.since(since)));
    }

    fn has_room(&mut self) {
        let since = self.full_since.take();
        self.full_told = None;
        self.metrics.gauge("disk_full", 0);
        let now = self.now();
        event!(self.log, DISK_RECOVERED, "after_ms" => since.map_or(0, |since| now.since(since)));
    }

    /// Whether this replica can neither lead nor vote now, as its disk is full.
    pub(crate) fn abstains(&self) -> bool {
        self.writer.full()
    }

    /// Whether messages of the quorum are taken in: not while too much waits for the disk.
    pub(crate) fn takes_letters(&self) -> bool {
        !self.writer.full() || self.writer.len() < MOST_WAITING
    }

    fn output(&mut self, output: Output) -> Result<(), Error> {
        match output {
            Output::Persist { .. }
            | Output::Send(_)
            | Output::SendDurable(_)
            | Output::ReadReady { .. } => {}
            Output::Appended { ticket, index, term } => self.waiting.appended(ticket, index, term),
            Output::Rejected { ticket, .. } => {
                if let Some(waiter) = self.waiting.rejected(ticket) {
                    self.reject(waiter);
                }
            }
            Output::Apply(entries) => self.apply(entries)?,
            Output::Install { image, .. } => self.install(&image),
            Output::RoleChanged => self.role_changed(),
            Output::MembersChanged(members) => {
                let names: Vec<&str> =
                    members.list.iter().map(|member| member.name.as_str()).collect();
                event!(self.log, MEMBERS, "members" => names.join(" "));
                self.learn_members();
                if !self.formation.formed() {
                    self.formation.set_formed();
                    self.present_again();
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), Error> {
        for entry in entries {
            if entry.index <= self.applied {
                continue;
            }
            self.applied = entry.index;
            if entry.kind() == Kind::Change {
                self.apply_change(&entry);
            }
            if entry.index.is_multiple_of(SNAPSHOT_EVERY) {
                self.save_snapshot(entry.index)?;
            }
        }
        Ok(())
    }

    fn apply_change(&mut self, entry: &Entry) {
        let change = match Change::decode(&entry.data) {
            Ok(change) => change,
            Err(why) => {
                event!(self.log, CHANGE_REFUSED, "index" => entry.index, "why" => why);
                return;
            }
        };
        let now = self.now();
        self.metrics.count(&format!("changes{{kind=\"{}\"}}", change.kind()), 1);
        let evacuates = matches!(change, Change::Evacuate { .. } | Change::Readmit { .. });
        self.apply_to_state(entry, now, change);
        if evacuates {
            self.show_evacuations();
        }
    }

    pub(crate) fn show_evacuations(&self) {
        let count = self.state.evacuations().count();
        self.metrics.gauge("evacuated_data_centres", count as u64);
    }

    fn apply_to_state(&mut self, entry: &Entry, now: Millis, change: Change) {
        if self.leader.is_none() {
            let reply = self.state.apply(change);
            self.tell_waiter(entry, &reply);
            return;
        }
        self.log_ends(&change);
        let reply = self.state.apply(change.clone());
        self.log_change(&change, &reply);
        if let Some(leader) = &mut self.leader {
            leader.applied(&self.state, now, &change, &reply);
        }
        self.tell_waiter(entry, &reply);
    }

    fn tell_waiter(&mut self, entry: &Entry, reply: &Reply) {
        match self.waiting.applied(entry.index, entry.term) {
            Some((true, waiter)) => self.tell(waiter, reply),
            // Another entry took the place, so this one is not in the log.
            Some((false, waiter)) => self.reject(waiter),
            None => {}
        }
    }

    fn save_snapshot(&mut self, index: u64) -> Result<(), Error> {
        let Some(head) = self.core.head_at(index) else { return Ok(()) };
        let data = match self.state.encode() {
            Ok(data) => data,
            Err(why) => {
                event!(self.log, CHANGE_REFUSED, "index" => index, "why" => why);
                return Ok(());
            }
        };
        let snapshot = Snapshot { head: head.clone(), data };
        // Without room the next one is tried; the log grows meanwhile.
        if !self.writer.save(&snapshot)? {
            self.tell_full(self.now());
            return Ok(());
        }
        event!(self.log, SNAPSHOT, "index" => index, "bytes" => snapshot.data.len());
        let image = SnapshotImage { head, data: Arc::new(snapshot.data) };
        self.core.step(self.now(), Input::Compact(image));
        Ok(())
    }

    fn install(&mut self, image: &SnapshotImage) {
        match State::decode(&image.data) {
            Ok(state) => {
                event!(self.log, INSTALLED, "index" => image.head.index);
                self.state = state;
                self.applied = image.head.index;
                self.show_evacuations();
            }
            Err(why) => event!(self.log, STATE_DIFFERS, "index" => image.head.index, "why" => why),
        }
    }

    fn role_changed(&mut self) {
        self.metrics.gauge("term", self.core.term());
        self.metrics.gauge("leads", u64::from(self.core.role() == Role::Leader));
        if self.core.role() == Role::Leader || self.leader.is_none() {
            return;
        }
        self.leader = None;
        event!(self.log, FOLLOWER, "term" => self.core.term());
        // What was proposed may still be accepted under the next leader. Entries ask that one;
        // operators get no clear answer.
        for waiter in self.waiting.drain() {
            if let Waiter::Operator(reply) = waiter {
                // The operator may have left.
                let _ = reply.send(Err(Elsewhere::Unknown));
            }
        }
    }
}
