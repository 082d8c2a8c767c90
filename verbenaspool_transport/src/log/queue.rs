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
pub const LINES: usize = 4_096;

/// Lines of them that are kept for warnings and errors: those of a second in which
/// all requests of an entry fail.
pub const KEPT: usize = 1_024;

/// What the two ends of the queue know of each other.
#[derive(Debug, Default)]
struct Counts {
    /// Lines that wait.
    waiting: AtomicUsize,
    /// Lines that were dropped and not told of yet.
    dropped: AtomicUsize,
}

/// The end of the queue that takes lines in; it never waits.
pub struct Entrance {
    queue: Async,
    counts: Arc<Counts>,
}

/// The end that writes them.
struct Exit<D> {
    lines: D,
    counts: Arc<Counts>,
}

/// A queue before a drain, and the guard that writes out what waits.
pub fn bounded<D>(lines: D) -> (Entrance, AsyncGuard)
where
    D: Drain<Ok = (), Err = io::Error> + Send + 'static,
{
    let counts = Arc::new(Counts::default());
    let exit = Exit {
        lines,
        counts: counts.clone(),
    };
    let queue = Async::new(exit.ignore_res()).chan_size(LINES);
    let (queue, guard) = queue.build_with_guard();
    (Entrance { queue, counts }, guard)
}

impl Drain for Entrance {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let serious = record.level().is_at_least(Level::Warning);
        let room = if serious { LINES } else { LINES - KEPT };
        let waiting = &self.counts.waiting;
        if waiting.fetch_add(1, Ordering::Relaxed) >= room {
            waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        // The queue takes as many lines as are counted, so that it has room for this.
        let _ = self.queue.log(record, values);
        Ok(())
    }
}

impl<D> Drain for Exit<D>
where
    D: Drain<Ok = (), Err = io::Error>,
{
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), io::Error> {
        let dropped = self.counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let none = OwnedKVList::from(o!());
            self.lines.log(
                &slog::record!(
                    Level::Warning,
                    "",
                    &format_args!("Log: Lines were dropped; they came faster than they were read."),
                    b!("lines" => dropped)
                ),
                &none,
            )?;
        }
        let written = self.lines.log(record, values);
        self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
        written
    }
}

#[cfg(test)]
mod tests;
