//! What a source says to the peers of its zone, and takes from them.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use verbenaspool_coordination::{
    adoption::Verdict,
    head::Head,
    membership::{Member, OwnStanding, PeerStatus, ReceiveOutcome},
    piece::Hash,
};
use verbenaspool_protocol::peer::{
    self, FETCH, Fetch, FetchAnswer, HEARTBEAT, Heartbeat, HeartbeatAnswer, OFFER, Offer,
    OfferAnswer, Piece,
};
use verbenaspool_state::version::Version;

use super::source::Source;
use crate::rpc;

/// How often a source looks what is due.
const TICK: Duration = Duration::from_millis(50);
/// How long a heartbeat may take. Less than the time between two, so that a
/// peer that doesn't answer holds nothing up.
const BEAT_TIME: Duration = Duration::from_millis(800);
/// How long an offer or a fetch may take: a megabyte over a slow link.
const FETCH_TIME: Duration = Duration::from_secs(3);
/// The most rounds of fetching for one version. A tree has five levels; the rest
/// is room for a root of many pieces.
const ROUNDS: usize = 64;

/// Adds the methods that peers call to a module.
pub(super) fn methods(source: &Rc<Source>, module: &mut rpc::Module) {
    let own = Rc::clone(source);
    module.register(HEARTBEAT, move |beat: Heartbeat| {
        let echo = answer_beat(&own, beat);
        async move { Ok::<_, String>(echo) }
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

/// Sends heartbeats and puts versions in force, until the source ends.
pub(super) async fn talk(source: Rc<Source>) {
    while !source.ended() {
        source.enforce();
        let now = source.now();
        source.membership.borrow_mut().expire_neighbours(now);
        let peers = source.membership.borrow_mut().heartbeat_targets(now);
        let due = !peers.is_empty();
        for member in &peers {
            monoio::spawn(beat(Rc::clone(&source), member.address, Vec::new()));
        }
        // Who knows nobody asks the seeds, as often as it would send heartbeats.
        if !due && source.alive() == 1 {
            for seed in &source.options.seeds {
                monoio::spawn(beat(Rc::clone(&source), *seed, Vec::new()));
            }
            let wait = source
                .options
                .membership
                .heartbeat_interval
                .saturating_sub(TICK);
            source.sleep(wait).await;
        }
        source.sleep(TICK).await;
    }
}

/// What the source says of itself now.
fn message(source: &Source) -> PeerStatus {
    let adoption = source.adoption.borrow();
    let held = adoption.complete_head().map(|head| head.version);
    let membership = source.membership.borrow();
    let reaches = source.reaches();
    membership.own_status(
        source.now(),
        held.unwrap_or_default(),
        source.version(),
        reaches,
    )
}

/// The source's table.
fn table(source: &Source) -> Vec<Member> {
    source.membership.borrow().table().cloned().collect()
}

/// Calls a peer, twice if need be: a kept connection may have been closed by it.
async fn call<P, R>(
    source: &Source,
    address: SocketAddr,
    method: &str,
    params: &P,
    time: Duration,
) -> Result<R, rpc::Error>
where
    P: serde::Serialize,
    R: serde::de::DeserializeOwned,
{
    match source.calls.call(address, method, params, time).await {
        Err(rpc::Error::Io(_)) => source.calls.call(address, method, params, time).await,
        result => result,
    }
}

/// Sends a heartbeat and takes its answer in.
async fn beat(source: Rc<Source>, address: SocketAddr, members: Vec<Member>) {
    if address == source.options.control {
        return;
    }
    let told = !members.is_empty();
    let beat = Heartbeat {
        status: message(&source),
        table: members,
    };
    // Silence is noticed by the membership.
    let Ok(echo) = call::<_, HeartbeatAnswer>(&source, address, HEARTBEAT, &beat, BEAT_TIME).await
    else {
        return;
    };
    let from = echo.status.from.clone();
    let heard = take_in(&source, &echo.table, echo.status);
    if let Some(head) = echo.head {
        pull(&source, &from, head).await;
    }
    let differs = heard
        && source
            .membership
            .borrow()
            .digest_differs(&word_of(&source, &from));
    if differs && !told {
        let members = table(&source);
        Box::pin(self::beat(source, address, members)).await;
    }
}

/// The last message of a peer.
fn word_of(source: &Source, from: &Member) -> PeerStatus {
    let membership = source.membership.borrow();
    membership
        .last_status(&from.name)
        .cloned()
        .unwrap_or_else(|| message(source))
}

/// Takes in a peer's table and message; whether the message counts.
fn take_in(source: &Source, members: &[Member], message: PeerStatus) -> bool {
    let mut membership = source.membership.borrow_mut();
    if membership.merge(members) == OwnStanding::Replaced {
        source.replaced.set(true);
    }
    let (name, held) = (message.from.name.clone(), message.held);
    let heard = membership.receive(source.now(), message) == ReceiveOutcome::Current;
    drop(membership);
    if heard {
        source.adoption.borrow_mut().set_peer_version(&name, held);
    }
    heard
}

/// Answers a heartbeat.
fn answer_beat(source: &Rc<Source>, beat: Heartbeat) -> HeartbeatAnswer {
    let theirs = beat.status.held;
    let told = beat.status.clone();
    take_in(source, &beat.table, beat.status);
    let differs = source.membership.borrow().digest_differs(&told);
    let held = source.adoption.borrow().complete_head().cloned();
    let own = held.as_ref().map(|head| head.version).unwrap_or_default();
    if theirs > own {
        // Its head comes with the answer to a heartbeat of ours.
        monoio::spawn(self::beat(Rc::clone(source), told.from.address, Vec::new()));
    }
    HeartbeatAnswer {
        status: message(source),
        table: if differs { table(source) } else { Vec::new() },
        head: held.filter(|head| head.version > theirs),
    }
}

/// Gets hold of a head that a peer holds, and passes it on.
async fn pull(source: &Rc<Source>, from: &Member, head: Head) {
    match source.offer(head.clone()) {
        Verdict::Corrupt | Verdict::Old => return,
        Verdict::New | Verdict::Known => {}
    }
    if source.adoption.borrow().complete_head() == Some(&head) {
        return;
    }
    fetch(source, from.address, head.root).await;
    hold(source, from, &head);
}

/// Notes that the source holds `head`, as the peer does that it came from.
fn hold(source: &Rc<Source>, from: &Member, head: &Head) {
    let whole = {
        let mut adoption = source.adoption.borrow_mut();
        adoption.set_peer_version(&from.name, head.version);
        adoption.missing_pieces().is_empty()
    };
    source.enforce();
    if whole {
        pass_on(source, Some(from));
    }
}

/// Fetches what is missing of `root` from a peer.
async fn fetch(source: &Source, address: SocketAddr, root: Hash) {
    let mut have = source.current().map(|adopted| adopted.head.root);
    for _ in 0..ROUNDS {
        let missing = source.adoption.borrow().missing_pieces();
        if missing.is_empty() {
            return;
        }
        let request = Fetch {
            have: have.take(),
            root,
            missing: missing.iter().copied().take(peer::MAX_PIECES).collect(),
        };
        let fetched = call::<_, FetchAnswer>(source, address, FETCH, &request, FETCH_TIME).await;
        // What doesn't come from here comes with the next heartbeat, or from the
        // platform.
        let Ok(fetched) = fetched else {
            return;
        };
        if !insert(source, &missing, &fetched) {
            return;
        }
    }
}

/// Takes fetched pieces in; whether any was of use.
fn insert(source: &Source, missing: &BTreeSet<Hash>, fetched: &FetchAnswer) -> bool {
    let mut adoption = source.adoption.borrow_mut();
    let delta = fetched.delta.as_ref();
    let mut used = delta.is_some_and(|delta| adoption.apply_delta(delta).is_ok());
    // Only what is missing is taken: a faulty peer could fill the memory.
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

/// Answers an offer once the head is held, or isn't to be had.
async fn answer_offer(source: &Rc<Source>, offer: Offer) -> OfferAnswer {
    let Offer { from, head, delta } = offer;
    let verdict = source.offer(head.clone());
    if matches!(verdict, Verdict::New | Verdict::Known) {
        if verdict == Verdict::New {
            if let Some(delta) = delta {
                // One that doesn't fit costs a fetch.
                let _ = source.adoption.borrow_mut().apply_delta(&delta);
            }
            fetch(source, from.address, head.root).await;
            hold(source, &from, &head);
        } else {
            source
                .adoption
                .borrow_mut()
                .set_peer_version(&from.name, head.version);
            source.enforce();
        }
    }
    let adoption = source.adoption.borrow();
    let held = adoption.complete_head().map(|head| head.version);
    OfferAnswer {
        version: held.unwrap_or_default(),
    }
}

/// Answers a request for pieces.
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

/// Offers the held head to all neighbours but the one that it came from.
pub(super) fn pass_on(source: &Rc<Source>, from: Option<&Member>) {
    let (head, delta) = {
        let adoption = source.adoption.borrow();
        let Some(head) = adoption.complete_head().cloned() else {
            return;
        };
        let before = adoption.previous_root().filter(|root| *root != head.root);
        let delta = before.and_then(|before| adoption.delta(before, head.root));
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
        monoio::spawn(hand(Rc::clone(source), neighbour, Rc::clone(&offer)));
    }
}

/// Offers a head to one peer. If it doesn't answer, its children are offered it:
/// a process that is dead and not yet missed must not cut off those below it.
async fn hand(source: Rc<Source>, peer: Member, offer: Rc<Offer>) {
    let held = call::<_, OfferAnswer>(&source, peer.address, OFFER, &*offer, FETCH_TIME).await;
    match held {
        Ok(OfferAnswer { version }) => {
            source
                .adoption
                .borrow_mut()
                .set_peer_version(&peer.name, version);
            source.enforce();
        }
        Err(_) if offer.head.version >= highest(&source) => {
            let below = source.membership.borrow().children(&peer.name);
            for child in below {
                monoio::spawn(hand(Rc::clone(&source), child, Rc::clone(&offer)));
            }
        }
        // A later version goes the same way by now.
        Err(_) => {}
    }
}

/// The highest version heard of.
fn highest(source: &Source) -> Version {
    let adoption = source.adoption.borrow();
    adoption
        .highest_head()
        .map(|head| head.version)
        .unwrap_or_default()
}
