//! Measures how evenly the subsets of all entries load the upstreams of one service, and
//! how many selections a change of the list moves.

use std::collections::{HashMap, HashSet};

use verbenaspool_policy::{
    member::{Member, Peer},
    subset,
};
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::{members, peers};

/// The upstreams of one service, a ninth of the fleet.
const UPSTREAMS: usize = 1_333;
const SUBSET_SIZE: usize = 64;
/// Upstreams replaced at once, one in a hundred.
const REPLACED_UPSTREAMS: usize = 13;

/// A method of subset selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Upstreams select entries, as in [`subset::choose`].
    Upstreams,
    /// Entries select upstreams by rendezvous hashing.
    Entries,
    /// Entries select evenly spaced ranges of the list of upstreams.
    Arcs,
}

impl Method {
    pub const ALL: [Self; 3] = [Self::Upstreams, Self::Entries, Self::Arcs];
}

#[derive(Debug)]
pub struct Spread {
    /// The load of the most loaded upstream, as a multiple of the mean.
    pub most: f64,
    /// The standard deviation of the load, as a fraction of the mean.
    pub deviation: f64,
    /// The sizes of the smallest and of the largest subset.
    pub sizes: (usize, usize),
    /// The fraction of selections that change when one upstream in a hundred is replaced.
    pub moved: f64,
}

pub fn measure(method: Method) -> Spread {
    let peers = peers();
    let mut list = members();
    let replacements = list.split_off(UPSTREAMS);
    let before = choose(method, &peers, &list);
    let mut replaced = list[REPLACED_UPSTREAMS..].to_vec();
    replaced.extend_from_slice(&replacements[..REPLACED_UPSTREAMS]);
    let after = choose(method, &peers, &replaced);
    let moved: usize = before
        .iter()
        .zip(&after)
        .map(|(b, a)| a.difference(b).count())
        .sum();
    let all: usize = before.iter().map(HashSet::len).sum();
    let sizes = before.iter().map(HashSet::len);
    let (most, deviation) = loads(&list, &before);
    Spread {
        most,
        deviation,
        sizes: (sizes.clone().min().unwrap_or(0), sizes.max().unwrap_or(0)),
        moved: moved as f64 / all as f64,
    }
}

/// Returns the greatest load and the standard deviation, both relative to the mean, if
/// each entry spreads an equal load evenly over its subset.
fn loads(members: &[Member], chosen: &[HashSet<String>]) -> (f64, f64) {
    let mut loads: HashMap<&str, f64> = members.iter().map(|m| (m.name.as_str(), 0.0)).collect();
    for subset in chosen {
        for upstream in subset {
            *loads.entry(upstream).or_default() += 1.0 / subset.len() as f64;
        }
    }
    let mean = loads.values().sum::<f64>() / loads.len() as f64;
    let most = loads.values().copied().fold(0.0, f64::max);
    let variance = loads.values().map(|l| (l - mean).powi(2)).sum::<f64>() / loads.len() as f64;
    (most / mean, variance.sqrt() / mean)
}

fn choose(method: Method, peers: &[Peer], members: &[Member]) -> Vec<HashSet<String>> {
    let names = |indices: Vec<usize>| {
        indices
            .iter()
            .map(|&i| members[i].name.to_string())
            .collect()
    };
    let indices_of = |(i, peer): (usize, &Peer)| match method {
        Method::Upstreams => subset::choose(&peer.name, &peer.zone, peers, members, SUBSET_SIZE),
        Method::Entries => rendezvous(peer, members),
        Method::Arcs => arc(i, peers.len(), members),
    };
    peers
        .iter()
        .enumerate()
        .map(indices_of)
        .map(names)
        .collect()
}

/// Selects three quarters from the entry's own zone and the rest from other zones, those
/// with the lowest hashes.
fn rendezvous(peer: &Peer, members: &[Member]) -> Vec<usize> {
    let key = |i: usize| xxh3_64(format!("{} {}", peer.name, members[i].name).as_bytes());
    let (mut local, mut remote): (Vec<usize>, Vec<usize>) =
        (0..members.len()).partition(|&i| members[i].zone == peer.zone);
    local.sort_unstable_by_key(|&i| key(i));
    remote.sort_unstable_by_key(|&i| key(i));
    local.truncate(SUBSET_SIZE * 3 / 4);
    remote.truncate(SUBSET_SIZE / 4);
    local.extend(remote);
    local
}

/// Selects the entry's range of the list, regardless of zones.
fn arc(entry: usize, entries: usize, members: &[Member]) -> Vec<usize> {
    let start = entry * members.len() / entries;
    (start..start + SUBSET_SIZE)
        .map(|i| i % members.len())
        .collect()
}
