//! Distribution of maps from the lead to the other agents, and limits on the bandwidth
//! that the agents of a large group use.
//!
//! Load: a group of 63 ranks or more on instances with links of 8 Mbit/s. Maps are sent
//! along a tree of relays, see [`tree`], and wait in an outbox until the link has
//! capacity. All ranks send choices to the lead, at an interval that grows with their
//! number.

use std::{net::IpAddr, rc::Rc, time::Duration};

use rand::seq::SliceRandom;
use verbenaspool_coordination::tree;
use verbenaspool_protocol::{member::Difference, message::Message};

use super::agent_state::AgentState;

/// Fraction of the link that messages in the outbox use. The rest is left to states,
/// orders and choices, which are sent immediately.
const PACED_LINK_RATIO: f64 = 0.5;

/// Fraction of the lead's link that the choices of all ranks may use. With 63 ranks and
/// 2,016 counts per 0.1 s they would use 1.3 times a link of 8 Mbit/s, by calculation.
const CHOICES_LINK_RATIO: f64 = 0.4;

/// Bytes per count, including its share of the datagram's header. Most counts are below
/// 128 and are encoded in one byte.
const BYTES_PER_COUNT: f64 = 1.2;

/// Size of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

impl AgentState {
    /// Sends a map to the ranks that have to prepare it, through relays.
    ///
    /// Each attempt chooses other relays at random: one that crashed, froze or is cut off
    /// would otherwise keep the map from the same ranks forever. Nothing is added while
    /// messages of the previous attempt still wait in the outbox.
    pub(super) fn distribute_map(self: &Rc<Self>, preparing: &[(u64, usize)], epoch: u64) {
        let Some(&(version, _)) = preparing.first() else {
            return;
        };
        if !self.outbox.borrow().is_empty() {
            return;
        }
        let ranks = preparing.iter().map(|(_, rank)| *rank);
        let mut ranks: Vec<u16> = ranks.filter_map(|rank| rank.try_into().ok()).collect();
        ranks.shuffle(&mut rand::rng());
        // Ranks of the same zone are adjacent, so that few messages cross zones.
        ranks.sort_by_key(|rank| {
            self.membership
                .borrow()
                .get(*rank)
                .map(|member| member.state.zone)
        });
        let differences = match &*self.lead.borrow() {
            Some(lead) => lead.difference_parts(version, epoch),
            None => return,
        };
        for difference in &differences {
            self.send_to_branches(difference, &ranks);
        }
    }

    /// Relays a message of the lead to the ranks that it lists.
    pub(super) fn relay(self: &Rc<Self>, difference: &Difference) {
        self.send_to_branches(difference, &difference.descendants);
    }

    /// Sends a message to some of the ranks, which relay it to the others.
    fn send_to_branches(self: &Rc<Self>, difference: &Difference, ranks: &[u16]) {
        for branch in tree::branches(ranks) {
            let agent = self
                .membership
                .borrow()
                .get(branch.relay)
                .map(|member| member.agent);
            let Some(agent) = agent else {
                continue;
            };
            let message = Message::Difference(Difference {
                descendants: branch.descendants,
                ..difference.clone()
            });
            self.send_paced(agent, &message);
        }
    }

    /// Sends a message as soon as the link has capacity for it.
    pub(super) fn send_paced(self: &Rc<Self>, agent: IpAddr, message: &Message) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.push_back((agent, message.encode()));
        if outbox.len() == 1 {
            let shared = self.clone();
            monoio::spawn(async move { shared.drain_outbox().await });
        }
    }

    /// Sends the messages in the outbox one by one. A message stays in the outbox until
    /// its transfer time has elapsed.
    async fn drain_outbox(&self) {
        loop {
            let next = self.outbox.borrow().front().cloned();
            let Some((agent, bytes)) = next else {
                return;
            };
            let time = self.transfer_time(bytes.len() + DATAGRAM_HEADER_BYTES, PACED_LINK_RATIO);
            self.send_bytes(agent, bytes).await;
            self.clock.sleep(time).await;
            self.outbox.borrow_mut().pop_front();
        }
    }

    /// Time to transfer a number of bytes with a fraction of the link's bandwidth.
    fn transfer_time(&self, bytes: usize, link_ratio: f64) -> Duration {
        let bits_per_second = (self.settings.link_mbps * 1e6 * link_ratio).max(1.0);
        #[allow(clippy::cast_precision_loss)] // Signals are short.
        let bits = bytes as f64 * 8.0;
        Duration::from_secs_f64(bits / bits_per_second)
    }

    /// Interval at which a rank sends its choices, so that those of all ranks fit in their
    /// share of the lead's link. The lead's link is assumed to have the same bandwidth as
    /// the own one.
    pub(super) fn choices_interval(&self) -> Duration {
        let size = self
            .state()
            .map_or(0, |state| usize::from(state.group_size));
        self.choices_transfer_time(size, CHOICES_LINK_RATIO)
    }

    /// Time to transfer the choices of a number of ranks with a fraction of the link's
    /// bandwidth.
    pub(super) fn choices_transfer_time(&self, ranks: usize, link_ratio: f64) -> Duration {
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let counts = self.counts_per_rank() as f64 * BYTES_PER_COUNT;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // It is small.
        let bytes = counts as usize * ranks;
        self.transfer_time(bytes, link_ratio)
    }
}
