//! The queue before the thread that writes lines.
//!
//! Load: a reader of the log that stalls, or a flood of requests. Lines beyond the
//! queue are dropped, and those of requests that went well fill it first: without a
//! part kept for the others, the one line that an operator will look for is lost among
//! thousands that nobody reads.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use slog::{Drain, Level, Never, OwnedKVList, Record, b, o};
use slog_async::{Async, AsyncGuard};

/// Lines that wait to be written at most: some two megabytes.
pub const MAX_QUEUED_LINES: usize = 4_096;

/// Lines of them that are kept for warnings and errors: those of a second in which
/// all requests of an entry fail.
pub const RESERVED_LINES: usize = 1_024;

/// What the two ends of the queue know of each other.
#[derive(Debug, Default)]
struct Counters {
    /// Lines that wait.
    queued: AtomicUsize,
    /// Lines that were dropped and not told of yet.
    dropped: AtomicUsize,
}

/// The end of the queue that takes lines in; it never waits.
pub struct Producer {
    queue: Async,
    counters: Arc<Counters>,
}

/// The end that writes them.
struct Writer<D> {
    drain: D,
    counters: Arc<Counters>,
}

/// A queue before a drain, and the guard that writes out what waits.
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
        // The queue takes as many lines as are counted, so that it has room for this.
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
                    &format_args!("Log: Lines were dropped; they came faster than they were read."),
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
