//! Load reports and cache events of upstreams, and the snapshot for metrics.

use std::time::Duration;

use verbenaspool_state::name::Name;

use super::Balancer;
use crate::{
    load::{CacheEvent, Report},
    pool::Upstream,
    snapshot::{Snapshot, Upstream as UpstreamSnapshot},
};

impl Balancer {
    /// Applies a load report, however late. Reports of another incarnation and reordered
    /// ones are ignored.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// let load = Report { incarnation: 1, sequence: 1, running: 3, waiting: 0, leaving: false };
    /// balancer.load_report(now, &member.name, &load);
    /// balancer.load_report(now, &member.name, &load);
    /// assert_eq!(balancer.snapshot(now).ignored_reports, 1);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn load_report(&mut self, now: Duration, upstream: &Name, load: &Report) {
        self.router.clear_full();
        self.router.pool.report(now, upstream, load);
    }

    /// Applies a cache event, however late.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// balancer.cache_event(now, &member.name, CacheEvent::Added(7));
    /// balancer.offer(now, &Request { prefixes: &[7], ..request });
    /// assert_eq!(balancer.snapshot(now).affine, 1);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    pub fn cache_event(&mut self, _now: Duration, upstream: &Name, event: CacheEvent) {
        let Some(index) = self.router.pool.index_of(upstream) else {
            return;
        };
        let key = self.router.pool.upstreams()[index].cache;
        match event {
            CacheEvent::Added(prefix) => self.router.affinity.insert(prefix, key),
            CacheEvent::Dropped(prefix) => self.router.affinity.remove(prefix, key),
            CacheEvent::Reset => self.router.pool.reset_cache(index),
        }
    }

    /// Returns the counters and the current state, for metrics and status.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_policy::{attempt::*, balancer::Balancer, decision::*, load::*, member::*, request::Request};
    /// # use verbenaspool_state::{decisions::Decisions, name::Name};
    /// # let zone: Name = "bowen-a".parse()?;
    /// # let customer: Name = "bowen-loft".parse()?;
    /// # let member = Member { name: "loft-1".parse()?, zone: zone.clone(), group: None, incarnation: 1, speed: 1.0, leaving: false };
    /// # let one = Decisions { initial_limit: 1, max_limit: 1, ..Decisions::default() };
    /// # let mut balancer = Balancer::new(&one, "entry-1".parse()?, zone.clone(), 1);
    /// # balancer.set_members(Duration::ZERO, &[member.clone()]);
    /// # let request = Request { customer: &customer, priority: 0, deadline: Duration::from_secs(30), idempotent: true, prompt_tokens: 100, max_tokens: 200, prefixes: &[] };
    /// # let now = Duration::from_secs(1);
    /// balancer.offer(now, &request);
    /// assert_eq!(balancer.snapshot(now).started, 1);
    /// # Ok::<(), verbenaspool_state::name::Error>(())
    /// ```
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        let wait = self.queues.backlog() / self.capacity();
        let upstreams = self.router.pool.upstreams();
        Snapshot {
            ejections: self.router.pool.ejections,
            ignored_reports: self.router.pool.ignored_reports,
            waiting: self.queues.len(),
            wait: Duration::try_from_secs_f64(wait).unwrap_or_default(),
            upstreams: upstreams
                .iter()
                .map(|upstream| upstream_snapshot(now, upstream))
                .collect(),
            ..self.counters.clone()
        }
    }
}

/// Returns the state of one upstream.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // A limit is at most `max_limit`.
fn upstream_snapshot(now: Duration, upstream: &Upstream) -> UpstreamSnapshot {
    UpstreamSnapshot {
        name: upstream.member.name.clone(),
        in_flight: upstream.in_flight,
        limit: upstream.limit(now) as u32,
        ejected: upstream.is_ejected(now),
    }
}
