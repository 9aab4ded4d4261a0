//! Carries out what the quorum hands out: files, messages, the replicated state.

use std::sync::Arc;

use pond_log::event;
use pond_proto::quorum::{Entry, Kind, Letter as QuorumLetter};
use pond_proto::wire::Body;
use pond_quorum::{Input as QuorumInput, Output, Role, SnapshotImage};
use pond_state::{Change, State};
use pond_store::Snapshot;

use super::Replica;
use crate::ring::Unready;

/// A snapshot is taken at every index that is a multiple of this, on all replicas.
const SNAPSHOT_EVERY: u64 = 8192;

/// Marks own changes that are known by their place in the log.
const OWN_BY_INDEX: u64 = 1 << 63;

impl Replica {
    // Outputs of the quorum.

    pub(super) fn carry_out(&mut self) -> Result<(), pond_store::Error> {
        if self.parts.writer.full() {
            self.write()?;
        }
        loop {
            let outputs = self.core.outputs(self.parts.clock.now());
            if outputs.is_empty() {
                return Ok(());
            }
            for output in &outputs {
                match output {
                    Output::Send(letter) => self.send(letter.clone()),
                    Output::SendDurable(letter) => self.parts.writer.then(letter.clone()),
                    other => {
                        other.write().into_iter().for_each(|write| self.parts.writer.put(write));
                    }
                }
            }
            self.write()?;
            for output in outputs {
                self.output(output)?;
            }
        }
    }

    /// Writes what must last, and does what may follow. While the disk is full, this replica abstains.
    fn write(&mut self) -> Result<(), pond_store::Error> {
        let was_full = self.parts.writer.full();
        let flushed = self.parts.writer.flush()?;
        for letter in flushed.then {
            self.send(letter);
        }
        let now = self.parts.clock.now();
        if flushed.lasts {
            self.core.step(now, QuorumInput::Persisted);
        }
        let full = self.parts.writer.full();
        if full && !was_full {
            let free = self.parts.writer.store().free_bytes();
            event!(self.parts.log, DISK_FULL, "waiting" => self.parts.writer.len(),
                "free_bytes" => free.map_or("unknown".to_owned(), |free| free.to_string()));
            self.core.step(now, QuorumInput::HandOver);
        } else if was_full && !full {
            event!(self.parts.log, DISK_RECOVERED);
        }
        Ok(())
    }

    /// Whether this replica can neither lead nor vote now, as its disk is full.
    pub(super) fn abstains(&self) -> bool {
        self.parts.writer.full()
    }

    pub(super) fn output(&mut self, output: Output) -> Result<(), pond_store::Error> {
        match output {
            Output::Persist { .. } | Output::Send(_) | Output::SendDurable(_) => {}
            Output::Appended { ticket, index, term } => {
                self.tickets.appended(ticket, index, term);
                if let Some(change) = self.own.remove(&ticket) {
                    // From now on it is known by its place in the log.
                    self.own.insert(OWN_BY_INDEX | index, change);
                }
            }
            Output::Rejected { ticket, .. } => self.reject(ticket),
            Output::Apply(entries) => self.apply(entries)?,
            Output::Install { image, .. } => self.install(&image),
            Output::ReadReady { ticket, index } => {
                self.tickets.confirmed(ticket, index);
                self.look();
            }
            Output::RoleChanged => self.role_changed(),
            Output::MembersChanged(members) => {
                self.formation.set_formed();
                for member in &members.list {
                    self.names.insert(member.id, member.name.clone());
                }
                let names: Vec<&str> =
                    members.list.iter().map(|member| member.name.as_str()).collect();
                event!(self.parts.log, MEMBERS, "members" => names.join(" "));
            }
        }
        Ok(())
    }

    pub(super) fn send(&self, letter: QuorumLetter) {
        let name = self.names.get(&letter.to);
        if let Some((_, sender)) = name.and_then(|name| self.peers.get(name)) {
            sender.send(Body::Quorum(letter));
        }
    }

    pub(super) fn apply(&mut self, entries: Vec<Entry>) -> Result<(), pond_store::Error> {
        for entry in entries {
            if entry.index <= self.applied {
                continue;
            }
            self.applied = entry.index;
            if entry.kind() == Kind::Change {
                self.apply_change(&entry);
            }
            if entry.index % SNAPSHOT_EVERY == 0 {
                self.save_snapshot(entry.index)?;
            }
        }
        self.look();
        Ok(())
    }

    pub(super) fn apply_change(&mut self, entry: &Entry) {
        let Ok(change) = Change::decode(&entry.data) else { return };
        let leads = self.duty.is_some();
        if leads {
            self.log_change(&change);
        }
        if let Some(duty) = &mut self.duty {
            duty.reconciler.notice(&self.state, &change);
            if matches!(change, Change::Order { .. }) {
                duty.scheduler.units_changed();
            }
        }
        let reply = self.state.apply(change);
        if let (Some(own), Some(duty)) =
            (self.own.remove(&(OWN_BY_INDEX | entry.index)), &mut self.duty)
        {
            duty.reconciler.settled(&own);
        }
        let Some((same, waiter)) = self.tickets.applied(entry.index, entry.term) else { return };
        if same {
            self.tell(waiter, reply);
        } else {
            self.tell_lost(waiter, Unready { leader: self.leader_operator() });
        }
    }

    pub(super) fn save_snapshot(&mut self, index: u64) -> Result<(), pond_store::Error> {
        let Some(head) = self.core.head_at(index) else { return Ok(()) };
        let data = self.state.encode();
        self.checksum = (index, self.state.checksum());
        let snapshot = Snapshot { head: head.clone(), data };
        // Without room the next one is tried; the log grows meanwhile.
        if !self.parts.writer.save(&snapshot)? {
            return Ok(());
        }
        event!(self.parts.log, SNAPSHOT, "index" => index, "bytes" => snapshot.data.len());
        let image = SnapshotImage { head, data: Arc::new(snapshot.data) };
        self.core.step(self.parts.clock.now(), QuorumInput::Compact(image));
        Ok(())
    }

    pub(super) fn install(&mut self, image: &SnapshotImage) {
        event!(self.parts.log, INSTALLED, "index" => image.head.index);
        if let Ok(state) = State::decode(&image.data) {
            self.state = state;
            self.applied = image.head.index;
        }
    }

    /// Does the reads that are due.
    pub(super) fn look(&mut self) {
        for look in self.tickets.due(self.applied) {
            look(Ok(&self.state));
        }
    }

    pub(super) fn role_changed(&mut self) {
        let leads = self.core.role() == Role::Leader;
        if !leads && self.led.take().is_some() {
            event!(self.parts.log, FOLLOWER, "term" => self.core.term());
            self.duty = None;
            self.own.clear();
            let unready = Unready { leader: self.leader_operator() };
            for waiter in self.tickets.drain() {
                self.tell_lost(waiter, unready.clone());
            }
        }
        if leads && self.led.is_none() {
            self.led = Some(self.core.term());
            event!(self.parts.log, LEADER, "term" => self.core.term());
        }
    }
}
