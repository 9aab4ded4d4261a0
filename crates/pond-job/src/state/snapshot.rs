//! Snapshots of the state.
//!
//! Replicas of earlier versions decode the state alone and ignore what follows it, so fields that they lack are encoded
//! after the state.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::State;
use crate::origin::Origin;

/// What follows the state in a snapshot.
#[derive(Serialize, Deserialize)]
struct Extension<O, C> {
    /// Origins by job.
    origins: Vec<(u64, O)>,
    /// Ids that were cancelled while no job had them.
    cancelled: C,
}

impl State {
    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    /// Returns the encoder's message; encoding these types is not expected to fail.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        let mut bytes = rmp_serde::to_vec(self).map_err(|error| error.to_string())?;
        let origins = self.active().filter_map(|(id, job)| Some((id, job.origin.as_ref()?)));
        let extension = Extension { origins: origins.collect(), cancelled: &self.cancelled };
        if !extension.origins.is_empty() || !extension.cancelled.is_empty() {
            let encoded = rmp_serde::to_vec(&extension).map_err(|error| error.to_string())?;
            bytes.extend(encoded);
        }
        Ok(bytes)
    }

    /// Decodes the state from a snapshot. Jobs in a snapshot of an earlier version, which lacks their origins, are
    /// assigned to the queue with the name of theirs.
    ///
    /// # Errors
    /// Returns the decoder's message if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<State, String> {
        let mut rest = bytes;
        let mut state: State =
            rmp_serde::from_read(&mut rest).map_err(|error| error.to_string())?;
        if !rest.is_empty() {
            let extension: Extension<Origin, BTreeSet<u64>> =
                rmp_serde::from_read(rest).map_err(|error| error.to_string())?;
            state.cancelled = extension.cancelled;
            for (id, origin) in extension.origins {
                if let Some(job) = state.jobs.get_mut(&id) {
                    job.origin = Some(origin);
                }
            }
        }
        state.infer_origins();
        Ok(state)
    }
}
