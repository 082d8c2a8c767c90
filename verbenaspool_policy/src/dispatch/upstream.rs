//! One upstream of a service, as an entry knows it.

use std::{rc::Rc, time::Duration};

use verbenaspool_state::replica;

use super::health::UpstreamHealth;

/// How long an agent is believed that its rank's group is broken. It says so
/// twice a second; one that is silent may be cut off while its rank serves.
const CLOSED_REPORT_TTL: Duration = Duration::from_millis(1_600);

/// How long the word of an agent counts on what its upstream has, in place of what other
/// entries say. Agents of other zones speak each four seconds.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(9);

/// How long one word of an agent may be overtaken by others.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// Requests beyond which no upstream has any in its line.
const MAX_REPORTED_REQUESTS: u32 = 10_000;

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
    /// Those of them for which its agent is being asked.
    pub asking: u32,
    /// Requests of other entries that it has, as reckoned with.
    pub others: u32,
    /// Fewer than that, as they said last, and from when on that is believed.
    pub fewer: Option<(u32, Duration)>,
    /// The group whose ranks make each pass together; 0 where it isn't known.
    pub group: u32,
    /// Whether it is worth sending to.
    pub trust: UpstreamHealth,
    /// How many times longer than usual it takes for its work, as its agent says.
    pub pace: f64,
    /// When its agent said so.
    pub said: Duration,
    /// The number of the agent's last word on what it has, and when that came.
    pub told: Option<(u64, Duration)>,
    /// Until when its agent isn't asked, which was silent.
    pub silent: Duration,
}

impl Upstream {
    /// Whether it takes requests, as far as it and its agent say.
    pub fn is_open(&self, now: Duration) -> bool {
        self.ready && !self.is_closed(now)
    }

    /// Whether its agent reported lately that its group runs nothing.
    pub fn is_closed(&self, now: Duration) -> bool {
        let closed = |said: Duration| now.saturating_sub(said) < CLOSED_REPORT_TTL;
        self.closed.is_some_and(closed)
    }

    /// Whether its agent reported lately whether its group runs.
    pub fn is_reported(&self, now: Duration) -> bool {
        self.group != 0 && now.saturating_sub(self.said) < CLOSED_REPORT_TTL
    }

    /// Whether its agent told lately what it has.
    pub fn is_told(&self, now: Duration) -> bool {
        let lately = |(_, at): (u64, Duration)| now.saturating_sub(at) < LOAD_REPORT_TTL;
        self.told.is_some_and(lately)
    }

    /// Whether its agent was silent when it was asked lately.
    pub fn is_silent(&self, now: Duration) -> bool {
        now < self.silent
    }

    /// Takes in how many requests it has, by its agent; tells whether that is believed.
    ///
    /// Requests of this entry that the agent is being asked for aren't among them yet.
    /// Behind a silence any number is believed: an agent that was started again counts
    /// anew where the time of day was put back.
    pub fn load(&mut self, now: Duration, number: u64, requests: u32) -> bool {
        let overtaken =
            |(last, at): (u64, Duration)| number <= last && now.saturating_sub(at) < REORDER_WINDOW;
        if requests > MAX_REPORTED_REQUESTS || self.told.is_some_and(overtaken) {
            return false;
        }
        self.told = Some((number, now));
        self.others = requests.saturating_sub(self.own.saturating_sub(self.asking));
        self.fewer = None;
        true
    }

    pub fn new(replica: &replica::Replica) -> Self {
        Self {
            zone: replica.zone.clone(),
            slots: replica.slots,
            ready: true,
            closed: None,
            own: 0,
            asking: 0,
            others: 0,
            fewer: None,
            group: 0,
            trust: UpstreamHealth::default(),
            pace: 1.0,
            said: Duration::ZERO,
            told: None,
            silent: Duration::ZERO,
        }
    }
}
