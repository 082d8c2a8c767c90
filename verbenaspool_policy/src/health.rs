//! Which upstreams are slow or failing beside their peers.
//!
//! Load: one upstream that runs several times slower than the others, or fails
//! everything fast. Least-loaded choice sends such an upstream more and more: it
//! fails at once and so always looks idle.
//!
//! An upstream is ejected when its pace is a set multiple of the peers' median,
//! or after a run of failures. Never more than a set share is out: when all are
//! bad the cause is elsewhere, and sending everything to the few left would only
//! break those too. Time out doubles with each ejection in a row, and on return
//! an upstream's limit starts over from one attempt.

use std::time::Duration;

/// Attempts a pace must rest on before it is compared; fewer would eject on chance.
const ENOUGH: f64 = 4.0;
/// Failures in a row that eject. Three in a row are chance once in a thousand
/// where one in ten fails.
const FAILURES: u32 = 3;
/// The first time out: long enough for a stall or restart to pass.
const OUT: Duration = Duration::from_secs(5);
/// Doublings of the time out at most, to about a minute and a half.
const DOUBLINGS: u32 = 4;
/// The longest time out. A clock that jumps back would make one longer; such a
/// time out is void.
const LONGEST: Duration = OUT.saturating_mul(2_u32.pow(DOUBLINGS));
/// Time without ejection after which the next one starts with [`OUT`] again.
const FORGIVEN: Duration = Duration::from_mins(1);

/// One upstream's record.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Failures in a row.
    failures: u32,
    /// Ejections in a row.
    ejections: u32,
    /// Until when it is out; past when it is in.
    until: Duration,
}

impl Health {
    /// Whether the upstream is out.
    #[must_use]
    pub fn is_out(&self, now: Duration) -> bool {
        now < self.until && self.until.saturating_sub(now) <= LONGEST
    }

    /// Records an attempt that ran.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Records an attempt that failed.
    pub fn fail(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the record is bad: failing, or `factor` times slower than the
    /// peers' median on enough attempts.
    #[must_use]
    pub fn is_bad(
        &self,
        pace: Option<f64>,
        attempts: f64,
        median: Option<f64>,
        factor: f64,
    ) -> bool {
        let slow = match (pace, median) {
            (Some(pace), Some(median)) => attempts >= ENOUGH && pace > factor * median,
            _ => false,
        };
        slow || self.failures >= FAILURES
    }

    /// Takes the upstream out for a while.
    pub fn eject(&mut self, now: Duration) {
        if now > self.until.saturating_add(FORGIVEN) {
            self.ejections = 0;
        }
        let out = OUT * 2_u32.pow(self.ejections.min(DOUBLINGS));
        self.until = now.saturating_add(out);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
    }
}
