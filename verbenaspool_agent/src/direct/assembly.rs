//! Maps that come in several datagrams, or as what differs from one before.

use verbenaspool_protocol::member::{Difference, Move, placement_hash};
use verbenaspool_state::engine::Experts;

/// A map of which some parts have come.
#[derive(Debug)]
pub struct PartialMap {
    /// The map's version.
    pub version: u64,
    /// The experts by set and rank, as far as they have come.
    pub sets: Vec<Option<Vec<Vec<u16>>>>,
}

/// How many maps an agent remembers: that in use, and those of changes that were
/// given up since.
const MAX_KNOWN_MAPS: usize = 3;

/// The version of the map that a group forms with.
pub const INITIAL_VERSION: u64 = 0;

/// The map that a group of so many ranks forms with, by set and rank: experts in turn.
pub fn initial_placement(ranks: u16, experts: &Experts) -> Vec<Vec<Vec<u16>>> {
    let experts_on = |rank: u16| (rank..experts.count).step_by(ranks.max(1).into());
    let set: Vec<Vec<u16>> = (0..ranks).map(|rank| experts_on(rank).collect()).collect();
    vec![set; experts.layers.into()]
}

/// A map that an agent knows whole.
#[derive(Debug, Clone)]
struct KnownMap {
    epoch: u64,
    version: u64,
    placement: Vec<Vec<Vec<u16>>>,
}

/// A difference of which some parts have come.
#[derive(Debug)]
pub struct PartialDifference {
    epoch: u64,
    version: u64,
    moves: Vec<Option<Vec<Move>>>,
}

impl PartialDifference {
    /// The parts of one difference; a part of another one begins anew.
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

    /// Adds a part; the whole difference, once all have come.
    ///
    /// A part whose number doesn't fit is dropped: the map that the others lead to has
    /// another hash without it, or it is missing and asked for.
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

/// The maps that an agent knows whole, the newest last.
#[derive(Debug, Default)]
pub struct MapCache(Vec<KnownMap>);

impl MapCache {
    /// Remembers a map.
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

    /// Remembers the first map of an epoch, which needn't be sent: experts in turn.
    ///
    /// Were it another one, the hash of what differs from it wouldn't fit, and the map
    /// would be asked for whole.
    pub fn add_initial(&mut self, epoch: u64, ranks: u16, experts: &Experts) {
        if self.0.iter().any(|known| known.epoch == epoch) {
            return;
        }
        self.add(epoch, INITIAL_VERSION, initial_placement(ranks, experts));
    }

    /// The map that a difference leads to, where the one before is known.
    ///
    /// Ranks on maps that differ garble answers without any sign of it. So a map
    /// that isn't the lead's to the letter, whatever went wrong between, is none.
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

/// The places in which two maps differ, each given by set and rank.
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
