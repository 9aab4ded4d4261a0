//! Processes the outputs of the quorum: file writes, messages and committed changes.

use std::sync::Arc;

use pond_log::event;
use pond_proto::quorum::{Entry, Envelope, Kind};
use pond_proto::wire::Body;
use pond_quorum::{Input as QuorumInput, Output, Role, SnapshotImage};
use pond_state::{Change, State};
use pond_store::Snapshot;

use super::Replica;
use crate::input::NotLeader;

/// Every replica takes a snapshot at each index that is a multiple of this.
const SNAPSHOT_INTERVAL: u64 = 8192;

/// Flag for keys of own changes that are log indexes and not tickets.
const OWN_BY_INDEX: u64 = 1 << 63;

impl Replica {
    pub(super) fn process_outputs(&mut self) -> Result<(), pond_store::Error> {
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
                    Output::Send(envelope) => self.send(envelope.clone()),
                    Output::SendDurable(envelope) => {
                        self.parts.writer.enqueue_after(envelope.clone())
                    }
                    other => {
                        other
                            .durable_write()
                            .into_iter()
                            .for_each(|write| self.parts.writer.enqueue(write));
                    }
                }
            }
            self.write()?;
            for output in outputs {
                self.output(output)?;
            }
        }
    }

    /// Flushes pending writes, then sends the messages that depend on them. While the disk is full,
    /// this replica abstains.
    fn write(&mut self) -> Result<(), pond_store::Error> {
        let was_full = self.parts.writer.full();
        let flushed = self.parts.writer.flush()?;
        for envelope in flushed.released {
            self.send(envelope);
        }
        let now = self.parts.clock.now();
        if flushed.all_durable {
            self.core.step(now, QuorumInput::Persisted);
        }
        let full = self.parts.writer.full();
        if full && !was_full {
            let free = self.parts.writer.store().free_bytes();
            event!(self.parts.log, DISK_FULL, "waiting" => self.parts.writer.len(),
                "free_bytes" => free.map_or("unknown".to_owned(), |free| free.to_string()));
            self.core.step(now, QuorumInput::TransferLeadership);
        } else if was_full && !full {
            event!(self.parts.log, DISK_RECOVERED);
        }
        Ok(())
    }

    /// Returns whether this replica can neither lead nor vote now because its disk is full.
    pub(super) fn abstains(&self) -> bool {
        self.parts.writer.full()
    }

    pub(super) fn output(&mut self, output: Output) -> Result<(), pond_store::Error> {
        match output {
            Output::Persist { .. } | Output::Send(_) | Output::SendDurable(_) => {}
            Output::Appended { ticket, index, term } => {
                self.tickets.appended(ticket, index, term);
                if let Some(change) = self.own_changes.remove(&ticket) {
                    // From now on the change is keyed by its log index.
                    self.own_changes.insert(OWN_BY_INDEX | index, change);
                }
            }
            Output::Rejected { ticket, .. } => self.reject(ticket),
            Output::Apply(entries) => self.apply(entries)?,
            Output::Install { image, .. } => self.install(&image),
            Output::ReadReady { ticket, index } => {
                self.tickets.confirmed(ticket, index);
                self.run_due_reads();
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

    pub(super) fn send(&self, envelope: Envelope) {
        let name = self.names.get(&envelope.to);
        if let Some((_, sender)) = name.and_then(|name| self.peers.get(name)) {
            sender.send(Body::Quorum(envelope));
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
            if entry.index % SNAPSHOT_INTERVAL == 0 {
                self.save_snapshot(entry.index)?;
            }
        }
        self.run_due_reads();
        Ok(())
    }

    pub(super) fn apply_change(&mut self, entry: &Entry) {
        let Ok(change) = Change::decode(&entry.data) else { return };
        let is_leader = self.leadership.is_some();
        if is_leader {
            self.log_change(&change);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.reconciler.before_apply(&self.state, &change);
            if matches!(change, Change::Order { .. }) {
                leadership.scheduler.units_changed();
            }
        }
        let reply = self.state.apply(change);
        if let (Some(own), Some(leadership)) =
            (self.own_changes.remove(&(OWN_BY_INDEX | entry.index)), &mut self.leadership)
        {
            leadership.reconciler.proposal_ended(&own);
        }
        let Some((same, waiter)) = self.tickets.applied(entry.index, entry.term) else { return };
        if same {
            self.answer_waiter(waiter, reply);
        } else {
            self.reject_waiter(waiter, NotLeader { leader: self.leader_operator() });
        }
    }

    pub(super) fn save_snapshot(&mut self, index: u64) -> Result<(), pond_store::Error> {
        let Some(head) = self.core.head_at(index) else { return Ok(()) };
        let data = self.state.encode();
        self.checksum = (index, self.state.checksum());
        let snapshot = Snapshot { head: head.clone(), data };
        // If the disk has no room, the next snapshot is tried; until then the log grows.
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

    /// Runs the reads that are due.
    pub(super) fn run_due_reads(&mut self) {
        for read_state in self.tickets.take_due(self.applied) {
            read_state(Ok(&self.state));
        }
    }

    pub(super) fn role_changed(&mut self) {
        let is_leader = self.core.role() == Role::Leader;
        if !is_leader && self.led_term.take().is_some() {
            event!(self.parts.log, FOLLOWER, "term" => self.core.term());
            self.leadership = None;
            self.own_changes.clear();
            let not_leader = NotLeader { leader: self.leader_operator() };
            for waiter in self.tickets.drain() {
                self.reject_waiter(waiter, not_leader.clone());
            }
        }
        if is_leader && self.led_term.is_none() {
            self.led_term = Some(self.core.term());
            event!(self.parts.log, LEADER, "term" => self.core.term());
        }
    }
}
