//! The entries subscribed to the status of an agent's rank, and when it is sent to each.
//!
//! Load: tens of entries in front of hundreds of ranks. Entries in the rank's availability
//! zone send most requests to it, and receive changes of its request count within 0.1 s;
//! messages within a zone are free. The other entries, which are the majority, receive the
//! status every few seconds, and immediately only if the rank's group starts or stops
//! making passes or the rank's pace changes: they reserve a slot before they send a request.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

/// Time for which an entry receives the status after it subscribed.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(9);

/// Minimum interval between messages to an entry of the zone that only report a changed
/// number of requests.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum interval between messages to entries of the zone, and to all entries while the
/// group is incomplete or stalled: entries forget within 1.6 s that it is.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between messages to entries of other zones while the group makes passes.
const CROSS_ZONE_REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// The status sent to entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Snapshot {
    /// The rank's pace; `None` while its group is incomplete or stalled.
    pub pace: Option<f32>,
    /// Number of the rank's requests.
    pub requests: u32,
}

/// A subscribed entry.
#[derive(Debug, Clone, Copy)]
struct Subscriber {
    expires_at: Duration,
    same_zone: bool,
    /// The last status sent to it and when, if any.
    last_sent: Option<(Snapshot, Duration)>,
}

impl Subscriber {
    /// Whether the status has to be sent to it now.
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

/// The entries subscribed to a rank's status.
#[derive(Debug, Default)]
pub struct Subscribers(BTreeMap<IpAddr, Subscriber>);

impl Subscribers {
    /// Adds or renews the subscription of an entry. `same_zone` says whether the entry is
    /// in the rank's zone.
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

    /// Returns the entries to which the status has to be sent now, and records it as sent.
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
