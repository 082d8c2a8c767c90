//! One upstream of a service, as an entry knows it.

use std::{rc::Rc, time::Duration};

use verbenaspool_state::replica;

use super::health::UpstreamHealth;

/// How long an agent is believed that its rank's group is broken. It says so
/// twice a second; one that is silent may be cut off while its rank serves.
const STATUS_REPORT_TTL: Duration = Duration::from_millis(1_600);

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
    pub group_down_at: Option<Duration>,
    /// Requests of this entry that it has.
    pub own_requests: u32,
    /// Those of them for which its agent is being asked.
    pub reserving: u32,
    /// Requests of other entries that it has, as reckoned with.
    pub peer_requests: u32,
    /// Fewer than that, as they said last, and from when on that is believed.
    pub pending_decrease: Option<(u32, Duration)>,
    /// The group whose ranks make each pass together; 0 where it isn't known.
    pub group: u32,
    /// Whether it is worth sending to.
    pub health: UpstreamHealth,
    /// How many times longer than usual it takes for its work, as its agent says.
    pub pace: f64,
    /// When its agent said so.
    pub status_at: Duration,
    /// The number of the agent's last word on what it has, and when that came.
    pub load_report: Option<(u64, Duration)>,
    /// Until when its agent isn't asked, which was silent.
    pub agent_backoff_until: Duration,
}

impl Upstream {
    /// Whether it takes requests, as far as it and its agent say.
    pub fn is_available(&self, now: Duration) -> bool {
        self.ready && !self.is_group_down(now)
    }

    /// Whether its agent reported lately that its group runs nothing.
    pub fn is_group_down(&self, now: Duration) -> bool {
        let recent = |at: Duration| now.saturating_sub(at) < STATUS_REPORT_TTL;
        self.group_down_at.is_some_and(recent)
    }

    /// Whether its agent reported lately whether its group runs.
    pub fn has_fresh_status(&self, now: Duration) -> bool {
        self.group != 0 && now.saturating_sub(self.status_at) < STATUS_REPORT_TTL
    }

    /// Whether its agent told lately what it has.
    pub fn has_fresh_load(&self, now: Duration) -> bool {
        let recent = |(_, at): (u64, Duration)| now.saturating_sub(at) < LOAD_REPORT_TTL;
        self.load_report.is_some_and(recent)
    }

    /// Whether its agent was silent when it was asked lately.
    pub fn is_agent_unresponsive(&self, now: Duration) -> bool {
        now < self.agent_backoff_until
    }

    /// Takes in how many requests it has, by its agent; tells whether that is believed.
    ///
    /// Requests of this entry that the agent is being asked for aren't among them yet.
    /// Behind a silence any number is believed: an agent that was started again counts
    /// anew where the time of day was put back.
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
        true
    }

    pub fn new(replica: &replica::Replica) -> Self {
        Self {
            zone: replica.zone.clone(),
            slots: replica.slots,
            ready: true,
            group_down_at: None,
            own_requests: 0,
            reserving: 0,
            peer_requests: 0,
            pending_decrease: None,
            group: 0,
            health: UpstreamHealth::default(),
            pace: 1.0,
            status_at: Duration::ZERO,
            load_report: None,
            agent_backoff_until: Duration::ZERO,
        }
    }
}
