//! Which upstreams an entry instance works with.
//!
//! Load: a fleet in which every entry can't keep a connection and a record for
//! every upstream. A random part leaves some upstreams to few entries and others
//! to many, and each change of the list would move everyone's part.
//!
//! Each *upstream* picks the entries that may use it, by rendezvous hash over
//! the entries of its zone and of the others. Every entry works the same picks
//! out for itself, so nothing is sent; every upstream has the same number of
//! entries, which balances better than entries that pick upstreams; and a change
//! of one member or entry touches only the picks it is in.

use verbenaspool_state::name::Name;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::member::{Member, Peer};

/// The part of the subset that goes to the entry's own zone. The rest is where
/// work spills to when the zone is full or lost.
const OWN: f64 = 0.75;

/// The places in `members` of those that the entry works with: all, where they
/// are no more than `size`, else about `size`, at most half as many again.
#[must_use]
pub fn choose(
    entry: &Name,
    zone: &Name,
    peers: &[Peer],
    members: &[Member],
    size: usize,
) -> Vec<usize> {
    if members.len() <= size {
        return (0..members.len()).collect();
    }
    let (own, other): (Vec<usize>, Vec<usize>) =
        (0..members.len()).partition(|&i| members[i].zone == *zone);
    let own_size = own
        .len()
        .min(part(size, OWN))
        .max(size.saturating_sub(other.len()));
    let seats = seats(entry, zone, peers);
    let mut chosen = pick(&seats, members, &own, own_size);
    chosen.extend(pick(&seats, members, &other, size - own_size));
    chosen
}

/// An entry as the picks see it.
#[derive(Debug)]
struct Candidate<'a> {
    /// The hash of its name.
    hash: u64,
    /// Its zone.
    zone: &'a Name,
}

/// This entry first, then the others.
fn seats<'a>(entry: &Name, zone: &'a Name, peers: &'a [Peer]) -> Vec<Candidate<'a>> {
    let others = peers.iter().filter(|peer| peer.name != *entry);
    let others = others.map(|peer| Candidate {
        hash: hash(&peer.name),
        zone: &peer.zone,
    });
    let own = Candidate {
        hash: hash(entry),
        zone,
    };
    std::iter::once(own).chain(others).collect()
}

/// Of the members at `among`, those that pick this entry.
fn pick(seats: &[Candidate<'_>], members: &[Member], among: &[usize], size: usize) -> Vec<usize> {
    if among.len() <= size {
        return among.to_vec();
    }
    let mut ranked: Vec<(bool, u64, usize)> = among
        .iter()
        .map(|&i| rank(seats, &members[i], size, among.len(), i))
        .collect();
    ranked.sort_unstable();
    let picked = ranked.iter().filter(|(out, ..)| !out).count();
    // Chance leaves an entry with fewer or more; the bounds keep it useful and small.
    let count = picked.clamp(size / 2, size + size / 2).min(ranked.len());
    ranked[..count].iter().map(|&(.., i)| i).collect()
}

/// Whether a member leaves this entry out, and how far back it ranks it. Members
/// pick entries of their own zone and of the others apart.
fn rank(
    seats: &[Candidate<'_>],
    member: &Member,
    size: usize,
    among: usize,
    place: usize,
) -> (bool, u64, usize) {
    let key = hash(&member.name);
    let local = seats[0].zone == &member.zone;
    let own = score(key, seats[0].hash);
    let eligible = seats
        .iter()
        .filter(|seat| (seat.zone == &member.zone) == local);
    let (count, ahead) = eligible.fold((0, 0), |(count, ahead), seat| {
        (count + 1, ahead + usize::from(score(key, seat.hash) < own))
    });
    (ahead >= takes(key, size * count, among), own, place)
}

/// How many entries a member picks, so that all members together make `picks`.
/// Where they don't divide evenly some members take one more, always the same
/// ones, so that a change of the list moves few.
#[allow(clippy::cast_possible_truncation)] // A remainder of a `usize` fits.
fn takes(key: u64, picks: usize, members: usize) -> usize {
    let chance = (u128::from(key) * members as u128) >> 64;
    picks / members + usize::from((chance as usize) < picks % members)
}

/// The rank of a pair; lower is first.
fn score(member: u64, entry: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), entry)
}

/// A name's hash.
fn hash(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// A part of a size, rounded up.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn part(size: usize, part: f64) -> usize {
    // A subset is some thousands at most, so nothing is lost on the way.
    (size as f64 * part).ceil() as usize
}
