use std::sync::{Mutex, MutexGuard, PoisonError};

use slog::{Logger, info, warn};

use super::*;

/// A reader of the log, which stalls while `stalled` is locked.
#[derive(Debug, Default)]
struct Reader {
    lines: Mutex<Vec<String>>,
    stalled: Mutex<()>,
}

impl Reader {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes to a reader, blocking while it is stalled.
struct ReaderDrain(Arc<Reader>);

/// Extracts the number of dropped lines that a line reports.
#[derive(Default)]
struct Dropped(usize);

impl slog::Serializer for Dropped {
    fn emit_arguments(&mut self, _: slog::Key, _: &std::fmt::Arguments<'_>) -> slog::Result {
        Ok(())
    }

    fn emit_usize(&mut self, _: slog::Key, value: usize) -> slog::Result {
        self.0 += value;
        Ok(())
    }
}

impl Drain for ReaderDrain {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), io::Error> {
        use slog::KV;
        drop(self.0.stalled.lock());
        let mut dropped = Dropped::default();
        record.kv().serialize(record, &mut dropped).ok();
        values.serialize(record, &mut dropped).ok();
        self.0
            .lines()
            .push(format!("{} {}", record.msg(), dropped.0));
        Ok(())
    }
}

/// A stalled reader must not block logging during a flood of requests, nor cost the lines
/// of the few that fail. When it resumes it gets all warnings and the number of dropped
/// lines.
#[test]
fn a_stalled_reader_loses_only_info_lines() {
    let reader = Arc::new(Reader::default());
    let (producer, guard) = bounded(ReaderDrain(reader.clone()));
    let log = Logger::root(producer.ignore_res(), o!());
    {
        let _stalled = reader.stalled.lock();
        for number in 0..10_000 {
            info!(log, "fine");
            if number % 20 == 0 {
                warn!(log, "failed");
            }
        }
    }
    drop(log);
    drop(guard);
    let lines = reader.lines();
    let count = |prefix: &str| lines.iter().filter(|line| line.starts_with(prefix)).count();
    let reported: usize = lines
        .iter()
        .filter(|line| line.starts_with("log lines dropped;"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok())
        .sum();
    assert_eq!(count("failed"), 500);
    assert!(
        count("fine") >= MAX_QUEUED_LINES - RESERVED_LINES - 500,
        "{}",
        count("fine")
    );
    assert_eq!(reported + count("fine"), 10_000);
}

/// Lines must arrive complete and in order while the reader keeps up.
#[test]
fn a_reader_that_keeps_up_gets_every_line() {
    let reader = Arc::new(Reader::default());
    let (producer, guard) = bounded(ReaderDrain(reader.clone()));
    let log = Logger::root(producer.ignore_res(), o!());
    for number in 0..1_000 {
        info!(log, "{}", number);
    }
    drop(log);
    drop(guard);
    let expected: Vec<String> = (0..1_000).map(|number| format!("{number} 0")).collect();
    assert_eq!(*reader.lines(), expected);
}
