//! The state of one upstream, as seen by an entry.

use std::{rc::Rc, time::Duration};

use verbenaspool_state::{rate_limit::RateLimit, replica};

use super::{health::Health, speed::Speed};
use crate::{rate_limit::Pacer, warm_up::Window};

/// How long an agent's report that its group is down or running stays valid. Agents report
/// twice a second. An agent without recent reports may be cut off while its rank serves.
const STATUS_REPORT_TTL: Duration = Duration::from_millis(1_600);

/// How long an agent's load report takes precedence over the digests of other entries.
/// Agents of other zones report every four seconds.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(9);

/// How long a new upstream's first report takes at most: an agent answers a subscription
/// within 0.1 s, and an entry that starts subscribes at once.
const FIRST_REPORT_TIME: Duration = Duration::from_millis(500);

/// How long after a load report another one with a lower sequence number may still arrive.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// Larger request counts are implausible; no upstream queues as many.
const MAX_REPORTED_REQUESTS: u32 = 10_000;

/// One upstream of the service.
#[derive(Debug)]
pub struct Upstream {
    /// Its availability zone.
    pub zone: Rc<str>,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether the operator has evacuated its availability zone.
    pub evacuated: bool,
    /// Until when it warms up and takes few requests.
    pub warm_up_until: Duration,
    /// Requests that this entry sent to it while it warmed up.
    pub warm_up_window: Window,
    /// The limit by its last answer, if there was one.
    pub rate_limit: Option<RateLimit>,
    /// Requests that this entry sent to it while it limited them.
    pub pacer: Pacer,
    /// When its group was last reported to be down; `None` while the group runs.
    pub group_down_at: Option<Duration>,
    /// Requests in flight from this entry.
    pub own_requests: u32,
    /// The part of `own_requests` with a pending reservation.
    pub reserving: u32,
    /// Requests in flight from other entries, as used for placement.
    pub peer_requests: u32,
    /// A lower value of `peer_requests`, and when it takes effect.
    pub pending_decrease: Option<(u32, Duration)>,
    /// The group whose ranks run passes in lock-step; 0 if unknown.
    pub group: u32,
    /// Outcomes of recent attempts.
    pub health: Health,
    /// How fast it is, by its responses.
    pub speed: Speed,
    /// While the load that it told in a response takes precedence over digests: until when, and the
    /// requests of other entries by their digests.
    pub told_load: Option<(Duration, u32)>,
    /// How many times longer than usual its work takes, by its agent's report.
    pub pace: f64,
    /// When its agent last reported group and pace.
    pub status_at: Duration,
    /// When it was added; `None` for a moment.
    pub added_at: Option<Duration>,
    /// Sequence number and time of the last load report.
    pub load_report: Option<(u64, Duration)>,
    /// Until when its unresponsive agent isn't asked.
    pub agent_backoff_until: Duration,
    /// Whether its agent keeps to the limits that its answers name.
    pub agent_paces: bool,
    /// Until when its agent grants nothing because of a limit.
    pub paused_until: Duration,
}

impl Upstream {
    /// Whether it takes requests, as far as the operator, it and its agent say.
    pub fn is_available(&self, now: Duration) -> bool {
        self.ready && !self.evacuated && !self.is_group_down(now)
    }

    /// Whether its agent recently reported that its group is down.
    pub fn is_group_down(&self, now: Duration) -> bool {
        let recent = |at: Duration| now.saturating_sub(at) < STATUS_REPORT_TTL;
        self.group_down_at.is_some_and(recent)
    }

    /// Whether its agent recently reported the state of its group.
    pub fn has_fresh_status(&self, now: Duration) -> bool {
        self.group != 0 && now.saturating_sub(self.status_at) < STATUS_REPORT_TTL
    }

    /// Whether its agent recently reported its load.
    pub fn has_fresh_load(&self, now: Duration) -> bool {
        let recent = |(_, at): (u64, Duration)| now.saturating_sub(at) < LOAD_REPORT_TTL;
        self.load_report.is_some_and(recent)
    }

    /// Whether it was added so recently that its agent may not have reported yet.
    pub fn awaits_report(&self, now: Duration) -> bool {
        let is_new = |at: Duration| now.saturating_sub(at) < FIRST_REPORT_TIME;
        self.load_report.is_none() && self.added_at.is_none_or(is_new)
    }

    /// Whether its agent recently failed to answer a reservation.
    pub fn is_agent_unresponsive(&self, now: Duration) -> bool {
        now < self.agent_backoff_until
    }

    /// Records a load report of its agent. Returns whether the report was accepted.
    ///
    /// The report doesn't include requests with a pending reservation. After
    /// [`REORDER_WINDOW`] without reports any sequence number is accepted, because a
    /// restarted agent may start lower if the system clock was set back.
    pub fn record_load(&mut self, now: Duration, sequence: u64, requests: u32) -> bool {
        let outdated = |(last, at): (u64, Duration)| {
            sequence <= last && now.saturating_sub(at) < REORDER_WINDOW
        };
        if requests > MAX_REPORTED_REQUESTS || self.load_report.is_some_and(outdated) {
            return false;
        }
        self.load_report = Some((sequence, now));
        self.peer_requests =
            requests.saturating_sub(self.own_requests.saturating_sub(self.reserving));
        self.pending_decrease = None;
        self.told_load = None;
        true
    }

    pub fn new(replica: &replica::Replica) -> Self {
        Self {
            zone: replica.zone.clone(),
            slots: replica.slots,
            ready: true,
            evacuated: false,
            warm_up_until: Duration::ZERO,
            warm_up_window: Window::default(),
            rate_limit: None,
            pacer: Pacer::default(),
            group_down_at: None,
            own_requests: 0,
            reserving: 0,
            peer_requests: 0,
            pending_decrease: None,
            group: 0,
            health: Health::default(),
            speed: Speed::default(),
            told_load: None,
            pace: 1.0,
            status_at: Duration::ZERO,
            added_at: None,
            load_report: None,
            agent_backoff_until: Duration::ZERO,
            agent_paces: false,
            paused_until: Duration::ZERO,
        }
    }
}
