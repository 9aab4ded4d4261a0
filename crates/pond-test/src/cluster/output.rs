//! Outputs of the cores of a cluster: writes, messages and applied entries.

use std::sync::Arc;

use pond_proto::quorum::{Entry, Envelope, Kind};
use pond_quorum::{Input, Output, SnapshotImage};
use pond_store::{Snapshot, Writer};
use rand::Rng;

use super::{Cluster, InFlight, decode, encode, value};

impl Cluster {
    pub(super) fn handle_outputs(&mut self, id: u64, outputs: Vec<Output>) {
        // A crash may occur between write and sync, after messages were sent.
        let crashes = self.rng.random_range(0..100_000) < self.faults.crash * 10;
        for output in &outputs {
            self.enqueue(id, output);
        }
        if crashes {
            self.with_writer(id, Writer::write);
            let wait = self.rng.random_range(10..500);
            return self.crash(id, wait);
        }
        if self.kill_if_due(id, &outputs) {
            return;
        }
        self.flush(id);
        for output in outputs {
            self.output(id, output);
        }
    }

    /// Sends a message that needs no sync, and enqueues writes and the messages that wait for them.
    fn enqueue(&mut self, id: u64, output: &Output) {
        if let Output::Send(message) = output {
            return self.send(message.clone());
        }
        let running = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut());
        let Some(writer) = running.map(|running| &mut running.writer) else { return };
        match output {
            Output::SendDurable(message) => writer.enqueue_after(message.clone()),
            other => other.durable_write().into_iter().for_each(|write| writer.enqueue(write)),
        }
    }

    pub(super) fn flush(&mut self, id: u64) {
        let was_full = self.running(id).is_some_and(|running| running.writer.full());
        let Some(flushed) = self.with_writer(id, Writer::flush) else { return };
        for message in flushed.released {
            self.send(message);
        }
        if flushed.all_durable {
            self.input(id, Input::Persisted);
        }
        let is_full = self.running(id).is_some_and(|running| running.writer.full());
        if is_full && !was_full {
            self.input(id, Input::TransferLeadership);
        }
    }

    /// Kills the process if a kill before the sync is due, and returns whether it did. The disk keeps
    /// the unsynced writes, which a later crash may lose.
    fn kill_if_due(&mut self, id: u64, outputs: &[Output]) -> bool {
        let entries = |output: &Output| matches!(output, Output::Persist { entries, .. } if !entries.is_empty());
        let due = self.nodes.get(&id).is_some_and(|node| node.kill_before_sync);
        if !due || !outputs.iter().any(entries) {
            return false;
        }
        self.with_writer(id, Writer::write);
        let Some(node) = self.nodes.get_mut(&id) else { return false };
        node.kill_before_sync = false;
        node.running = None;
        node.restart_at = self.time;
        true
    }

    /// Calls `act` with the writer of a replica. Returns none if the replica does not run or its files
    /// failed.
    pub(super) fn with_writer<T>(
        &mut self,
        id: u64,
        act: impl FnOnce(&mut Writer<Envelope>) -> Result<T, pond_store::Error>,
    ) -> Option<T> {
        let running = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut())?;
        match act(&mut running.writer) {
            Ok(done) => Some(done),
            Err(error) => {
                self.set_violation(format!("the files of replica {id} failed: {error}"));
                None
            }
        }
    }

    pub(super) fn send(&mut self, message: Envelope) {
        if self.rng.random_range(0..1000) < self.faults.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.faults.duplicate);
        for _ in 0..copies {
            let due = self.time + self.rng.random_range(1..=self.faults.max_delay_ms);
            self.in_flight.push(InFlight { due, message: message.clone() });
        }
    }

    fn output(&mut self, id: u64, output: Output) {
        match output {
            Output::Appended { ticket, index, term } => {
                if let Some(value) = self.proposals.remove(&ticket) {
                    self.log_positions.insert((id, index, term), value);
                }
            }
            Output::Rejected { ticket, .. } => {
                self.proposals.remove(&ticket);
                self.reads.remove(&ticket);
            }
            Output::Apply(entries) => self.apply(id, entries),
            Output::Install { image, .. } => {
                let running = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut());
                if let Some(running) = running {
                    running.applied = image.head.index;
                    running.values = decode(&image.data);
                }
            }
            Output::ReadReady { ticket, index } => {
                self.completed_reads += 1;
                let min_index = self.reads.remove(&ticket).unwrap_or(0);
                if index < min_index {
                    self.set_violation(format!("a read at replica {id} missed entry {min_index}"));
                }
            }
            Output::RoleChanged => self.check_single_leader(id),
            _ => {}
        }
    }

    fn apply(&mut self, id: u64, entries: Vec<Entry>) {
        for entry in entries {
            let running = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut());
            let Some(running) = running.filter(|running| entry.index > running.applied) else {
                continue;
            };
            if entry.index != running.applied + 1 {
                return self.set_violation(format!(
                    "replica {id} skipped an entry before {}",
                    entry.index
                ));
            }
            running.applied = entry.index;
            if entry.kind() == Kind::Change {
                running.values.extend(value(&entry.data));
            }
            let first = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
            if *first != entry {
                let violation = format!("replica {id} applied another entry {}", entry.index);
                return self.set_violation(violation);
            }
            let position = (id, entry.index, entry.term);
            if let Some(value) = self.log_positions.remove(&position) {
                self.accepted.insert(value, entry.index);
            }
            if entry.index % self.faults.snapshot_every == 0 {
                self.take_snapshot(id, entry.index);
            }
        }
    }

    fn take_snapshot(&mut self, id: u64, index: u64) {
        let Some(running) = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut()) else {
            return;
        };
        let Some(head) = running.core.head_at(index) else { return };
        let data = encode(&running.values);
        let is_saved = running.writer.save(&Snapshot { head: head.clone(), data: data.clone() });
        if is_saved.is_ok_and(|is_saved| is_saved) {
            let image = SnapshotImage { head, data: Arc::new(data) };
            self.input(id, Input::Compact(image));
        }
    }
}
