//! The logger of a process.

use pond_settings::{Log, LogFormat};
use slog::{Drain, Level, LevelFilter, o};

/// A logger. Clones write to the same output.
pub type Logger = slog::Logger;

/// Maximum number of queued log lines; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 4096;

/// Starts the logger of a process. A dedicated thread writes the lines to standard error.
pub fn start(settings: Log) -> Logger {
    let level = if settings.debug { Level::Debug } else { Level::Info };
    match settings.format {
        LogFormat::Silent => silent(),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            let drain = slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY).build();
            slog::Logger::root(LevelFilter::new(drain, level).fuse(), o!())
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            let drain = slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY).build();
            slog::Logger::root(LevelFilter::new(drain, level).fuse(), o!())
        }
    }
}

/// Starts a logger whose dedicated thread writes JSON lines to standard output. Lines beyond its
/// queue are dropped, and their number is logged.
pub fn start_stdout(debug: bool) -> Logger {
    let level = if debug { Level::Debug } else { Level::Info };
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY).build();
    slog::Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}

/// Returns the process name as a key-value pair for every line of its logger.
pub fn process_name(name: &str) -> slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + use<>> {
    o!("process" => name.to_owned())
}

/// Creates a logger that discards everything.
pub fn silent() -> Logger {
    slog::Logger::root(slog::Discard, o!())
}
