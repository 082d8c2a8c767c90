//! Expert maps: the placement of experts on the ranks of a group.

use serde::{Deserialize, Serialize};

use crate::service::Experts;

/// The placement of experts on the ranks of a group in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Increases with each map of the group and is never reused.
    pub epoch: u64,
    /// The placement of each layer's experts.
    pub layers: Vec<Layer>,
}

/// The placement of one layer's experts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layer {
    /// The experts in the slots of each rank. The tokens of an expert that is on several
    /// ranks are spread evenly over them.
    pub ranks: Vec<Vec<u16>>,
}

/// The dimensions that all maps of a group have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Number of experts per layer.
    pub experts: u16,
    /// Number of layers with experts.
    pub layers: u16,
    /// Maximum number of experts per layer on a rank.
    pub slots: u16,
}

impl From<&Experts> for Shape {
    fn from(experts: &Experts) -> Self {
        Self {
            ranks: experts.ranks,
            experts: experts.experts,
            layers: experts.layers,
            slots: experts.slots,
        }
    }
}

impl Map {
    /// The map that places experts on ranks round-robin, in order of their numbers. Spare slots
    /// are filled with replicas, again starting from expert 0.
    ///
    /// ```
    /// use verbenaspool_state::expert_map::{Map, Shape};
    ///
    /// let shape = Shape { ranks: 2, experts: 4, layers: 1, slots: 2 };
    /// let map = Map::spread(1, shape);
    /// assert_eq!(map.layers[0].ranks, [[0, 2], [1, 3]]);
    /// assert_eq!(map.check(shape, 0), Ok(()));
    /// ```
    #[must_use]
    pub fn spread(epoch: u64, shape: Shape) -> Self {
        let mut numbers = (0..shape.experts.max(1)).cycle();
        let mut ranks = vec![Vec::new(); usize::from(shape.ranks)];
        for _ in 0..shape.slots {
            for (experts, expert) in ranks.iter_mut().zip(&mut numbers) {
                experts.push(expert);
            }
        }
        for experts in &mut ranks {
            experts.sort_unstable();
            experts.dedup();
        }
        let layer = Layer { ranks };
        Self {
            epoch,
            layers: vec![layer; usize::from(shape.layers)],
        }
    }

    /// Checks that the map fits the group and that its epoch is greater than `above`, the
    /// highest epoch used so far.
    ///
    /// ```
    /// use verbenaspool_state::expert_map::{Map, Problem, Shape};
    ///
    /// let shape = Shape { ranks: 2, experts: 4, layers: 1, slots: 2 };
    /// let mut map = Map::spread(7, shape);
    /// assert_eq!(map.check(shape, 7), Err(Problem::Stale { epoch: 7, above: 7 }));
    /// map.layers[0].ranks[0] = vec![0, 1];
    /// let missing = Problem::Missing { layer: 0, expert: 2 };
    /// assert_eq!(map.check(shape, 6), Err(missing));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the first [`Problem`] found.
    pub fn check(&self, shape: Shape, above: u64) -> Result<(), Problem> {
        if self.epoch <= above {
            let epoch = self.epoch;
            return Err(Problem::Stale { epoch, above });
        }
        if self.layers.len() != usize::from(shape.layers) {
            return Err(Problem::Layers {
                found: self.layers.len(),
                expected: shape.layers,
            });
        }
        let mut layers = self.layers.iter().enumerate();
        layers.try_for_each(|(number, layer)| layer.check(number, shape))
    }

    /// The experts that are on a rank under this map but not under `before`, as pairs of layer
    /// and expert.
    ///
    /// ```
    /// use verbenaspool_state::expert_map::{Map, Shape};
    ///
    /// let shape = Shape { ranks: 2, experts: 4, layers: 1, slots: 2 };
    /// let before = Map::spread(1, shape);
    /// let mut after = Map::spread(2, shape);
    /// after.layers[0].ranks = vec![vec![0, 1], vec![2, 3]];
    /// assert_eq!(after.added(Some(&before), 0), [(0, 1)]);
    /// ```
    #[must_use]
    pub fn added(&self, before: Option<&Self>, rank: u16) -> Vec<(u16, u16)> {
        let mut added = Vec::new();
        for (number, layer) in (0..).zip(&self.layers) {
            let previous = before.map_or(&[][..], |map| map.experts_on(number, rank));
            let new = layer
                .experts_on(rank)
                .iter()
                .filter(|e| !previous.contains(e));
            added.extend(new.map(|&expert| (number, expert)));
        }
        added
    }

    /// A layer's experts on a rank; empty if the map doesn't have the layer or the rank.
    ///
    /// ```
    /// use verbenaspool_state::expert_map::{Map, Shape};
    ///
    /// let shape = Shape { ranks: 2, experts: 4, layers: 1, slots: 2 };
    /// assert_eq!(Map::spread(1, shape).experts_on(0, 1), [1, 3]);
    /// ```
    #[must_use]
    pub fn experts_on(&self, layer: u16, rank: u16) -> &[u16] {
        let layer = self.layers.get(usize::from(layer));
        layer.map_or(&[], |layer| layer.experts_on(rank))
    }
}

impl Layer {
    /// The layer's experts on a rank.
    fn experts_on(&self, rank: u16) -> &[u16] {
        self.ranks.get(usize::from(rank)).map_or(&[], Vec::as_slice)
    }

    /// Checks that the layer, which has the given index, fits the group.
    fn check(&self, layer: usize, shape: Shape) -> Result<(), Problem> {
        if self.ranks.len() != usize::from(shape.ranks) {
            return Err(Problem::Ranks {
                layer,
                found: self.ranks.len(),
                expected: shape.ranks,
            });
        }
        let mut placed = vec![false; usize::from(shape.experts)];
        for (rank, experts) in self.ranks.iter().enumerate() {
            if experts.len() > usize::from(shape.slots) {
                return Err(Problem::Slots {
                    layer,
                    rank,
                    found: experts.len(),
                    slots: shape.slots,
                });
            }
            for (slot, &expert) in experts.iter().enumerate() {
                let Some(is_placed) = placed.get_mut(usize::from(expert)) else {
                    return Err(Problem::Unknown {
                        layer,
                        rank,
                        expert,
                    });
                };
                if experts[..slot].contains(&expert) {
                    return Err(Problem::Twice {
                        layer,
                        rank,
                        expert,
                    });
                }
                *is_placed = true;
            }
        }
        let missing = (0..shape.experts).find(|&expert| !placed[usize::from(expert)]);
        missing.map_or(Ok(()), |expert| Err(Problem::Missing { layer, expert }))
    }
}

/// Why a map is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Problem {
    /// The epoch is not greater than the highest one used so far.
    #[error("epoch {epoch} is stale, it must be above {above}")]
    Stale {
        /// The map's epoch.
        epoch: u64,
        /// The highest epoch used so far.
        above: u64,
    },
    /// The map and the group have different numbers of layers.
    #[error("the map has {found} layers, the group has {expected}")]
    Layers {
        /// Number of layers in the map.
        found: usize,
        /// Number of layers in the group.
        expected: u16,
    },
    /// A layer and the group have different numbers of ranks.
    #[error("layer {layer} places experts on {found} ranks, the group has {expected}")]
    Ranks {
        /// The layer.
        layer: usize,
        /// Number of ranks in the layer.
        found: usize,
        /// Number of ranks in the group.
        expected: u16,
    },
    /// A rank has more experts than slots.
    #[error("layer {layer} places {found} experts on rank {rank}, which has {slots} slots")]
    Slots {
        /// The layer.
        layer: usize,
        /// The rank.
        rank: usize,
        /// Number of experts placed on it.
        found: usize,
        /// Number of its slots.
        slots: u16,
    },
    /// The layer has no expert with this number.
    #[error("layer {layer} places the unknown expert {expert} on rank {rank}")]
    Unknown {
        /// The layer.
        layer: usize,
        /// The rank.
        rank: usize,
        /// The number of the expert.
        expert: u16,
    },
    /// An expert occurs twice on one rank.
    #[error("layer {layer} places expert {expert} twice on rank {rank}")]
    Twice {
        /// The layer.
        layer: usize,
        /// The rank.
        rank: usize,
        /// The expert.
        expert: u16,
    },
    /// An expert is on no rank.
    #[error("layer {layer} places expert {expert} on no rank")]
    Missing {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: u16,
    },
}
