//! Logs: short sentences to standard error, for a person or as JSON.

use std::io;

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, Logger, o};

/// What is logged, and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The least serious level that is logged.
    pub level: Threshold,
    /// The form of a line.
    pub form: Form,
}

/// The least serious level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Threshold {
    /// Only what an operator must look at.
    Error,
    /// And what may become trouble.
    Warning,
    /// And each change of the process's own state.
    #[default]
    Info,
    /// And each request.
    Debug,
}

impl From<Threshold> for Level {
    fn from(threshold: Threshold) -> Self {
        match threshold {
            Threshold::Error => Self::Error,
            Threshold::Warning => Self::Warning,
            Threshold::Info => Self::Info,
            Threshold::Debug => Self::Debug,
        }
    }
}

/// The form of a line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Plain text for a person.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Opens the log. Lines go through a bounded queue to a thread of their own, so
/// that a stalled terminal holds no request back; what is too much is counted
/// and dropped.
///
/// ```
/// use verbenaspool_transport::log;
///
/// let log = log::open(log::Settings::default());
/// slog::info!(log, "Agent: Started.");
/// ```
pub fn open(settings: Settings) -> Logger {
    match settings.form {
        Form::Terminal => {
            let line = slog_term::PlainDecorator::new(io::stderr());
            drain(slog_term::FullFormat::new(line).build(), settings.level)
        }
        Form::Json => drain(slog_json::Json::default(io::stderr()), settings.level),
    }
}

fn drain<D>(lines: D, threshold: Threshold) -> Logger
where
    D: Drain<Ok = (), Err = io::Error> + Send + 'static,
{
    let queue = slog_async::Async::new(lines.ignore_res()).build();
    let level = Level::from(threshold);
    Logger::root(queue.filter_level(level).ignore_res(), o!())
}
