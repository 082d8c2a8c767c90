//! Which upstreams fail together, and whether a service can lose some of them.
//!
//! All ranks of a group stop when one of them crashes. If a request may have crashed an
//! upstream, sending it again may stop the last running group, and with it the whole
//! service.

use std::{collections::BTreeMap, time::Duration};

use super::{AttemptOutcome, Dispatcher};

/// Upstreams that fail together.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FailureDomain<'a> {
    /// The ranks of a group.
    Group(u32),
    /// An upstream without a group.
    Upstream(&'a str),
}

impl Dispatcher {
    /// Records the crash of an upstream. Its group can't run passes without it, so no rank
    /// of the group gets requests until its agent reports that the group runs, or until the
    /// record expires like a status report.
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

    /// Whether the service survives the crash of the next upstream that gets a request,
    /// because another group (or another upstream, without groups) runs. A service with a
    /// single failure domain has no spare one, and counts as able to lose it.
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
