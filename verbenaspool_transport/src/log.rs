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
    let (log, guard) = open_with_guard(settings);
    // Without a guard the queue is written for as long as the process lives.
    std::mem::forget(guard);
    log
}

/// Opens the log with a guard, which writes out what waits when it is dropped.
///
/// ```
/// use verbenaspool_transport::log;
///
/// let (log, guard) = log::open_with_guard(log::Settings::default());
/// slog::info!(log, "Agent: Stopped.");
/// drop(guard);
/// ```
pub fn open_with_guard(settings: Settings) -> (Logger, Guard) {
    match settings.form {
        Form::Terminal => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            root(
                slog_term::FullFormat::new(decorator).build(),
                settings.level,
            )
        }
        Form::Json => root(slog_json::Json::default(io::stdout()), settings.level),
    }
}

/// Writes out what waits when it is dropped.
///
/// The last lines tell a stop from a crash, and waited in the queue when the
/// process ended. A reader that has stalled must not keep the process either, so
/// the wait has an end.
#[derive(Debug)]
pub struct Guard(Option<WriterThread>);

/// The thread that writes lines.
struct WriterThread(slog_async::AsyncGuard);

impl std::fmt::Debug for WriterThread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WriterThread").finish_non_exhaustive()
    }
}

/// How long a process waits at its end for lines to be written. A reader that
/// keeps up takes a few milliseconds.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(WriterThread(guard)) = self.0.take() else {
            return;
        };
        let (done, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // Nobody waits any more where the time was over.
            let _ = done.send(());
        });
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn root<D>(drain: D, threshold: Threshold) -> (Logger, Guard)
where
    D: Drain<Ok = (), Err = io::Error> + Send + 'static,
{
    let (queue, guard) = queue::bounded(drain);
    let level = Level::from(threshold);
    let log = Logger::root(queue.filter_level(level).ignore_res(), o!());
    (log, Guard(Some(WriterThread(guard))))
}
