//! Requests load reports from the agents of the entry's subset.
//!
//! Load reports also arrive with answers, at no extra cost. Agents are asked in addition
//! because otherwise an idle upstream would keep the load that it last reported, and a leaving
//! one would be noticed only by its rejections. These requests are limited by a rate for the
//! whole entry, not by an interval for each upstream: with many upstreams the reports get older
//! while the cost stays the same.

use std::{rc::Weak, time::Duration};

use rand::Rng;
use verbenaspool_policy::load::CacheEvent;
use verbenaspool_protocol::report;
use verbenaspool_state::{name::Name, upstream::Identity};
use verbenaspool_transport::shutdown::Signal;

use super::Entry;

/// The mean interval between report requests. A request and its answer take about 400 bytes, so
/// 8 a second stay under 4 KB a second.
const MEAN_REQUEST_INTERVAL: Duration = Duration::from_millis(125);

/// The time since the last report request to an upstream after which it is asked again.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Timeout for an agent's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests reports from agents until the signal fires or the entry is dropped.
pub async fn run(entry: Weak<Entry>, signal: Signal) {
    while !signal.fired() {
        let Some(entry) = entry.upgrade() else { return };
        let jitter = rand::rng().random_range(0.5..1.5);
        entry
            .clock
            .sleep(MEAN_REQUEST_INTERVAL.mul_f64(jitter))
            .await;
        entry.blame_parts();
        if let Some(name) =
            entry
                .upstreams
                .stalest(&entry.subset_upstreams(), entry.clock.now(), MAX_REPORT_AGE)
        {
            monoio::spawn(async move { entry.request_report(&name).await });
        }
    }
}

impl Entry {
    /// Requests a report from an upstream's agent and records the load, the cache events and
    /// the crashes in it.
    pub async fn request_report(&self, name: &Name) {
        let now = self.clock.now();
        let Some((address, since)) = self.upstreams.record_report_request(name, now) else {
            return;
        };
        let request = report::Request {
            instance: Identity {
                firm: self.firm().clone(),
                instance: name.clone(),
            },
            since,
        };
        let answer = self
            .rpc
            .call(address.control, report::METHOD, &request, REPORT_TIMEOUT)
            .await;
        if let Ok(report) = answer {
            let report: report::Report = report;
            self.record_load(name, &report.load);
            self.record_cache(name, &report.cache);
            self.record_crashes(name, &report.crashes);
        }
    }

    /// Passes the changes of an engine's prefix cache to the balancer.
    fn record_cache(&self, name: &Name, cache: &report::Cache) {
        let Some(queue) = self
            .upstreams
            .record_cache_event(name, cache.last)
            .and_then(|service| self.service_queue(&service))
        else {
            return;
        };
        queue.with(|balancer, now| {
            if cache.reset {
                balancer.cache_event(now, name, CacheEvent::Reset);
            }
            for event in &cache.events {
                let change = if event.added {
                    CacheEvent::Added(event.prefix)
                } else {
                    CacheEvent::Dropped(event.prefix)
                };
                balancer.cache_event(now, name, change);
            }
        });
    }
}
