//! Which upstreams run, by the reports of their agents.
//!
//! When a group is down, some of its ranks may be unable to report it, because their
//! instances are frozen or cut off. Ranks run passes together, so the recent reports of the
//! majority of a group's agents apply to all of its ranks. Otherwise requests sent to a
//! silent rank would wait there until their callers leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use super::{Dispatcher, upstream::Upstream};

impl Dispatcher {
    /// The groups that are down by the latest reports of most of their agents.
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

    /// The upstreams that take requests, as far as they and the agents of their groups
    /// report.
    pub(super) fn available(&self, now: Duration) -> impl Iterator<Item = (&Rc<str>, &Upstream)> {
        let down = self.down_groups(now);
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |(_, u)| u.is_available(now) && !down.contains(&u.group))
    }
}
