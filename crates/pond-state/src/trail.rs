//! The audit trail and the identities of recent changes.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::audit::Record;
use serde::{Deserialize, Serialize};

use crate::change::{Meta, Order};
use crate::reply::{Refusal, Reply};

/// How many records are kept.
pub const RECORDS_KEPT: usize = 20_000;

/// How many identities of changes are kept, so that resends are known.
pub const IDENTITIES_KEPT: usize = 20_000;

/// What an identity stood for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Known {
    checksum: u32,
    reply: Reply,
}

/// Records of changes, newest last, and what identities led to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    records: VecDeque<Record>,
    known: BTreeMap<String, Known>,
    order: VecDeque<String>,
}

/// The checksum of an order and of the version that it was based on.
fn checksum(meta: &Meta, order: &Order) -> u32 {
    let bytes = rmp_serde::to_vec_named(&(meta.expect, order)).unwrap_or_default();
    crc32c::crc32c(&bytes)
}

impl Trail {
    /// What this change led to, if it came before; a refusal if its identity stood for another.
    pub fn known(&self, meta: &Meta, order: &Order) -> Option<Reply> {
        let known = self.known.get(&meta.request)?;
        if known.checksum == checksum(meta, order) {
            return Some(known.reply.clone());
        }
        Some(Reply::Refused(Refusal::IdentityUsed))
    }

    /// Remembers what a change led to.
    pub fn remember(&mut self, meta: &Meta, order: &Order, reply: &Reply) {
        if meta.request.is_empty() {
            return;
        }
        let known = Known { checksum: checksum(meta, order), reply: reply.clone() };
        if self.known.insert(meta.request.clone(), known).is_none() {
            self.order.push_back(meta.request.clone());
        }
        if self.order.len() > IDENTITIES_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Adds a record.
    pub fn add(&mut self, record: Record) {
        self.records.push_back(record);
        if self.records.len() > RECORDS_KEPT {
            self.records.pop_front();
        }
    }

    /// The newest `count` records, oldest first.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = &Record> {
        self.records.iter().skip(self.records.len().saturating_sub(count))
    }

    /// The records after a version.
    pub fn after(&self, version: u64) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |record| record.version > version)
    }
}
