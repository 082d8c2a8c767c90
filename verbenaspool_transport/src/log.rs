//! Logging: plain text on standard error or JSON lines on standard output.

use std::{io, sync::mpsc, thread, time::Duration};

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, Logger, o};

mod queue;

/// Log level and output format.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The lowest severity that is logged.
    pub level: Threshold,
    /// The output format.
    pub form: Form,
}

/// The lowest severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Threshold {
    /// Faults that need an operator's attention.
    Error,
    /// Also conditions that may lead to a fault.
    Warning,
    /// Also each change of the process's own state.
    #[default]
    Info,
    /// Also each request.
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

/// The output format.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Plain text for people.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Opens the log. Lines pass through a bounded queue to a writer thread, so that
/// a stalled terminal doesn't delay requests. Lines that exceed the queue are
/// dropped and counted.
///
/// ```
/// use verbenaspool_transport::log;
///
/// let log = log::open(log::Settings::default());
/// slog::info!(log, "agent started");
/// ```
pub fn open(settings: Settings) -> Logger {
    let (log, guard) = open_with_guard(settings);
    // Dropping the guard would stop the writer thread.
    std::mem::forget(guard);
    log
}

/// Opens the log with a guard that flushes queued lines when it is dropped.
///
/// ```
/// use verbenaspool_transport::log;
///
/// let (log, guard) = log::open_with_guard(log::Settings::default());
/// slog::info!(log, "agent stopped");
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

/// Flushes queued lines when it is dropped.
///
/// The last lines distinguish a stop from a crash and would otherwise be lost in
/// the queue at exit. A stalled reader must not block the exit, so the flush is
/// limited in time.
#[derive(Debug)]
pub struct Guard(Option<WriterThread>);

/// Stops the writer thread when it is dropped.
struct WriterThread(slog_async::AsyncGuard);

impl std::fmt::Debug for WriterThread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WriterThread").finish_non_exhaustive()
    }
}

/// How long a process waits at exit for queued lines to be written. A reader that
/// keeps up needs a few milliseconds.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(WriterThread(guard)) = self.0.take() else {
            return;
        };
        let (done, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // The receiver is gone after the timeout.
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
