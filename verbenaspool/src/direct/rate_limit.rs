//! Limits that upstreams without agents name in their answers, as exchanged with other entries.
//!
//! Without the exchange, an entry would learn only from its own answers that a limit has ended.
//! Its share may be one request in minutes. An agent counts for all entries, so limits of ranks
//! aren't exchanged: hundreds of them may change at once as a fleet is overloaded.

use std::{rc::Rc, time::Duration};

use monoio::net::udp::UdpSocket;
use verbenaspool_protocol::{
    digest,
    message::Message,
    rate_limit::{MAX_REPORTS, RateLimit, Report},
};

use super::{gateway::Gateway, peers};

/// Interval of reports to peers. Reports are repeated because datagrams get lost, and because
/// only the answer to a later request outweighs a limit that a peer has just been told.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval of reports. Changes come in bursts, and each report repeats the recent ones.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// How long a change is reported to peers.
const REPORT_PERIOD: Duration = Duration::from_secs(3);

impl Gateway {
    /// The limits that this entry has recently learned from answers.
    fn rate_limit_reports(&self) -> Vec<Report> {
        let now = self.clock.now();
        let since = now.saturating_sub(REPORT_PERIOD);
        let queues = self.queues().into_iter();
        let limits = queues.flat_map(|queue| queue.rate_limits_changed_since(since));
        let reports = limits.map(|(id, limit)| Report {
            upstream: digest::hash(&id),
            limit: RateLimit::at(now, limit),
        });
        reports.take(MAX_REPORTS).collect()
    }

    /// Records the limits that a peer reports.
    pub fn record_rate_limits(&self, reports: &[Report], peer: &str) {
        let now = self.clock.now();
        for report in reports {
            let Some(limit) = report.limit.received_at(now) else {
                continue;
            };
            for queue in self.queues() {
                if let Some(id) = queue.upstream_by_hash(report.upstream) {
                    queue.record_rate_limit(&id, limit, peer);
                }
            }
        }
    }
}

/// Reports changed limits to peers, both soon and repeatedly for [`REPORT_PERIOD`].
pub async fn report(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let reports = gateway.rate_limit_reports();
        if !reports.is_empty() {
            peers::broadcast(&gateway, &socket, &Message::RateLimits(reports)).await;
        }
        gateway.clock.sleep(MIN_REPORT_INTERVAL).await;
        let next_report = gateway.clock.sleep(REPORT_INTERVAL);
        monoio::select! {
            () = next_report => {}
            () = gateway.rate_limit_changed.notified() => {}
        }
    }
}
