//! The objects by which two copies of the registry differ, for logs.

use std::{collections::BTreeMap, fmt};

use verbenaspool_platform::store::Object;

/// Maximum number of names in a log line. Hundreds of upstreams may change at once.
const MAX_NAMES: usize = 8;

/// The objects by which a copy differs from an earlier one.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Names of the first ones, with `+` for an object that is new, `-` for one that is missing and
    /// `~` for one that has changed.
    names: Vec<String>,
    /// Number of objects that aren't named.
    others: usize,
}

impl Difference {
    /// Compares a copy with an earlier one.
    #[must_use]
    pub fn between(before: &BTreeMap<String, Object>, after: &BTreeMap<String, Object>) -> Self {
        let removed = before.keys().filter(|name| !after.contains_key(*name));
        let changed = after.iter().filter_map(|(name, object)| {
            let earlier = before.get(name);
            let sign = if earlier.is_some() { '~' } else { '+' };
            (earlier != Some(object)).then(|| format!("{sign}{name}"))
        });
        let mut names: Vec<String> = removed.map(|name| format!("-{name}")).collect();
        names.extend(changed);
        let others = names.len().saturating_sub(MAX_NAMES);
        names.truncate(MAX_NAMES);
        Self { names, others }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.names.join(" "))?;
        if self.others > 0 {
            write!(f, " and {} others", self.others)?;
        }
        Ok(())
    }
}
