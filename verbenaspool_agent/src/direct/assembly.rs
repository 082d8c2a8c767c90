//! Assembly of maps that arrive in several datagrams, or as differences from a previous
//! map.

use verbenaspool_protocol::member::{Difference, Move, placement_hash};
use verbenaspool_state::engine::Experts;

/// A map of which only some parts may have arrived.
#[derive(Debug)]
pub struct PartialMap {
    /// Version of the map.
    pub version: u64,
    /// The experts by set of layers and rank, as far as they have arrived.
    pub sets: Vec<Option<Vec<Vec<u16>>>>,
}

/// Number of maps that an agent keeps: the one in use, and those of changes abandoned
/// since.
const MAX_KNOWN_MAPS: usize = 3;

/// Version of the map that a group starts with.
pub const INITIAL_VERSION: u64 = 0;

/// The map that a group of `ranks` ranks starts with, by set of layers and rank: experts
/// are assigned round-robin.
pub fn initial_placement(ranks: u16, experts: &Experts) -> Vec<Vec<Vec<u16>>> {
    let experts_on = |rank: u16| (rank..experts.count).step_by(ranks.max(1).into());
    let set: Vec<Vec<u16>> = (0..ranks).map(|rank| experts_on(rank).collect()).collect();
    vec![set; experts.layers.into()]
}

/// A completely known map.
#[derive(Debug, Clone)]
struct KnownMap {
    epoch: u64,
    version: u64,
    placement: Vec<Vec<Vec<u16>>>,
}

/// A difference of which only some parts may have arrived.
#[derive(Debug)]
pub struct PartialDifference {
    epoch: u64,
    version: u64,
    moves: Vec<Option<Vec<Move>>>,
}

impl PartialDifference {
    /// Returns `known` if the part belongs to the same difference, and otherwise an empty
    /// one for the difference of the part.
    pub fn for_part(known: Option<Self>, part: &Difference) -> Self {
        let matches = |known: &Self| {
            (known.epoch, known.version) == (part.epoch, part.version)
                && known.moves.len() == usize::from(part.part_count)
        };
        known.filter(matches).unwrap_or_else(|| Self {
            epoch: part.epoch,
            version: part.version,
            moves: vec![None; part.part_count.into()],
        })
    }

    /// Adds a part. Returns the complete difference once all parts have arrived.
    ///
    /// A part whose index is out of range is dropped. Without it the difference either
    /// stays incomplete or leads to a map with another hash, and the complete map is
    /// requested.
    pub fn add(&mut self, part: &Difference) -> Option<Difference> {
        *self.moves.get_mut(usize::from(part.part))? = Some(part.moves.clone());
        let moves = self.moves.iter().cloned().collect::<Option<Vec<_>>>()?;
        Some(Difference {
            moves: moves.concat(),
            descendants: Vec::new(),
            ..part.clone()
        })
    }
}

/// The completely known maps, the newest last.
#[derive(Debug, Default)]
pub struct MapCache(Vec<KnownMap>);

impl MapCache {
    /// Adds a map. Removes those of other epochs, and the oldest one if there are too many.
    pub fn add(&mut self, epoch: u64, version: u64, placement: Vec<Vec<Vec<u16>>>) {
        self.0
            .retain(|known| known.epoch == epoch && known.version != version);
        if self.0.len() >= MAX_KNOWN_MAPS {
            self.0.remove(0);
        }
        self.0.push(KnownMap {
            epoch,
            version,
            placement,
        });
    }

    /// Adds the initial map of an epoch, which needn't be sent because every agent can
    /// derive it.
    ///
    /// If the group had another one, the hash of a map derived from it wouldn't match, and
    /// the complete map would be requested.
    pub fn add_initial(&mut self, epoch: u64, ranks: u16, experts: &Experts) {
        if self.0.iter().any(|known| known.epoch == epoch) {
            return;
        }
        self.add(epoch, INITIAL_VERSION, initial_placement(ranks, experts));
    }

    /// Applies a difference. Returns `None` if its base isn't known or the result has
    /// another hash.
    ///
    /// Ranks with different maps produce corrupt output without any error. Therefore a map
    /// that isn't identical to the lead's is discarded, whatever the cause of the
    /// difference.
    pub fn apply(&self, difference: &Difference) -> Option<Vec<Vec<Vec<u16>>>> {
        let base =
            |known: &&KnownMap| (known.epoch, known.version) == (difference.epoch, difference.base);
        let mut placement = self.0.iter().find(base)?.placement.clone();
        for change in &difference.moves {
            let set = placement.get_mut(usize::from(change.set))?;
            let rank = set.get_mut(usize::from(change.rank))?;
            if let Some(removed) = change.removed {
                rank.retain(|expert| *expert != removed);
            }
            rank.extend(change.added);
        }
        for rank in placement.iter_mut().flatten() {
            rank.sort_unstable();
        }
        (placement_hash(&placement) == difference.hash).then_some(placement)
    }
}

/// The changed slots between two maps.
pub fn diff(before: &[Vec<Vec<u16>>], after: &[Vec<Vec<u16>>]) -> Vec<Move> {
    let mut moves = Vec::new();
    for (set, (before, after)) in (0..).zip(before.iter().zip(after)) {
        for (rank, (before, after)) in (0..).zip(before.iter().zip(after)) {
            let mut removed = before.iter().filter(|expert| !after.contains(expert));
            let mut added = after.iter().filter(|expert| !before.contains(expert));
            loop {
                let (removed, added) = (removed.next().copied(), added.next().copied());
                if removed.is_none() && added.is_none() {
                    break;
                }
                moves.push(Move {
                    set,
                    rank,
                    removed,
                    added,
                });
            }
        }
    }
    moves
}

#[cfg(test)]
mod tests;
