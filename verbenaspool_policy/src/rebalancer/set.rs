//! One set of experts while its placement is changed step by step.

use verbenaspool_state::expert_map::Layer;

use super::relief::Bound;

/// The power to which ranks' work is raised before it is summed. The root of the
/// sum stands for the busiest rank, and still tells apart how many others are
/// nearly as busy: relief for one of two equals is then a gain as well, and a pass
/// whose choices differ from the mean finds fewer ranks near the peak.
const POWER: i32 = 12;

/// The busiest ranks whose experts are tried in each step. With one alone the
/// search ends where that rank can't be helped though others could.
const BUSY: usize = 2;

/// What it costs that an expert only leaves a rank, in copies: nothing is copied, but
/// the place is missed when popularity shifts back.
const DROP: f64 = 0.25;

/// One step towards a better placement: what a busy rank and another one gain and
/// lose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// The busy rank.
    from: usize,
    /// The other rank; the busy one itself where an expert only leaves it and the
    /// other holders take over its part.
    to: usize,
    /// The expert that is copied to the other rank.
    expert: u16,
    /// Whether it leaves the busy rank.
    leaves: bool,
    /// The expert that leaves the other rank for it, if one does.
    out: Option<u16>,
    /// Whether that one goes to the busy rank in exchange.
    back: bool,
}

impl Step {
    /// The ranks that copy an expert.
    pub fn copying(&self) -> impl Iterator<Item = usize> + use<> {
        let to = (!self.is_drop()).then_some(self.to);
        let back = self.back.then_some(self.from);
        to.into_iter().chain(back)
    }

    /// Whether an expert only leaves a rank, and nothing is copied.
    fn is_drop(&self) -> bool {
        self.from == self.to
    }

    /// What the step costs, in copies.
    fn cost(&self) -> f64 {
        match (self.is_drop(), self.back) {
            (true, _) => DROP,
            (false, false) => 1.0,
            (false, true) => 2.0,
        }
    }
}

/// One set while its placement is changed.
#[derive(Debug, Clone)]
pub struct Set {
    /// The experts of each rank.
    ranks: Vec<Vec<u16>>,
    /// The experts of each rank before the first step.
    before: Vec<Vec<u16>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// The work that each expert brings.
    loads: Vec<f64>,
    /// How much longer each rank takes for its work than a rank that is well.
    pace: Vec<f64>,
    /// The time that each rank takes for its work.
    work: Vec<f64>,
}

impl Set {
    /// The set as it is placed, with the work that each expert brings and the pace
    /// of each rank; ranks of which none is told are well.
    pub fn new(layer: &Layer, loads: &[f64], pace: &[f64]) -> Self {
        let mut holders = vec![Vec::new(); loads.len()];
        for (rank, experts) in layer.ranks.iter().enumerate() {
            for &expert in experts {
                if let Some(holders) = holders.get_mut(usize::from(expert)) {
                    holders.push(rank);
                }
            }
        }
        let mut set = Self {
            ranks: layer.ranks.clone(),
            before: layer.ranks.clone(),
            holders,
            loads: loads.to_vec(),
            pace: (0..layer.ranks.len())
                .map(|rank| pace.get(rank).copied().unwrap_or(1.0))
                .collect(),
            work: Vec::new(),
        };
        let work = |(experts, pace): (&Vec<u16>, &f64)| {
            let sum: f64 = experts.iter().map(|&e| set.part(e, 0)).sum();
            sum * pace
        };
        set.work = set.ranks.iter().zip(&set.pace).map(work).collect();
        set
    }

    /// The experts of each rank.
    pub fn ranks(&self) -> &[Vec<u16>] {
        &self.ranks
    }

    /// The placement.
    pub fn into_layer(self) -> Layer {
        Layer { ranks: self.ranks }
    }

    /// How many experts are new to a rank.
    pub fn copied(&self, rank: usize) -> usize {
        let new = |expert: &&u16| !self.before[rank].contains(expert);
        self.ranks[rank].iter().filter(new).count()
    }

    /// The time that the slowest rank takes for its work.
    pub fn peak(&self) -> f64 {
        self.work.iter().copied().fold(0.0, f64::max)
    }

    /// The mean time of a rank, were all of them well.
    pub fn mean(&self) -> f64 {
        let sum: f64 = self.loads.iter().sum();
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let ranks = self.work.len().max(1) as f64;
        sum / ranks
    }

    /// What an expert brings to each of its ranks, with so many more of them.
    fn part(&self, expert: u16, more: isize) -> f64 {
        let expert = usize::from(expert);
        let holders = self.holders[expert].len().saturating_add_signed(more);
        #[allow(clippy::cast_precision_loss)] // Groups are small.
        let holders = holders.max(1) as f64;
        self.loads[expert] / holders
    }

    /// The step that shortens the pass most for each expert it copies, by more than
    /// the `price` of a copy, and that gain.
    pub fn best(&self, bound: &Bound, left: &[usize], price: f64) -> Option<(f64, Step)> {
        let unit = self.mean();
        if unit <= 0.0 {
            return None;
        }
        let mut scale = Scale::new(&self.work, unit);
        let peak = scale.peak();
        let mut best: Option<(f64, Step)> = None;
        for from in self.busiest() {
            self.steps_from(from, bound, left, &mut |step| {
                self.changes(&step, &mut |rank, more| scale.add(rank, more));
                let gain = (peak - scale.after()) / step.cost();
                if gain > price && best.is_none_or(|(most, _)| gain > most) {
                    best = Some((gain, step));
                }
            });
        }
        best
    }

    /// The busiest ranks.
    fn busiest(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.work.len()).collect();
        ranks.sort_by(|a, b| self.work[*b].total_cmp(&self.work[*a]));
        ranks.truncate(BUSY);
        ranks
    }

    /// Whether a rank can copy one more expert.
    fn can_copy(&self, rank: usize, bound: &Bound, left: &[usize]) -> bool {
        left[rank] > 0 && self.copied(rank) < bound.spare
    }

    /// Visits the steps that relieve a rank.
    fn steps_from(&self, from: usize, bound: &Bound, left: &[usize], visit: &mut dyn FnMut(Step)) {
        let takes_back = self.can_copy(from, bound, left);
        for &expert in &self.ranks[from] {
            if self.holders[usize::from(expert)].len() > 1 {
                visit(Step {
                    from,
                    to: from,
                    expert,
                    leaves: true,
                    out: None,
                    back: false,
                });
            }
        }
        for to in 0..self.ranks.len() {
            let is_less_busy = self.work[to] < self.work[from];
            if is_less_busy && self.can_copy(to, bound, left) {
                self.steps_between(from, to, takes_back, bound, visit);
            }
        }
    }

    /// Visits the steps that relieve a rank by way of another one.
    fn steps_between(
        &self,
        from: usize,
        to: usize,
        takes_back: bool,
        bound: &Bound,
        visit: &mut dyn FnMut(Step),
    ) {
        let [giver, receiver] = [from, to].map(|rank| &self.ranks[rank]);
        let experts = giver.iter().filter(|expert| !receiver.contains(expert));
        for (&expert, leaves) in experts.flat_map(|expert| [(expert, false), (expert, true)]) {
            let step = Step {
                from,
                to,
                expert,
                leaves,
                out: None,
                back: false,
            };
            if receiver.len() < bound.places {
                visit(step);
            }
            for &out in receiver {
                let step = Step {
                    out: Some(out),
                    ..step
                };
                if self.holders[usize::from(out)].len() > 1 {
                    visit(step);
                }
                if leaves && takes_back && !giver.contains(&out) {
                    visit(Step { back: true, ..step });
                }
            }
        }
    }

    /// Tells how a step changes the time of each rank.
    fn changes(&self, step: &Step, tell: &mut dyn FnMut(usize, f64)) {
        let mut tell = |rank: usize, more: f64| tell(rank, more * self.pace[rank]);
        if step.is_drop() {
            self.leaves(step.expert, step.from, &mut tell);
            return;
        }
        let Step {
            from,
            to,
            expert,
            leaves,
            out,
            back,
        } = *step;
        let (old, more) = (self.part(expert, 0), isize::from(!leaves));
        let new = self.part(expert, more);
        tell(to, new);
        if leaves {
            tell(from, -old);
        } else {
            for &rank in &self.holders[usize::from(expert)] {
                tell(rank, new - old);
            }
        }
        let Some(out) = out else {
            return;
        };
        if back {
            let old = self.part(out, 0);
            tell(to, -old);
            tell(from, old);
        } else {
            self.leaves(out, to, &mut tell);
        }
    }

    /// Tells how the work of each rank changes when an expert leaves one of its holders.
    fn leaves(&self, expert: u16, from: usize, tell: &mut dyn FnMut(usize, f64)) {
        let (old, new) = (self.part(expert, 0), self.part(expert, -1));
        tell(from, -old);
        let holders = self.holders[usize::from(expert)].iter();
        for &rank in holders.filter(|rank| **rank != from) {
            tell(rank, new - old);
        }
    }

    /// Takes a step.
    pub fn apply(&mut self, step: &Step) {
        let mut work = std::mem::take(&mut self.work);
        self.changes(step, &mut |rank, more| work[rank] += more);
        self.work = work;
        if !step.is_drop() {
            self.place(step.expert, step.to);
        }
        if step.leaves {
            self.remove(step.expert, step.from);
        }
        if let Some(out) = step.out {
            self.remove(out, step.to);
            if step.back {
                self.place(out, step.from);
            }
        }
    }

    fn place(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn remove(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|holder| *holder != rank);
    }
}

/// The busiest rank's work, smoothed, while the work of some ranks is varied.
struct Scale<'a> {
    work: &'a [f64],
    unit: f64,
    /// Each rank's work to the power.
    powers: Vec<f64>,
    sum: f64,
    /// What is added to ranks in the variation at hand.
    more: Vec<(usize, f64)>,
}

impl<'a> Scale<'a> {
    fn new(work: &'a [f64], unit: f64) -> Self {
        let powers: Vec<f64> = work.iter().map(|work| (work / unit).powi(POWER)).collect();
        let sum = powers.iter().sum();
        Self {
            work,
            unit,
            powers,
            sum,
            more: Vec::new(),
        }
    }

    /// The smoothed peak as the work is.
    fn peak(&self) -> f64 {
        self.unit * self.sum.max(0.0).powf(1.0 / f64::from(POWER))
    }

    /// Varies the work of a rank.
    fn add(&mut self, rank: usize, more: f64) {
        match self.more.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += more,
            None => self.more.push((rank, more)),
        }
    }

    /// The smoothed peak with the variation, which is dropped.
    fn after(&mut self) -> f64 {
        let mut sum = self.sum;
        for (rank, more) in self.more.drain(..) {
            let work = (self.work[rank] + more).max(0.0) / self.unit;
            sum += work.powi(POWER) - self.powers[rank];
        }
        self.unit * sum.max(0.0).powf(1.0 / f64::from(POWER))
    }
}
