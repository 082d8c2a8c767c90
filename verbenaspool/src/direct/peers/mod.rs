//! The other entries (peers), as known from their digests.
//!
//! Each entry sends a digest to all others every few tens of milliseconds. The digest has
//! the entry's requests in flight by upstream, so that entries share the capacity of each
//! upstream even if callers are spread unevenly over entries. It also has the versions of
//! the entry's configuration and registry, so that an entry that can't reach the store
//! fetches newer ones from a peer.

mod catch_up;
mod exchange;
mod subscription;

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use verbenaspool_protocol::digest::Digest;

use self::catch_up::Versions;
pub use self::{
    catch_up::{catch_up, register_methods},
    exchange::{bind, broadcast, receive_messages, send_digests},
    subscription::send_subscriptions,
};
use super::gateway::Gateway;

/// Interval between digests with few peers, short enough that entries rarely use the same
/// slot of an upstream.
const DIGEST_INTERVAL: Duration = Duration::from_millis(30);

/// Each peer adds this to the interval between digests.
const DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_millis(4);

/// Minimum interval between digests per peer. It limits an entry to sending and receiving
/// 80 digests per second with any number of entries. Longer intervals are acceptable there:
/// agents report the load of upstreams in groups, and an entry learns of a newer version
/// from the first peer that has it.
const MIN_DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_micros(12_500);

/// How long the requests of a silent peer count at least. A partitioned peer still has them,
/// and they end within a few seconds.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Number of consecutive digests of a live peer that may be lost.
const MAX_LOST_DIGESTS: u32 = 3;

/// All peers count as known if no new one was discovered for this long.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Assumed minimum number of entries while some may be undiscovered.
const ASSUMED_ENTRIES: usize = 32;

/// How long datagrams may arrive out of order.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// How long digests are still sent to a silent peer, to detect the end of a partition.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Maximum number of peers named in a digest: while some may be undiscovered, and after that.
const MAX_NAMED_PEERS: [usize; 2] = [24, 4];

/// State of one peer.
#[derive(Debug, Default)]
struct Peer {
    /// When the last digest was received, if any.
    last_received: Option<Duration>,
    /// When the peer was discovered or the last digest was received, whichever is later.
    last_active: Duration,
    digest: Digest,
}

/// The known peers.
#[derive(Debug)]
pub struct Peers {
    /// Address of this entry. Digests of peers and the seeds contain it as well.
    own_address: IpAddr,
    known: HashMap<Ipv4Addr, Peer>,
    digests_sent: u64,
    /// Since when a peer has had a newer version, if any.
    behind_since: Option<Duration>,
    /// When the last new peer was discovered.
    last_discovery: Duration,
}

impl Peers {
    /// Creates an empty set of peers for the entry at the given address.
    pub fn new(own_address: IpAddr) -> Self {
        Self {
            own_address,
            known: HashMap::new(),
            digests_sent: 0,
            behind_since: None,
            last_discovery: Duration::ZERO,
        }
    }

    /// Number of live entries, including this one.
    pub fn live_entries(&self, now: Duration) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Number of entries among which shared limits are divided.
    ///
    /// An entry that has just started knows few peers. If all entries of a large fleet start
    /// at the same time, each would take the share of one among a few, and all of them
    /// together would exceed the limit many times.
    pub fn sharing_entries(&self, now: Duration) -> usize {
        let entries = self.live_entries(now);
        if self.is_settled(now) {
            entries
        } else {
            entries.max(ASSUMED_ENTRIES)
        }
    }

    /// Number of known entries, including this one and silent ones.
    pub fn known_entries(&self) -> usize {
        1 + self.known.len()
    }

    /// Whether probably all peers have been discovered.
    fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_discovery) >= DISCOVERY_TIME
    }

    fn live_peers(&self, now: Duration) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let timeout = PEER_TIMEOUT.max(digest_interval(self.known.len()) * (MAX_LOST_DIGESTS + 1));
        let is_live = move |peer: &Peer| {
            peer.last_received
                .is_some_and(|received| now.saturating_sub(received) < timeout)
        };
        self.known.iter().filter(move |(_, peer)| is_live(peer))
    }

    /// Records a digest. Returns whether it was accepted.
    fn receive(&mut self, now: Duration, from: Ipv4Addr, digest: Digest) -> bool {
        for &other in digest.peers.iter().take(MAX_NAMED_PEERS[0]) {
            self.add(now, other);
        }
        self.add(now, from);
        let Some(peer) = self.known.get_mut(&from) else {
            return false;
        };
        let order = |digest: &Digest| (digest.incarnation, digest.sequence);
        // After a silence any digest is accepted: a restarted process may have a lower
        // incarnation if the system clock was set back.
        let is_recent = |received: Duration| now.saturating_sub(received) < REORDER_WINDOW;
        if peer.last_received.is_some_and(is_recent) && order(&digest) <= order(&peer.digest) {
            return false;
        }
        peer.last_received = Some(now);
        peer.last_active = now;
        peer.digest = digest;
        true
    }

    /// Adds a possible peer, unless it is known already.
    fn add(&mut self, now: Duration, address: Ipv4Addr) {
        if self.own_address == address {
            return;
        }
        let last_discovery = &mut self.last_discovery;
        self.known.entry(address).or_insert_with(|| {
            *last_discovery = now;
            Peer {
                last_active: now,
                ..Peer::default()
            }
        });
    }

    /// Removes peers that have been silent for long.
    fn remove_silent(&mut self, now: Duration) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.last_active) < FORGET_AFTER);
    }

    /// Number of requests that peers have in flight at each upstream, by its hash.
    fn peer_load(&self, now: Duration) -> HashMap<u32, u32> {
        let mut sums = HashMap::new();
        for (_, peer) in self.live_peers(now) {
            for load in &peer.digest.in_flight {
                *sums.entry(load.upstream).or_default() += load.requests;
            }
        }
        sums
    }

    /// The peers that have a newer configuration or registry.
    fn newer_peers(&self, now: Duration, versions: Versions) -> Vec<Ipv4Addr> {
        let is_newer = |peer: &Peer| {
            peer.digest.table_version > versions.table
                || peer.digest.registry_revision > versions.registry
                || peer.digest.evacuation_revision > versions.evacuations
        };
        let newer = self.live_peers(now).filter(|(_, peer)| is_newer(peer));
        newer.map(|(address, _)| *address).collect()
    }
}

impl Gateway {
    /// Number of entries among which shared limits are divided. Without seeds other than
    /// itself, an entry doesn't assume undiscovered peers.
    pub fn sharing_entries(&self, now: Duration) -> usize {
        let settings = self.settings.borrow();
        let has_other_seeds = settings
            .seeds
            .iter()
            .any(|seed| seed.ip() != settings.address);
        let peers = self.peers.borrow();
        if has_other_seeds {
            peers.sharing_entries(now)
        } else {
            peers.live_entries(now)
        }
    }

    /// Number of entries that share upstreams which recover from an outage. Silent peers are
    /// included, because partitioned ones recover at the same time.
    pub fn known_entries(&self) -> u32 {
        u32::try_from(self.peers.borrow().known_entries()).unwrap_or(u32::MAX)
    }
}

/// The interval between digests for a number of peers.
fn digest_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    (DIGEST_INTERVAL + DIGEST_INTERVAL_PER_PEER * peers).max(MIN_DIGEST_INTERVAL_PER_PEER * peers)
}

#[cfg(test)]
mod tests;
