//! The one source of time: monotonic, and paused and advanced in tests.

use std::{
    cell::{Cell, RefCell},
    fmt::Debug,
    future::Future,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

/// A wait that ends when the clock reaches its moment.
pub type Sleep = Pin<Box<dyn Future<Output = ()>>>;

/// A clock that never steps.
pub trait Clock: Debug {
    /// The time since the clock was made.
    fn now(&self) -> Duration;

    /// Waits for so long.
    fn sleep(&self, wait: Duration) -> Sleep;
}

/// The clock of the machine. The wall clock can step, so this is the monotonic one.
#[derive(Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// A clock that starts now.
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
            // The loop's timer would take up to a millisecond.
            return Box::pin(std::future::ready(()));
        }
        Box::pin(monoio::time::sleep(wait))
    }
}

/// A clock for tests that stands still until it is advanced.
#[derive(Debug, Default)]
pub struct Paused {
    now: Cell<Duration>,
    sleepers: RefCell<Vec<(Duration, oneshot::Sender<()>)>>,
}

impl Paused {
    /// Moves the time on and ends the waits that are over.
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
        let (over, waiting): (Vec<_>, Vec<_>) =
            sleepers.into_iter().partition(|(at, _)| *at <= now);
        self.sleepers.replace(waiting);
        for (_, wake) in over {
            // A sleeper that was dropped needs no word.
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
        let at = self.now.get() + wait;
        if wait.is_zero() {
            return Box::pin(async {});
        }
        self.sleepers.borrow_mut().push((at, wake));
        Box::pin(async move {
            let _ = woken.await;
        })
    }
}
