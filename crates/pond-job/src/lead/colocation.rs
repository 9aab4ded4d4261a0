//! Serving and filling tasks that share a worker, as the model of harm knows them.

use pond_proto::fleet::RunRow;

use super::image::Image;

/// Serving tasks of one image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingLoad {
    /// Their image.
    pub image: Image,
    /// Their target, in milliseconds.
    pub target_ms: u32,
    /// The highest load among them, as a pressure.
    pub load: f64,
}

/// A filling task on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BestEffort {
    /// Its image.
    pub image: Image,
    /// The share of the worker's processors that it uses at full pace.
    pub share: f64,
}

/// Whether a serving run is at work; until then it answers nobody, so it has no tail to keep.
pub(super) fn at_work(row: &RunRow) -> bool {
    row.percent == 100
}

/// The share of a worker's processors that so many thousandths of one are.
pub(super) fn share(milli_cpu: u32, of: u32) -> f64 {
    f64::from(milli_cpu) / f64::from(of.max(1))
}

/// A pressure in whole thousandths, zero for a negative one.
pub(super) fn permille(pressure: f64) -> u32 {
    (pressure * 1_000.0) as u32
}
