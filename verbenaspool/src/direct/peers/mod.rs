//! The other entries (peers), as known from their digests.
//!
//! Each entry sends a digest to others many times a second. The digest has the entry's
//! requests in flight by upstream, so that entries share the capacity of each upstream even
//! if callers are spread unevenly over entries. It also has the versions of the entry's
//! configuration and registry, so that an entry that can't reach the store fetches newer ones
//! from a peer.
//!
//! With few entries, all exchange digests. In a large fleet an entry exchanges digests with
//! the entries of its availability zone, which send requests to the same upstreams, and with
//! a sample of the others. From those it learns newer versions and the number of entries in
//! each zone.

mod catch_up;
mod exchange;
mod subscription;
mod watchers;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet},
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use rand::seq::IteratorRandom;
use verbenaspool_protocol::digest::{Digest, UNKNOWN_ZONE};
use verbenaspool_state::provenance::Provenance;

pub use self::{
    catch_up::{Versions, catch_up, register_methods},
    exchange::{bind, broadcast, receive_messages, send_digests, send_usage},
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

/// With up to this number of peers, digests are sent to all of them.
const MAX_EXCHANGED_PEERS: usize = 64;

/// With more peers, number of peers in other zones that get each digest. Bytes between zones
/// have a cost. A zone of 46 entries that each send four digests a round still reaches each
/// entry of four other zones once a round.
const REMOTE_SAMPLE: usize = 4;

/// How long the requests of a silent peer count at least. A partitioned peer still has them,
/// and they end within a few seconds.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Number of consecutive digests of a live peer that may be lost.
const MAX_LOST_DIGESTS: u32 = 3;

/// All peers count as known if no new one was discovered for this long.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// How long datagrams may arrive out of order.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// How long digests are still sent to a silent peer, to detect the end of a partition.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// How long other peers are asked first after a fetch from a peer failed. A peer whose digests
/// arrive may be too busy to answer calls.
const FETCH_FAILURE_TIME: Duration = Duration::from_secs(10);

/// Maximum number of peers named in a digest, both in and outside of the sender's zone:
/// while some may be undiscovered, and after that.
const MAX_NAMED_PEERS: [usize; 2] = [24, 4];

/// State of one peer.
#[derive(Debug, Default)]
struct Peer {
    /// When the last digest was received, if any.
    last_received: Option<Duration>,
    /// When the peer was discovered or the last digest was received, whichever is later.
    last_active: Duration,
    /// Whether a digest was sent to it.
    contacted: bool,
    /// When a fetch last failed to bring its newer state.
    fetch_failed_at: Option<Duration>,
    digest: Digest,
}

/// The number of entries in another zone, as its entries report it.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneSize {
    /// The largest number reported in the last complete period, and in the current one.
    entries: [u32; 2],
    /// When the current period began.
    since: Duration,
    reported_at: Duration,
}

/// The known peers.
#[derive(Debug)]
pub struct Peers {
    /// Address of this entry. Digests of peers and the seeds contain it as well.
    own_address: IpAddr,
    /// Hash of this entry's zone.
    own_zone: u32,
    known: HashMap<Ipv4Addr, Peer>,
    /// The other zones.
    zones: BTreeMap<u32, ZoneSize>,
    digests_sent: u64,
    /// Since when a peer has had a newer version, if any.
    behind_since: Option<Duration>,
    /// When the last new peer was discovered.
    last_discovery: Duration,
}

impl Peers {
    /// Creates an empty set of peers for the entry at the given address, with the hash of its
    /// zone.
    #[must_use]
    pub fn new(own_address: IpAddr, own_zone: u32) -> Self {
        Self {
            own_address,
            own_zone,
            known: HashMap::new(),
            zones: BTreeMap::new(),
            digests_sent: 0,
            behind_since: None,
            last_discovery: Duration::ZERO,
        }
    }

    /// Number of live entries, including this one.
    #[must_use]
    pub fn live_entries(&self, now: Duration) -> usize {
        let in_zone = self
            .live_peers(now)
            .filter(|(_, peer)| self.is_same_zone(peer));
        1 + in_zone.count() + self.entries_of_other_zones()
    }

    /// Number of entries among which shared limits are divided, including silent ones: a
    /// partitioned entry still uses its share. `None` while some may be undiscovered.
    ///
    /// If all entries of a large fleet start at the same time, each knows few peers. If they
    /// took the shares of these, they would exceed a limit many times together.
    #[must_use]
    pub fn sharing_entries(&self, now: Duration) -> Option<usize> {
        self.is_settled(now).then(|| self.known_entries())
    }

    /// Number of known entries, including this one and silent ones.
    #[must_use]
    pub fn known_entries(&self) -> usize {
        self.zone_entries() + self.entries_of_other_zones()
    }

    /// Number of known entries in this entry's zone, including this one and silent ones.
    fn zone_entries(&self) -> usize {
        1 + self
            .known
            .values()
            .filter(|peer| self.is_same_zone(peer))
            .count()
    }

    /// Number of entries in other zones.
    fn entries_of_other_zones(&self) -> usize {
        let sizes = self.zones.values().map(|size| size.entries);
        sizes
            .map(|entries| entries[0].max(entries[1]) as usize)
            .sum()
    }

    /// Whether a peer is in this entry's zone. Peers of the previous version don't send their
    /// zone and count one by one, like those of this entry's zone; those of an unknown zone
    /// that sent no digest don't count.
    fn is_same_zone(&self, peer: &Peer) -> bool {
        peer.digest.zone == self.own_zone
            || peer.digest.zone == UNKNOWN_ZONE && peer.last_received.is_some()
    }

    /// Whether probably all peers have been discovered.
    fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_discovery) >= DISCOVERY_TIME
    }

    fn live_peers(&self, now: Duration) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let timeout = PEER_TIMEOUT.max(self.digest_interval() * (MAX_LOST_DIGESTS + 1));
        let is_live = move |peer: &Peer| {
            peer.last_received
                .is_some_and(|received| now.saturating_sub(received) < timeout)
        };
        self.known.iter().filter(move |(_, peer)| is_live(peer))
    }

    /// Whether the requests of the peer at an address count.
    #[must_use]
    pub fn is_live(&self, now: Duration, address: Ipv4Addr) -> bool {
        self.live_peers(now).any(|(live, _)| *live == address)
    }

    /// Records a digest. Returns whether it was accepted.
    pub fn receive(&mut self, now: Duration, from: Ipv4Addr, digest: Digest) -> bool {
        for &other in digest.peers.iter().take(MAX_NAMED_PEERS[0]) {
            self.add(now, other, UNKNOWN_ZONE);
        }
        for &other in digest.zone_peers.iter().take(MAX_NAMED_PEERS[0]) {
            self.add(now, other, digest.zone);
        }
        self.add(now, from, digest.zone);
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
        if digest.zone != UNKNOWN_ZONE && digest.zone != self.own_zone {
            self.zones
                .entry(digest.zone)
                .or_default()
                .record(now, digest.zone_entries);
        }
        peer.digest = digest;
        true
    }

    /// Adds a possible peer, unless it is known already.
    pub fn add(&mut self, now: Duration, address: Ipv4Addr, zone: u32) {
        if self.own_address == address {
            return;
        }
        let few = self.known.len() < MAX_EXCHANGED_PEERS;
        let same_zone = zone == self.own_zone;
        let new_zone = !same_zone && zone != UNKNOWN_ZONE && !self.zones.contains_key(&zone);
        let peer = self.known.entry(address).or_insert_with(|| {
            if few || same_zone || new_zone {
                self.last_discovery = now;
            }
            Peer {
                last_active: now,
                ..Peer::default()
            }
        });
        if zone != UNKNOWN_ZONE && peer.digest.zone == UNKNOWN_ZONE {
            peer.digest.zone = zone;
            if same_zone {
                self.last_discovery = now;
            }
        }
    }

    /// Removes peers and zones that have been silent for long.
    pub fn remove_silent(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < FORGET_AFTER;
        self.known.retain(|_, peer| is_recent(peer.last_active));
        self.zones.retain(|_, size| is_recent(size.reported_at));
    }

    /// The interval between two digests to the same peer of this entry's zone.
    #[must_use]
    pub fn digest_interval(&self) -> Duration {
        if self.known.len() <= MAX_EXCHANGED_PEERS {
            return digest_interval(self.known.len());
        }
        digest_interval(self.zone_entries() - 1 + REMOTE_SAMPLE)
    }

    /// The peers that get the next digest: all, or those of this entry's zone, those that got
    /// none yet, and a sample of the others.
    pub fn next_recipients(&mut self) -> Vec<Ipv4Addr> {
        let recipients = self.recipients();
        for address in &recipients {
            if let Some(peer) = self.known.get_mut(address) {
                peer.contacted = true;
            }
        }
        recipients
    }

    /// The recipients of a message that is sent to those that get the next digest.
    fn recipients(&self) -> Vec<Ipv4Addr> {
        let all = self.known.len() <= MAX_EXCHANGED_PEERS;
        let is_due = |peer: &Peer| all || self.is_same_zone(peer) || !peer.contacted;
        let (mut recipients, others): (Vec<_>, Vec<_>) =
            self.known.iter().partition(|(_, peer)| is_due(peer));
        recipients.extend(
            others
                .into_iter()
                .choose_multiple(&mut rand::rng(), REMOTE_SAMPLE),
        );
        let recipients = recipients.into_iter();
        recipients.map(|(address, _)| *address).collect()
    }

    /// The addresses of live peers.
    #[must_use]
    pub fn live_addresses(&self, now: Duration) -> HashSet<Ipv4Addr> {
        self.live_peers(now).map(|(address, _)| *address).collect()
    }

    /// The next digest of this entry, given its own state.
    pub fn next_digest(&mut self, now: Duration, own: Digest) -> Digest {
        self.digests_sent += 1;
        let [zone_peers, peers] = self.named_peers(now);
        Digest {
            sequence: self.digests_sent,
            peers,
            zone: self.own_zone,
            zone_entries: u32::try_from(self.zone_entries()).unwrap_or(u32::MAX),
            zone_peers,
            ..own
        }
    }

    /// Some live peers to name in a digest: those of this entry's zone, and others.
    fn named_peers(&self, now: Duration) -> [Vec<Ipv4Addr>; 2] {
        let max_named = MAX_NAMED_PEERS[usize::from(self.is_settled(now))];
        [true, false].map(|same_zone| {
            let peers = self.live_peers(now);
            let peers = peers.filter(|(_, peer)| (peer.digest.zone == self.own_zone) == same_zone);
            let peers = peers.map(|(address, _)| *address);
            peers.choose_multiple(&mut rand::rng(), max_named)
        })
    }

    /// Up to `count` live peers, preferably of this entry's zone.
    fn sample(&self, now: Duration, count: usize) -> Vec<Ipv4Addr> {
        let (same_zone, others): (Vec<_>, Vec<_>) = self
            .live_peers(now)
            .partition(|(_, peer)| self.is_same_zone(peer));
        let mut sample = same_zone
            .into_iter()
            .choose_multiple(&mut rand::rng(), count);
        let rest = count - sample.len();
        sample.extend(others.into_iter().choose_multiple(&mut rand::rng(), rest));
        sample.into_iter().map(|(address, _)| *address).collect()
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

    /// What is known of the registries of live peers that aren't outdated.
    fn registries(&self, now: Duration) -> impl Iterator<Item = Provenance> {
        let peers = self.live_peers(now).map(|(_, peer)| &peer.digest);
        let current = peers.filter(|digest| !digest.registry_outdated);
        current.map(Digest::registry_provenance)
    }

    /// Number of live peers whose registry names the same position, and has other objects.
    #[must_use]
    pub fn differing_registries(&self, now: Duration, own: Provenance) -> usize {
        let peers = self.registries(now);
        peers.filter(|peer| own.differs_from(*peer)).count()
    }

    /// The number of those of which it isn't known which are right.
    #[must_use]
    pub fn conflicting_registries(&self, now: Duration, own: Provenance) -> usize {
        let peers = self.registries(now);
        peers.filter(|peer| own.conflicts_with(*peer)).count()
    }

    /// The newest registry of a live peer with the same hash that isn't outdated, nor older.
    #[must_use]
    pub fn confirming_copy(&self, now: Duration, own: Provenance) -> Option<Provenance> {
        let peers = self.registries(now);
        let same = peers.filter(|peer| peer.hash == own.hash && peer.position >= own.position);
        same.max_by_key(|peer| (peer.position, peer.listed))
    }

    /// Whether a live peer knows that no version after this one was the newest. Peers with an unconfirmed
    /// configuration name no position of it.
    #[must_use]
    pub fn confirms_configuration(&self, now: Duration, version: u64) -> bool {
        let mut peers = self.live_peers(now).map(|(_, peer)| &peer.digest);
        peers.any(|digest| {
            digest.configuration().is_known() && (1..=version).contains(&digest.table_version)
        })
    }

    /// Whether a peer's registry shows that this entry's is wrong.
    #[must_use]
    pub fn refutes_registry(&self, now: Duration, own: Provenance) -> bool {
        self.registries(now).any(|peer| own.is_refuted_by(peer))
    }

    /// The same of one peer's evacuated zones.
    #[must_use]
    pub fn refutes_evacuations(&self, address: Ipv4Addr, versions: Versions) -> bool {
        let peer = self.known.get(&address);
        peer.is_some_and(|peer| are_evacuations_refuted(versions, &peer.digest))
    }

    /// Number of live peers with other evacuated zones at the same position, of which it isn't known
    /// which are right.
    #[must_use]
    pub fn conflicting_evacuations(&self, now: Duration, own: Provenance) -> usize {
        let peers = self.live_peers(now).map(|(_, peer)| &peer.digest);
        let peers = peers.map(Digest::evacuation_provenance);
        peers.filter(|peer| own.conflicts_with(*peer)).count()
    }

    /// Records that a fetch didn't bring a peer's newer state.
    pub fn record_failed_fetch(&mut self, now: Duration, address: Ipv4Addr) {
        if let Some(peer) = self.known.get_mut(&address) {
            peer.fetch_failed_at = Some(now);
        }
    }

    /// The peers that have newer state, and whether each is in this entry's zone. Those of this
    /// entry's zone come first, of these the one whose registry was listed last, and those last from
    /// which a recent fetch failed.
    #[must_use]
    pub fn newer_peers(&self, now: Duration, versions: Versions) -> Vec<(Ipv4Addr, bool)> {
        let is_newer = |peer: &Peer| {
            peer.digest.table_version > versions.table
                || has_newer_registry(&peer.digest, versions)
                || peer.digest.evacuations() > versions.evacuations()
                || are_evacuations_refuted(versions, &peer.digest)
                || peer.digest.configuration() > versions.configuration()
        };
        let newer = self.live_peers(now).filter(|(_, peer)| is_newer(peer));
        let recent_failure = |peer: &Peer| {
            let failed_at = peer.fetch_failed_at;
            failed_at.filter(|at| now.saturating_sub(*at) < FETCH_FAILURE_TIME)
        };
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, peer)| {
            let listed = Reverse(peer.digest.registry_listed);
            (recent_failure(peer), !self.is_same_zone(peer), listed)
        });
        let newer = newer.into_iter();
        let newer = newer.map(|(address, peer)| (*address, self.is_same_zone(peer)));
        newer.collect()
    }
}

impl ZoneSize {
    /// Records the number of entries that an entry of the zone knows there. One that has just
    /// started knows few, so the largest number of the last two periods counts.
    fn record(&mut self, now: Duration, entries: u32) {
        if now.saturating_sub(self.since) >= PEER_TIMEOUT {
            self.entries = [self.entries[1], 0];
            self.since = now;
        }
        self.entries[1] = self.entries[1].max(entries);
        self.reported_at = now;
    }
}

impl Gateway {
    /// Number of entries among which shared limits are divided, or `None` while some may be
    /// undiscovered.
    pub fn sharing_entries(&self, now: Duration) -> Option<usize> {
        let peers = self.peers.borrow();
        if self.has_other_seeds() {
            peers.sharing_entries(now)
        } else {
            Some(peers.live_entries(now))
        }
    }

    /// Whether there are seeds other than this entry. Without them, it doesn't assume
    /// undiscovered peers.
    fn has_other_seeds(&self) -> bool {
        let settings = self.settings.borrow();
        let mut seeds = settings.seeds.iter();
        seeds.any(|seed| seed.ip() != settings.address)
    }

    /// Number of entries that share upstreams which recover from an outage. Silent peers are
    /// included, because partitioned ones recover at the same time.
    pub fn known_entries(&self) -> u32 {
        u32::try_from(self.peers.borrow().known_entries()).unwrap_or(u32::MAX)
    }

    /// The same for the entries of this entry's zone.
    pub fn zone_entries(&self) -> u32 {
        u32::try_from(self.peers.borrow().zone_entries()).unwrap_or(u32::MAX)
    }
}

/// Whether a peer's evacuated zones show that those of these versions are wrong.
fn are_evacuations_refuted(versions: Versions, digest: &Digest) -> bool {
    let peer = digest.evacuation_provenance();
    versions.evacuation_provenance().is_refuted_by(peer)
}

/// Whether a peer's registry is newer, or replaces a wrong one. An outdated one isn't newer than one
/// that isn't, and one that isn't replaces an outdated one at the same position.
fn has_newer_registry(digest: &Digest, versions: Versions) -> bool {
    let is_same_era = digest.registry_era == versions.registry_era;
    if is_same_era && digest.registry_listed < versions.registry_refuted_at {
        return false;
    }
    match (versions.has_doubtful_registry(), digest.registry_outdated) {
        (true, false) => digest.registry() >= versions.registry(),
        (false, true) if versions.registry().is_known() => false,
        _ => digest.registry() > versions.registry(),
    }
}

/// The interval between digests for a number of peers.
fn digest_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    (DIGEST_INTERVAL + DIGEST_INTERVAL_PER_PEER * peers).max(MIN_DIGEST_INTERVAL_PER_PEER * peers)
}

#[cfg(test)]
mod tests;
