//! Improving a placement by few moves.
//!
//! A full packing moves nearly all experts for a peak that a handful of moves
//! comes close to. So the search starts from the placement in force and takes,
//! move by move, what lowers the busiest rank most.

use super::placement::Placement;

/// How many of the least busy ranks are tried as the receiving end, and how many
/// more of those that can give a slot. The least busy ones have the most room
/// for load; all are tried only where none of these helps.
const TRIED: usize = 8;

/// A part of a rank's work below which a gain is rounding, not an improvement.
const ROUNDING: f64 = 1e-9;

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
        out: Option<u16>,
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
            Self::Copy { expert, to, out } => {
                if let Some(out) = out {
                    placement.take(to, out);
                }
                placement.put(to, expert);
            }
            Self::Move { expert, from, to } => {
                placement.take(from, expert);
                placement.put(to, expert);
            }
            Self::Swap {
                expert,
                from,
                other,
                to,
            } => {
                placement.take(from, expert);
                placement.take(to, other);
                placement.put(from, other);
                placement.put(to, expert);
            }
        }
    }
}

/// The change that lowers the busiest rank most without making another rank
/// as busy, counted for each expert that it loads; none where no change does.
#[must_use]
pub fn best(placement: &Placement) -> Option<Change> {
    let work = placement.work();
    let ranks = u16::try_from(work.len()).unwrap_or(u16::MAX);
    let load = |rank: u16| work[usize::from(rank)];
    let busiest = (0..ranks).max_by(|&a, &b| load(a).total_cmp(&load(b)))?;
    let mut receivers: Vec<u16> = (0..ranks).filter(|&rank| rank != busiest).collect();
    receivers.sort_unstable_by(|&a, &b| load(a).total_cmp(&load(b)));
    let yields = |&rank: &u16| {
        let mut experts = placement.on(rank).iter();
        placement.has_room(rank) || experts.any(|&expert| placement.copies(expert) > 1)
    };
    let (near, far) = receivers.split_at(TRIED.min(receivers.len()));
    let roomy = far.iter().copied().filter(yields).take(TRIED);
    let first: Vec<u16> = near.iter().copied().chain(roomy).collect();
    relieve(placement, busiest, &first).or_else(|| relieve(placement, busiest, far))
}

/// The best change that relieves a rank towards one of the receivers.
fn relieve(placement: &Placement, busiest: u16, receivers: &[u16]) -> Option<Change> {
    let load = placement.work()[usize::from(busiest)];
    let mut best: Option<(f64, Change)> = None;
    let mut weigh = |change: Change, after: f64| {
        let gain = (load - after) / f64::from(change.moves());
        let better = best.is_none_or(|(most, _)| gain > most);
        if better && gain > ROUNDING * load {
            best = Some((gain, change));
        }
    };
    for &expert in placement.on(busiest) {
        for &to in receivers {
            consider(placement, busiest, expert, to, &mut weigh);
        }
    }
    best.map(|(_, change)| change)
}

/// Weighs the changes that relieve a rank of an expert towards another, each
/// with the higher work of the two ranks after it.
fn consider(
    placement: &Placement,
    from: u16,
    expert: u16,
    to: u16,
    weigh: &mut impl FnMut(Change, f64),
) {
    let work = |rank: u16| placement.work()[usize::from(rank)];
    let part = placement.part(expert);
    if placement.holds(to, expert) {
        return;
    }
    let copies = placement.copies(expert);
    let thinner = placement.share(expert, copies + 1);
    let left = work(from) - (part - thinner);
    if placement.has_room(to) {
        let out = None;
        let copy = Change::Copy { expert, to, out };
        weigh(copy, left.max(work(to) + thinner));
        let moved = Change::Move { expert, from, to };
        weigh(moved, (work(from) - part).max(work(to) + part));
    }
    for &other in placement.on(to) {
        let back = placement.part(other);
        if !placement.has_room(to) && placement.copies(other) > 1 {
            // What the copy carried goes to the other holders of that expert;
            // the busiest rank may be one of them.
            let more = placement.share(other, placement.copies(other) - 1) - back;
            let extra = if placement.holds(from, other) {
                more
            } else {
                0.0
            };
            let out = Some(other);
            let copy = Change::Copy { expert, to, out };
            weigh(copy, (left + extra).max(work(to) - back + thinner));
        }
        if back < part && !placement.holds(from, other) {
            let swap = Change::Swap {
                expert,
                from,
                other,
                to,
            };
            let after = (work(from) - part + back).max(work(to) - back + part);
            weigh(swap, after);
        }
    }
}
