//! Which upstreams run, by the reports of the agents beside them.
//!
//! Load: a group that runs nothing while some of its ranks can't say so, as their instances
//! are frozen or cut off. Ranks make passes together, so what most of a group's agents
//! report lately holds for all of its ranks: a request that is sent to the silent one waits
//! until its caller leaves.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use super::{Dispatcher, upstream::Upstream};

impl Dispatcher {
    /// The groups that run nothing, by the latest reports of most of their agents.
    pub(super) fn down_groups(&self, now: Duration) -> BTreeSet<u32> {
        let mut counts: BTreeMap<u32, [usize; 2]> = BTreeMap::new();
        let reported = self.upstreams.values().filter(|u| u.group != 0);
        for upstream in reported.filter(|u| u.is_group_down(now) || u.has_fresh_status(now)) {
            let [running, down] = counts.entry(upstream.group).or_default();
            *if upstream.is_group_down(now) {
                down
            } else {
                running
            } += 1;
        }
        let down = counts
            .into_iter()
            .filter(|(_, [running, down])| down > running);
        down.map(|(group, _)| group).collect()
    }

    /// The upstreams that take requests, as far as they and the agents of their groups report.
    pub(super) fn available(&self, now: Duration) -> impl Iterator<Item = (&Rc<str>, &Upstream)> {
        let down = self.down_groups(now);
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |(_, u)| u.is_available(now) && !down.contains(&u.group))
    }
}
