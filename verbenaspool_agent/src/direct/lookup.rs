//! Service information from entries: the instances of the service, and the configuration
//! of its engines.
//!
//! Load: hundreds of agents. When each of them read the registry and the configuration
//! from the store until its group was complete, every read transferred some hundred
//! kilobytes. Entries follow both anyway, and one datagram from an entry contains all that
//! an agent needs.

use std::{net::IpAddr, time::Duration};

use slog::info;
use verbenaspool_protocol::{message::Message, reservation::ServiceInfo};

use super::agent_state::AgentState;

/// Intervals between requests to an entry: the first while agents of the group are
/// unknown, the second otherwise. The information rarely changes for a group.
const LOOKUP_INTERVALS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(20)];

/// Time within which an entry has to answer. Service information that wasn't requested is
/// ignored, since anyone can send a datagram.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Factor by which the interval is longer for entries of other zones, whose answers are
/// charged as cross-zone traffic.
const CROSS_ZONE_INTERVAL_FACTOR: u32 = 2;

impl AgentState {
    /// Requests service information from an entry that has just sent a message, if the
    /// interval has elapsed.
    pub(super) async fn request_service_info(&self, entry: IpAddr, same_zone: bool) {
        let now = self.clock.now();
        let complete = self.knows_whole_group() && self.experts.get().is_some();
        let interval = LOOKUP_INTERVALS[usize::from(complete)]
            * if same_zone {
                1
            } else {
                CROSS_ZONE_INTERVAL_FACTOR
            };
        let is_recent = |(_, at): (IpAddr, Duration)| now.saturating_sub(at) < interval;
        if self.last_lookup.get().is_some_and(is_recent) {
            return;
        }
        self.last_lookup.set(Some((entry, now)));
        self.send(entry, &Message::Lookup).await;
    }

    /// Stores the service information, if it answers the last request.
    pub(super) fn handle_service_info(&self, entry: IpAddr, info: &ServiceInfo) {
        let now = self.clock.now();
        let expected = |(asked_entry, at): (IpAddr, Duration)| {
            asked_entry == entry && now.saturating_sub(at) < LOOKUP_TIMEOUT
        };
        if !self.last_lookup.get().is_some_and(expected) {
            return;
        }
        self.instances
            .replace(info.instances.iter().copied().collect());
        self.slot_count.set(Some(info.slots));
        self.min_pass_time.set(info.min_pass_time);
        if self.experts.replace(info.experts) != info.experts {
            info!(self.log, "received the service's experts";
                "experts" => format!("{:?}", info.experts), "from" => entry.to_string());
        }
    }
}
