//! A bound on the calls that one process makes to the platform.
//!
//! Answers the end of an outage: every instance then has something to read and
//! write, and a store that is asked for everything at once goes down again.
//! Backoff spreads the calls that fail; the budget bounds those that succeed,
//! such as a restarted zone reading thousands of pieces. What doesn't fit waits
//! for its turn, and status writes, which nothing waits for, are dropped first.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;

use super::{CallFuture, Entry, Error, Events, Object, Store, When};
use crate::clock::Clock;

/// What a process may ask of the platform.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Calls a second in the long run. Two watchers in each of 11 zones at this
    /// rate use half of 2,000 reads a second.
    pub calls_per_second: f64,
    /// Calls that may be made at once after a quiet time.
    pub burst: f64,
    /// Status writes are dropped when fewer calls than this are left.
    pub status_reserve: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            calls_per_second: 45.0,
            burst: 90.0,
            status_reserve: 20.0,
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
    tokens: Cell<f64>,
    /// When `tokens` was last counted.
    refilled_at: Cell<Duration>,
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
            tokens: Cell::new(settings.burst),
            refilled_at: Cell::new(clock.now()),
            clock,
        })
    }

    /// Counts what has come in since the last call.
    fn refill(&self) {
        let now = self.clock.now();
        let added = now
            .saturating_sub(self.refilled_at.replace(now))
            .as_secs_f64()
            * self.settings.calls_per_second;
        self.tokens
            .set((self.tokens.get() + added).min(self.settings.burst));
    }

    /// Waits for a call's turn.
    async fn acquire(&self) {
        self.refill();
        let tokens = self.tokens.get() - 1.0;
        self.tokens.set(tokens);
        if tokens < 0.0 {
            let wait = Duration::from_secs_f64(-tokens / self.settings.calls_per_second);
            self.clock.sleep(wait).await;
        }
    }

    /// Whether a write is to be dropped for want of budget.
    fn is_dropped(&self, key: &str) -> bool {
        self.refill();
        key.contains("/status/") && self.tokens.get() < self.settings.status_reserve
    }
}

impl Store for Budget {
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Object>> {
        Box::pin(async move {
            self.acquire().await;
            self.store.get(key).await
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes, when: When) -> CallFuture<'a, u64> {
        Box::pin(async move {
            if self.is_dropped(key) {
                return Err(Error::Busy);
            }
            self.acquire().await;
            self.store.put(key, value, when).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str, when: When) -> CallFuture<'a, ()> {
        Box::pin(async move {
            self.acquire().await;
            self.store.delete(key, when).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, Vec<Entry>> {
        Box::pin(async move {
            self.acquire().await;
            self.store.list(prefix).await
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, since: u64, wait: Duration) -> CallFuture<'a, Events> {
        Box::pin(async move {
            self.acquire().await;
            self.store.watch(prefix, since, wait).await
        })
    }
}
