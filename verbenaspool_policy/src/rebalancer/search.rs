//! Local search that improves a placement with few moves.
//!
//! Packing from scratch moves nearly all experts for a peak load that a handful
//! of moves comes close to. The search therefore starts from the current
//! placement and takes, change by change, the one that lowers the busiest
//! rank's load most.

use super::placement::Placement;

/// Number of least busy ranks that are tried as receivers, and number of
/// further ranks with a free slot or a replicated expert to evict. The least
/// busy ones can take the most load; all others are tried only if none of these
/// helps.
const MAX_RECEIVERS_TRIED: usize = 8;

/// Gain, as a fraction of the busiest rank's load, below which it is a rounding
/// error.
const MIN_RELATIVE_GAIN: f64 = 1e-9;

/// A change of an expert's holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The receiving rank gets a copy of the expert, replacing a replicated
    /// expert if it has no free slot.
    Copy {
        /// The expert.
        expert: u16,
        /// The receiving rank.
        to: u16,
        /// The replicated expert that is evicted to free a slot.
        evicted: Option<u16>,
    },
    /// The expert moves from one rank to a free slot on another.
    Move {
        /// The expert.
        expert: u16,
        /// The rank that gives the expert up.
        from: u16,
        /// The receiving rank.
        to: u16,
    },
    /// Two ranks exchange one expert each.
    Swap {
        /// The expert of the busy rank.
        expert: u16,
        /// The busy rank.
        from: u16,
        /// The other rank's expert.
        other: u16,
        /// The other rank.
        to: u16,
    },
}

impl Change {
    /// Number of experts that have to be loaded.
    ///
    /// ```
    /// use verbenaspool_policy::rebalancer::search::Change;
    ///
    /// assert_eq!(Change::Swap { expert: 0, from: 0, other: 1, to: 1 }.moves(), 2);
    /// ```
    #[must_use]
    pub fn moves(self) -> u32 {
        match self {
            Self::Copy { .. } | Self::Move { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }

    /// Applies the change to a placement.
    pub fn apply(self, placement: &mut Placement) {
        match self {
            Self::Copy {
                expert,
                to,
                evicted,
            } => {
                if let Some(evicted) = evicted {
                    placement.remove(to, evicted);
                }
                placement.add(to, expert);
            }
            Self::Move { expert, from, to } => {
                placement.remove(from, expert);
                placement.add(to, expert);
            }
            Self::Swap {
                expert,
                from,
                other,
                to,
            } => {
                placement.remove(from, expert);
                placement.remove(to, other);
                placement.add(from, other);
                placement.add(to, expert);
            }
        }
    }
}

/// The change that lowers the load of the busiest rank most per loaded expert
/// without making the other rank as busy, or none if there is no such change.
#[must_use]
pub fn best_change(placement: &Placement) -> Option<Change> {
    let rank_loads = placement.rank_loads();
    let ranks = u16::try_from(rank_loads.len()).unwrap_or(u16::MAX);
    let load = |rank: u16| rank_loads[usize::from(rank)];
    let busiest = (0..ranks).max_by(|&a, &b| load(a).total_cmp(&load(b)))?;
    let mut receivers: Vec<u16> = (0..ranks).filter(|&rank| rank != busiest).collect();
    receivers.sort_unstable_by(|&a, &b| load(a).total_cmp(&load(b)));
    let can_free_slot = |&rank: &u16| {
        let mut experts = placement.experts_on(rank).iter();
        placement.has_free_slot(rank) || experts.any(|&expert| placement.copies(expert) > 1)
    };
    let (least_busy, others) = receivers.split_at(MAX_RECEIVERS_TRIED.min(receivers.len()));
    let with_slots = others
        .iter()
        .copied()
        .filter(can_free_slot)
        .take(MAX_RECEIVERS_TRIED);
    let first: Vec<u16> = least_busy.iter().copied().chain(with_slots).collect();
    best_change_from(placement, busiest, &first)
        .or_else(|| best_change_from(placement, busiest, others))
}

/// The best change that shifts load from the busiest rank to one of the
/// receivers.
fn best_change_from(placement: &Placement, busiest: u16, receivers: &[u16]) -> Option<Change> {
    let busiest_load = placement.rank_loads()[usize::from(busiest)];
    let mut best: Option<(f64, Change)> = None;
    let mut evaluate = |change: Change, after: f64| {
        let gain = (busiest_load - after) / f64::from(change.moves());
        let better = best.is_none_or(|(most, _)| gain > most);
        if better && gain > MIN_RELATIVE_GAIN * busiest_load {
            best = Some((gain, change));
        }
    };
    for &expert in placement.experts_on(busiest) {
        for &to in receivers {
            evaluate_changes(placement, busiest, expert, to, &mut evaluate);
        }
    }
    best.map(|(_, change)| change)
}

/// Evaluates the changes that shift an expert's load from one rank to another.
/// `evaluate` gets each change with the higher load of the two ranks after it.
fn evaluate_changes(
    placement: &Placement,
    from: u16,
    expert: u16,
    to: u16,
    evaluate: &mut impl FnMut(Change, f64),
) {
    let load = |rank: u16| placement.rank_loads()[usize::from(rank)];
    let share = placement.share(expert);
    if placement.holds(to, expert) {
        return;
    }
    let copies = placement.copies(expert);
    let share_after_copy = placement.share_among(expert, copies + 1);
    let load_after_copy = load(from) - (share - share_after_copy);
    if placement.has_free_slot(to) {
        let evicted = None;
        let copy = Change::Copy {
            expert,
            to,
            evicted,
        };
        evaluate(copy, load_after_copy.max(load(to) + share_after_copy));
        let moved = Change::Move { expert, from, to };
        evaluate(moved, (load(from) - share).max(load(to) + share));
    }
    for &other in placement.experts_on(to) {
        let other_share = placement.share(other);
        if !placement.has_free_slot(to) && placement.copies(other) > 1 {
            // The evicted copy's load goes to the other holders of that expert,
            // which may include the busiest rank.
            let share_growth =
                placement.share_among(other, placement.copies(other) - 1) - other_share;
            let extra = if placement.holds(from, other) {
                share_growth
            } else {
                0.0
            };
            let evicted = Some(other);
            let copy = Change::Copy {
                expert,
                to,
                evicted,
            };
            evaluate(
                copy,
                (load_after_copy + extra).max(load(to) - other_share + share_after_copy),
            );
        }
        if other_share < share && !placement.holds(from, other) {
            let swap = Change::Swap {
                expert,
                from,
                other,
                to,
            };
            let after = (load(from) - share + other_share).max(load(to) - other_share + share);
            evaluate(swap, after);
        }
    }
}
