//! Starts structured logging: JSON lines on standard error, or on standard output through a bounded
//! queue.

pub use tracing_appender::non_blocking::ErrorCounter;
use tracing_subscriber::EnvFilter;

/// Starts logging with the filter `level`, such as `info` or `gaplock_entry=debug,info`.
///
/// # Errors
/// Returns why the filter does not parse or logging can't start.
pub fn start(level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log: {e}"))?;
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init()
        .map_err(|e| e.to_string())
}

/// Keeps the writer of queued logs running; dropping it writes the lines that are still queued.
pub struct LogGuard {
    _writer: tracing_appender::non_blocking::WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the counter of lines that were dropped because the output was not read fast enough.
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// The most lines that wait to be written. Further lines are dropped, so that logging never blocks.
const QUEUED_LINES: usize = 8_192;

/// Starts logging to standard output through a queue that drops lines instead of blocking.
///
/// # Errors
/// Returns why the filter `level` does not parse or logging can't start.
pub fn start_bounded(level: &str) -> Result<LogGuard, String> {
    let filter = EnvFilter::try_new(level).map_err(|e| format!("--log: {e}"))?;
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|e| e.to_string())?;
    Ok(LogGuard { _writer: guard, dropped })
}
