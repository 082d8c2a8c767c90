//! Which entries watch the store.
//!
//! Load: hundreds of entries, and a store that counts each call. If every entry watched it,
//! each change would be read once per entry. Two entries of each zone watch instead, and the
//! others get changes from them. Every entry decides by itself, by the digests of the others.
//! If two views differ, a few entries more or less watch for a moment. If no entry of a zone
//! reaches the store, the zone gets changes from other zones' entries.

use std::{net::Ipv4Addr, time::Duration};

use verbenaspool_protocol::digest::{self, StoreAccess};

use super::{Peer, Peers};
use crate::direct::gateway::Gateway;

/// Number of entries of a zone that watch the store. The other one goes on if one is cut off
/// from the store and detects it late.
const WATCHERS_PER_ZONE: usize = 2;

/// Maximum number of entries of a zone that try to reach the store while it turns entries
/// away. If it turns a third of them away, one in 6,500 zones has no watcher.
const MAX_CANDIDATES: usize = 8;

/// After this time an entry watches the store even if it still discovers peers.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(2);

impl Peers {
    /// Whether this entry watches the store, if its process started at time zero.
    #[must_use]
    pub fn watches_store(&self, now: Duration) -> bool {
        if !self.is_settled(now) && now < MAX_DISCOVERY_TIME {
            return false;
        }
        let own = match self.own_address {
            std::net::IpAddr::V4(address) => order(address),
            std::net::IpAddr::V6(_) => return true,
        };
        let candidates = self.live_peers(now).filter(|(address, peer)| {
            self.is_same_zone(peer) && !peer.digest.leaving && order(**address) < own
        });
        let (mut before, mut reaching) = (0, 0);
        for (_, peer) in candidates {
            before += 1;
            reaching += usize::from(peer.digest.store != StoreAccess::CutOff);
        }
        before < MAX_CANDIDATES && reaching < WATCHERS_PER_ZONE
    }

    /// Number of live peers that watch the store, and whose last call it answered.
    #[must_use]
    pub fn watching_peers(&self, now: Duration) -> usize {
        let peers = self.live_peers(now);
        let watching = peers.filter(|(_, peer)| peer.digest.store == StoreAccess::Watching);
        watching.count()
    }

    /// Number of entries that watch the store, including this one.
    #[must_use]
    pub fn watchers(&self, now: Duration) -> usize {
        let is_watching = |peer: &Peer| peer.digest.store == StoreAccess::Watching;
        let same_zone = self
            .live_peers(now)
            .filter(|(_, peer)| self.is_same_zone(peer));
        let same_zone = same_zone.filter(|(_, peer)| is_watching(peer)).count();
        let sizes = self.zones.values().map(|size| size.entries);
        let sizes = sizes.map(|entries| entries[0].max(entries[1]) as usize);
        1 + same_zone + sizes.map(|size| size.min(WATCHERS_PER_ZONE)).sum::<usize>()
    }
}

/// The position of an entry in the order in which those of a zone watch the store.
fn order(address: Ipv4Addr) -> (u32, Ipv4Addr) {
    (digest::hash(&address.to_string()), address)
}

impl Gateway {
    /// Whether this entry watches the store.
    pub fn watches_store(&self) -> bool {
        let now = self.clock.now();
        !self.has_other_seeds() || self.peers.borrow().watches_store(now)
    }

    /// Whether this entry watches the store, as sent to peers.
    pub fn store_access(&self) -> StoreAccess {
        if self.failing_followers.get() > 0 {
            StoreAccess::CutOff
        } else if self.watches_store() {
            StoreAccess::Watching
        } else {
            StoreAccess::Idle
        }
    }
}
