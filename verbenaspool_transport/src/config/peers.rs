//! Exchange of heartbeats, heads and pieces between a source and its peers in the zone.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use verbenaspool_coordination::{
    adoption::Verdict,
    head::Head,
    membership::{self, Member, OwnStanding, ReceiveOutcome},
    piece::Hash,
};
use verbenaspool_protocol::peer::{
    self, FETCH, Fetch, FetchAnswer, HEARTBEAT, Heartbeat, HeartbeatAnswer, OFFER, Offer,
    OfferAnswer, Piece,
};
use verbenaspool_state::version::Version;

use super::source::Source;
use crate::rpc;

/// Interval at which a source checks for due heartbeats and ready versions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a heartbeat. It is shorter than the heartbeat interval, so that a peer
/// that doesn't answer delays nothing.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of an offer or a fetch, sufficient for 1 MB over a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of fetch calls for one version. A tree has five levels; the others
/// allow for a root with many pieces.
const MAX_FETCH_ROUNDS: usize = 64;

/// Registers the methods that peers call.
pub(super) fn register_methods(source: &Rc<Source>, module: &mut rpc::Module) {
    let own = Rc::clone(source);
    module.register(HEARTBEAT, move |heartbeat: Heartbeat| {
        let answer = answer_heartbeat(&own, heartbeat);
        async move { Ok::<_, String>(answer) }
    });
    let own = Rc::clone(source);
    module.register(OFFER, move |offer: Offer| {
        let own = Rc::clone(&own);
        async move { Ok::<_, String>(answer_offer(&own, offer).await) }
    });
    let own = Rc::clone(source);
    module.register(FETCH, move |fetch: Fetch| {
        let fetched = answer_fetch(&own, &fetch);
        async move { Ok::<_, String>(fetched) }
    });
}

/// Sends heartbeats and activates versions until the source stops.
pub(super) async fn run(source: Rc<Source>) {
    while !source.is_stopped() {
        source.activate_ready();
        let now = source.now();
        source.membership.borrow_mut().expire_neighbours(now);
        let peers = source.membership.borrow_mut().heartbeat_targets(now);
        let due = !peers.is_empty();
        for member in &peers {
            monoio::spawn(send_heartbeat(
                Rc::clone(&source),
                member.address,
                Vec::new(),
            ));
        }
        // An instance that knows no peer contacts the seeds at the heartbeat interval.
        if !due && source.alive_count() == 1 {
            for seed in &source.options.seeds {
                monoio::spawn(send_heartbeat(Rc::clone(&source), *seed, Vec::new()));
            }
            let wait = source
                .options
                .membership
                .heartbeat_interval
                .saturating_sub(POLL_INTERVAL);
            source.sleep(wait).await;
        }
        source.sleep(POLL_INTERVAL).await;
    }
}

/// The current status of this instance, as sent to peers.
fn own_status(source: &Source) -> membership::Status {
    let adoption = source.adoption.borrow();
    let complete_version = adoption.complete_head().map(|head| head.version);
    let membership = source.membership.borrow();
    let reaches = source.reaches_platform();
    membership.own_status(
        source.now(),
        complete_version.unwrap_or_default(),
        source.version(),
        reaches,
    )
}

/// The source's membership table.
fn member_table(source: &Source) -> Vec<Member> {
    source.membership.borrow().table().cloned().collect()
}

/// Calls a peer, with one retry on an I/O error, since the peer may have closed an idle
/// connection.
async fn call<P, R>(
    source: &Source,
    address: SocketAddr,
    method: &str,
    params: &P,
    timeout: Duration,
) -> Result<R, rpc::Error>
where
    P: serde::Serialize,
    R: serde::de::DeserializeOwned,
{
    match source.rpc.call(address, method, params, timeout).await {
        Err(rpc::Error::Io(_)) => source.rpc.call(address, method, params, timeout).await,
        result => result,
    }
}

/// Sends a heartbeat and processes its answer. Where the membership tables differ, it is
/// sent once more with this instance's table.
async fn send_heartbeat(source: Rc<Source>, address: SocketAddr, members: Vec<Member>) {
    if address == source.options.control {
        return;
    }
    let sends_table = !members.is_empty();
    let heartbeat = Heartbeat {
        status: own_status(&source),
        table: members,
    };
    // The membership notices missed heartbeats by itself.
    let Ok(answer) =
        call::<_, HeartbeatAnswer>(&source, address, HEARTBEAT, &heartbeat, HEARTBEAT_TIMEOUT)
            .await
    else {
        return;
    };
    let from = answer.status.from.clone();
    let is_current = receive_status(&source, &answer.table, answer.status);
    if let Some(head) = answer.head {
        fetch_head(&source, &from, head).await;
    }
    let differs = is_current
        && source
            .membership
            .borrow()
            .digest_differs(&peer_status(&source, &from));
    if differs && !sends_table {
        let members = member_table(&source);
        Box::pin(send_heartbeat(source, address, members)).await;
    }
}

/// The last status received from a peer, or the own status if there is none.
fn peer_status(source: &Source, from: &Member) -> membership::Status {
    let membership = source.membership.borrow();
    membership
        .last_status(&from.name)
        .cloned()
        .unwrap_or_else(|| own_status(source))
}

/// Merges a peer's membership table and records its status. Returns whether the status is
/// current rather than outdated.
fn receive_status(source: &Source, members: &[Member], status: membership::Status) -> bool {
    let mut membership = source.membership.borrow_mut();
    if membership.merge(members) == OwnStanding::Replaced {
        source.replaced.set(true);
    }
    let (name, version) = (status.from.name.clone(), status.complete_version);
    let is_current = membership.receive(source.now(), status) == ReceiveOutcome::Current;
    drop(membership);
    if is_current {
        source
            .adoption
            .borrow_mut()
            .set_peer_version(&name, version);
    }
    is_current
}

/// Answers a heartbeat.
fn answer_heartbeat(source: &Rc<Source>, heartbeat: Heartbeat) -> HeartbeatAnswer {
    let peer_version = heartbeat.status.complete_version;
    let status = heartbeat.status.clone();
    receive_status(source, &heartbeat.table, heartbeat.status);
    let differs = source.membership.borrow().digest_differs(&status);
    let complete_head = source.adoption.borrow().complete_head().cloned();
    let own = complete_head
        .as_ref()
        .map(|head| head.version)
        .unwrap_or_default();
    if peer_version > own {
        // The peer sends its head in the answer to a heartbeat.
        monoio::spawn(send_heartbeat(
            Rc::clone(source),
            status.from.address,
            Vec::new(),
        ));
    }
    HeartbeatAnswer {
        status: own_status(source),
        table: if differs {
            member_table(source)
        } else {
            Vec::new()
        },
        head: complete_head.filter(|head| head.version > peer_version),
    }
}

/// Fetches the pieces of a head from a peer that has them, and offers the head to the
/// neighbours.
async fn fetch_head(source: &Rc<Source>, from: &Member, head: Head) {
    match source.offer(head.clone()) {
        Verdict::Corrupt | Verdict::Old => return,
        Verdict::New | Verdict::Known => {}
    }
    if source.adoption.borrow().complete_head() == Some(&head) {
        return;
    }
    fetch_missing(source, from.address, head.root).await;
    record_head(source, from, &head);
}

/// Records that the peer `from` has `head`, activates what is ready, and offers the head
/// to the other neighbours once all its pieces are here.
fn record_head(source: &Rc<Source>, from: &Member, head: &Head) {
    let complete = {
        let mut adoption = source.adoption.borrow_mut();
        adoption.set_peer_version(&from.name, head.version);
        adoption.missing_pieces().is_empty()
    };
    source.activate_ready();
    if complete {
        offer_to_neighbours(source, Some(from));
    }
}

/// Fetches the missing pieces of `root` from a peer.
async fn fetch_missing(source: &Source, address: SocketAddr, root: Hash) {
    let mut have = source.current().map(|adopted| adopted.head.root);
    for _ in 0..MAX_FETCH_ROUNDS {
        let missing = source.adoption.borrow().missing_pieces();
        if missing.is_empty() {
            return;
        }
        let request = Fetch {
            have: have.take(),
            root,
            missing: missing.iter().copied().take(peer::MAX_PIECES).collect(),
        };
        let fetched = call::<_, FetchAnswer>(source, address, FETCH, &request, FETCH_TIMEOUT).await;
        // Pieces that this peer doesn't deliver are fetched after the next heartbeat or
        // read from the platform.
        let Ok(fetched) = fetched else {
            return;
        };
        if !insert(source, &missing, &fetched) {
            return;
        }
    }
}

/// Inserts fetched pieces. Returns whether any was usable.
fn insert(source: &Source, missing: &BTreeSet<Hash>, fetched: &FetchAnswer) -> bool {
    let mut adoption = source.adoption.borrow_mut();
    let delta = fetched.delta.as_ref();
    let mut used = delta.is_some_and(|delta| adoption.apply_delta(delta).is_ok());
    // Only missing pieces are inserted, or a faulty peer could exhaust the memory.
    for piece in fetched
        .pieces
        .iter()
        .filter(|piece| missing.contains(&piece.hash))
    {
        used |= adoption
            .insert_piece(piece.hash, piece.text.as_bytes())
            .is_ok();
    }
    used
}

/// Answers an offer once the head's pieces are here or fetching them has failed.
async fn answer_offer(source: &Rc<Source>, offer: Offer) -> OfferAnswer {
    let Offer { from, head, delta } = offer;
    let verdict = source.offer(head.clone());
    if matches!(verdict, Verdict::New | Verdict::Known) {
        if verdict == Verdict::New {
            if let Some(delta) = delta {
                // If the delta doesn't apply, the pieces are fetched.
                let _ = source.adoption.borrow_mut().apply_delta(&delta);
            }
            fetch_missing(source, from.address, head.root).await;
            record_head(source, &from, &head);
        } else {
            source
                .adoption
                .borrow_mut()
                .set_peer_version(&from.name, head.version);
            source.activate_ready();
        }
    }
    let adoption = source.adoption.borrow();
    let complete_version = adoption.complete_head().map(|head| head.version);
    OfferAnswer {
        version: complete_version.unwrap_or_default(),
    }
}

/// Answers a request for pieces, with a delta where one is available.
fn answer_fetch(source: &Source, fetch: &Fetch) -> FetchAnswer {
    let adoption = source.adoption.borrow();
    let delta = fetch.have.and_then(|have| adoption.delta(have, fetch.root));
    let mut pieces = Vec::new();
    let mut bytes = 0;
    for hash in fetch.missing.iter().take(peer::MAX_PIECES) {
        if delta.is_some() || bytes > peer::MAX_PIECE_BYTES {
            break;
        }
        let content = adoption
            .piece(*hash)
            .and_then(|b| std::str::from_utf8(b).ok());
        let Some(text) = content else {
            continue;
        };
        bytes += text.len();
        pieces.push(Piece {
            hash: *hash,
            text: text.to_owned(),
        });
    }
    FetchAnswer { delta, pieces }
}

/// Offers the latest complete head to all neighbours but `from`, which sent it.
pub(super) fn offer_to_neighbours(source: &Rc<Source>, from: Option<&Member>) {
    let (head, delta) = {
        let adoption = source.adoption.borrow();
        let Some(head) = adoption.complete_head().cloned() else {
            return;
        };
        let previous = adoption.previous_root().filter(|root| *root != head.root);
        let delta = previous.and_then(|previous| adoption.delta(previous, head.root));
        (head, delta)
    };
    let membership = source.membership.borrow();
    let offer = Rc::new(Offer {
        from: membership.own().clone(),
        head,
        delta,
    });
    let neighbours = membership.neighbours();
    let others = neighbours
        .into_iter()
        .filter(|n| from.is_none_or(|from| n.name != from.name));
    for neighbour in others {
        monoio::spawn(offer_to(Rc::clone(source), neighbour, Rc::clone(&offer)));
    }
}

/// Offers a head to one peer. If the peer doesn't answer, the head is offered to its
/// children in the tree, so that a process that is dead but not yet detected as such doesn't
/// cut them off.
async fn offer_to(source: Rc<Source>, peer: Member, offer: Rc<Offer>) {
    let answer = call::<_, OfferAnswer>(&source, peer.address, OFFER, &*offer, FETCH_TIMEOUT).await;
    match answer {
        Ok(OfferAnswer { version }) => {
            source
                .adoption
                .borrow_mut()
                .set_peer_version(&peer.name, version);
            source.activate_ready();
        }
        Err(_) if offer.head.version >= highest_version(&source) => {
            let children = source.membership.borrow().children(&peer.name);
            for child in children {
                monoio::spawn(offer_to(Rc::clone(&source), child, Rc::clone(&offer)));
            }
        }
        // A later version is being offered the same way.
        Err(_) => {}
    }
}

/// The highest version known from any peer or the platform.
fn highest_version(source: &Source) -> Version {
    let adoption = source.adoption.borrow();
    adoption
        .highest_head()
        .map(|head| head.version)
        .unwrap_or_default()
}
