//! The share level: how much work in service a customer of weight 1 may have.
//!
//! Capacity is divided max-min fairly by weight. Customers that want less than their share get
//! all they want, and what they leave is divided among the others.

use super::WORK_TOLERANCE;

/// What a customer wants, or several equal ones together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The work that it would have in service if nothing limited it.
    pub work: f64,
    /// Its weight, over 0.
    pub weight: f64,
}

/// The level at which the sum of min(demand, level x weight) equals the work in service. `None`
/// if all demand fits. Reorders the demands.
///
/// ```
/// use verbenaspool_policy::dispatch::share::level::{Demand, max_min};
///
/// let demand = |work| Demand { work, weight: 1.0 };
/// let mut demands = [2.0, 10.0, 30.0].map(demand);
/// assert_eq!(max_min(&mut demands, 20.0), Some(9.0));
/// assert_eq!(max_min(&mut demands, 42.0), None);
/// ```
#[must_use]
pub fn max_min(demands: &mut [Demand], in_service: f64) -> Option<f64> {
    let level_of = |demand: &Demand| demand.work / demand.weight;
    demands.sort_unstable_by(|a, b| level_of(a).total_cmp(&level_of(b)));
    let mut left = in_service;
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    for demand in demands.iter() {
        let level = left / weights;
        if level_of(demand) > level + WORK_TOLERANCE {
            return Some(level.max(0.0));
        }
        left -= demand.work;
        weights -= demand.weight;
    }
    None
}
