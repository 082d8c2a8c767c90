//! The entries that hear how an agent's rank stands, and when each is told.
//!
//! Load: tens of entries before hundreds of ranks. Entries in the rank's availability
//! zone send most requests there, and hear of what it has within 0.1 s; messages within a
//! zone cost nothing. The others, which are most, hear of it each few seconds, and
//! at once only when the rank's group or its pace changes: they ask before they send.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

/// How long an entry that asked is told.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(9);

/// How often an entry nearby hears at most of requests that come and go.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// How often entries nearby hear if nothing changes, and all do while the group runs
/// nothing: an entry forgets within 1.6 s that a group is closed.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How often entries of other zones hear while the group runs.
const CROSS_ZONE_REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// What entries are told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// The rank's pace; none while its group runs nothing.
    pub pace: Option<f32>,
    /// Requests that it has.
    pub requests: u32,
}

/// One entry.
#[derive(Debug, Clone, Copy)]
struct Listener {
    until: Duration,
    near: bool,
    /// What it was told last, and when; none before the first time.
    told: Option<(Standing, Duration)>,
}

impl Listener {
    /// Whether it is to be told how the rank stands now.
    fn is_due(&self, now: Duration, standing: Standing) -> bool {
        let Some((told, at)) = self.told else {
            return true;
        };
        if told.pace != standing.pace {
            return true;
        }
        let pause = match (standing.pace, self.near) {
            (Some(_), true) if told.requests != standing.requests => MIN_REPORT_INTERVAL,
            (Some(_), false) => CROSS_ZONE_REPORT_INTERVAL,
            _ => MAX_REPORT_INTERVAL,
        };
        now.saturating_sub(at) >= pause
    }
}

/// The entries that hear how a rank stands.
#[derive(Debug, Default)]
pub struct Listeners(BTreeMap<IpAddr, Listener>);

impl Listeners {
    /// An entry wants to hear, which is in the rank's zone or not.
    pub fn subscribe(&mut self, now: Duration, entry: IpAddr, near: bool) {
        let until = now + SUBSCRIPTION_TTL;
        let listener = self.0.entry(entry).or_insert(Listener {
            until,
            near,
            told: None,
        });
        listener.until = until;
        listener.near = near;
    }

    /// The entries that are to be told how the rank stands now; they count as told.
    pub fn due(&mut self, now: Duration, standing: Standing) -> Vec<IpAddr> {
        self.0.retain(|_, listener| now < listener.until);
        let mut due = Vec::new();
        for (entry, listener) in &mut self.0 {
            if listener.is_due(now, standing) {
                listener.told = Some((standing, now));
                due.push(*entry);
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
