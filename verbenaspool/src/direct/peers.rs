//! The other entries: what they have in flight, and what they know that this one
//! doesn't.
//!
//! Each entry sends a digest to all others every few tens of milliseconds. It
//! says which upstreams work for it, so that entries share the room of each
//! upstream though callers come to them unevenly; and which version of the
//! configuration and the registry it has, so that an entry that can't reach the
//! store gets the newer one from whoever has it.

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
    digest::{self, Budget, Digest, Flight},
    message::{self, Message},
    reservation::Subscription,
};
use verbenaspool_transport::rpc;

use super::{gateway::Gateway, registry};

/// Interval between digests with few peers: short enough that entries rarely take the
/// same slot.
const DIGEST_INTERVAL: Duration = Duration::from_millis(30);

/// What each further peer adds to the pause.
const DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_millis(4);

/// The pause for each peer at least, so that an entry sends and hears no more than 80
/// digests a second however many entries there are. What upstreams of groups have is
/// told by agents, and a version that an entry lacks is heard of from the first peer
/// that has it.
const MIN_DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_micros(12_500);

/// How often peers are told how long callers wait at first.
const BUDGETS_INTERVAL: Duration = Duration::from_secs(1);

/// How long a silent peer's requests count at least. They end within a few seconds, and
/// a peer that was cut off from here still has them.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Digests of a peer that may be lost before it counts as silent.
const MAX_LOST_DIGESTS: u32 = 3;

/// How long no new peer must have been heard of for the others to count as known.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// The entries that there are taken to be at least while some may not be known yet.
const ASSUMED_ENTRIES: usize = 32;

/// How long one datagram may be overtaken by others.
const REORDER_WINDOW: Duration = Duration::from_millis(300);

/// How long a silent peer is still sent digests, so that a cut that ends is found.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// How long the store has to bring what a peer is known to have, before the peer
/// is asked. It brings a change within milliseconds.
const CATCH_UP_DELAY: Duration = Duration::from_millis(150);

/// How long a peer has to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How often agents of the own zone are asked for their ranks' state. They go on telling
/// it for some seconds.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// In how many of these times agents of other zones are asked once.
const REMOTE_SUBSCRIBE_ROUNDS: u32 = 3;

/// The RPC method by which peers get what they lack.
pub const LATEST_METHOD: &str = "latest";

/// The most peers that a digest names while some may not be known yet, and otherwise.
const MAX_NAMED_PEERS: [usize; 2] = [24, 4];

/// One other entry.
#[derive(Debug, Default)]
struct Peer {
    /// When it was last heard; none if never.
    last_received: Option<Duration>,
    /// When it was first thought of or last heard.
    last_active: Duration,
    digest: Digest,
}

/// The other entries that are known.
#[derive(Debug)]
pub struct Peers {
    /// This entry's own address, which peers and seeds name as well.
    own_address: IpAddr,
    known: HashMap<Ipv4Addr, Peer>,
    digests_sent: u64,
    /// Since when a peer is known to have something newer.
    behind_since: Option<Duration>,
    /// When a peer was first heard of last.
    last_discovery: Duration,
}

/// What an entry has.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Versions {
    /// The version of its routing table.
    table: u64,
    /// The revision of its registry.
    registry: u64,
}

/// What another entry has that is newer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Update {
    configuration: Option<Object>,
    revision: u64,
    upstreams: Option<Vec<Object>>,
}

impl Peers {
    /// The peers of the entry at an address, none of them known yet.
    pub fn new(own_address: IpAddr) -> Self {
        Self {
            own_address,
            known: HashMap::new(),
            digests_sent: 0,
            behind_since: None,
            last_discovery: Duration::ZERO,
        }
    }

    /// How many entries are alive, this one included.
    pub fn live_entries(&self, now: Duration) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Among how many entries this one shares what all may do together.
    ///
    /// An entry that has just started knows few others. When all of a large fleet start
    /// at once each would take the part of one among a few, and all of them together
    /// many times what there is.
    pub fn sharing_entries(&self, now: Duration) -> usize {
        let entries = self.live_entries(now);
        if self.is_settled(now) {
            entries
        } else {
            entries.max(ASSUMED_ENTRIES)
        }
    }

    /// How many entries there are, those included that are silent for now.
    pub fn known_entries(&self) -> usize {
        1 + self.known.len()
    }

    /// Whether all peers are likely to be known.
    fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_discovery) >= DISCOVERY_TIME
    }

    fn live_peers(&self, now: Duration) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let silence = PEER_TIMEOUT.max(digest_interval(self.known.len()) * (MAX_LOST_DIGESTS + 1));
        let live = move |peer: &Peer| {
            peer.last_received
                .is_some_and(|received| now.saturating_sub(received) < silence)
        };
        self.known.iter().filter(move |(_, peer)| live(peer))
    }

    /// Takes a digest over; tells whether it changed anything.
    fn receive(&mut self, now: Duration, from: Ipv4Addr, digest: Digest) -> bool {
        for &other in digest.peers.iter().take(MAX_NAMED_PEERS[0]) {
            self.add(now, other);
        }
        self.add(now, from);
        let Some(peer) = self.known.get_mut(&from) else {
            return false;
        };
        let order = |digest: &Digest| (digest.incarnation, digest.number);
        // Behind a silence anything is believed: a process that was started again
        // may have a lower number than its forerunner where the time of day was
        // put back.
        let recently = |received: Duration| now.saturating_sub(received) < REORDER_WINDOW;
        if peer.last_received.is_some_and(recently) && order(&digest) <= order(&peer.digest) {
            return false;
        }
        peer.last_received = Some(now);
        peer.last_active = now;
        peer.digest = digest;
        true
    }

    /// Remembers an entry that may be there.
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

    /// Forgets peers that are silent for long.
    fn forget(&mut self, now: Duration) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.last_active) < FORGET_AFTER);
    }

    /// What other entries have in flight at each upstream.
    fn peer_load(&self, now: Duration) -> HashMap<u32, u32> {
        let mut sums = HashMap::new();
        for (_, peer) in self.live_peers(now) {
            for flight in &peer.digest.flights {
                *sums.entry(flight.upstream).or_default() += flight.requests;
            }
        }
        sums
    }

    /// The peers that have something newer than this.
    fn newer_peers(&self, now: Duration, versions: Versions) -> Vec<Ipv4Addr> {
        let newer = |peer: &Peer| {
            peer.digest.table > versions.table || peer.digest.registry > versions.registry
        };
        let newer = self.live_peers(now).filter(|(_, peer)| newer(peer));
        newer.map(|(address, _)| *address).collect()
    }
}

impl Gateway {
    /// Among how many entries this one shares what all may do together. One whose settings
    /// name no other is by itself.
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

    /// Among how many entries this one shares upstreams that return: peers that an outage
    /// cut off come back with them.
    pub fn known_entries(&self) -> u32 {
        u32::try_from(self.peers.borrow().known_entries()).unwrap_or(u32::MAX)
    }

    /// What this entry has.
    fn versions(&self) -> Versions {
        Versions {
            table: self.table_version(),
            registry: self.registry_revision(),
        }
    }

    /// This entry's digest.
    fn digest(&self, incarnation: u64) -> Digest {
        let now = self.clock.now();
        let versions = self.versions();
        let mut flights = Vec::new();
        for queue in self.queues() {
            queue.with(|dispatcher, now| {
                flights.extend(dispatcher.in_flight(now).map(|(id, requests)| Flight {
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
            number: peers.digests_sent,
            table: versions.table,
            registry: versions.registry,
            leaving: self.leaving.get(),
            flights: {
                flights.truncate(digest::MAX_FLIGHTS);
                flights
            },
            peers: named,
        }
    }

    /// How long callers of each service wait at first.
    fn common_waits(&self) -> Vec<Budget> {
        let budgets = self.queues().into_iter().map(|queue| Budget {
            service: digest::hash(&queue.service),
            times_ms: queue.common_times(),
        });
        let known = budgets.filter(|budget| !budget.times_ms.is_empty());
        known.take(digest::MAX_BUDGETS).collect()
    }

    /// Takes over how long callers wait at first, as far as this entry doesn't know.
    fn set_wait_hints(&self, budgets: &[Budget]) {
        for queue in self.queues() {
            let service = digest::hash(&queue.service);
            let budget = budgets.iter().find(|budget| budget.service == service);
            if let Some(budget) = budget {
                queue.hint_times(&budget.times_ms);
            }
        }
    }

    /// Tells queues what other entries have in flight.
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

    /// Everything newer than what a peer has.
    fn update_since(&self, versions: Versions) -> Update {
        let newer = self.table_version() > versions.table;
        let (revision, objects) = self.registry_objects();
        Update {
            configuration: newer.then(|| self.configuration()).flatten(),
            revision,
            upstreams: (revision > versions.registry).then_some(objects),
        }
    }

    /// Asks a peer for what it has that is newer.
    async fn fetch_update(&self, peer: Ipv4Addr) {
        let address = SocketAddr::from((peer, self.settings.borrow().control.port()));
        let called: Result<Update, _> = self
            .rpc
            .call(address, LATEST_METHOD, &self.versions(), CALL_TIMEOUT)
            .await;
        let update = match called {
            Ok(update) => update,
            Err(why) => {
                warn!(self.log, "Entry: A peer that knows more can't be asked.";
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

/// Answers the calls of peers.
pub fn register_methods(gateway: &Rc<Gateway>, module: &mut rpc::Module) {
    let gateway = gateway.clone();
    module.on(LATEST_METHOD, move |versions: Versions| {
        let update = gateway.update_since(versions);
        async move { Ok::<_, String>(update) }
    });
}

/// Opens the socket on which digests come and go.
///
/// # Errors
/// The port is taken.
pub fn bind(gateway: &Gateway) -> io::Result<UdpSocket> {
    let settings = gateway.settings.borrow();
    UdpSocket::bind(SocketAddr::new(settings.address, settings.peer_port))
}

/// Hears digests for as long as the process runs.
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
            Some(Message::Budgets(budgets)) if is_peer(&gateway, from) => {
                gateway.set_wait_hints(&budgets);
            }
            Some(Message::Suspicions(suspicions)) if is_peer(&gateway, from) => {
                gateway.learn_suspicions(&suspicions);
            }
            // An agent speaks for the upstream on its own instance only.
            Some(Message::Status(status)) if status.upstream.ip() == from => {
                gateway.record_status(&status);
            }
            Some(Message::Lookup) => {
                if let Some(members) = gateway.members_for_agent(from) {
                    let port = gateway.settings.borrow().peer_port;
                    let message = Message::Members(members).encode();
                    // An agent that doesn't hear this asks again.
                    let _ = socket.send_to(message, SocketAddr::new(from, port)).await;
                }
            }
            Some(Message::Answer(answer)) if answer.status.upstream.ip() == from => {
                gateway.reservations.answered(from, answer);
            }
            _ => {}
        }
    }
}

/// Sends digests for as long as the process runs.
pub async fn send_digests(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, incarnation: u64) {
    let mut budgets_sent_at = Duration::ZERO;
    loop {
        let digest = Message::Digest(gateway.digest(incarnation));
        let peers = broadcast(&gateway, &socket, &digest).await;
        let now = gateway.clock.now();
        if now.saturating_sub(budgets_sent_at) >= BUDGETS_INTERVAL {
            budgets_sent_at = now;
            let budgets = gateway.common_waits();
            if !budgets.is_empty() {
                broadcast(&gateway, &socket, &Message::Budgets(budgets)).await;
            }
        }
        gateway.clock.sleep(digest_interval(peers)).await;
    }
}

/// Sends a message to all peers; tells how many there are.
pub async fn broadcast(gateway: &Gateway, socket: &UdpSocket, message: &Message) -> usize {
    let message = message.encode();
    let addresses = peer_addresses(gateway);
    let port = gateway.settings.borrow().peer_port;
    for address in &addresses {
        // A datagram that is lost is made up for by the next.
        let to = SocketAddr::from((*address, port));
        let _ = socket.send_to(message.clone(), to).await;
    }
    addresses.len()
}

/// Whether an address is that of another entry, as far as known.
fn is_peer(gateway: &Gateway, address: IpAddr) -> bool {
    let peers = gateway.peers.borrow();
    matches!(address, IpAddr::V4(address) if peers.known.contains_key(&address))
}

/// The pause between digests to so many peers.
fn digest_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    (DIGEST_INTERVAL + DIGEST_INTERVAL_PER_PEER * peers).max(MIN_DIGEST_INTERVAL_PER_PEER * peers)
}

/// Asks the agents beside the ranks of groups how their ranks stand, for as long
/// as the process runs.
pub async fn send_subscriptions(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    for round in 0_u32.. {
        let port = gateway.settings.borrow().peer_port;
        let ranks = gateway.group_ranks();
        // An entry that starts is to know groups before its first requests.
        let known = !ranks.is_empty();
        for (upstream, near) in ranks {
            // An agent that missed this hears the next one.
            if near || round % REMOTE_SUBSCRIBE_ROUNDS == 0 {
                let message = Message::Subscribe(Subscription { near }).encode();
                let agent = SocketAddr::new(upstream.ip(), port);
                let _ = socket.send_to(message, agent).await;
            }
        }
        let interval = if known {
            SUBSCRIBE_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        gateway.clock.sleep(interval).await;
    }
}

/// Whom digests go to; also forgets peers that are silent for long.
fn peer_addresses(gateway: &Gateway) -> Vec<Ipv4Addr> {
    let now = gateway.clock.now();
    let settings = gateway.settings.borrow();
    let mut peers = gateway.peers.borrow_mut();
    for seed in &settings.seeds {
        if let IpAddr::V4(address) = seed.ip() {
            peers.add(now, address);
        }
    }
    peers.forget(now);
    peers.known.keys().copied().collect()
}

/// Gets from peers what this entry lacks, for as long as the process runs.
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
            info!(gateway.log, "Entry: A peer knows more; asking it."; "peer" => peer.to_string());
            gateway.fetch_update(peer).await;
            gateway.peers.borrow_mut().behind_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
