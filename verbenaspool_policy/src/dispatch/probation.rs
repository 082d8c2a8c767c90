//! The return of an upstream that was ejected because it failed.
//!
//! Load: an upstream goes down and up every 1.2 s. If one success cleared its past, it would be
//! ejected for 0.4 s each time, and get its full share of requests just before it fails again.
//! Each ejection soon after another is therefore longer, and the upstream returns with few
//! requests.

use std::time::Duration;

/// The first ejection time. A restart takes longer, but most failures pass sooner.
const BASE_EJECTION_TIME_MS: u64 = 400;

/// The longest ejection time. Callers' time budgets are about as long, and an upstream that is
/// back should be found within one.
const MAX_EJECTION_TIME_MS: u64 = 6_000;

/// Number of doublings after which the ejection time is at its longest.
const MAX_DOUBLINGS: u32 = 4;

/// The past ejections of one upstream and its return from them.
#[derive(Debug, Clone, Copy)]
pub struct Probation {
    /// The most requests of this entry at the upstream without a limit.
    max_requests: u32,
    /// Requests of this entry in flight.
    requests: u32,
    /// The part of `requests` that was sent before the last ejection. These may be stuck, and
    /// don't count against the limit of a returning upstream.
    earlier_requests: u32,
    /// Number of ejections that aren't forgotten.
    ejections: u32,
    /// How long it was ejected in these.
    ejected_time: Duration,
    /// The end of the last ejection.
    ejected_until: Duration,
    /// When it last failed.
    failed_at: Duration,
    /// When the present series of good responses began.
    good_since: Option<Duration>,
    /// The most requests of this entry while it returns.
    allowance: u32,
    /// Whether it got requests while it was ejected, as no other upstream was left.
    last_resort: bool,
}

impl Probation {
    /// The state of an upstream that wasn't ejected.
    #[must_use]
    pub fn new(max_requests: u32) -> Self {
        Self {
            max_requests,
            requests: 0,
            earlier_requests: 0,
            ejections: 0,
            ejected_time: Duration::ZERO,
            ejected_until: Duration::ZERO,
            failed_at: Duration::ZERO,
            good_since: None,
            allowance: max_requests,
            last_resort: false,
        }
    }

    /// Sets the most requests of this entry at the upstream without a limit.
    pub fn set_max_requests(&mut self, max_requests: u32) {
        if !self.is_returning() {
            self.allowance = max_requests;
        }
        self.max_requests = max_requests;
    }

    /// Forgets past failures. Requests in flight still count.
    pub fn forget(&mut self) {
        let (requests, max_requests) = (self.requests, self.max_requests);
        *self = Self {
            requests,
            ..Self::new(max_requests)
        };
    }

    /// Whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether it was ejected and hasn't got its capacity back.
    #[must_use]
    pub fn is_returning(&self) -> bool {
        self.allowance < self.max_requests
    }

    /// Whether its past ejections are forgotten.
    #[must_use]
    pub fn is_forgotten(&self) -> bool {
        self.ejections == 0
    }

    /// Whether it takes another request of this entry now.
    #[must_use]
    pub fn allows(&self, now: Duration) -> bool {
        let recent = self.requests.saturating_sub(self.earlier_requests);
        !self.is_ejected(now) && (!self.is_returning() || recent < self.allowance)
    }

    /// When it last failed.
    #[must_use]
    pub fn failed_at(&self) -> Duration {
        self.failed_at
    }

    /// Records that a request was sent to it.
    pub fn record_sent(&mut self, now: Duration) {
        self.requests += 1;
        self.last_resort |= self.is_ejected(now);
    }

    /// Records that a request that was sent to it has ended.
    pub fn record_finished(&mut self) {
        self.requests = self.requests.saturating_sub(1);
        self.earlier_requests = self.earlier_requests.saturating_sub(1);
    }

    /// Records a good response.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::probation::Probation;
    ///
    /// let (ms, mut probation) = (Duration::from_millis, Probation::new(12));
    /// probation.eject(ms(0));
    /// assert!(!probation.allows(ms(399)) && probation.allows(ms(400)));
    /// probation.record_sent(ms(400));
    /// assert!(!probation.allows(ms(401)), "one request at a time");
    /// probation.record_finished();
    /// probation.record_good(ms(430));
    /// probation.eject(ms(440));
    /// assert!(!probation.allows(ms(1_239)), "one success doesn't clear the ejection");
    /// ```
    pub fn record_good(&mut self, now: Duration) {
        if self.is_forgotten() {
            return;
        }
        if self.is_ejected(now) {
            // The request may have been sent before the ejection, unless no other upstream was
            // left.
            if !self.last_resort {
                return;
            }
            self.ejected_until = now;
        }
        self.last_resort = false;
        self.allowance = self.allowance.saturating_mul(2).min(self.max_requests);
        let good_since = *self.good_since.get_or_insert(now);
        if !self.is_returning() && now.saturating_sub(good_since) >= self.ejected_time {
            self.forget();
        }
    }

    /// Records a failure that doesn't eject the upstream.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at = now;
        self.good_since = None;
    }

    /// Ejects the upstream, unless it is ejected already: then its requests were sent before, or
    /// no other upstream was left.
    pub fn eject(&mut self, now: Duration) {
        self.record_failure(now);
        if self.is_ejected(now) {
            return;
        }
        let time_ms = BASE_EJECTION_TIME_MS << self.ejections.min(MAX_DOUBLINGS);
        let time = Duration::from_millis(time_ms.min(MAX_EJECTION_TIME_MS));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_time += time;
        self.ejected_until = now + time;
        self.earlier_requests = self.requests;
        self.allowance = 1.min(self.max_requests);
        self.last_resort = false;
    }
}
