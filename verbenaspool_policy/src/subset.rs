//! Chooses the subset of upstreams that an entry instance sends to.
//!
//! In a large fleet an entry can't keep a connection and state for every upstream.
//! Random subsets would leave some upstreams with few entries and others with many, and
//! each change of the list would change every subset.
//!
//! Each *upstream* selects the entries that may use it, by rendezvous hashing over the
//! entries of its own zone and, apart, over those of other zones. Every entry computes
//! the same selections, so nothing is sent. Every upstream has the same number of
//! entries, which balances load better than entries selecting upstreams, and a change
//! of one member or entry affects only the selections that include it.

use verbenaspool_state::name::Name;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::member::{Member, Peer};

/// The fraction of the subset in the entry's own zone. The rest takes work when the
/// zone is full or lost.
const LOCAL_FRACTION: f64 = 0.75;

/// Returns the indices in `members` of the entry's subset: all if there are at most
/// `size`, else about `size`, at most 1.5 times as many.
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

/// Returns the indices in `members` of the entry's subset, without knowing the other entries.
///
/// `members` holds the id of each upstream and whether it is in the entry's zone. All are
/// returned if there are at most `size`, else the first `size` in an order by rendezvous
/// hashing. A change of the list changes little. Upstreams get equally many entries only on
/// average, which suffices where the upstreams of the zone nearly fit.
///
/// ```
/// use verbenaspool_policy::subset::choose_by_hash;
///
/// let members = [("i-1", true), ("i-2", false), ("i-3", false)];
/// assert_eq!(choose_by_hash("entry-1", &members, 3), [0, 1, 2]);
/// assert!(choose_by_hash("entry-1", &members, 2).contains(&0));
/// ```
#[must_use]
pub fn choose_by_hash(entry: &str, members: &[(&str, bool)], size: usize) -> Vec<usize> {
    if members.len() <= size {
        return (0..members.len()).collect();
    }
    let entry = xxh3_64(entry.as_bytes());
    let first_by_hash = |local: bool, count: usize| -> Vec<usize> {
        let members = members.iter().enumerate();
        let candidates = members.filter(|(_, (_, in_zone))| *in_zone == local);
        let mut ranked: Vec<(u64, usize)> = candidates
            .map(|(index, (id, _))| (score(xxh3_64(id.as_bytes()), entry), index))
            .collect();
        ranked.sort_unstable();
        ranked
            .into_iter()
            .take(count)
            .map(|(_, index)| index)
            .collect()
    };
    let remote = members.iter().filter(|(_, in_zone)| !in_zone).count();
    let local_size = fraction_of(size, LOCAL_FRACTION).max(size.saturating_sub(remote));
    let mut chosen = first_by_hash(true, local_size);
    chosen.extend(first_by_hash(false, size - chosen.len()));
    chosen
}

/// An entry instance that members may select.
#[derive(Debug)]
struct Candidate<'a> {
    /// The hash of its name.
    hash: u64,
    /// Its zone.
    zone: &'a Name,
}

/// Returns all entries as candidates, this entry first.
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

/// Returns those of `member_indices` whose members select this entry.
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
    // The number of selecting members varies by chance; the bounds keep subsets useful
    // and small.
    let count = choosing.clamp(size / 2, size + size / 2).min(ranked.len());
    ranked[..count].iter().map(|&(.., i)| i).collect()
}

/// Returns whether a member leaves this entry out, the entry's hash score, and the
/// member's index. Members select entries of their own zone and of other zones
/// separately.
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

/// How many entries a member selects, so that all members together make `total`
/// selections. If these don't divide evenly, some members select one more, always the
/// same ones, so that a change of the list moves few selections.
#[allow(clippy::cast_possible_truncation)] // A remainder of a `usize` fits.
fn entries_for_member(key: u64, total: usize, members: usize) -> usize {
    let threshold = (u128::from(key) * members as u128) >> 64;
    total / members + usize::from((threshold as usize) < total % members)
}

/// The rendezvous hash of a member and an entry; lower ranks first.
fn score(member: u64, entry: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), entry)
}

/// The hash of a name.
fn hash(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// A fraction of a size, rounded up.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn fraction_of(size: usize, fraction: f64) -> usize {
    // A subset has at most some thousands of upstreams, so the casts are exact enough.
    (size as f64 * fraction).ceil() as usize
}
