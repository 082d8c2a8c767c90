//! Whether the ranks of a group take requests at all, by what they answer.
//!
//! Load: a group that has broken, or forms anew after a restart of everything, turns
//! all requests away, and so does a zone that is cut off. Each request may be sent to
//! few upstreams. Without this, hundreds of requests spend their sendings in a moment
//! on ranks that can't run anything, and the retry budget with them; their callers,
//! who come back once, are told to do so before there is anything to come back to.
//! So one rank's refusal speaks for its group: a single request goes there now and
//! then to look, until one is taken or the rank's agent says that the group runs.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

/// Interval between requests that probe whether a group takes requests again. A probe
/// is lost to its caller if it is the last attempt.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Ranks that can't be reached, one after the other, before their group counts as out
/// of reach. A single one may have crashed, and its group says so by itself.
const MIN_UNREACHABLE_RANKS: usize = 3;

/// What the ranks of one group answered lately.
#[derive(Debug, Default)]
pub struct Circuit {
    /// When the next request may look, where the group takes none.
    next_probe: Option<Duration>,
    /// Ranks that couldn't be reached since one took a request.
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

    /// A request is sent to the group.
    pub fn record_sent(&mut self, now: Duration) {
        if self.next_probe.is_some() {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
    }

    /// A rank took a request, or its agent says that the group runs.
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

    /// A rank with little to do turned a request away.
    pub fn open(&mut self, now: Duration) {
        if self.next_probe.is_none() {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
    }

    /// A rank couldn't be reached, or another process than the rank was there.
    pub fn record_unreachable(&mut self, now: Duration, rank: &Rc<str>) {
        self.unreachable_ranks.insert(rank.clone());
        if self.unreachable_ranks.len() >= MIN_UNREACHABLE_RANKS {
            self.open(now);
        }
    }
}
