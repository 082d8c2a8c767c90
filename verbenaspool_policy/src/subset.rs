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
const LOCAL_FRACTION: f64 = 0.75;

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
    let (local, remote): (Vec<usize>, Vec<usize>) =
        (0..members.len()).partition(|&i| members[i].zone == *zone);
    let local_size = local
        .len()
        .min(fraction_of(size, LOCAL_FRACTION))
        .max(size.saturating_sub(remote.len()));
    let candidates = entry_candidates(entry, zone, peers);
    let mut chosen = members_choosing_entry(&candidates, members, &local, local_size);
    chosen.extend(members_choosing_entry(
        &candidates,
        members,
        &remote,
        size - local_size,
    ));
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
fn entry_candidates<'a>(entry: &Name, zone: &'a Name, peers: &'a [Peer]) -> Vec<Candidate<'a>> {
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
fn members_choosing_entry(
    candidates: &[Candidate<'_>],
    members: &[Member],
    member_indices: &[usize],
    size: usize,
) -> Vec<usize> {
    if member_indices.len() <= size {
        return member_indices.to_vec();
    }
    let mut ranked: Vec<(bool, u64, usize)> = member_indices
        .iter()
        .map(|&i| rank(candidates, &members[i], size, member_indices.len(), i))
        .collect();
    ranked.sort_unstable();
    let choosing = ranked.iter().filter(|(excluded, ..)| !excluded).count();
    // Chance leaves an entry with fewer or more; the bounds keep it useful and small.
    let count = choosing.clamp(size / 2, size + size / 2).min(ranked.len());
    ranked[..count].iter().map(|&(.., i)| i).collect()
}

/// Whether a member leaves this entry out, and how far back it ranks it. Members
/// pick entries of their own zone and of the others apart.
fn rank(
    candidates: &[Candidate<'_>],
    member: &Member,
    size: usize,
    member_count: usize,
    index: usize,
) -> (bool, u64, usize) {
    let key = hash(&member.name);
    let local = candidates[0].zone == &member.zone;
    let own_score = score(key, candidates[0].hash);
    let eligible = candidates
        .iter()
        .filter(|candidate| (candidate.zone == &member.zone) == local);
    let (count, ahead) = eligible.fold((0, 0), |(count, ahead), candidate| {
        (
            count + 1,
            ahead + usize::from(score(key, candidate.hash) < own_score),
        )
    });
    (
        ahead >= entries_for_member(key, size * count, member_count),
        own_score,
        index,
    )
}

/// How many entries a member picks, so that all members together make `picks`.
/// Where they don't divide evenly some members take one more, always the same
/// ones, so that a change of the list moves few.
#[allow(clippy::cast_possible_truncation)] // A remainder of a `usize` fits.
fn entries_for_member(key: u64, total: usize, members: usize) -> usize {
    let threshold = (u128::from(key) * members as u128) >> 64;
    total / members + usize::from((threshold as usize) < total % members)
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
fn fraction_of(size: usize, fraction: f64) -> usize {
    // A subset is some thousands at most, so nothing is lost on the way.
    (size as f64 * fraction).ceil() as usize
}
