//! Upstreams that entries address directly, as listed in the platform's registry.

use std::{net::SocketAddr, rc::Rc, time::Duration};

/// A running upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Its unique id. Unlike addresses, ids are never reused.
    pub id: Rc<str>,
    /// The service that it runs.
    pub service: Rc<str>,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// When it started, in milliseconds of Unix time; 0 if it doesn't say.
    pub started_at_ms: u64,
    /// How much longer it warms up, counted from its report; `None` if it doesn't say.
    pub warm_up_left: Option<Duration>,
}

impl Replica {
    /// How long ago it started, by its clock and the given Unix time; `None` if it doesn't say.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::replica::{Replica, State};
    ///
    /// let replica = Replica {
    ///     id: "i-1".into(),
    ///     service: "jobs".into(),
    ///     address: "127.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(),
    ///     slots: 1,
    ///     state: State::Ready,
    ///     started_at_ms: 1_000,
    ///     warm_up_left: None,
    /// };
    /// assert_eq!(replica.age(Duration::from_secs(3)), Some(Duration::from_secs(2)));
    /// ```
    #[must_use]
    pub fn age(&self, unix_time: Duration) -> Option<Duration> {
        let started_at = Duration::from_millis(self.started_at_ms);
        (self.started_at_ms != 0).then(|| unix_time.saturating_sub(started_at))
    }

    /// Whether this is a later start than the given one, under the same id. A replica that doesn't
    /// say when it started counts as the same.
    ///
    /// ```
    /// use verbenaspool_state::replica::{Replica, State};
    ///
    /// let replica = Replica {
    ///     id: "i-1".into(),
    ///     service: "jobs".into(),
    ///     address: "127.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(),
    ///     slots: 1,
    ///     state: State::Ready,
    ///     started_at_ms: 1_000,
    ///     warm_up_left: None,
    /// };
    /// assert!(replica.has_restarted_since(900));
    /// assert!(!replica.has_restarted_since(0));
    /// ```
    #[must_use]
    pub fn has_restarted_since(&self, started_at_ms: u64) -> bool {
        let known = self.started_at_ms != 0 && started_at_ms != 0;
        known && self.started_at_ms != started_at_ms
    }
}

/// The state that a replica reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It accepts requests.
    Ready,
    /// It is about to leave and accepts no new requests.
    Draining,
}
