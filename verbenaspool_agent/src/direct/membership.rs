//! The agents beside the other ranks, as they were heard.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

use verbenaspool_coordination::switch::HOLDER_RANK;
use verbenaspool_protocol::member::State;

/// How long one datagram may be overtaken by others.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// How long a member is remembered whose agent is silent.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Ranks whose agents may stand in for a lead that is silent, itself included. A few are
/// enough: all of them would have to be stopped at once.
pub const MAX_STAND_INS: u16 = 8;

/// One agent and its rank.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where its agent is.
    pub agent: IpAddr,
    /// What it said last.
    pub state: State,
    /// When.
    pub received_at: Duration,
}

/// The agents of a group by rank.
#[derive(Debug, Default)]
pub struct Membership(BTreeMap<u16, Member>);

impl Membership {
    /// Takes a state in; tells whether it is news.
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

    /// The member of a rank.
    pub fn get(&self, rank: u16) -> Option<&Member> {
        self.0.get(&rank)
    }

    /// All membership that were heard not too long ago.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let recent = move |member: &&Member| now.saturating_sub(member.received_at) < FORGET_AFTER;
        self.0.values().filter(recent)
    }

    /// The agents that hear many times a second how a rank stands.
    ///
    /// The lead decides by the messages of all ranks, and the rank that holds passes is
    /// the first to stand in for it; those that may stand in behind it have to know of
    /// these two, to see whether a lead is silent and a pass is held. With all ranks
    /// telling all others a group of 32 would send 9,900 datagrams a second, two in three
    /// between zones.
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

    /// Forgets all: the rank sits in another group.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;
