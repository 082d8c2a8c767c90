//! A budget of the bytes that a process holds for others: callers that send or read slowly, the
//! store, peers and trace collectors.
//!
//! Load: hundreds of callers that stop reading, and systems that send without end. Each has a
//! limit of its own, and the sum of those limits exceeds the memory of a small instance.

use std::{
    future::poll_fn,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
};

use bytes::Bytes;

/// A budget of bytes. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Pool>);

/// A system whose responses are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum System {
    /// The platform's store.
    Store,
    /// Other entries and agents.
    Peers,
}

impl System {
    /// All systems.
    pub const ALL_SYSTEMS: [Self; 2] = [Self::Store, Self::Peers];

    /// The name in logs and metrics.
    ///
    /// ```
    /// use verbenaspool_transport::http::memory::System;
    ///
    /// assert_eq!(System::Store.name(), "store");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peers => "peers",
        }
    }
}

/// The state of a budget.
#[derive(Debug)]
struct Pool {
    limit: Limit,
    used: AtomicUsize,
    /// Tasks that wait for bytes.
    waiters: Mutex<Vec<Waker>>,
    /// Number of responses that exceeded their limits, by system.
    excesses: [AtomicU64; System::ALL_SYSTEMS.len()],
}

/// How many bytes may be taken.
#[derive(Debug)]
enum Limit {
    Bytes(AtomicUsize),
    /// Three quarters of another budget, from which the bytes are taken as well.
    PartOf(Budget),
}

impl Budget {
    /// Creates a budget of some bytes.
    ///
    /// ```
    /// use verbenaspool_transport::http::memory::Budget;
    ///
    /// let budget = Budget::new(100);
    /// let held = budget.try_take(80).unwrap();
    /// assert!(budget.try_take(30).is_none());
    /// drop(held);
    /// assert!(budget.try_take(30).is_some());
    /// ```
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self::with_limit(Limit::Bytes(AtomicUsize::new(bytes)))
    }

    /// Creates a budget that never runs out.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    fn with_limit(limit: Limit) -> Self {
        Self(Arc::new(Pool {
            limit,
            used: AtomicUsize::new(0),
            waiters: Mutex::default(),
            excesses: Default::default(),
        }))
    }

    /// Creates a budget of three quarters of this one. What is taken from it is taken from this
    /// one too, so that a quarter is left for others.
    ///
    /// ```
    /// use verbenaspool_transport::http::memory::Budget;
    ///
    /// let whole = Budget::new(100);
    /// let part = whole.part();
    /// let held = part.try_take(75).unwrap();
    /// assert!(part.try_take(1).is_none());
    /// assert_eq!(whole.used(), 75);
    /// # drop(held);
    /// ```
    #[must_use]
    pub fn part(&self) -> Self {
        Self::with_limit(Limit::PartOf(self.clone()))
    }

    /// The number of bytes that may be taken.
    #[must_use]
    pub fn limit(&self) -> usize {
        match &self.0.limit {
            Limit::Bytes(bytes) => bytes.load(Ordering::Relaxed),
            Limit::PartOf(whole) => whole.limit() / 4 * 3,
        }
    }

    /// Changes the number of bytes that may be taken; that of a part follows its whole.
    pub fn set_limit(&self, bytes: usize) {
        if let Limit::Bytes(limit) = &self.0.limit {
            limit.store(bytes, Ordering::Relaxed);
            self.wake();
        }
    }

    /// The number of bytes taken.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Whether some bytes can be taken now.
    #[must_use]
    pub fn fits(&self, bytes: usize) -> bool {
        let own = self.used().saturating_add(bytes) <= self.limit();
        own && self.whole().is_none_or(|whole| whole.fits(bytes))
    }

    /// Takes bytes, unless they exceed the budget.
    #[must_use]
    pub fn try_take(&self, bytes: usize) -> Option<Held> {
        self.fits(bytes).then(|| self.take_beyond(bytes))
    }

    /// Takes bytes even if they exceed the budget, so that nobody else gets any until they are
    /// given back. To be used for what is held already.
    #[must_use]
    pub fn take_beyond(&self, bytes: usize) -> Held {
        self.add(bytes);
        Held {
            budget: self.clone(),
            bytes,
        }
    }

    /// Waits until bytes can be taken.
    pub async fn take(&self, bytes: usize) -> Held {
        poll_fn(|cx| self.poll_fits(cx, bytes)).await;
        self.take_beyond(bytes)
    }

    /// Waits until bytes can be taken, without taking them.
    pub fn poll_fits(&self, cx: &mut Context<'_>, bytes: usize) -> Poll<()> {
        if self.fits(bytes) {
            return Poll::Ready(());
        }
        let mut budget = Some(self);
        while let Some(current) = budget {
            let mut waiters = current.lock_waiters();
            if !waiters.iter().any(|waker| waker.will_wake(cx.waker())) {
                waiters.push(cx.waker().clone());
            }
            budget = current.whole();
        }
        Poll::Pending
    }

    /// Counts a response that exceeded its limit.
    pub fn record_excess(&self, system: System) {
        self.0.excesses[system as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The number of responses of a system that exceeded their limits.
    ///
    /// ```
    /// use verbenaspool_transport::http::memory::{Budget, System};
    ///
    /// let budget = Budget::new(10);
    /// budget.record_excess(System::Store);
    /// assert_eq!(budget.excesses(System::Store), 1);
    /// ```
    #[must_use]
    pub fn excesses(&self, system: System) -> u64 {
        self.0.excesses[system as usize].load(Ordering::Relaxed)
    }

    /// The budget of which this is a part.
    fn whole(&self) -> Option<&Self> {
        match &self.0.limit {
            Limit::Bytes(_) => None,
            Limit::PartOf(whole) => Some(whole),
        }
    }

    fn add(&self, bytes: usize) {
        self.0.used.fetch_add(bytes, Ordering::Relaxed);
        if let Some(whole) = self.whole() {
            whole.add(bytes);
        }
    }

    fn give_back(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
        self.wake();
        if let Some(whole) = self.whole() {
            whole.give_back(bytes);
        }
    }

    fn wake(&self) {
        let waiters = std::mem::take(&mut *self.lock_waiters());
        waiters.into_iter().for_each(Waker::wake);
    }

    fn lock_waiters(&self) -> std::sync::MutexGuard<'_, Vec<Waker>> {
        let waiters = self.0.waiters.lock();
        waiters.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::unlimited()
    }
}

/// Bytes taken from a [`Budget`], given back on drop.
#[derive(Debug)]
pub struct Held {
    budget: Budget,
    bytes: usize,
}

impl Held {
    /// The number of bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more bytes, unless they exceed the budget. Returns whether they were taken.
    ///
    /// ```
    /// use verbenaspool_transport::http::memory::Budget;
    ///
    /// let mut held = Budget::new(10).try_take(0).unwrap();
    /// assert!(held.try_grow(10));
    /// assert!(!held.try_grow(1));
    /// ```
    #[must_use]
    pub fn try_grow(&mut self, more: usize) -> bool {
        let fits = self.budget.fits(more);
        if fits {
            self.resize(self.bytes + more);
        }
        fits
    }

    /// Changes the number of bytes to what is held already, even if it exceeds the budget.
    pub fn resize(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        let fewer = self.bytes.saturating_sub(bytes);
        self.budget.add(more);
        self.budget.give_back(fewer);
        self.bytes = bytes;
    }

    /// Keeps the bytes taken until the last clone of `bytes` is dropped.
    ///
    /// ```
    /// use verbenaspool_transport::http::memory::Budget;
    ///
    /// let budget = Budget::new(10);
    /// let bytes = budget.try_take(3).unwrap().keep_with("abc".into());
    /// let clone = bytes.clone();
    /// drop(bytes);
    /// assert_eq!(budget.used(), 3);
    /// drop(clone);
    /// assert_eq!(budget.used(), 0);
    /// ```
    #[must_use]
    pub fn keep_with(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Owned { bytes, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}

/// Bytes in memory with their share of a budget.
struct Owned {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::Budget;
    use crate::runtime;

    /// Guards against tasks that wait forever for a budget that was used up, and against bytes
    /// that are taken beyond it meanwhile.
    #[test]
    fn a_used_up_budget_serves_again_once_released() {
        runtime::run(async {
            let whole = Budget::new(100);
            let (part, other) = (whole.part(), whole.part());
            let held = part.take(70).await;
            let waiting = monoio::spawn(async move { other.take(60).await });
            monoio::time::sleep(Duration::from_millis(5)).await;
            assert!(!waiting.is_finished());
            assert_eq!(whole.used(), 70);
            assert!(whole.try_take(30).is_some());
            assert!(part.try_take(6).is_none());
            drop(held);
            let taken = monoio::time::timeout(Duration::from_secs(1), waiting).await;
            assert_eq!(taken.expect("the waiting task is woken").bytes(), 60);
            assert_eq!(whole.used(), 0);
        })
        .unwrap();
    }
}
