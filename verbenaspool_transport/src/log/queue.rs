//! The bounded queue in front of the log's writer thread.
//!
//! A stalled reader of the log or a flood of requests fills the queue, and further
//! lines are dropped. Part of it is reserved for warnings and errors, since lines of
//! successful requests would otherwise displace the few that an operator needs.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use slog::{Drain, Level, Never, OwnedKVList, Record, b, o};
use slog_async::{Async, AsyncGuard};

/// Capacity of the queue in lines, about two megabytes.
pub const MAX_QUEUED_LINES: usize = 4_096;

/// Part of the capacity reserved for warnings and errors: as many as an entry logs
/// in a second in which all its requests fail.
pub const RESERVED_LINES: usize = 1_024;

/// State shared by the two ends of the queue.
#[derive(Debug, Default)]
struct Counters {
    /// Lines in the queue.
    queued: AtomicUsize,
    /// Dropped lines that haven't been reported yet.
    dropped: AtomicUsize,
}

/// Enqueues lines; never blocks.
pub struct Producer {
    queue: Async,
    counters: Arc<Counters>,
}

/// Writes queued lines to a drain, on the writer thread.
struct Writer<D> {
    drain: D,
    counters: Arc<Counters>,
}

/// Creates a queue in front of a drain, with a guard that flushes it when dropped.
pub fn bounded<D>(drain: D) -> (Producer, AsyncGuard)
where
    D: Drain<Ok = (), Err = io::Error> + Send + 'static,
{
    let counters = Arc::new(Counters::default());
    let writer = Writer {
        drain,
        counters: counters.clone(),
    };
    let queue = Async::new(writer.ignore_res()).chan_size(MAX_QUEUED_LINES);
    let (queue, guard) = queue.build_with_guard();
    (Producer { queue, counters }, guard)
}

impl Drain for Producer {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let may_use_reserve = record.level().is_at_least(Level::Warning);
        let limit = if may_use_reserve {
            MAX_QUEUED_LINES
        } else {
            MAX_QUEUED_LINES - RESERVED_LINES
        };
        let queued = &self.counters.queued;
        if queued.fetch_add(1, Ordering::Relaxed) >= limit {
            queued.fetch_sub(1, Ordering::Relaxed);
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        // The channel can't be full: its capacity is the limit of the lines counted above.
        let _ = self.queue.log(record, values);
        Ok(())
    }
}

impl<D> Drain for Writer<D>
where
    D: Drain<Ok = (), Err = io::Error>,
{
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), io::Error> {
        let dropped = self.counters.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let no_values = OwnedKVList::from(o!());
            self.drain.log(
                &slog::record!(
                    Level::Warning,
                    "",
                    &format_args!(
                        "log lines dropped; they were produced faster than they were read"
                    ),
                    b!("lines" => dropped)
                ),
                &no_values,
            )?;
        }
        let written = self.drain.log(record, values);
        self.counters.queued.fetch_sub(1, Ordering::Relaxed);
        written
    }
}

#[cfg(test)]
mod tests;
