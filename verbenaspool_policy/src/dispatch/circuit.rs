//! Circuit breaker of a group, driven by the answers of its ranks.
//!
//! A group that is down, is forming again after a full restart, or is in a zone that was
//! cut off rejects all requests. Each request may only be sent to a few upstreams. Without
//! a circuit breaker hundreds of requests would use up their attempts and the retry budget
//! within a moment on ranks that can't run anything. Their callers retry once, and would do
//! so before the group is back. One rank's rejection therefore counts for its group: only
//! single probe requests are sent to it, until one is accepted or the rank's agent reports
//! that the group runs.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

/// Interval between requests that probe whether a group takes requests again. A probe is
/// lost to its caller if it is the last attempt.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The number of unreachable ranks that opens the circuit. A single one may have crashed,
/// which its group reports by itself.
const MIN_UNREACHABLE_RANKS: usize = 3;

/// The circuit breaker of one group.
#[derive(Debug, Default)]
pub struct Circuit {
    /// When the next probe may be sent; `None` while the circuit is closed.
    next_probe: Option<Duration>,
    /// Ranks that couldn't be reached since one accepted a request.
    unreachable_ranks: BTreeSet<Rc<str>>,
}

impl Circuit {
    /// Whether a request may be sent to the group now.
    #[must_use]
    pub fn allows_request(&self, now: Duration) -> bool {
        self.next_probe.is_none_or(|probe| now >= probe)
    }

    /// Whether the group takes requests, as far as known.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.next_probe.is_none()
    }

    /// Records that a request was sent to the group.
    pub fn record_sent(&mut self, now: Duration) {
        if self.next_probe.is_some() {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
    }

    /// Closes the circuit: a rank accepted a request, or its agent reported that the group
    /// runs.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::circuit::Circuit;
    ///
    /// let mut circuit = Circuit::default();
    /// circuit.open(Duration::ZERO);
    /// assert!(!circuit.allows_request(Duration::ZERO));
    /// circuit.close();
    /// assert!(circuit.allows_request(Duration::ZERO));
    /// ```
    pub fn close(&mut self) {
        self.next_probe = None;
        self.unreachable_ranks.clear();
    }

    /// Opens the circuit: a rank with less than half of its slots in use rejected a
    /// request, or several ranks couldn't be reached.
    pub fn open(&mut self, now: Duration) {
        if self.next_probe.is_none() {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
    }

    /// Records that a rank couldn't be reached, or that another process answered at its
    /// address.
    pub fn record_unreachable(&mut self, now: Duration, rank: &Rc<str>) {
        self.unreachable_ranks.insert(rank.clone());
        if self.unreachable_ranks.len() >= MIN_UNREACHABLE_RANKS {
            self.open(now);
        }
    }
}
