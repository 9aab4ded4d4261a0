//! What a leader has learned of harm, as it is kept in the replicated state for the next one.
//!
//! It spares serving tasks the time over their targets that a new leader would need to learn it again.

use std::collections::BTreeMap;

use pond_proto::Millis;
use serde::{Deserialize, Serialize};

/// What filling images do to serving ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    /// When it was written down, on the operators' clock of the leader of that time.
    pub at: Millis,
    /// By the image of the serving tasks.
    pub images: BTreeMap<String, Image>,
}

/// What is known of the serving tasks of an image. Four bytes a figure are enough: the figures are
/// uncertain by more than a hundredth.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Image {
    /// The tail on an idle worker, in milliseconds.
    pub idle_ms: f32,
    /// The filling images, in the order of `means` and `spread`.
    #[serde(rename = "fillers")]
    pub best_effort: Vec<String>,
    /// What each adds to the pressure, over shares of the worker's processors.
    pub means: Vec<f32>,
    /// Covariances of the means, row by row.
    #[serde(rename = "spread")]
    pub covariances: Vec<Vec<f32>>,
}
