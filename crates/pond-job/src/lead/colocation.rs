//! Serving and best-effort tasks that share a worker, as the interference model sees them.

use pond_proto::fleet::RunRow;

use super::image::Image;

/// Load of the serving tasks of one image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingLoad {
    /// Their image.
    pub image: Image,
    /// Their latency target, in milliseconds.
    pub target_ms: u32,
    /// The highest load among them, as a utilization.
    pub load: f64,
}

/// A best-effort task on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BestEffort {
    /// Its image.
    pub image: Image,
    /// Share of the worker's processors that it uses at full speed.
    pub share: f64,
}

/// Returns whether a serving run is working. Until then it answers no requests and has no tail
/// latency.
pub(super) fn at_work(row: &RunRow) -> bool {
    row.percent == 100
}

/// Returns `milli_cpu` as a share of a worker with `of` processors, both in thousandths of a
/// processor.
pub(super) fn share(milli_cpu: u32, of: u32) -> f64 {
    f64::from(milli_cpu) / f64::from(of.max(1))
}

/// Converts a utilization to whole thousandths; a negative one becomes zero.
pub(super) fn permille(utilization: f64) -> u32 {
    (utilization * 1_000.0) as u32
}
