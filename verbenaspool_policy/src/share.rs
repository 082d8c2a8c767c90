//! Customers' shares, which apply to all services of a firm.

use std::collections::HashMap;

use verbenaspool_state::name::Name;

/// The share of a customer that isn't named in the configuration.
const DEFAULT_SHARE: u32 = 1;

/// The weights of a firm's customers when capacity is scarce, by name. A customer that
/// isn't named has share 1.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table(HashMap<Name, u32>);

impl Table {
    /// Returns a customer's share.
    ///
    /// ```
    /// use verbenaspool_policy::share::Table;
    /// use verbenaspool_state::name::Name;
    ///
    /// let name: Name = "bowen-loft".parse().unwrap();
    /// let shares: Table = [(name.clone(), 3)].into_iter().collect();
    /// assert_eq!(shares.of(&name), 3);
    /// assert_eq!(Table::default().of(&name), 1);
    /// ```
    #[must_use]
    pub fn of(&self, name: &Name) -> u32 {
        self.0.get(name).copied().unwrap_or(DEFAULT_SHARE)
    }
}

impl FromIterator<(Name, u32)> for Table {
    fn from_iter<I: IntoIterator<Item = (Name, u32)>>(shares: I) -> Self {
        Self(shares.into_iter().collect())
    }
}
