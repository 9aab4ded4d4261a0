//! Labels on VMs and units.

use std::collections::BTreeMap;

/// Label keys and their values, sorted by key.
///
/// The order is fixed so that every replica serializes the same labels to the same bytes.
pub type Labels = BTreeMap<String, String>;
