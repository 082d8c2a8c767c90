//! One layer's placement in the form that the search works on: the holders of
//! each expert and the load of each rank.

use verbenaspool_state::expert_map::Layer;

/// The experts of a layer on its ranks, with the resulting loads.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The experts on each rank.
    ranks: Vec<Vec<u16>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<u16>>,
    /// The load of each expert, in tokens per step.
    loads: Vec<f64>,
    /// The load of each rank, in tokens per step.
    rank_loads: Vec<f64>,
    /// The number of slots per rank.
    slots: usize,
}

impl Placement {
    /// Creates the placement of a layer under the experts' loads.
    ///
    /// ```
    /// use verbenaspool_policy::rebalancer::placement::Placement;
    /// use verbenaspool_state::expert_map::Layer;
    ///
    /// let layer = Layer { ranks: vec![vec![0, 1], vec![1]] };
    /// let placement = Placement::new(&layer, &[4.0, 2.0], 2);
    /// assert_eq!(placement.rank_loads(), [5.0, 1.0]);
    /// ```
    #[must_use]
    pub fn new(layer: &Layer, loads: &[f64], slots: u16) -> Self {
        let mut holders = vec![Vec::new(); loads.len()];
        for (rank, experts) in (0..).zip(&layer.ranks) {
            for &expert in experts {
                holders[usize::from(expert)].push(rank);
            }
        }
        let mut placement = Self {
            ranks: layer.ranks.clone(),
            holders,
            loads: loads.to_vec(),
            rank_loads: Vec::new(),
            slots: usize::from(slots),
        };
        let rank_loads = placement
            .ranks
            .iter()
            .map(|experts| placement.total_share(experts));
        placement.rank_loads = rank_loads.collect();
        placement
    }

    /// The load of each rank, in tokens per step.
    #[must_use]
    pub fn rank_loads(&self) -> &[f64] {
        &self.rank_loads
    }

    /// The load of the busiest rank.
    #[must_use]
    pub fn peak_load(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    /// The load per rank if all experts were spread evenly, a lower bound of
    /// the peak load of any placement.
    #[must_use]
    pub fn mean_load(&self) -> f64 {
        let ranks = u32::try_from(self.rank_loads.len().max(1)).unwrap_or(u32::MAX);
        self.loads.iter().sum::<f64>() / f64::from(ranks)
    }

    /// The placement as a layer of an expert map.
    #[must_use]
    pub fn to_layer(&self) -> Layer {
        Layer {
            ranks: self.ranks.clone(),
        }
    }

    /// The experts on a rank.
    #[must_use]
    pub fn experts_on(&self, rank: u16) -> &[u16] {
        &self.ranks[usize::from(rank)]
    }

    /// Whether a rank has a free slot.
    #[must_use]
    pub fn has_free_slot(&self, rank: u16) -> bool {
        self.ranks[usize::from(rank)].len() < self.slots
    }

    /// The number of ranks that hold an expert.
    #[must_use]
    pub fn copies(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// The load that an expert adds to each of its holders if it has `copies`
    /// of them.
    #[must_use]
    pub fn share_among(&self, expert: u16, copies: usize) -> f64 {
        let copies = u32::try_from(copies.max(1)).unwrap_or(u32::MAX);
        self.loads[usize::from(expert)] / f64::from(copies)
    }

    /// The load that an expert adds to each of its current holders.
    #[must_use]
    pub fn share(&self, expert: u16) -> f64 {
        self.share_among(expert, self.copies(expert))
    }

    /// Whether a rank holds an expert.
    #[must_use]
    pub fn holds(&self, rank: u16, expert: u16) -> bool {
        self.holders[usize::from(expert)].contains(&rank)
    }

    /// Adds an expert to a rank.
    pub fn add(&mut self, rank: u16, expert: u16) {
        self.update_holders(expert, |placement| {
            placement.ranks[usize::from(rank)].push(expert);
            placement.holders[usize::from(expert)].push(rank);
        });
    }

    /// Removes an expert from a rank.
    pub fn remove(&mut self, rank: u16, expert: u16) {
        self.update_holders(expert, |placement| {
            placement.ranks[usize::from(rank)].retain(|&e| e != expert);
            placement.holders[usize::from(expert)].retain(|&r| r != rank);
        });
    }

    /// Changes an expert's holders and updates the rank loads.
    fn update_holders(&mut self, expert: u16, update: impl FnOnce(&mut Self)) {
        self.add_shares(expert, -1.0);
        update(self);
        self.add_shares(expert, 1.0);
    }

    /// Adds the expert's share, multiplied by `sign`, to the load of each of
    /// its holders.
    fn add_shares(&mut self, expert: u16, sign: f64) {
        let share = self.share(expert);
        for &rank in &self.holders[usize::from(expert)] {
            self.rank_loads[usize::from(rank)] += sign * share;
        }
    }

    /// The load that a rank gets from the given experts.
    fn total_share(&self, experts: &[u16]) -> f64 {
        experts.iter().map(|&expert| self.share(expert)).sum()
    }
}
