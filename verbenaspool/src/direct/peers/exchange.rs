//! Sends digests to peers, and receives the messages of peers and agents.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use monoio::net::udp::UdpSocket;
use verbenaspool_protocol::{
    digest::{self, Digest, Hint, InFlight, UNKNOWN_ZONE},
    message::{self, Message},
    usage::Report,
};

use super::DIGEST_INTERVAL;
use crate::direct::gateway::Gateway;

/// How often peers get the usual initial waits of callers.
const HINTS_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of peers that get the usual initial waits. Entries with few callers, which
/// need them, get them from several others.
const MAX_HINT_RECIPIENTS: usize = 8;

impl Gateway {
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
        in_flight.truncate(digest::MAX_UPSTREAMS);
        let own = Digest {
            incarnation,
            table_version: versions.table,
            registry_revision: versions.registry,
            registry_era: versions.registry_era,
            evacuation_revision: versions.evacuations,
            evacuation_era: versions.evacuations_era,
            store: self.store_access(),
            evacuation_hash: versions.evacuations_hash,
            evacuation_listed: versions.evacuations_listed,
            configuration_revision: versions.configuration,
            configuration_era: versions.configuration_era,
            registry_hash: versions.registry_hash,
            store_answer_age_ms: self.store_answer_age_ms(),
            registry_outdated: versions.has_doubtful_registry(),
            registry_listed: versions.registry_listed,
            leaving: self.leaving.get(),
            in_flight,
            ..Digest::default()
        };
        self.peers.borrow_mut().next_digest(now, own)
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
                let era = digest.registry_era.max(digest.configuration_era);
                let answer_age_ms = digest.store_answer_age_ms;
                let was_cut_off = gateway.peers.borrow().is_cut_off(from);
                let changed = gateway.peers.borrow_mut().receive(now, from, digest);
                if !was_cut_off && gateway.peers.borrow().is_cut_off(from) {
                    gateway.check_store();
                }
                gateway.hint_store_era(era);
                if let Some(age_ms) = answer_age_ms.filter(|_| changed) {
                    gateway.record_peer_answer(age_ms);
                }
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
            Some(Message::Crash(report)) if is_peer(&gateway, from) => {
                if let IpAddr::V4(from) = from {
                    gateway.record_crash_report(report, from);
                }
            }
            Some(Message::RateLimits(reports)) if is_peer(&gateway, from) => {
                gateway.record_rate_limits(&reports, &format!("peer {from}"));
            }
            Some(Message::CustomerUsage(report)) if is_peer(&gateway, from) => {
                if let IpAddr::V4(from) = from {
                    gateway.record_usage(&report, from);
                }
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
        update_peers(&gateway);
        let recipients = gateway.peers.borrow_mut().next_recipients();
        send(&gateway, &socket, &digest, &recipients).await;
        let now = gateway.clock.now();
        if now.saturating_sub(hints_sent_at) >= HINTS_INTERVAL {
            hints_sent_at = now;
            let hints = gateway.common_waits();
            if !hints.is_empty() {
                let recipients = gateway.peers.borrow().sample(now, MAX_HINT_RECIPIENTS);
                send(&gateway, &socket, &Message::WaitHints(hints), &recipients).await;
            }
        }
        let interval = gateway.peers.borrow().digest_interval();
        gateway.clock.sleep(interval).await;
    }
}

/// Sends a message to all peers.
pub async fn broadcast(gateway: &Gateway, socket: &UdpSocket, message: &Message) {
    update_peers(gateway);
    let recipients: Vec<Ipv4Addr> = gateway.peers.borrow().known.keys().copied().collect();
    send(gateway, socket, message, &recipients).await;
}

/// Sends reports of customers' usage to the recipients of digests. Returns the number of datagrams.
pub async fn send_usage(gateway: &Gateway, socket: &UdpSocket, reports: Vec<Report>) -> u32 {
    let recipients = gateway.peers.borrow().recipients();
    let sent = reports.len() * recipients.len();
    for report in reports {
        send(
            gateway,
            socket,
            &Message::CustomerUsage(report),
            &recipients,
        )
        .await;
    }
    u32::try_from(sent).unwrap_or(u32::MAX)
}

/// Sends a message to some peers.
async fn send(gateway: &Gateway, socket: &UdpSocket, message: &Message, recipients: &[Ipv4Addr]) {
    let message = message.encode();
    let port = gateway.settings.borrow().peer_port;
    for address in recipients {
        // Best effort: the next message makes up for a lost one.
        let to = SocketAddr::from((*address, port));
        let _ = socket.send_to(message.clone(), to).await;
    }
}

/// Whether the address belongs to a known peer.
fn is_peer(gateway: &Gateway, address: IpAddr) -> bool {
    let peers = gateway.peers.borrow();
    matches!(address, IpAddr::V4(address) if peers.known.contains_key(&address))
}

/// Adds the seeds to the peers, and removes peers that have been silent for long.
fn update_peers(gateway: &Gateway) {
    let now = gateway.clock.now();
    let settings = gateway.settings.borrow();
    let mut peers = gateway.peers.borrow_mut();
    for seed in &settings.seeds {
        if let IpAddr::V4(address) = seed.ip() {
            peers.add(now, address, UNKNOWN_ZONE);
        }
    }
    peers.remove_silent(now);
}
