//! The mechanisms that the balancer joins, so that a measurement can leave one out.

/// A mechanism of the decisions. All are in use unless a measurement removes
/// one to show what gets worse without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// The estimate of work learns from what answers took.
    Learning,
    /// Customers share by weight instead of in order of arrival.
    Shares,
    /// Requests that can't meet their deadline are refused at once.
    Refusal,
    /// Within a customer's queue the largest work yields when not all can be met.
    Displacement,
    /// The limit of an upstream adapts.
    Limits,
    /// Routing weighs an upstream's pace.
    Pace,
    /// Load reports correct the own count of work in flight.
    Reports,
    /// Routing follows cached prefixes.
    Affinity,
    /// Routing prefers the own zone.
    Zones,
    /// Outliers are ejected.
    Ejection,
    /// Retries draw on a budget.
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

/// The mechanisms in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms(u32);

impl Mechanisms {
    /// Every mechanism.
    ///
    /// ```
    /// use verbenaspool_policy::mechanism::{Mechanism, Mechanisms};
    ///
    /// let mechanisms = Mechanisms::all().without(Mechanism::Budget);
    /// assert!(!mechanisms.has(Mechanism::Budget) && mechanisms.has(Mechanism::Pace));
    /// ```
    #[must_use]
    pub const fn all() -> Self {
        Self(u32::MAX)
    }

    /// The set less one mechanism.
    #[must_use]
    pub const fn without(self, mechanism: Mechanism) -> Self {
        Self(self.0 & !(1 << mechanism as u32))
    }

    /// Whether a mechanism is in use.
    #[must_use]
    pub const fn has(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) != 0
    }
}
