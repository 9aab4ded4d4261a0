//! Interference estimates of a leader, kept in the replicated state for the next one.
//!
//! Without them a new leader would have to learn the interference again, and serving tasks would miss their
//! targets in the meantime.

use std::collections::BTreeMap;

use pond_proto::Millis;
use serde::{Deserialize, Serialize};

/// How much best-effort images slow down serving ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    /// When the estimates were recorded, on the operators' clock of the leader that recorded them.
    pub at: Millis,
    /// Estimates by image of the serving tasks.
    pub images: BTreeMap<String, Image>,
}

/// Estimates for the serving tasks of one image. Four-byte floats suffice: the figures are uncertain by more than
/// one percent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Image {
    /// Tail latency on an idle worker, in milliseconds.
    pub idle_ms: f32,
    /// The best-effort images, in the order of `means` and `covariances`.
    #[serde(rename = "fillers")]
    pub best_effort: Vec<String>,
    /// Utilization that each image adds, per share of the worker's processors.
    pub means: Vec<f32>,
    /// Covariances of the means, row by row.
    #[serde(rename = "spread")]
    pub covariances: Vec<Vec<f32>>,
}
