//! The agents beside the other ranks, as they were heard.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

use verbenaspool_coordination::switch::KEEPER;
use verbenaspool_protocol::seat::State;

/// How long one datagram may be overtaken by others.
const OVERTAKEN: Duration = Duration::from_millis(300);

/// How long a seat is remembered whose agent is silent.
const FORGOTTEN: Duration = Duration::from_secs(20);

/// Ranks whose agents may stand in for a lead that is silent, itself included. A few are
/// enough: all of them would have to be stopped at once.
pub const STANDINS: u16 = 8;

/// One agent and its rank.
#[derive(Debug, Clone)]
pub struct Seat {
    /// Where its agent is.
    pub agent: IpAddr,
    /// What it said last.
    pub state: State,
    /// When.
    pub heard: Duration,
}

/// The agents of a group by rank.
#[derive(Debug, Default)]
pub struct Seats(BTreeMap<u16, Seat>);

impl Seats {
    /// Takes a state in; tells whether it is news.
    pub fn hear(&mut self, now: Duration, agent: IpAddr, state: State) -> bool {
        if let Some(known) = self.0.get(&state.rank) {
            let lately = now.saturating_sub(known.heard) < OVERTAKEN;
            let place = |state: &State| (state.report.epoch, state.number);
            let older = place(&state) <= place(&known.state);
            if known.agent == agent && lately && older {
                return false;
            }
            if known.state.report.epoch > state.report.epoch && known.state.group == state.group {
                return false;
            }
        }
        let heard = now;
        let seat = Seat {
            agent,
            state,
            heard,
        };
        self.0.insert(seat.state.rank, seat);
        true
    }

    /// The seat of a rank.
    pub fn get(&self, rank: u16) -> Option<&Seat> {
        self.0.get(&rank)
    }

    /// All seats that were heard not too long ago.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Seat> {
        let lately = move |seat: &&Seat| now.saturating_sub(seat.heard) < FORGOTTEN;
        self.0.values().filter(lately)
    }

    /// The agents that hear many times a second how a rank stands.
    ///
    /// The lead decides by the words of all ranks, and the rank that holds passes is
    /// the first to stand in for it; those that may stand in behind it have to know of
    /// these two, to see whether a lead is silent and a pass is held. With all ranks
    /// telling all others a group of 32 would send 9,900 datagrams a second, two in three
    /// between zones.
    pub fn audience(&self, now: Duration, rank: u16) -> BTreeSet<IpAddr> {
        let hears = |seat: &&Seat| {
            let seat = seat.state.rank;
            seat <= KEEPER || rank <= KEEPER && seat < STANDINS
        };
        self.iter(now)
            .filter(hears)
            .map(|seat| seat.agent)
            .collect()
    }

    /// Forgets all: the rank sits in another group.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;
