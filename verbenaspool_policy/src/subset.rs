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
    let mut chosen = pick(entry, peers, members, &own, own_size, |peer| {
        peer.zone == *zone
    });
    chosen.extend(pick(entry, peers, members, &other, size - own_size, |_| {
        true
    }));
    chosen
}

/// Of the members at `among`, those whose pick of the `eligible` entries holds this one.
fn pick(
    entry: &Name,
    peers: &[Peer],
    members: &[Member],
    among: &[usize],
    size: usize,
    eligible: impl Fn(&Peer) -> bool,
) -> Vec<usize> {
    if among.len() <= size {
        return among.to_vec();
    }
    let seeds: Vec<(u64, bool)> = peers
        .iter()
        .filter(|peer| eligible(peer) && peer.name != *entry)
        .map(|peer| (hash(&peer.name), false))
        .chain([(hash(entry), true)])
        .collect();
    let entries = size * seeds.len();
    let mut ranked: Vec<(bool, u64, usize)> = among
        .iter()
        .map(|&i| {
            let member = hash(&members[i].name);
            // Where the entries don't divide evenly, some members take one more.
            let takes = entries / among.len()
                + usize::from(member % (among.len() as u64) < (entries % among.len()) as u64);
            (!picks(member, &seeds, takes), score(member, hash(entry)), i)
        })
        .collect();
    ranked.sort_unstable();
    let picked = ranked.iter().filter(|(out, ..)| !out).count();
    // Chance leaves an entry with fewer or more; the bounds keep it useful and small.
    let count = picked.clamp(size / 2, size + size / 2);
    ranked[..count.min(ranked.len())]
        .iter()
        .map(|&(.., i)| i)
        .collect()
}

/// Whether this entry is among the `takes` entries that a member ranks first.
fn picks(member: u64, seeds: &[(u64, bool)], takes: usize) -> bool {
    let own = seeds
        .iter()
        .find(|(_, own)| *own)
        .map_or(0, |&(seed, _)| score(member, seed));
    let ahead = seeds
        .iter()
        .filter(|&&(seed, _)| score(member, seed) < own)
        .count();
    ahead < takes
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
