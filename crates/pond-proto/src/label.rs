//! Labels on VMs and units.

use std::collections::BTreeMap;

/// Label keys and their values, in key order.
///
/// Ordered so that every replica writes the same bytes.
pub type Labels = BTreeMap<String, String>;
