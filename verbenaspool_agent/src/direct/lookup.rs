//! What an agent learns from entries: who the other agents of its service are, and what
//! the configuration says of its engines.
//!
//! Load: hundreds of agents. Each read the registry and the configuration from the store
//! again and again until its group was whole, some hundred kilobytes a time. Entries
//! follow both anyhow, and one datagram of theirs says all that an agent needs.

use std::{net::IpAddr, time::Duration};

use slog::info;
use verbenaspool_protocol::{message::Message, reservation::ServiceInfo};

use super::agent_state::AgentState;

/// How often an entry is asked: often while agents of the group are missing, seldom
/// otherwise. Both change little for a group.
const LOOKUP_INTERVALS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(20)];

/// How long an entry has to answer. Whoever else sends such a message isn't believed.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// How much longer an entry of another zone isn't asked, whose answer is paid for.
const CROSS_ZONE_INTERVAL_FACTOR: u32 = 2;

impl AgentState {
    /// Asks an entry that has just spoken, if it is time.
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

    /// Takes in what an entry says that was asked.
    pub(super) fn handle_service_info(&self, entry: IpAddr, info: &ServiceInfo) {
        let now = self.clock.now();
        let expected = |(asked, at): (IpAddr, Duration)| {
            asked == entry && now.saturating_sub(at) < LOOKUP_TIMEOUT
        };
        if !self.last_lookup.get().is_some_and(expected) {
            return;
        }
        self.instances
            .replace(info.instances.iter().copied().collect());
        self.slot_count.set(Some(info.slots));
        self.min_pass_time.set(info.min_pass_time);
        if self.experts.replace(info.experts) != info.experts {
            info!(self.log, "Agent: The experts of the service are known.";
                "experts" => format!("{:?}", info.experts), "from" => entry.to_string());
        }
    }
}
