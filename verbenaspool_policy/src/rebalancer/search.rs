//! Improving a placement by few moves.
//!
//! A full packing moves nearly all experts for a peak that a handful of moves
//! comes close to. So the search starts from the placement in force and takes,
//! move by move, what lowers the busiest rank most.

use super::placement::Placement;

/// How many of the least busy ranks are tried as the receiving end, and how many
/// more of those that can give a slot. The least busy ones have the most room
/// for load; all are tried only where none of these helps.
const MAX_RECEIVERS_TRIED: usize = 8;

/// A part of a rank's work below which a gain is rounding, not an improvement.
const MIN_RELATIVE_GAIN: f64 = 1e-9;

/// A change of who holds what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The receiving rank gets a copy of the expert, in the place of a
    /// replicated one where it has no slot left.
    Copy {
        /// The expert.
        expert: u16,
        /// The receiving rank.
        to: u16,
        /// The expert that makes room.
        evicted: Option<u16>,
    },
    /// The expert goes from one rank to a slot on another.
    Move {
        /// The expert.
        expert: u16,
        /// The rank that loses it.
        from: u16,
        /// The receiving rank.
        to: u16,
    },
    /// Two ranks exchange an expert each.
    Swap {
        /// The expert of the busy rank.
        expert: u16,
        /// The busy rank.
        from: u16,
        /// The other's expert.
        other: u16,
        /// The other rank.
        to: u16,
    },
}

impl Change {
    /// How many experts have to be loaded for it.
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

    /// Carries the change out.
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

/// The change that lowers the busiest rank most without making another rank
/// as busy, counted for each expert that it loads; none where no change does.
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

/// The best change that relieves a rank towards one of the receivers.
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

/// Weighs the changes that relieve a rank of an expert towards another, each
/// with the higher work of the two ranks after it.
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
            // What the copy carried goes to the other holders of that expert;
            // the busiest rank may be one of them.
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
