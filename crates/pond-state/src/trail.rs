//! The audit trail and the identities of recent changes.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::audit::Record;
use serde::{Deserialize, Serialize};

use crate::change::{Meta, Order};
use crate::reply::{Refusal, Reply};

/// Maximum number of records that are kept.
pub const MAX_RECORDS: usize = 20_000;

/// Maximum number of identities that are kept to recognise resent changes.
pub const MAX_IDENTITIES: usize = 20_000;

/// The change that an identity was used for, and its result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Known {
    checksum: u32,
    reply: Reply,
}

/// Records of changes, newest last, and the results of recent changes by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    records: VecDeque<Record>,
    known: BTreeMap<String, Known>,
    order: VecDeque<String>,
}

/// Returns the checksum of an order and of the version that it was based on.
fn checksum(meta: &Meta, order: &Order) -> u32 {
    let bytes = rmp_serde::to_vec_named(&(meta.expect, order)).unwrap_or_default();
    crc32c::crc32c(&bytes)
}

impl Trail {
    /// Returns the result of this change if it was applied before, or a refusal if its identity was
    /// used for a different one.
    pub fn known(&self, meta: &Meta, order: &Order) -> Option<Reply> {
        let known = self.known.get(&meta.request)?;
        if known.checksum == checksum(meta, order) {
            return Some(known.reply.clone());
        }
        Some(Reply::Refused(Refusal::IdentityUsed))
    }

    /// Records the result of a change under its identity.
    pub fn remember(&mut self, meta: &Meta, order: &Order, reply: &Reply) {
        if meta.request.is_empty() {
            return;
        }
        let known = Known { checksum: checksum(meta, order), reply: reply.clone() };
        if self.known.insert(meta.request.clone(), known).is_none() {
            self.order.push_back(meta.request.clone());
        }
        if self.order.len() > MAX_IDENTITIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Adds a record.
    pub fn add(&mut self, record: Record) {
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the newest `count` records, oldest first.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = &Record> {
        self.records.iter().skip(self.records.len().saturating_sub(count))
    }

    /// Returns the records after a version.
    pub fn after(&self, version: u64) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |record| record.version > version)
    }
}
