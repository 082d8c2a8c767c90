//! How long answers of a service last, and what follows for those who wait or come back.
//!
//! Load: a service whose upstreams are full or away. Who is refused comes back once, and
//! who came back waits; how long either may take depends on the time that the caller has
//! left and on how long an answer lasts. Callers give 1.5 s to one service and 8 s to
//! another, and an answer takes 15 ms here and 2 s there, so none of it is a fixed time.

use std::time::Duration;

/// The weight of the newest answer in the mean: the last ten or so count.
const NEWEST: f64 = 0.1;

/// What an answer is taken to last before one has ended, as a part of the time that the
/// caller has.
const UNKNOWN: f64 = 0.25;

/// How long a request may wait whose answer is late anyhow, as a part of the time that
/// its caller still waits. More holds callers who get nothing in the end for longer.
const WAIT: f64 = 0.55;

/// What is left for an answer that begins behind a wait, in times of what answers last:
/// passes are long behind the return of a group.
const ROOM: f64 = 1.2;

/// The part of the time that callers have left up to which they wait before they come
/// back, however long they are told to stay away. A group that is away comes back
/// within a second or within ten, and none of those who are told can know.
const AWAY: [f64; 2] = [0.29, 0.33];

/// When to come back to full upstreams, in times of what an answer lasts: sooner, the
/// same answers still run; later, others took their places.
const FULL: [f64; 2] = [0.3, 1.0];

/// How long a late request waits for a turn at upstreams that run, in times of what an
/// answer lasts.
const TURN: f64 = 0.15;

/// The least time after which a refused caller is to come back to full upstreams.
/// Entries hear each other's requests within 0.1 s.
const SOONEST: Duration = Duration::from_millis(500);

/// How long answers of one service last.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lasting(Option<Duration>);

impl Lasting {
    /// Learns from an answer that ended well.
    pub fn learn(&mut self, lasted: Duration) {
        let mean = self.0.unwrap_or(lasted);
        self.0 = Some(mean.mul_f64(1.0 - NEWEST) + lasted.mul_f64(NEWEST));
    }

    /// What an answer lasts, for a caller with so much time left.
    fn usual(self, left: Duration) -> Duration {
        self.0.unwrap_or(left.mul_f64(UNKNOWN))
    }

    /// How long a caller may wait for its turn who has so much time left, and can't be
    /// answered in time any more.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::lasting::Lasting;
    ///
    /// let mut lasting = Lasting::default();
    /// lasting.learn(Duration::from_secs(2));
    /// assert_eq!(lasting.wait(Duration::from_secs(1)), Duration::ZERO);
    /// assert_eq!(lasting.wait(Duration::from_secs(4)), Duration::from_millis(1_600));
    /// ```
    #[must_use]
    pub fn wait(self, left: Duration) -> Duration {
        let room = left.saturating_sub(self.usual(left).mul_f64(ROOM));
        room.min(left.mul_f64(WAIT))
    }

    /// How long an answer takes; the least time to come back where none has ended yet.
    #[must_use]
    pub fn service_time(self) -> Duration {
        self.0.unwrap_or(SOONEST)
    }

    /// How long a request that is late waits for its turn at upstreams that run: while
    /// it does so, one in seven of their answers ends.
    #[must_use]
    pub fn turn(self) -> Duration {
        self.0.unwrap_or(SOONEST).mul_f64(TURN)
    }

    /// The shortest and the longest time after which a caller with so much time left is
    /// to come back to upstreams that are full.
    #[must_use]
    pub fn full(self, left: Duration) -> [Duration; 2] {
        let usual = self.usual(left).max(SOONEST);
        FULL.map(|part| usual.mul_f64(part).min(left.mul_f64(AWAY[1])))
    }

    /// The same where no upstream of the service runs.
    #[must_use]
    pub fn away(self, left: Duration) -> [Duration; 2] {
        AWAY.map(|part| left.mul_f64(part))
    }
}
