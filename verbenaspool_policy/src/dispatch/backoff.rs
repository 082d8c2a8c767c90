//! Upstreams that want no requests of this entry for a time that they name in a rejection.

use std::{rc::Rc, time::Duration};

use super::Dispatcher;

impl Dispatcher {
    /// Records that an upstream wants no requests of this entry for a time from now on.
    pub fn record_backoff(&mut self, now: Duration, id: &Rc<str>, time: Duration) {
        self.backoffs.record(now, id.clone(), time);
    }

    /// How much longer an upstream wants no requests of this entry.
    #[must_use]
    pub fn backoff_left(&self, now: Duration, id: &Rc<str>) -> Duration {
        self.backoffs.left(now, id)
    }
}
