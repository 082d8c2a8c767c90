//! One layer's placement in the form that decisions work on: who holds what,
//! and how much work each rank has.

use verbenaspool_state::expert_map::Layer;

/// A layer's experts on its ranks, with the load that they bring.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The experts on each rank.
    ranks: Vec<Vec<u16>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<u16>>,
    /// The load of each expert, in tokens a step.
    loads: Vec<f64>,
    /// The load of each rank.
    rank_loads: Vec<f64>,
    /// The slots of each rank.
    slots: usize,
}

impl Placement {
    /// The placement of a layer under the experts' loads.
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

    /// The load of each rank, in tokens a step.
    #[must_use]
    pub fn rank_loads(&self) -> &[f64] {
        &self.rank_loads
    }

    /// The load of the rank that has most.
    #[must_use]
    pub fn peak_load(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    /// The load of all experts spread evenly over the ranks: no placement has a
    /// lower peak.
    #[must_use]
    pub fn mean_load(&self) -> f64 {
        let ranks = u32::try_from(self.rank_loads.len().max(1)).unwrap_or(u32::MAX);
        self.loads.iter().sum::<f64>() / f64::from(ranks)
    }

    /// The placement as a layer of a map.
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

    /// Whether a rank has a slot left.
    #[must_use]
    pub fn has_free_slot(&self, rank: u16) -> bool {
        self.ranks[usize::from(rank)].len() < self.slots
    }

    /// How many ranks hold an expert.
    #[must_use]
    pub fn copies(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// What an expert brings to a rank that holds it, given so many copies.
    #[must_use]
    pub fn share_among(&self, expert: u16, copies: usize) -> f64 {
        let copies = u32::try_from(copies.max(1)).unwrap_or(u32::MAX);
        self.loads[usize::from(expert)] / f64::from(copies)
    }

    /// The expert's present share.
    #[must_use]
    pub fn share(&self, expert: u16) -> f64 {
        self.share_among(expert, self.copies(expert))
    }

    /// Whether a rank holds an expert.
    #[must_use]
    pub fn holds(&self, rank: u16, expert: u16) -> bool {
        self.holders[usize::from(expert)].contains(&rank)
    }

    /// Puts an expert on a rank.
    pub fn add(&mut self, rank: u16, expert: u16) {
        self.update_holders(expert, |placement| {
            placement.ranks[usize::from(rank)].push(expert);
            placement.holders[usize::from(expert)].push(rank);
        });
    }

    /// Takes an expert off a rank.
    pub fn remove(&mut self, rank: u16, expert: u16) {
        self.update_holders(expert, |placement| {
            placement.ranks[usize::from(rank)].retain(|&e| e != expert);
            placement.holders[usize::from(expert)].retain(|&r| r != rank);
        });
    }

    /// Changes who holds an expert and accounts for its load.
    fn update_holders(&mut self, expert: u16, update: impl FnOnce(&mut Self)) {
        self.add_shares(expert, -1.0);
        update(self);
        self.add_shares(expert, 1.0);
    }

    /// Adds the expert's shares to its holders' work, or takes them off.
    fn add_shares(&mut self, expert: u16, sign: f64) {
        let share = self.share(expert);
        for &rank in &self.holders[usize::from(expert)] {
            self.rank_loads[usize::from(rank)] += sign * share;
        }
    }

    /// The load that experts bring to a rank that holds them.
    fn total_share(&self, experts: &[u16]) -> f64 {
        experts.iter().map(|&expert| self.share(expert)).sum()
    }
}
