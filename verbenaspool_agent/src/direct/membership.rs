//! The agents of the group's ranks, according to their messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

use verbenaspool_coordination::switch::HOLDER_RANK;
use verbenaspool_protocol::member::State;

/// Maximum time by which a datagram may arrive after later ones.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// Time without a message from its agent after which a member no longer counts as present.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of ranks, the lead's included, whose agents may stand in for a silent lead. A
/// few are enough, since the lead and all stand-ins would have to fail at once.
pub const MAX_STAND_INS: u16 = 8;

/// A rank and its agent.
#[derive(Debug, Clone)]
pub struct Member {
    /// Address of the agent.
    pub agent: IpAddr,
    /// The last state received from it.
    pub state: State,
    /// When the state was received.
    pub received_at: Duration,
}

/// The members of a group, by rank.
#[derive(Debug, Default)]
pub struct Membership(BTreeMap<u16, Member>);

impl Membership {
    /// Records a state. Returns false if it is older than the known one.
    pub fn update(&mut self, now: Duration, agent: IpAddr, state: State) -> bool {
        if let Some(known) = self.0.get(&state.rank) {
            let recent = now.saturating_sub(known.received_at) < REORDER_WINDOW;
            let position = |state: &State| (state.report.epoch, state.sequence);
            let older = position(&state) <= position(&known.state);
            if known.agent == agent && recent && older {
                return false;
            }
            if known.state.report.epoch > state.report.epoch && known.state.group == state.group {
                return false;
            }
        }
        let received_at = now;
        let member = Member {
            agent,
            state,
            received_at,
        };
        self.0.insert(member.state.rank, member);
        true
    }

    /// The member with a rank.
    pub fn get(&self, rank: u16) -> Option<&Member> {
        self.0.get(&rank)
    }

    /// All members from which a state was received recently.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let recent =
            move |member: &&Member| now.saturating_sub(member.received_at) < MEMBER_TIMEOUT;
        self.0.values().filter(recent)
    }

    /// The agents of all members from which a state was received recently.
    pub fn agents(&self, now: Duration) -> Vec<IpAddr> {
        self.iter(now).map(|member| member.agent).collect()
    }

    /// The agents to which the state of a rank is sent many times a second.
    ///
    /// The lead decides by the messages of all ranks, and the rank that holds passes is
    /// the first to stand in for it. The other possible stand-ins only need the states of
    /// these two, to detect that the lead is silent or a pass is held. If all ranks sent
    /// their states to all others, a group of 32 would send 9,900 datagrams a second, two
    /// thirds of them between zones.
    pub fn state_recipients(&self, now: Duration, rank: u16) -> BTreeSet<IpAddr> {
        let is_recipient = |member: &&Member| {
            let member = member.state.rank;
            member <= HOLDER_RANK || rank <= HOLDER_RANK && member < MAX_STAND_INS
        };
        self.iter(now)
            .filter(is_recipient)
            .map(|member| member.agent)
            .collect()
    }

    /// Removes all members, when the rank joins another group.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;
