//! Processes the outputs of the quorum: file writes, messages, changes of the replicated state.

use std::sync::Arc;
use std::time::Instant;

use pond_job::{Change, Reply, State};
use pond_log::event;
use pond_proto::quorum::{Entry, Kind};
use pond_proto::{Millis, Span};
use pond_quorum::{Input, Output, Role, SnapshotImage};
use pond_store::{Error, Snapshot};

use crate::handle::RequestError;
use crate::pending::Waiter;
use crate::replica::Replica;

/// Log entries between snapshots. A snapshot is taken at every multiple, so at the same indexes on every
/// replica. Half of the value in pond-control, because one entry holds many starts and ends here.
const SNAPSHOT_EVERY: u64 = 4096;

/// Share of the machine's memory for log entries since the last snapshot, in percent. The quorum keeps them in memory,
/// and a replica reads them back when it starts.
const LOG_MEMORY_PERCENT: usize = 6;

/// Interval at which a full disk is logged while the condition lasts, in milliseconds.
const DISK_FULL_LOG_INTERVAL_MS: Span = 5_000;

/// Maximum number of writes that wait for disk space: some seconds of appends. Beyond it, messages of
/// other replicas are dropped; their senders repeat them.
const MAX_QUEUED_WRITES: usize = 1_000;

impl Replica {
    /// Processes all outputs of the quorum, with one sync for each group.
    pub(crate) fn process_outputs(&mut self) -> Result<(), Error> {
        if self.writer.full() {
            self.write()?;
        }
        loop {
            let outputs = self.core.outputs(self.now());
            if outputs.is_empty() {
                return Ok(());
            }
            for output in &outputs {
                self.send_or_enqueue(output);
            }
            self.write()?;
            for output in outputs {
                self.process_output(output)?;
            }
        }
    }

    /// Sends messages that need not wait for the disk, and enqueues writes and the messages that follow them.
    fn send_or_enqueue(&mut self, output: &Output) {
        match output {
            Output::Send(message) => self.peers.send(message.clone()),
            Output::SendDurable(message) => self.writer.enqueue_after(message.clone()),
            other => other.durable_write().into_iter().for_each(|write| self.writer.enqueue(write)),
        }
    }

    /// Writes and syncs what is enqueued, and sends the messages that waited for it. A full disk is not
    /// an error: the replica neither leads nor votes until there is space.
    fn write(&mut self) -> Result<(), Error> {
        let was_full = self.writer.full();
        let started = Instant::now();
        let flushed = self.writer.flush()?;
        for message in flushed.released {
            self.peers.send(message);
        }
        if flushed.all_durable {
            self.metrics.time_us("sync", started.elapsed().as_micros() as u64);
            self.core.step(self.now(), Input::Persisted);
        }
        match (was_full, self.writer.full()) {
            (false, false) => {}
            (false, true) => self.disk_became_full(),
            (true, true) => self.disk_stays_full(),
            (true, false) => self.disk_recovered(),
        }
        Ok(())
    }

    /// Hands over leadership, because a replica with a full disk can accept no proposals.
    fn disk_became_full(&mut self) {
        let now = self.now();
        self.full_since = Some(now);
        self.metrics.gauge("disk_full", 1);
        self.log_disk_full(now);
        self.core.step(now, Input::TransferLeadership);
    }

    fn disk_stays_full(&mut self) {
        let now = self.now();
        if self.full_logged_at.is_none_or(|logged| now.since(logged) >= DISK_FULL_LOG_INTERVAL_MS) {
            self.log_disk_full(now);
        }
    }

    fn log_disk_full(&mut self, now: Millis) {
        self.full_logged_at = Some(now);
        let free = self.writer.store().free_bytes();
        event!(self.log, DISK_FULL, "waiting" => self.writer.len(),
            "free_bytes" => free.map_or("unknown".to_owned(), |free| free.to_string()),
            "for_ms" => self.full_since.map_or(0, |since| now.since(since)));
    }

    fn disk_recovered(&mut self) {
        let since = self.full_since.take();
        self.full_logged_at = None;
        self.metrics.gauge("disk_full", 0);
        let now = self.now();
        event!(self.log, DISK_RECOVERED, "after_ms" => since.map_or(0, |since| now.since(since)));
    }

    /// Whether the disk is full, so that this replica can neither lead nor vote.
    pub(crate) fn disk_is_full(&self) -> bool {
        self.writer.full()
    }

    /// Whether messages of the quorum are accepted; they are not while too many writes wait for the disk.
    pub(crate) fn accepts_messages(&self) -> bool {
        !self.writer.full() || self.writer.len() < MAX_QUEUED_WRITES
    }

    fn process_output(&mut self, output: Output) -> Result<(), Error> {
        match output {
            Output::Persist { .. }
            | Output::Send(_)
            | Output::SendDurable(_)
            | Output::ReadReady { .. } => {}
            Output::Appended { ticket, index, term } => self.pending.appended(ticket, index, term),
            Output::Rejected { ticket, .. } => {
                if let Some(waiter) = self.pending.rejected(ticket) {
                    self.reject(waiter);
                }
            }
            Output::Apply(entries) => self.apply(entries)?,
            Output::Install { image, .. } => self.install(&image),
            Output::RoleChanged => self.role_changed(),
            Output::MembersChanged(members) => {
                let names: Vec<&str> =
                    members.list.iter().map(|member| member.name.as_str()).collect();
                let voters = members.list.iter().filter(|member| member.voter);
                let voters: Vec<&str> = voters.map(|member| member.name.as_str()).collect();
                event!(self.log, MEMBERS, "members" => names.join(" "), "voters" => voters.join(" "));
                self.connect_to_members();
                if !self.formation.formed() {
                    self.formation.set_formed();
                    self.announce_presence();
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
            self.unsnapshotted_bytes += entry.data.len();
            let max_bytes = self.settings.memory_bytes / 100 * LOG_MEMORY_PERCENT;
            if entry.index.is_multiple_of(SNAPSHOT_EVERY) || self.unsnapshotted_bytes > max_bytes {
                self.unsnapshotted_bytes = 0;
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
            self.update_evacuation_gauge();
        }
    }

    pub(crate) fn update_evacuation_gauge(&self) {
        let count = self.state.evacuations().count();
        self.metrics.gauge("evacuated_data_centres", count as u64);
    }

    fn apply_to_state(&mut self, entry: &Entry, now: Millis, change: Change) {
        if self.leader.is_none() {
            let reply = self.state.apply(change);
            self.notify_waiter(entry, &reply);
            return;
        }
        self.log_ends(&change);
        let reply = self.state.apply(change.clone());
        self.log_change(&change, &reply);
        if let Some(leader) = &mut self.leader {
            leader.applied(&self.state, now, &change, &reply);
        }
        self.notify_waiter(entry, &reply);
    }

    fn notify_waiter(&mut self, entry: &Entry, reply: &Reply) {
        match self.pending.applied(entry.index, entry.term) {
            Some((true, waiter)) => self.notify(waiter, reply),
            // Another entry was committed at this position, so the proposal is not in the log.
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
        // Without space this snapshot is skipped; the log grows until the next one succeeds.
        if !self.writer.save(&snapshot)? {
            self.log_disk_full(self.now());
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
                self.update_evacuation_gauge();
            }
            Err(why) => event!(self.log, STATE_DIFFERS, "index" => image.head.index, "why" => why),
        }
    }

    fn role_changed(&mut self) {
        self.metrics.gauge("term", self.core.term());
        self.metrics.gauge("leads", u64::from(self.core.role() == Role::Leader));
        if self.core.role() != Role::Leader {
            self.formation.leadership_lost();
        }
        if self.core.role() == Role::Leader || self.leader.is_none() {
            return;
        }
        self.leader = None;
        self.metrics.gauge("slow_workers", 0);
        event!(self.log, FOLLOWER, "term" => self.core.term());
        // Pending proposals may still be committed under the next leader. Entries ask that leader;
        // operators get the reply that the outcome is unknown.
        for waiter in self.pending.drain() {
            if let Waiter::Operator(reply) = waiter {
                // The operator may have disconnected.
                let _ = reply.send(Err(RequestError::OutcomeUnknown));
            }
        }
    }
}
