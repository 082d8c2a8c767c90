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
    pub(super) async fn look_up(&self, entry: IpAddr, near: bool) {
        let now = self.clock.now();
        let known = self.is_complete() && self.experts.get().is_some();
        let pause = LOOKUP_INTERVALS[usize::from(known)]
            * if near { 1 } else { CROSS_ZONE_INTERVAL_FACTOR };
        let waits = |(_, at): (IpAddr, Duration)| now.saturating_sub(at) < pause;
        if self.asked.get().is_some_and(waits) {
            return;
        }
        self.asked.set(Some((entry, now)));
        self.send(entry, &Message::Lookup).await;
    }

    /// Takes in what an entry says that was asked.
    pub(super) fn learn(&self, entry: IpAddr, members: &ServiceInfo) {
        let now = self.clock.now();
        let expected = |(asked, at): (IpAddr, Duration)| {
            asked == entry && now.saturating_sub(at) < LOOKUP_TIMEOUT
        };
        if !self.asked.get().is_some_and(expected) {
            return;
        }
        self.instances
            .replace(members.instances.iter().copied().collect());
        self.limit.set(Some(members.slots));
        self.pass.set(members.min_pass_time);
        if self.experts.replace(members.experts) != members.experts {
            info!(self.log, "Agent: The experts of the service are known.";
                "experts" => format!("{:?}", members.experts), "from" => entry.to_string());
        }
    }
}
