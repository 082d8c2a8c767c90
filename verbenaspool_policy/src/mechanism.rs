//! The mechanisms of the balancer, each of which a benchmark can disable.

/// A mechanism of the balancer. All are enabled unless a benchmark disables one to
/// measure its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// The work estimate learns from past answers.
    Learning,
    /// Customers share capacity by weight instead of in order of arrival.
    Shares,
    /// Requests that can't meet their deadline are rejected at once.
    Refusal,
    /// When not all requests of a customer's queue can meet their deadlines, the largest of
    /// the lowest priority is dropped instead of the newest one.
    Displacement,
    /// The concurrency limit of each upstream adapts.
    Limits,
    /// Routing weighs upstreams by their pace.
    Pace,
    /// Load reports add the requests of other entries to the entry's own count.
    Reports,
    /// Routing prefers upstreams with a cached prefix.
    Affinity,
    /// Routing prefers the entry's own zone.
    Zones,
    /// Slow or failing upstreams are ejected.
    Ejection,
    /// Retries are limited by a budget.
    Budget,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 11] = [
        Self::Learning,
        Self::Shares,
        Self::Refusal,
        Self::Displacement,
        Self::Limits,
        Self::Pace,
        Self::Reports,
        Self::Affinity,
        Self::Zones,
        Self::Ejection,
        Self::Budget,
    ];
}

/// The set of enabled mechanisms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Set(u32);

impl Set {
    /// Returns the set of all mechanisms.
    ///
    /// ```
    /// use verbenaspool_policy::mechanism::{Mechanism, Set};
    ///
    /// let mechanisms = Set::all().without(Mechanism::Budget);
    /// assert!(!mechanisms.has(Mechanism::Budget) && mechanisms.has(Mechanism::Pace));
    /// ```
    #[must_use]
    pub const fn all() -> Self {
        Self(u32::MAX)
    }

    /// Returns the set without one mechanism.
    #[must_use]
    pub const fn without(self, mechanism: Mechanism) -> Self {
        Self(self.0 & !(1 << mechanism as u32))
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub const fn has(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) != 0
    }
}
