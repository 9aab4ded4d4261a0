//! Claims: they ensure at most one run for each service and idempotency key.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::wire::Verdict;
use pond_proto::{Millis, Span};
use serde::{Deserialize, Serialize};

use crate::reply::Decided;

/// How long a claim is kept after it was made, in milliseconds: one day.
pub const RETENTION_MS: Span = 24 * 3600 * 1000;

/// Maximum number of claims. Further ones are refused, and no claim is dropped early.
pub const MAX_CLAIMS: usize = 500_000;

/// The largest answer that is kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4096;

/// Maximum total size of kept answers, in bytes; beyond it claims are kept without answers.
pub const MAX_ANSWERS_BYTES: usize = 64 << 20;

/// The request that holds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The incarnation of the entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The number of the request within the incarnation.
    pub number: u64,
}

/// An answer that is kept to reply to a resent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`.
    pub content_type: String,
    /// The complete body.
    pub body: Vec<u8>,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    holder: Holder,
    digest: u32,
    ended: bool,
    answer: Option<KeptAnswer>,
}

/// A service and an idempotency key.
type Name = (String, String);

/// All claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    table: BTreeMap<String, BTreeMap<String, Claim>>,
    /// The claims in the order in which they were made, with the time and the holder.
    made: VecDeque<(Millis, Name, Holder)>,
    count: usize,
    answers_bytes: usize,
}

impl Claims {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Decides a claim. A holder that repeats its claim is granted it again, because the first
    /// answer may have been lost before the request ran.
    pub fn claim(&mut self, at: Millis, name: Name, digest: u32, holder: Holder) -> Decided {
        self.expire(at);
        let (service, key) = name.clone();
        if let Some(claim) = self.table.get(&service).and_then(|keys| keys.get(&key)) {
            return decide(claim, digest, holder);
        }
        if self.count >= MAX_CLAIMS {
            return Decided::new(Verdict::Full);
        }
        let claim = Claim { holder, digest, ended: false, answer: None };
        self.table.entry(service).or_default().insert(key, claim);
        self.made.push_back((at, name, holder));
        self.count += 1;
        Decided::new(Verdict::Granted)
    }

    /// Records how a claimed request ended. Reports from others than the holder are ignored.
    pub fn end(&mut self, name: &Name, holder: Holder, not_run: bool, answer: Option<KeptAnswer>) {
        let Some(keys) = self.table.get_mut(&name.0) else { return };
        let Some(claim) = keys.get_mut(&name.1).filter(|claim| claim.holder == holder) else {
            return;
        };
        if claim.ended {
            return;
        }
        if not_run {
            keys.remove(&name.1);
            self.count -= 1;
            if keys.is_empty() {
                self.table.remove(&name.0);
            }
            return;
        }
        claim.ended = true;
        let room = MAX_ANSWERS_BYTES.saturating_sub(self.answers_bytes);
        claim.answer = answer.filter(|a| a.body.len() <= MAX_ANSWER_BYTES && a.body.len() <= room);
        self.answers_bytes += claim.answer.as_ref().map_or(0, |answer| answer.body.len());
    }

    /// Drops claims that are older than [`RETENTION_MS`].
    fn expire(&mut self, at: Millis) {
        while self.made.front().is_some_and(|(made, _, _)| at.since(*made) > RETENTION_MS) {
            let Some((_, (service, key), holder)) = self.made.pop_front() else { return };
            let Some(keys) = self.table.get_mut(&service) else { continue };
            if keys.get(&key).is_none_or(|claim| claim.holder != holder) {
                continue;
            }
            if let Some(claim) = keys.remove(&key) {
                self.count -= 1;
                self.answers_bytes -= claim.answer.map_or(0, |answer| answer.body.len());
            }
            if keys.is_empty() {
                self.table.remove(&service);
            }
        }
    }
}

fn decide(claim: &Claim, digest: u32, holder: Holder) -> Decided {
    let verdict = match (claim.digest == digest, claim.ended, &claim.answer) {
        (false, _, _) => Verdict::Mismatch,
        (true, false, _) if claim.holder == holder => Verdict::Granted,
        (true, false, _) => Verdict::Held,
        (true, true, None) => Verdict::Ended,
        (true, true, Some(_)) => Verdict::Answered,
    };
    let answer = claim.answer.clone().filter(|_| verdict == Verdict::Answered);
    Decided { verdict: verdict as i32, answer }
}
