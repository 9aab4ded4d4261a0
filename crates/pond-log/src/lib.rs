//! Logs of numbered events, and metrics.
//!
//! Every event has a number, a level and a fixed text in [`events`]; variable data goes into
//! key-value pairs. `docs/EVENTS.md` is generated from the same list and checked against it.

pub mod events;
mod logger;
mod metrics;

pub use logger::{Logger, process_name, silent, start, start_stdout};
pub use metrics::Metrics;
#[doc(hidden)]
pub use slog;

/// Logs an event of the catalogue with key-value pairs.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:ident $(, $key:literal => $value:expr)* $(,)?) => {
        $crate::slog::log!(
            $log,
            $crate::events::$event.level.slog(),
            "",
            "{}",
            $crate::events::$event.text;
            "event" => $crate::events::$event.number
            $(, $key => $value)*
        )
    };
}
