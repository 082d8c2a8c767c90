//! Logs: short sentences, for a person on standard error or as JSON lines on
//! standard output.

use std::{io, sync::mpsc, thread, time::Duration};

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, Logger, o};

mod queue;

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
    let (log, guard) = guarded(settings);
    // Without a guard the queue is written for as long as the process lives.
    std::mem::forget(guard);
    log
}

/// Opens the log with a guard, which writes out what waits when it is dropped.
///
/// ```
/// use verbenaspool_transport::log;
///
/// let (log, guard) = log::guarded(log::Settings::default());
/// slog::info!(log, "Agent: Stopped.");
/// drop(guard);
/// ```
pub fn guarded(settings: Settings) -> (Logger, Guard) {
    match settings.form {
        Form::Terminal => {
            let line = slog_term::PlainDecorator::new(io::stderr());
            drain(slog_term::FullFormat::new(line).build(), settings.level)
        }
        Form::Json => drain(slog_json::Json::default(io::stdout()), settings.level),
    }
}

/// Writes out what waits when it is dropped.
///
/// The last lines tell a stop from a crash, and waited in the queue when the
/// process ended. A reader that has stalled must not keep the process either, so
/// the wait has an end.
#[derive(Debug)]
pub struct Guard(Option<Waiting>);

/// The thread that writes lines.
struct Waiting(slog_async::AsyncGuard);

impl std::fmt::Debug for Waiting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Waiting").finish_non_exhaustive()
    }
}

/// How long a process waits at its end for lines to be written. A reader that
/// keeps up takes a few milliseconds.
const LAST: Duration = Duration::from_millis(200);

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(Waiting(guard)) = self.0.take() else {
            return;
        };
        let (done, wait) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // Nobody waits any more where the time was over.
            let _ = done.send(());
        });
        let _ = wait.recv_timeout(LAST);
    }
}

fn drain<D>(lines: D, threshold: Threshold) -> (Logger, Guard)
where
    D: Drain<Ok = (), Err = io::Error> + Send + 'static,
{
    let (queue, guard) = queue::bounded(lines);
    let level = Level::from(threshold);
    let log = Logger::root(queue.filter_level(level).ignore_res(), o!());
    (log, Guard(Some(Waiting(guard))))
}
