//! Exchange with the other entries (peers).
//!
//! Each entry sends a digest to all others every few tens of milliseconds. The digest has
//! the entry's requests in flight by upstream, so that entries share the capacity of each
//! upstream even if callers are spread unevenly over entries. It also has the versions of
//! the entry's configuration and registry, so that an entry that can't reach the store
//! fetches newer ones from a peer.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use monoio::net::udp::UdpSocket;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use verbenaspool_platform::store::Object;
use verbenaspool_protocol::{
    digest::{self, Digest, Hint, InFlight},
    message::{self, Message},
    reservation::Subscription,
};
use verbenaspool_transport::rpc;

use super::{gateway::Gateway, registry};

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

/// How often peers get the usual initial waits of callers.
const HINTS_INTERVAL: Duration = Duration::from_secs(1);

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

/// How long to wait for a newer version from the store before it is fetched from a peer. The
/// store usually delivers changes within milliseconds.
const CATCH_UP_DELAY: Duration = Duration::from_millis(150);

/// Timeout of RPC calls to peers.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the entry subscribes to the status of ranks in its own zone. A subscription
/// lasts for some seconds.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// The entry subscribes to ranks in other zones once in this number of intervals.
const REMOTE_SUBSCRIBE_ROUNDS: u32 = 3;

/// The RPC method by which peers fetch newer versions.
pub const LATEST_METHOD: &str = "latest";

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

/// Versions of an entry's state.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Versions {
    /// The version of its routing table.
    table: u64,
    /// The revision of its registry.
    registry: u64,
}

/// State of a peer that is newer than the requested versions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Update {
    configuration: Option<Object>,
    revision: u64,
    upstreams: Option<Vec<Object>>,
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

    /// The versions of this entry's state.
    fn versions(&self) -> Versions {
        Versions {
            table: self.table_version(),
            registry: self.registry_revision(),
        }
    }

    /// Creates the next digest of this entry.
    fn digest(&self, incarnation: u64) -> Digest {
        let now = self.clock.now();
        let versions = self.versions();
        let mut in_flight = Vec::new();
        for queue in self.queues() {
            queue.with(|dispatcher, now| {
                in_flight.extend(dispatcher.in_flight(now).map(|(id, requests)| InFlight {
                    upstream: digest::hash(id),
                    requests,
                }));
            });
        }
        let mut peers = self.peers.borrow_mut();
        peers.digests_sent += 1;
        let max_named = MAX_NAMED_PEERS[usize::from(peers.is_settled(now))];
        let named = peers.live_peers(now).map(|(address, _)| *address);
        let named = named.choose_multiple(&mut rand::rng(), max_named);
        Digest {
            incarnation,
            sequence: peers.digests_sent,
            table_version: versions.table,
            registry_revision: versions.registry,
            leaving: self.leaving.get(),
            in_flight: {
                in_flight.truncate(digest::MAX_UPSTREAMS);
                in_flight
            },
            peers: named,
        }
    }

    /// The usual initial waits of callers, by service.
    fn common_waits(&self) -> Vec<Hint> {
        let hints = self.queues().into_iter().map(|queue| Hint {
            service: digest::hash(&queue.service),
            waits_ms: queue.common_waits(),
        });
        let known = hints.filter(|hint| !hint.waits_ms.is_empty());
        known.take(digest::MAX_HINTS).collect()
    }

    /// Sets the usual initial waits of callers as reported by a peer.
    fn set_wait_hints(&self, hints: &[Hint]) {
        for queue in self.queues() {
            let service = digest::hash(&queue.service);
            let hint = hints.iter().find(|hint| hint.service == service);
            if let Some(hint) = hint {
                queue.set_wait_hints(&hint.waits_ms);
            }
        }
    }

    /// Passes the requests that peers have in flight to the queues.
    fn distribute_peer_load(&self) {
        let peer_load = self.peers.borrow().peer_load(self.clock.now());
        for queue in self.queues() {
            queue.with(|dispatcher, now| {
                let ids: Vec<Rc<str>> = dispatcher.upstream_ids().cloned().collect();
                for id in ids {
                    let others = peer_load.get(&digest::hash(&id)).copied().unwrap_or(0);
                    dispatcher.set_peer_load(now, &id, others);
                }
            });
        }
    }

    /// The state that is newer than a peer's versions.
    fn update_since(&self, versions: Versions) -> Update {
        let newer = self.table_version() > versions.table;
        let (revision, objects) = self.registry_objects();
        Update {
            configuration: newer.then(|| self.configuration()).flatten(),
            revision,
            upstreams: (revision > versions.registry).then_some(objects),
        }
    }

    /// Fetches newer state from a peer and applies it.
    async fn fetch_update(&self, peer: Ipv4Addr) {
        let address = SocketAddr::from((peer, self.settings.borrow().control.port()));
        let result: Result<Update, _> = self
            .rpc
            .call(address, LATEST_METHOD, &self.versions(), CALL_TIMEOUT)
            .await;
        let update = match result {
            Ok(update) => update,
            Err(why) => {
                warn!(self.log, "can't fetch newer state from peer";
                    "peer" => peer.to_string(), "reason" => why.to_string());
                return;
            }
        };
        let from = format!("peer {peer}");
        if let Some(object) = &update.configuration {
            self.apply_quarantine(&object.status);
            self.apply_configuration(object, &from);
        }
        if let Some(upstreams) = update.upstreams {
            let objects: BTreeMap<String, Object> = upstreams
                .into_iter()
                .map(|object| (object.name.clone(), object))
                .collect();
            let retain_missing_until = registry::missing_deadline(self.clock.now());
            self.update_registry(retain_missing_until, update.revision, &objects, &from);
        }
    }
}

/// Registers the RPC method for peers.
pub fn register_methods(gateway: &Rc<Gateway>, module: &mut rpc::Module) {
    let gateway = gateway.clone();
    module.register(LATEST_METHOD, move |versions: Versions| {
        let update = gateway.update_since(versions);
        async move { Ok::<_, String>(update) }
    });
}

/// Binds the UDP socket for messages between entries and agents.
///
/// # Errors
/// The port is in use.
pub fn bind(gateway: &Gateway) -> io::Result<UdpSocket> {
    let settings = gateway.settings.borrow();
    UdpSocket::bind(SocketAddr::new(settings.address, settings.peer_port))
}

/// Receives messages of peers and agents for as long as the process runs.
pub async fn receive_messages(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let (received, buffer) = socket
            .recv_from(vec![0_u8; message::MAX_DATAGRAM_BYTES])
            .await;
        let Ok((length, from)) = received else {
            gateway.clock.sleep(DIGEST_INTERVAL).await;
            continue;
        };
        let from = from.ip();
        let now = gateway.clock.now();
        match Message::decode(&buffer[..length]) {
            Some(Message::Digest(digest)) => {
                let IpAddr::V4(from) = from else {
                    continue;
                };
                let changed = gateway.peers.borrow_mut().receive(now, from, digest);
                if changed {
                    gateway.distribute_peer_load();
                }
            }
            Some(Message::WaitHints(hints)) if is_peer(&gateway, from) => {
                gateway.set_wait_hints(&hints);
            }
            Some(Message::Suspicions(suspicions)) if is_peer(&gateway, from) => {
                gateway.record_suspicions(&suspicions);
            }
            // An agent may only report the upstream on its own instance.
            Some(Message::Status(status)) if status.upstream.ip() == from => {
                gateway.record_status(&status);
            }
            Some(Message::Lookup) => {
                if let Some(info) = gateway.service_info_for_agent(from) {
                    let port = gateway.settings.borrow().peer_port;
                    let message = Message::ServiceInfo(info).encode();
                    // Best effort: the agent retries the lookup.
                    let _ = socket.send_to(message, SocketAddr::new(from, port)).await;
                }
            }
            Some(Message::ReservationAnswer(answer)) if answer.status.upstream.ip() == from => {
                gateway.reservations.handle_answer(from, answer);
            }
            _ => {}
        }
    }
}

/// Sends digests to all peers for as long as the process runs.
pub async fn send_digests(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, incarnation: u64) {
    let mut hints_sent_at = Duration::ZERO;
    loop {
        let digest = Message::Digest(gateway.digest(incarnation));
        let peers = broadcast(&gateway, &socket, &digest).await;
        let now = gateway.clock.now();
        if now.saturating_sub(hints_sent_at) >= HINTS_INTERVAL {
            hints_sent_at = now;
            let hints = gateway.common_waits();
            if !hints.is_empty() {
                broadcast(&gateway, &socket, &Message::WaitHints(hints)).await;
            }
        }
        gateway.clock.sleep(digest_interval(peers)).await;
    }
}

/// Sends a message to all peers. Returns the number of peers.
pub async fn broadcast(gateway: &Gateway, socket: &UdpSocket, message: &Message) -> usize {
    let message = message.encode();
    let addresses = peer_addresses(gateway);
    let port = gateway.settings.borrow().peer_port;
    for address in &addresses {
        // Best effort: the next message makes up for a lost one.
        let to = SocketAddr::from((*address, port));
        let _ = socket.send_to(message.clone(), to).await;
    }
    addresses.len()
}

/// Whether the address belongs to a known peer.
fn is_peer(gateway: &Gateway, address: IpAddr) -> bool {
    let peers = gateway.peers.borrow();
    matches!(address, IpAddr::V4(address) if peers.known.contains_key(&address))
}

/// The interval between digests for a number of peers.
fn digest_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    (DIGEST_INTERVAL + DIGEST_INTERVAL_PER_PEER * peers).max(MIN_DIGEST_INTERVAL_PER_PEER * peers)
}

/// Subscribes to the status of all ranks of groups at their agents, for as long as the
/// process runs.
pub async fn send_subscriptions(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    for round in 0_u32.. {
        let port = gateway.settings.borrow().peer_port;
        let ranks = gateway.group_ranks();
        // A starting entry should know the groups before its first requests.
        let has_ranks = !ranks.is_empty();
        for (upstream, same_zone) in ranks {
            // Best effort: the next round makes up for a lost message.
            if same_zone || round % REMOTE_SUBSCRIBE_ROUNDS == 0 {
                let message = Message::Subscribe(Subscription { same_zone }).encode();
                let agent = SocketAddr::new(upstream.ip(), port);
                let _ = socket.send_to(message, agent).await;
            }
        }
        let interval = if has_ranks {
            SUBSCRIBE_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        gateway.clock.sleep(interval).await;
    }
}

/// Adds the seeds to the peers, removes peers that have been silent for long, and returns
/// the addresses of the others.
fn peer_addresses(gateway: &Gateway) -> Vec<Ipv4Addr> {
    let now = gateway.clock.now();
    let settings = gateway.settings.borrow();
    let mut peers = gateway.peers.borrow_mut();
    for seed in &settings.seeds {
        if let IpAddr::V4(address) = seed.ip() {
            peers.add(now, address);
        }
    }
    peers.remove_silent(now);
    peers.known.keys().copied().collect()
}

/// Fetches newer versions from peers, for as long as the process runs.
pub async fn catch_up(gateway: Rc<Gateway>) {
    loop {
        gateway.clock.sleep(CATCH_UP_DELAY / 3).await;
        let now = gateway.clock.now();
        let newer = gateway.peers.borrow().newer_peers(now, gateway.versions());
        let Some(&peer) = newer.first() else {
            gateway.peers.borrow_mut().behind_since = None;
            continue;
        };
        let since = *gateway.peers.borrow_mut().behind_since.get_or_insert(now);
        if now.saturating_sub(since) >= CATCH_UP_DELAY {
            info!(gateway.log, "peer has newer state; fetching it"; "peer" => peer.to_string());
            gateway.fetch_update(peer).await;
            gateway.peers.borrow_mut().behind_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
