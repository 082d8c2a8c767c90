//! Which entries watch the store.
//!
//! Load: hundreds of entries, and a store that counts each call. If every entry watched it,
//! each change would be read once per entry. Two entries of each zone watch instead, and the
//! others get changes from them. Every entry decides by itself, by the digests of the others.
//! If two views differ, a few entries more or less watch for a moment. If no entry of a zone
//! reaches the store, the zone gets changes from other zones' entries.

use std::{net::Ipv4Addr, time::Duration};

use verbenaspool_protocol::digest::{self, StoreAccess};

use super::{PEER_TIMEOUT, Peer, Peers};
use crate::direct::gateway::Gateway;

/// Number of entries of a zone that watch the store. The other one goes on if one is cut off
/// from the store and detects it late.
const WATCHERS_PER_ZONE: usize = 2;

/// Maximum number of entries of a zone that try to reach the store while it turns entries
/// away. If it turns a third of them away, one in 6,500 zones has no watcher.
const MAX_CANDIDATES: usize = 8;

/// Number of intervals between digests after which a zone that sent none counts as unreachable. Entries of
/// large fleets get digests from a sample of other zones' entries only.
const ZONE_TIMEOUT_INTERVALS: u32 = 16;

/// Minimum interval between renewals of watches because calls of peers fail, since each has a cost.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// After this time an entry watches the store even if it still discovers peers.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(2);

impl Peers {
    /// Whether this entry watches the store, if its process started at time zero.
    #[must_use]
    pub fn watches_store(&self, now: Duration) -> bool {
        let is_discovering = !self.is_settled(now) && now < MAX_DISCOVERY_TIME;
        !is_discovering && self.watch_index(now).is_some()
    }

    /// Number of entries that watch the store before this one, if it watches: the first one of each zone
    /// comes before the second one of any.
    #[must_use]
    pub fn watch_rank(&self, now: Duration) -> usize {
        let reaching = |zone: &u32| self.reaches_store(now, *zone);
        let zones = self.zones.keys().filter(|zone| reaching(zone));
        let before = zones.clone().filter(|zone| **zone < self.own_zone).count();
        let index = self.watch_index(now).unwrap_or_default();
        index * (1 + zones.count()) + before
    }

    /// Whether another zone has entries that reach the store, as far as is known.
    fn reaches_store(&self, now: Duration, zone: u32) -> bool {
        let timeout = PEER_TIMEOUT.max(self.digest_interval() * ZONE_TIMEOUT_INTERVALS);
        let reported_at = self.zones.get(&zone).map(|size| size.reported_at);
        let is_live = reported_at.is_some_and(|at| now.saturating_sub(at) < timeout);
        let mut members = self
            .live_peers(now)
            .filter(|(_, peer)| peer.digest.zone == zone)
            .peekable();
        let is_known = members.peek().is_some();
        is_live && (!is_known || members.any(|(_, peer)| reaches(peer)))
    }

    /// The position of this entry among those of its zone that watch the store, if it is one of them.
    fn watch_index(&self, now: Duration) -> Option<usize> {
        let own = match self.own_address {
            std::net::IpAddr::V4(address) => order(address),
            std::net::IpAddr::V6(_) => return Some(0),
        };
        let candidates = self.live_peers(now).filter(|(address, peer)| {
            self.is_same_zone(peer) && !peer.digest.leaving && order(**address) < own
        });
        let (mut before, mut reaching) = (0, 0);
        for (_, peer) in candidates {
            before += 1;
            reaching += usize::from(reaches(peer));
        }
        (before < MAX_CANDIDATES && reaching < WATCHERS_PER_ZONE).then_some(reaching)
    }

    /// Whether a peer's last call to the store failed, as far as is known.
    #[must_use]
    pub fn is_cut_off(&self, address: Ipv4Addr) -> bool {
        let peer = self.known.get(&address);
        peer.is_some_and(|peer| peer.digest.store == StoreAccess::CutOff)
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

/// Whether the store answered a peer's last call, or the peer made none.
fn reaches(peer: &Peer) -> bool {
    !peer.digest.leaving && peer.digest.store != StoreAccess::CutOff
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

    /// Has watches renewed as calls of a peer begin to fail. One that was sent before an outage of the store
    /// may be answered after it, and registrations that expired meanwhile would seem removed.
    pub fn check_store(&self) {
        let now = self.clock.now();
        let elapsed = now.saturating_sub(self.store_checked_at.get());
        if elapsed >= MIN_CHECK_INTERVAL && self.watches_store() {
            self.store_checked_at.set(now);
            self.renew_watches.notify_waiters();
        }
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
