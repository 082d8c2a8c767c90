//! Which upstreams fail together.
//!
//! Load: an upstream that crashes. The ranks of its group stop with it, and what is sent to
//! them until their agents notice stalls and comes back too late.

use std::time::Duration;

use super::{Dispatcher, Ending};

impl Dispatcher {
    /// An upstream crashed. Its group makes no pass without it, so nothing is sent to any of
    /// its ranks until their agents report that it runs.
    pub fn crashed(&mut self, now: Duration, id: &str) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.trust.learn(now, Ending::Unreached);
        let group = upstream.group;
        let ranks = self.upstreams.values_mut();
        for rank in ranks.filter(|rank| group != 0 && rank.group == group) {
            rank.closed = Some(now);
        }
    }
}
