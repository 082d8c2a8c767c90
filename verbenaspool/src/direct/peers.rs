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
    digest::{self, Digest, Hint, InFlight},
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
const SUBSCRIBE_FAR: u32 = 3;

/// The RPC method by which peers get what they lack.
pub const LATEST_METHOD: &str = "latest";

/// The most peers that a digest names while some may not be known yet, and otherwise.
const MAX_NAMED_PEERS: [usize; 2] = [24, 4];

/// One other entry.
#[derive(Debug, Default)]
struct Peer {
    /// When it was last heard; none if never.
    heard: Option<Duration>,
    /// When it was first thought of or last heard.
    since: Duration,
    digest: Digest,
}

/// The other entries that are known.
#[derive(Debug)]
pub struct Peers {
    /// This entry's own address, which peers and seeds name as well.
    own: IpAddr,
    known: HashMap<Ipv4Addr, Peer>,
    number: u64,
    /// Since when a peer is known to have something newer.
    behind: Option<Duration>,
    /// When a peer was first heard of last.
    grown: Duration,
}

/// What an entry has.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Have {
    /// The version of its routing table.
    table: u64,
    /// The revision of its registry.
    registry: u64,
}

/// What another entry has that is newer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Latest {
    configuration: Option<Object>,
    revision: u64,
    upstreams: Option<Vec<Object>>,
}

impl Peers {
    /// The peers of the entry at an address, none of them known yet.
    pub fn new(own: IpAddr) -> Self {
        Self {
            own,
            known: HashMap::new(),
            number: 0,
            behind: None,
            grown: Duration::ZERO,
        }
    }

    /// How many entries are alive, this one included.
    pub fn entries(&self, now: Duration) -> usize {
        1 + self.live(now).count()
    }

    /// Among how many entries this one shares what all may do together.
    ///
    /// An entry that has just started knows few others. When all of a large fleet start
    /// at once each would take the part of one among a few, and all of them together
    /// many times what there is.
    pub fn sharers(&self, now: Duration) -> usize {
        let entries = self.entries(now);
        if self.is_settled(now) {
            entries
        } else {
            entries.max(ASSUMED_ENTRIES)
        }
    }

    /// How many entries there are, those included that are silent for now.
    pub fn all(&self) -> usize {
        1 + self.known.len()
    }

    /// Whether all peers are likely to be known.
    fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.grown) >= DISCOVERY_TIME
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let silence = PEER_TIMEOUT.max(pause(self.known.len()) * (MAX_LOST_DIGESTS + 1));
        let live = move |peer: &Peer| {
            peer.heard
                .is_some_and(|heard| now.saturating_sub(heard) < silence)
        };
        self.known.iter().filter(move |(_, peer)| live(peer))
    }

    /// Takes a digest over; tells whether it changed anything.
    fn hear(&mut self, now: Duration, from: Ipv4Addr, digest: Digest) -> bool {
        for &other in digest.peers.iter().take(MAX_NAMED_PEERS[0]) {
            self.think_of(now, other);
        }
        self.think_of(now, from);
        let Some(peer) = self.known.get_mut(&from) else {
            return false;
        };
        let order = |digest: &Digest| (digest.incarnation, digest.sequence);
        // Behind a silence anything is believed: a process that was started again
        // may have a lower number than its forerunner where the time of day was
        // put back.
        let lately = |heard: Duration| now.saturating_sub(heard) < REORDER_WINDOW;
        if peer.heard.is_some_and(lately) && order(&digest) <= order(&peer.digest) {
            return false;
        }
        peer.heard = Some(now);
        peer.since = now;
        peer.digest = digest;
        true
    }

    /// Remembers an entry that may be there.
    fn think_of(&mut self, now: Duration, address: Ipv4Addr) {
        if self.own == address {
            return;
        }
        let grown = &mut self.grown;
        self.known.entry(address).or_insert_with(|| {
            *grown = now;
            Peer {
                since: now,
                ..Peer::default()
            }
        });
    }

    /// Forgets peers that are silent for long.
    fn forget(&mut self, now: Duration) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.since) < FORGET_AFTER);
    }

    /// What other entries have in flight at each upstream.
    fn flights(&self, now: Duration) -> HashMap<u32, u32> {
        let mut sums = HashMap::new();
        for (_, peer) in self.live(now) {
            for flight in &peer.digest.in_flight {
                *sums.entry(flight.upstream).or_default() += flight.requests;
            }
        }
        sums
    }

    /// The peers that have something newer than this.
    fn ahead(&self, now: Duration, have: Have) -> Vec<Ipv4Addr> {
        let ahead = |peer: &Peer| {
            peer.digest.table_version > have.table || peer.digest.registry_revision > have.registry
        };
        let ahead = self.live(now).filter(|(_, peer)| ahead(peer));
        ahead.map(|(address, _)| *address).collect()
    }
}

impl Gateway {
    /// Among how many entries this one shares what all may do together. One whose settings
    /// name no other is by itself.
    pub fn sharers(&self, now: Duration) -> usize {
        let settings = self.settings.borrow();
        let others = settings
            .seeds
            .iter()
            .any(|seed| seed.ip() != settings.address);
        let peers = self.peers.borrow();
        if others {
            peers.sharers(now)
        } else {
            peers.entries(now)
        }
    }

    /// Among how many entries this one shares upstreams that return: peers that an outage
    /// cut off come back with them.
    pub fn sharers_of_return(&self) -> u32 {
        u32::try_from(self.peers.borrow().all()).unwrap_or(u32::MAX)
    }

    /// What this entry has.
    fn have(&self) -> Have {
        Have {
            table: self.version(),
            registry: self.revision(),
        }
    }

    /// This entry's digest.
    fn digest(&self, incarnation: u64) -> Digest {
        let now = self.clock.now();
        let have = self.have();
        let mut flights = Vec::new();
        for queue in self.queues() {
            queue.with(|dispatcher, now| {
                flights.extend(dispatcher.in_flight(now).map(|(id, requests)| InFlight {
                    upstream: digest::hash(id),
                    requests,
                }));
            });
        }
        let mut peers = self.peers.borrow_mut();
        peers.number += 1;
        let most = MAX_NAMED_PEERS[usize::from(peers.is_settled(now))];
        let named = peers.live(now).map(|(address, _)| *address);
        let named = named.choose_multiple(&mut rand::rng(), most);
        Digest {
            incarnation,
            sequence: peers.number,
            table_version: have.table,
            registry_revision: have.registry,
            leaving: self.leaving.get(),
            in_flight: {
                flights.truncate(digest::MAX_UPSTREAMS);
                flights
            },
            peers: named,
        }
    }

    /// How long callers of each service wait at first.
    fn budgets(&self) -> Vec<Hint> {
        let budgets = self.queues().into_iter().map(|queue| Hint {
            service: digest::hash(&queue.service),
            waits_ms: queue.common_waits(),
        });
        let known = budgets.filter(|budget| !budget.waits_ms.is_empty());
        known.take(digest::MAX_HINTS).collect()
    }

    /// Takes over how long callers wait at first, as far as this entry doesn't know.
    fn learn_budgets(&self, budgets: &[Hint]) {
        for queue in self.queues() {
            let service = digest::hash(&queue.service);
            let budget = budgets.iter().find(|budget| budget.service == service);
            if let Some(budget) = budget {
                queue.set_wait_hints(&budget.waits_ms);
            }
        }
    }

    /// Tells queues what other entries have in flight.
    fn share(&self) {
        let sums = self.peers.borrow().flights(self.clock.now());
        for queue in self.queues() {
            queue.with(|dispatcher, now| {
                let ids: Vec<Rc<str>> = dispatcher.upstream_ids().cloned().collect();
                for id in ids {
                    let others = sums.get(&digest::hash(&id)).copied().unwrap_or(0);
                    dispatcher.set_peer_load(now, &id, others);
                }
            });
        }
    }

    /// Everything newer than what a peer has.
    fn latest(&self, have: Have) -> Latest {
        let newer = self.version() > have.table;
        let (revision, objects) = self.objects();
        Latest {
            configuration: newer.then(|| self.configuration()).flatten(),
            revision,
            upstreams: (revision > have.registry).then_some(objects),
        }
    }

    /// Asks a peer for what it has that is newer.
    async fn ask(&self, peer: Ipv4Addr) {
        let address = SocketAddr::from((peer, self.settings.borrow().control.port()));
        let called: Result<Latest, _> = self
            .calls
            .call(address, LATEST_METHOD, &self.have(), CALL_TIMEOUT)
            .await;
        let latest = match called {
            Ok(latest) => latest,
            Err(why) => {
                warn!(self.log, "Entry: A peer that knows more can't be asked.";
                    "peer" => peer.to_string(), "reason" => why.to_string());
                return;
            }
        };
        let from = format!("peer {peer}");
        if let Some(object) = &latest.configuration {
            self.learn_status(&object.status);
            self.adopt(object, &from);
        }
        if let Some(upstreams) = latest.upstreams {
            let objects: BTreeMap<String, Object> = upstreams
                .into_iter()
                .map(|object| (object.name.clone(), object))
                .collect();
            let settled = registry::settled(self.clock.now());
            self.enlist(settled, latest.revision, &objects, &from);
        }
    }
}

/// Answers the calls of peers.
pub fn methods(gateway: &Rc<Gateway>, module: &mut rpc::Module) {
    let gateway = gateway.clone();
    module.on(LATEST_METHOD, move |have: Have| {
        let latest = gateway.latest(have);
        async move { Ok::<_, String>(latest) }
    });
}

/// Opens the socket on which digests come and go.
///
/// # Errors
/// The port is taken.
pub fn open(gateway: &Gateway) -> io::Result<UdpSocket> {
    let settings = gateway.settings.borrow();
    UdpSocket::bind(SocketAddr::new(settings.address, settings.peer_port))
}

/// Hears digests for as long as the process runs.
pub async fn hear(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
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
                let news = gateway.peers.borrow_mut().hear(now, from, digest);
                if news {
                    gateway.share();
                }
            }
            Some(Message::WaitHints(budgets)) if is_peer(&gateway, from) => {
                gateway.learn_budgets(&budgets);
            }
            Some(Message::Suspicions(suspicions)) if is_peer(&gateway, from) => {
                gateway.record_suspicions(&suspicions);
            }
            // An agent speaks for the upstream on its own instance only.
            Some(Message::Status(status)) if status.upstream.ip() == from => {
                gateway.status(&status);
            }
            Some(Message::Lookup) => {
                if let Some(members) = gateway.members(from) {
                    let port = gateway.settings.borrow().peer_port;
                    let message = Message::ServiceInfo(members).encode();
                    // An agent that doesn't hear this asks again.
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

/// Sends digests for as long as the process runs.
pub async fn tell(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, incarnation: u64) {
    let mut reported = Duration::ZERO;
    loop {
        let digest = Message::Digest(gateway.digest(incarnation));
        let peers = broadcast(&gateway, &socket, &digest).await;
        let now = gateway.clock.now();
        if now.saturating_sub(reported) >= BUDGETS_INTERVAL {
            reported = now;
            let budgets = gateway.budgets();
            if !budgets.is_empty() {
                broadcast(&gateway, &socket, &Message::WaitHints(budgets)).await;
            }
        }
        gateway.clock.sleep(pause(peers)).await;
    }
}

/// Sends a message to all peers; tells how many there are.
pub async fn broadcast(gateway: &Gateway, socket: &UdpSocket, message: &Message) -> usize {
    let message = message.encode();
    let addresses = addresses(gateway);
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
fn pause(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    (DIGEST_INTERVAL + DIGEST_INTERVAL_PER_PEER * peers).max(MIN_DIGEST_INTERVAL_PER_PEER * peers)
}

/// Asks the agents beside the ranks of groups how their ranks stand, for as long
/// as the process runs.
pub async fn subscribe(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    for round in 0_u32.. {
        let port = gateway.settings.borrow().peer_port;
        let ranks = gateway.ranks();
        // An entry that starts is to know groups before its first requests.
        let known = !ranks.is_empty();
        for (upstream, near) in ranks {
            // An agent that missed this hears the next one.
            if near || round % SUBSCRIBE_FAR == 0 {
                let message = Message::Subscribe(Subscription { same_zone: near }).encode();
                let agent = SocketAddr::new(upstream.ip(), port);
                let _ = socket.send_to(message, agent).await;
            }
        }
        let pause = if known {
            SUBSCRIBE_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        gateway.clock.sleep(pause).await;
    }
}

/// Whom digests go to; also forgets peers that are silent for long.
fn addresses(gateway: &Gateway) -> Vec<Ipv4Addr> {
    let now = gateway.clock.now();
    let settings = gateway.settings.borrow();
    let mut peers = gateway.peers.borrow_mut();
    for seed in &settings.seeds {
        if let IpAddr::V4(address) = seed.ip() {
            peers.think_of(now, address);
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
        let ahead = gateway.peers.borrow().ahead(now, gateway.have());
        let Some(&peer) = ahead.first() else {
            gateway.peers.borrow_mut().behind = None;
            continue;
        };
        let since = *gateway.peers.borrow_mut().behind.get_or_insert(now);
        if now.saturating_sub(since) >= CATCH_UP_DELAY {
            info!(gateway.log, "Entry: A peer knows more; asking it."; "peer" => peer.to_string());
            gateway.ask(peer).await;
            gateway.peers.borrow_mut().behind = None;
        }
    }
}

#[cfg(test)]
mod tests;
