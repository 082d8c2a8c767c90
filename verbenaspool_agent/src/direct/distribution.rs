//! Maps on their way from the lead to the other agents, and how much of a link the
//! agents of a large group use.
//!
//! Load: a group of 63 ranks or more on instances with links of 8 Mbit/s. Maps go by a
//! tree of relays, as [`tree`] tells, and wait in an outbox until the link has room;
//! choices, which all ranks send to the lead, come the less often the more there are.

use std::{net::IpAddr, rc::Rc, time::Duration};

use rand::seq::SliceRandom;
use verbenaspool_coordination::tree;
use verbenaspool_protocol::{member::Difference, message::Message};

use super::agent_state::AgentState;

/// The part of the link that waiting messages are sent at. The rest is for states, orders
/// and choices, which don't wait.
const PACED_LINK_RATIO: f64 = 0.5;

/// The part of the lead's link that choices of all ranks may take. With 63 ranks and
/// 2,016 counts each 0.1 s they would take 1.3 times a link of 8 Mbit/s, as reckoned.
const CHOICES_LINK_RATIO: f64 = 0.4;

/// Bytes that one count takes, with its part of the datagram's head: most counts are
/// below 128 and take one.
const BYTES_PER_COUNT: f64 = 1.2;

/// What a datagram takes on the link beside its messages: the heads of IP and UDP.
const DATAGRAM_HEADER_BYTES: usize = 28;

impl AgentState {
    /// Sends a map to the ranks that are to copy, by relays.
    ///
    /// Each time other ranks are relays: one that died, froze or is cut off would keep
    /// the map from the same ranks for good. While messages of the time before still wait
    /// for the link, nothing is added to them.
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
        // Ranks of one zone are next to each other, so that few messages cross zones.
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

    /// Passes a message of the lead on to the ranks that it names.
    pub(super) fn relay(self: &Rc<Self>, difference: &Difference) {
        self.send_to_branches(difference, &difference.descendants);
    }

    /// Sends a message to some ranks, which pass it on to the others.
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

    /// Sends a message once the link has room for it.
    pub(super) fn send_paced(self: &Rc<Self>, agent: IpAddr, message: &Message) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.push_back((agent, message.encode()));
        if outbox.len() == 1 {
            let shared = self.clone();
            monoio::spawn(async move { shared.drain_outbox().await });
        }
    }

    /// Sends what waits in the outbox, one message after the other. A message stays in it
    /// until its time on the link is over.
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

    /// How long so many bytes take on a part of the link.
    fn transfer_time(&self, bytes: usize, link_ratio: f64) -> Duration {
        let bits_per_second = (self.settings.link_mbps * 1e6 * link_ratio).max(1.0);
        #[allow(clippy::cast_precision_loss)] // Signals are short.
        let bits = bytes as f64 * 8.0;
        Duration::from_secs_f64(bits / bits_per_second)
    }

    /// How often choices are told, so that those of all ranks fit in their part of the
    /// lead's link, which is taken to be like this one.
    pub(super) fn choices_interval(&self) -> Duration {
        let size = self
            .state()
            .map_or(0, |state| usize::from(state.group_size));
        self.choices_transfer_time(size, CHOICES_LINK_RATIO)
    }

    /// How long the choices of so many ranks take on a part of the link.
    pub(super) fn choices_transfer_time(&self, ranks: usize, link_ratio: f64) -> Duration {
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let counts = self.counts_per_rank() as f64 * BYTES_PER_COUNT;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // It is small.
        let bytes = counts as usize * ranks;
        self.transfer_time(bytes, link_ratio)
    }
}
