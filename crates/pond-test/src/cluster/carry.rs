//! Carries out what the cores of a cluster hand out: files, messages, applied entries.

use std::sync::Arc;

use pond_proto::quorum::{Entry, Envelope, Kind};
use pond_quorum::{Input, Output, SnapshotImage};
use pond_store::{Snapshot, Writer};
use rand::Rng;

use super::{Cluster, Flying, decode, encode, value};

impl Cluster {
    pub(super) fn carry_out(&mut self, id: u64, outputs: Vec<Output>) {
        // A crash may come between writing and syncing, with messages sent before it.
        let dies = self.rng.random_range(0..100_000) < self.faults.crash * 10;
        for output in &outputs {
            self.put(id, output);
        }
        if dies {
            self.with_writer(id, Writer::write);
            let wait = self.rng.random_range(10..500);
            return self.crash(id, wait);
        }
        if self.killed_writing(id, &outputs) {
            return;
        }
        self.flush(id);
        for output in outputs {
            self.output(id, output);
        }
    }

    /// Sends what need not wait, and hands in what must last and what waits for it.
    fn put(&mut self, id: u64, output: &Output) {
        if let Output::Send(letter) = output {
            return self.send(letter.clone());
        }
        let running = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut());
        let Some(writer) = running.map(|running| &mut running.writer) else { return };
        match output {
            Output::SendDurable(letter) => writer.enqueue_after(letter.clone()),
            other => other.durable_write().into_iter().for_each(|write| writer.enqueue(write)),
        }
    }

    pub(super) fn flush(&mut self, id: u64) {
        let was_full = self.running(id).is_some_and(|running| running.writer.full());
        let Some(flushed) = self.with_writer(id, Writer::flush) else { return };
        for letter in flushed.released {
            self.send(letter);
        }
        if flushed.all_durable {
            self.input(id, Input::Persisted);
        }
        let is_full = self.running(id).is_some_and(|running| running.writer.full());
        if is_full && !was_full {
            self.input(id, Input::HandOver);
        }
    }

    /// Whether a kill was due now; its disk keeps what was written and may lose it later.
    fn killed_writing(&mut self, id: u64, outputs: &[Output]) -> bool {
        let entries = |output: &Output| matches!(output, Output::Persist { entries, .. } if !entries.is_empty());
        let due = self.nodes.get(&id).is_some_and(|node| node.dies_writing);
        if !due || !outputs.iter().any(entries) {
            return false;
        }
        self.with_writer(id, Writer::write);
        let Some(node) = self.nodes.get_mut(&id) else { return false };
        node.dies_writing = false;
        node.running = None;
        node.back = self.time;
        true
    }

    /// Does something with a replica's files; none if it does not run, or if they failed.
    pub(super) fn with_writer<T>(
        &mut self,
        id: u64,
        act: impl FnOnce(&mut Writer<Envelope>) -> Result<T, pond_store::Error>,
    ) -> Option<T> {
        let running = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut())?;
        match act(&mut running.writer) {
            Ok(done) => Some(done),
            Err(error) => {
                self.fail(format!("the files of replica {id} failed: {error}"));
                None
            }
        }
    }

    pub(super) fn send(&mut self, letter: Envelope) {
        if self.rng.random_range(0..1000) < self.faults.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.faults.twice);
        for _ in 0..copies {
            let due = self.time + self.rng.random_range(1..=self.faults.delay);
            self.flying.push(Flying { due, letter: letter.clone() });
        }
    }

    fn output(&mut self, id: u64, output: Output) {
        match output {
            Output::Appended { ticket, index, term } => {
                if let Some(value) = self.proposed.remove(&ticket) {
                    self.placed.insert((id, index, term), value);
                }
            }
            Output::Rejected { ticket, .. } => {
                self.proposed.remove(&ticket);
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
                self.reads_done += 1;
                let floor = self.reads.remove(&ticket).unwrap_or(0);
                if index < floor {
                    self.fail(format!("a read at replica {id} missed entry {floor}"));
                }
            }
            Output::RoleChanged => self.check_leader(id),
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
                return self.fail(format!("replica {id} skipped an entry before {}", entry.index));
            }
            running.applied = entry.index;
            if entry.kind() == Kind::Change {
                running.values.extend(value(&entry.data));
            }
            let first = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
            if *first != entry {
                let what = format!("replica {id} applied another entry {}", entry.index);
                return self.fail(what);
            }
            let place = (id, entry.index, entry.term);
            if let Some(value) = self.placed.remove(&place) {
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
        let saved = running.writer.save(&Snapshot { head: head.clone(), data: data.clone() });
        if saved.is_ok_and(|saved| saved) {
            let image = SnapshotImage { head, data: Arc::new(data) };
            self.input(id, Input::Compact(image));
        }
    }
}
