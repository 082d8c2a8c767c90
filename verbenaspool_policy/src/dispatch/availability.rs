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
    pub(super) fn closed_groups(&self, now: Duration) -> BTreeSet<u32> {
        let mut ranks: BTreeMap<u32, [usize; 2]> = BTreeMap::new();
        let reported = self.upstreams.values().filter(|u| u.group != 0);
        for upstream in reported.filter(|u| u.is_closed(now) || u.is_reported(now)) {
            let [open, closed] = ranks.entry(upstream.group).or_default();
            *if upstream.is_closed(now) {
                closed
            } else {
                open
            } += 1;
        }
        let closed = ranks
            .into_iter()
            .filter(|(_, [open, closed])| closed > open);
        closed.map(|(group, _)| group).collect()
    }

    /// The upstreams that take requests, as far as they and the agents of their groups report.
    pub(super) fn open(&self, now: Duration) -> impl Iterator<Item = (&Rc<str>, &Upstream)> {
        let closed = self.closed_groups(now);
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |(_, u)| u.is_open(now) && !closed.contains(&u.group))
    }
}
