//! Which upstreams fail together, and whether a service can afford to lose some.
//!
//! Load: a request that may have crashed an upstream. Ranks of a group stop with any one of
//! them, so the next crash may take the last group that runs, and with it the whole service.

use std::{collections::BTreeMap, time::Duration};

use super::{AttemptOutcome, Dispatcher};

/// Upstreams that stop together: a group, or one that is by itself.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FailureDomain<'a> {
    /// The ranks of a group.
    Group(u32),
    /// An upstream without a group.
    Upstream(&'a str),
}

impl Dispatcher {
    /// An upstream crashed. Its group makes no pass without it, so nothing is sent to any of
    /// its ranks until their agents report that it runs.
    pub fn record_crash(&mut self, now: Duration, id: &str) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.health.record(now, AttemptOutcome::Unreached);
        let group = upstream.group;
        let ranks = self.upstreams.values_mut();
        for rank in ranks.filter(|rank| group != 0 && rank.group == group) {
            rank.group_down_at = Some(now);
        }
    }

    /// Whether the service goes on if the next upstream crashes that gets a request: another
    /// group runs, or another upstream where there are no groups. A service that has a single
    /// one has nothing to spare, and counts as if it had.
    #[must_use]
    pub fn can_lose_one(&self, now: Duration) -> bool {
        let down = self.down_groups(now);
        let mut domains = BTreeMap::new();
        for (id, upstream) in self.upstreams.iter().filter(|(_, u)| u.ready) {
            let domain = if upstream.group == 0 {
                FailureDomain::Upstream(id)
            } else {
                FailureDomain::Group(upstream.group)
            };
            let healthy = upstream.health.cost(now).is_some();
            let available = upstream.is_available(now) && !down.contains(&upstream.group);
            let running = healthy && available && self.circuit_closed(upstream.group);
            *domains.entry(domain).or_insert(false) |= running;
        }
        let running_domains = domains.values().filter(|running| **running).count();
        running_domains >= domains.len().min(2)
    }
}
