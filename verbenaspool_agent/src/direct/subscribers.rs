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
pub struct Snapshot {
    /// The rank's pace; none while its group runs nothing.
    pub pace: Option<f32>,
    /// Requests that it has.
    pub requests: u32,
}

/// One entry.
#[derive(Debug, Clone, Copy)]
struct Subscriber {
    expires_at: Duration,
    same_zone: bool,
    /// What it was told last, and when; none before the first time.
    last_sent: Option<(Snapshot, Duration)>,
}

impl Subscriber {
    /// Whether it is to be told how the rank stands now.
    fn is_due(&self, now: Duration, snapshot: Snapshot) -> bool {
        let Some((last_sent, at)) = self.last_sent else {
            return true;
        };
        if last_sent.pace != snapshot.pace {
            return true;
        }
        let pause = match (snapshot.pace, self.same_zone) {
            (Some(_), true) if last_sent.requests != snapshot.requests => MIN_REPORT_INTERVAL,
            (Some(_), false) => CROSS_ZONE_REPORT_INTERVAL,
            _ => MAX_REPORT_INTERVAL,
        };
        now.saturating_sub(at) >= pause
    }
}

/// The entries that hear how a rank stands.
#[derive(Debug, Default)]
pub struct Subscribers(BTreeMap<IpAddr, Subscriber>);

impl Subscribers {
    /// An entry wants to hear, which is in the rank's zone or not.
    pub fn subscribe(&mut self, now: Duration, entry: IpAddr, same_zone: bool) {
        let expires_at = now + SUBSCRIPTION_TTL;
        let subscriber = self.0.entry(entry).or_insert(Subscriber {
            expires_at,
            same_zone,
            last_sent: None,
        });
        subscriber.expires_at = expires_at;
        subscriber.same_zone = same_zone;
    }

    /// The entries that are to be told how the rank stands now; they count as told.
    pub fn due(&mut self, now: Duration, snapshot: Snapshot) -> Vec<IpAddr> {
        self.0.retain(|_, subscriber| now < subscriber.expires_at);
        let mut due = Vec::new();
        for (entry, subscriber) in &mut self.0 {
            if subscriber.is_due(now, snapshot) {
                subscriber.last_sent = Some((snapshot, now));
                due.push(*entry);
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
