//! Crashes of the upstream and the requests that were in flight at the time.
//!
//! The agent survives crashes of its upstream and sees the requests of all entries. From its
//! reports, entries learn which requests crash upstreams, including entries that have just
//! started.

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

/// Maximum number of recorded requests.
const MAX_RECORDS: usize = 256;

/// How long a recorded request is reported.
const REPORT_PERIOD: Duration = Duration::from_mins(10);

/// How long to wait for the upstream, on the same instance, to refuse a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// What a request is known by.
#[derive(Debug)]
pub(crate) struct Subject {
    pub(crate) fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Vec<Fingerprint>,
    /// Hash of the customer's name.
    pub(crate) customer: u32,
}

/// A request that was in flight when the upstream crashed.
#[derive(Debug)]
struct Record {
    subject: Subject,
    at: Duration,
    ran: Option<Duration>,
    /// Whether the upstream had sent a part of its response's body.
    written: bool,
}

/// The requests that were in flight when the upstream crashed, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    records: RefCell<VecDeque<Record>>,
    /// Number of interrupted responses whose cause is being determined.
    pending: Cell<u32>,
}

impl Crashes {
    /// Whether the cause of an interrupted response is being determined.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending.get() > 0
    }

    /// The recorded requests, in the form used by reports.
    pub(crate) fn reports(&self, now: Duration) -> Vec<report::Crash> {
        let mut records = self.records.borrow_mut();
        records.retain(|record| now.saturating_sub(record.at) < REPORT_PERIOD);
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let reports = records.iter().map(|record| {
            let subject = &record.subject;
            let parts = (!record.written).then(|| subject.parts.clone());
            report::Crash {
                request: subject.fingerprint,
                age_ms: ms(now.saturating_sub(record.at)),
                ran_ms: record.ran.map(ms),
                customer: parts.as_ref().map_or(0, |_| subject.customer),
                parts: parts.unwrap_or_default(),
            }
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

/// Determines whether the upstream crashed when it interrupted its response to a request, and
/// records the request in that case. `ran` is the time since the response started, and `written`
/// tells whether a part of its body was sent.
pub(crate) async fn detect(
    shared: Rc<Shared>,
    subject: Subject,
    ran: Option<Duration>,
    written: bool,
) {
    let crashes = &shared.crashes;
    crashes.pending.set(crashes.pending.get() + 1);
    let upstream = shared.upstream();
    if shared.client.is_refused_by(upstream, PROBE_TIMEOUT).await {
        warn!(shared.log, "upstream crashed"; "fingerprint" => subject.fingerprint.to_string(),
            "ran_ms" => ran.map(|ran| ran.as_secs_f64() * 1e3));
        let at = shared.clock.now();
        crashes.push(Record {
            subject,
            at,
            ran,
            written,
        });
    }
    crashes.pending.set(crashes.pending.get() - 1);
}
