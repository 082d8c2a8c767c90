//! A bound on the calls that one process makes to the platform.
//!
//! Answers the end of an outage: every instance then has something to read and
//! write, and a store that is asked for everything at once goes down again.
//! Backoff spreads the calls that fail; the budget bounds those that succeed,
//! such as a restarted zone reading thousands of pieces. What doesn't fit waits
//! for its turn, and status writes, which nothing waits for, are dropped first.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;

use super::{Answer, Entry, Error, Events, Object, Store, When};
use crate::clock::Clock;

/// What a process may ask of the platform.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Calls a second in the long run. Two watchers in each of 11 zones at this
    /// rate use half of 2,000 reads a second.
    pub rate: f64,
    /// Calls that may be made at once after a quiet time.
    pub burst: f64,
    /// Status writes are dropped when fewer calls than this are left.
    pub reserve: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 45.0,
            burst: 90.0,
            reserve: 20.0,
        }
    }
}

/// A store whose calls are within a budget.
pub struct Budget {
    /// The store itself.
    store: Rc<dyn Store>,
    /// The source of time.
    clock: Rc<dyn Clock>,
    /// The settings.
    settings: Settings,
    /// Calls left; below zero while some wait.
    left: Cell<f64>,
    /// When `left` was last counted.
    at: Cell<Duration>,
}

impl Budget {
    /// A store that is called within `settings`.
    ///
    /// ```no_run
    /// # fn example(store: std::rc::Rc<dyn verbenaspool_transport::platform::Store>) {
    /// use verbenaspool_transport::{clock::Monotonic, platform::budget::{Budget, Settings}};
    ///
    /// let store = Budget::new(store, Monotonic::start(), Settings::default());
    /// # }
    /// ```
    #[must_use]
    pub fn new(store: Rc<dyn Store>, clock: Rc<dyn Clock>, settings: Settings) -> Rc<Self> {
        Rc::new(Self {
            store,
            settings,
            left: Cell::new(settings.burst),
            at: Cell::new(clock.now()),
            clock,
        })
    }

    /// Counts what has come in since the last call.
    fn refill(&self) {
        let now = self.clock.now();
        let earned = now.saturating_sub(self.at.replace(now)).as_secs_f64() * self.settings.rate;
        self.left
            .set((self.left.get() + earned).min(self.settings.burst));
    }

    /// Waits for a call's turn.
    async fn turn(&self) {
        self.refill();
        let left = self.left.get() - 1.0;
        self.left.set(left);
        if left < 0.0 {
            let wait = Duration::from_secs_f64(-left / self.settings.rate);
            self.clock.sleep(wait).await;
        }
    }

    /// Whether a write is to be dropped for want of budget.
    fn drops(&self, key: &str) -> bool {
        self.refill();
        key.contains("/status/") && self.left.get() < self.settings.reserve
    }
}

impl Store for Budget {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            self.turn().await;
            self.store.get(key).await
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes, when: When) -> Answer<'a, u64> {
        Box::pin(async move {
            if self.drops(key) {
                return Err(Error::Busy);
            }
            self.turn().await;
            self.store.put(key, value, when).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str, when: When) -> Answer<'a, ()> {
        Box::pin(async move {
            self.turn().await;
            self.store.delete(key, when).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<Entry>> {
        Box::pin(async move {
            self.turn().await;
            self.store.list(prefix).await
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, since: u64, wait: Duration) -> Answer<'a, Events> {
        Box::pin(async move {
            self.turn().await;
            self.store.watch(prefix, since, wait).await
        })
    }
}
