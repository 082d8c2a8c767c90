//! Crashes of the upstream, and the requests that it had.
//!
//! The agent outlives its upstream and sees the requests of all entries, so entries learn from
//! its reports which requests crash upstreams, also those that have just started.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use slog::warn;
use verbenaspool_protocol::report;
use verbenaspool_state::fingerprint::Fingerprint;

use crate::shared::Shared;

/// The most requests that are remembered.
const MAX_RECORDS: usize = 256;

/// How long they are reported.
const REPORT_PERIOD: Duration = Duration::from_mins(10);

/// How long the upstream, on the same instance, has to refuse a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// A request that the upstream had as it crashed.
#[derive(Debug)]
struct Record {
    fingerprint: Fingerprint,
    at: Duration,
    ran: Option<Duration>,
}

/// The requests that the upstream had as it crashed, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    records: RefCell<VecDeque<Record>>,
    /// Broken answers whose cause is being looked for.
    pending: Cell<u32>,
}

impl Crashes {
    /// Whether the cause of a broken answer is being looked for.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending.get() > 0
    }

    /// The requests, as reports tell them.
    pub(crate) fn reports(&self, now: Duration) -> Vec<report::Crash> {
        let mut records = self.records.borrow_mut();
        records.retain(|record| now.saturating_sub(record.at) < REPORT_PERIOD);
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let reports = records.iter().map(|record| report::Crash {
            request: record.fingerprint,
            age_ms: ms(now.saturating_sub(record.at)),
            ran_ms: record.ran.map(ms),
        });
        reports.collect()
    }

    fn push(&self, record: Record) {
        let mut records = self.records.borrow_mut();
        if records.len() >= MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }
}

/// Finds out whether the upstream crashed that broke off its answer to a request, which it had
/// been giving for so long, and remembers that.
pub(crate) async fn detect(shared: Rc<Shared>, fingerprint: Fingerprint, ran: Option<Duration>) {
    let crashes = &shared.crashes;
    crashes.pending.set(crashes.pending.get() + 1);
    let upstream = shared.upstream();
    if shared.client.is_refused_by(upstream, PROBE_TIMEOUT).await {
        warn!(shared.log, "upstream crashed"; "fingerprint" => fingerprint.to_string(),
            "ran_ms" => ran.map(|ran| ran.as_secs_f64() * 1e3));
        let at = shared.clock.now();
        crashes.push(Record {
            fingerprint,
            at,
            ran,
        });
    }
    crashes.pending.set(crashes.pending.get() - 1);
}
