//! One upstream of a service, as an entry knows it.

use std::{rc::Rc, time::Duration};

use verbenaspool_state::replica;

use super::trust::Trust;

/// How long an agent is believed that its rank's group is broken. It says so
/// twice a second; one that is silent may be cut off while its rank serves.
const BELIEVED: Duration = Duration::from_millis(1_600);

/// One upstream of the service.
#[derive(Debug)]
pub struct Upstream {
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether its group runs nothing, and since when that was said last.
    pub closed: Option<Duration>,
    /// Requests of this entry that it has.
    pub own: u32,
    /// Requests of other entries that it has, as reckoned with.
    pub others: u32,
    /// Fewer than that, as they said last, and from when on that is believed.
    pub fewer: Option<(u32, Duration)>,
    /// The group whose ranks make each pass together; 0 where it isn't known.
    pub group: u32,
    /// Whether it is worth sending to.
    pub trust: Trust,
    /// How many times longer than usual it takes for its work, as its agent says.
    pub pace: f64,
    /// When its agent said so.
    pub said: Duration,
}

impl Upstream {
    /// Whether it takes requests, as far as it and its agent say.
    pub fn is_open(&self, now: Duration) -> bool {
        let closed = |said: Duration| now.saturating_sub(said) < BELIEVED;
        self.ready && !self.closed.is_some_and(closed)
    }

    pub fn new(replica: &replica::Replica) -> Self {
        Self {
            zone: replica.zone.clone(),
            slots: replica.slots,
            ready: true,
            closed: None,
            own: 0,
            others: 0,
            fewer: None,
            group: 0,
            trust: Trust::default(),
            pace: 1.0,
            said: Duration::ZERO,
        }
    }
}
