//! The source of time: a monotonic clock, and a paused one for tests.

use std::{
    cell::{Cell, RefCell},
    fmt::Debug,
    future::Future,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

/// A future that completes when the clock reaches a deadline.
pub type Sleep = Pin<Box<dyn Future<Output = ()>>>;

/// A monotonic clock.
pub trait Clock: Debug {
    /// The time since the clock was created.
    fn now(&self) -> Duration;

    /// Waits for the given time.
    fn sleep(&self, wait: Duration) -> Sleep;
}

/// The system's monotonic clock, which unlike the wall clock never jumps.
#[derive(Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// Creates a clock that starts at zero now.
    ///
    /// ```
    /// use verbenaspool_transport::clock::{Clock, Monotonic};
    ///
    /// let clock = Monotonic::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn start() -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
        })
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn sleep(&self, wait: Duration) -> Sleep {
        if wait.is_zero() {
            // The runtime's timer would take up to a millisecond.
            return Box::pin(std::future::ready(()));
        }
        Box::pin(monoio::time::sleep(wait))
    }
}

/// A clock for tests that only moves when it is advanced.
#[derive(Debug, Default)]
pub struct Paused {
    now: Cell<Duration>,
    sleepers: RefCell<Vec<(Duration, oneshot::Sender<()>)>>,
}

impl Paused {
    /// Advances the time and completes the sleeps whose deadline has passed.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_transport::clock::{Clock, Paused};
    ///
    /// let clock = Paused::default();
    /// clock.advance(Duration::from_secs(2));
    /// assert_eq!(clock.now(), Duration::from_secs(2));
    /// ```
    pub fn advance(&self, by: Duration) {
        self.now.set(self.now.get() + by);
        let now = self.now.get();
        let sleepers = self.sleepers.take();
        let (due, pending): (Vec<_>, Vec<_>) = sleepers
            .into_iter()
            .partition(|(deadline, _)| *deadline <= now);
        self.sleepers.replace(pending);
        for (_, wake) in due {
            // The sleep may have been dropped.
            let _ = wake.send(());
        }
    }
}

impl Clock for Paused {
    fn now(&self) -> Duration {
        self.now.get()
    }

    fn sleep(&self, wait: Duration) -> Sleep {
        let (wake, woken) = oneshot::channel();
        let deadline = self.now.get() + wait;
        if wait.is_zero() {
            return Box::pin(async {});
        }
        self.sleepers.borrow_mut().push((deadline, wake));
        Box::pin(async move {
            let _ = woken.await;
        })
    }
}
