//! Logs to standard error.
//!
//! Lines pass through a bounded channel to a writing thread, because a blocked
//! terminal or pipe would otherwise stop the one loop. When the channel is
//! full, lines are dropped and their number is reported: logging never costs
//! a request.

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// How many lines may wait to be written.
const WAITING: usize = 1024;

/// How logs look and how much they say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The least important lines that are written.
    pub level: Level,
    /// The form of a line.
    pub form: Form,
}

/// The importance of a line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// The process can't do its work.
    Error,
    /// Something went wrong that operators should look into.
    Warning,
    /// Something changed.
    #[default]
    Info,
    /// For developers.
    Debug,
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warning => Self::Warning,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// The form of a line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// One JSON object a line.
    #[default]
    Json,
    /// For people at a terminal.
    Terminal,
}

/// A logger with the guard that writes what waits when it is dropped.
pub struct Logs {
    /// The logger.
    pub logger: Logger,
    _guard: AsyncGuard,
}

impl std::fmt::Debug for Logs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Logs").finish_non_exhaustive()
    }
}

/// Starts logging to standard error.
///
/// ```
/// use verbenaspool_transport::logs::{self, Settings};
///
/// let logs = logs::start(Settings::default());
/// slog::info!(logs.logger, "entry: put a version in force"; "version" => 7);
/// ```
#[must_use]
pub fn start(settings: Settings) -> Logs {
    match settings.form {
        Form::Json => queue(settings, slog_json::Json::default(std::io::stderr()).fuse()),
        Form::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            queue(
                settings,
                slog_term::FullFormat::new(decorator).build().fuse(),
            )
        }
    }
}

/// A logger that drops everything, for tests and trials.
///
/// ```
/// slog::info!(verbenaspool_transport::logs::none(), "nobody reads this");
/// ```
#[must_use = "a logger writes nothing by itself"]
pub fn none() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Puts the channel in front of a drain.
fn queue<D>(settings: Settings, drain: D) -> Logs
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = Async::new(drain)
        .chan_size(WAITING)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = drain.filter_level(settings.level.into()).fuse();
    Logs {
        logger: Logger::root(drain, o!()),
        _guard: guard,
    }
}
