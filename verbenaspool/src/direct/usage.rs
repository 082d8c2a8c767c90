//! Exchanges what customers use of each service with other entries during a shortage.

use std::{
    collections::{BTreeSet, HashSet},
    net::Ipv4Addr,
    rc::Rc,
    time::Duration,
};

use monoio::net::udp::UdpSocket;
use slog::{info, warn};
use verbenaspool_policy::dispatch::share::Weights;
use verbenaspool_protocol::{digest, usage::Report};

use super::{gateway::Gateway, peers, settings::Shares};

/// Minimum interval of reports. A stream takes 2 s, so shares follow demand within a tenth of
/// that.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval of reports per recipient and service. As with digests, it limits an entry to
/// sending 80 reports per second with any number of entries.
const REPORT_INTERVAL_PER_RECIPIENT: Duration = Duration::from_micros(12_500);

/// The weights that have been checked against the configuration.
#[derive(Debug, Default)]
pub struct CheckedWeights {
    /// The configuration's version.
    version: u64,
    /// The named customers.
    names: BTreeSet<String>,
    /// Names that aren't those of customers, each of which has been logged.
    pub unknown: BTreeSet<String>,
}

impl Gateway {
    /// The reports of this entry's usage, for the services with a shortage.
    fn usage_reports(&self, order: (u64, u64)) -> Vec<Report> {
        if !self.settings.borrow().shares.enabled {
            return Vec::new();
        }
        let now = self.clock.now();
        let live = self.peers.borrow().live_addresses(now);
        let is_live = |peer: u32| live.contains(&Ipv4Addr::from_bits(peer));
        let report = |queue: Rc<super::queue::ServiceQueue>| {
            let usage = queue.exchange_usage(is_live)?;
            Some(Report::new(digest::hash(&queue.service), order, &usage))
        };
        self.queues().into_iter().filter_map(report).collect()
    }

    /// Records the usage that a peer reports.
    pub fn record_usage(&self, report: &Report, peer: Ipv4Addr) {
        let queues = self.queues();
        let mut queues = queues.iter();
        let queue = queues.find(|queue| digest::hash(&queue.service) == report.service);
        let accepted = queue.is_some_and(|queue| {
            queue.record_usage(peer.to_bits(), report.order(), report.usage())
        });
        let result = if accepted { "accepted" } else { "dropped" };
        let counter = self.metrics.counter(
            "verbenaspool_usage_reports_received_total",
            "Reports of customers' usage from other entries.",
            &[("result", result)],
        );
        counter.increment();
    }

    /// Applies the settings of shares to all queues if they aren't `applied`.
    fn apply_shares(&self, applied: &mut Option<Shares>) {
        let settings = self.settings.borrow();
        if applied.as_ref() == Some(&settings.shares) {
            return;
        }
        let weights = share_weights(&settings.shares);
        for queue in self.queues() {
            queue.set_shares(weights.as_ref());
        }
        *applied = Some(settings.shares.clone());
    }

    /// Logs each weight of a customer that the configuration doesn't have, once.
    fn check_weights(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let settings = self.settings.borrow();
        let names = || settings.shares.weights.keys();
        let mut checked = self.checked_weights.borrow_mut();
        if checked.version == table.version && names().eq(checked.names.iter()) {
            return;
        }
        checked.version = table.version;
        checked.names = names().cloned().collect();
        let customers: HashSet<&str> = table.customers().map(|customer| &*customer.name).collect();
        let unknown = names().filter(|name| !customers.contains(name.as_str()));
        let unknown: BTreeSet<String> = unknown.cloned().collect();
        for name in unknown.difference(&checked.unknown) {
            warn!(self.log, "weight of an unknown customer has no effect"; "customer" => name);
        }
        checked.unknown = unknown;
    }

    /// Logs the services for which shares have begun or ended to apply.
    fn log_share_changes(&self) {
        for queue in self.queues() {
            let Some(status) = queue.share_change() else {
                continue;
            };
            if status.active {
                info!(self.log, "shortage; dividing capacity among customers";
                    "service" => &*queue.service, "share_level" => status.level,
                    "over_share" => status.over, "customers" => status.tracked,
                    "peers" => status.peers);
            } else {
                info!(self.log, "shortage ended; customers are no longer held to their shares";
                    "service" => &*queue.service);
            }
        }
    }
}

/// The weights of customers, if capacity is divided among them.
pub fn share_weights(settings: &Shares) -> Option<Weights> {
    let weights = settings.weights.iter();
    let weights = weights.map(|(name, weight)| (name.as_str(), *weight));
    settings.enabled.then(|| Weights::new(weights))
}

/// Reports usage to peers for as long as the process runs.
pub async fn exchange(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, incarnation: u64) {
    let (mut sequence, mut next_report_at) = (0, Duration::ZERO);
    let mut applied = None;
    loop {
        gateway.clock.sleep(REPORT_INTERVAL).await;
        gateway.apply_shares(&mut applied);
        gateway.check_weights();
        sequence += 1;
        let reports = gateway.usage_reports((incarnation, sequence));
        gateway.log_share_changes();
        let now = gateway.clock.now();
        if reports.is_empty() || now < next_report_at {
            continue;
        }
        let sent = peers::send_usage(&gateway, &socket, reports).await;
        next_report_at = now + REPORT_INTERVAL_PER_RECIPIENT * sent;
        let counter = gateway.metrics.counter(
            "verbenaspool_usage_reports_sent_total",
            "Reports of this entry's usage to other entries.",
            &[],
        );
        counter.add(sent.into());
    }
}
