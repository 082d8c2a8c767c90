//! The agent's metrics.

use verbenaspool_coordination::attempt::{Ending, Status};
use verbenaspool_protocol::problem::Code;
use verbenaspool_transport::metrics::{Counter, Histogram, Registry};

use crate::shared::Shared;

/// The agent's metrics. The counters of the data path are registered once, up front.
#[derive(Debug)]
pub(crate) struct Meter {
    registry: Registry,
    ran: Counter,
    not_sent: Counter,
    broken: Counter,
    /// Time from sending a request to receiving the head of its response.
    pub(crate) response_head_time: Histogram,
}

impl Default for Meter {
    fn default() -> Self {
        let registry = Registry::default();
        let ended = |ending| {
            let help = "Admitted attempts by how they ended.";
            registry.counter(
                "verbenaspool_agent_ended_total",
                help,
                &[("ending", ending)],
            )
        };
        Self {
            ran: ended("ran"),
            not_sent: ended("not-sent"),
            broken: ended("broken"),
            response_head_time: registry.histogram(
                "verbenaspool_agent_upstream_seconds",
                "From sending a request to the head of its answer.",
                &[],
            ),
            registry,
        }
    }
}

impl Meter {
    /// The registry of all metrics.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts an admitted attempt by how it ended.
    pub(crate) fn count_ending(&self, ending: Ending) {
        match ending {
            Ending::Ran => self.ran.increment(),
            Ending::NotRun => self.not_sent.increment(),
            Ending::Broken => self.broken.increment(),
        }
    }

    /// Counts a request that was answered with a problem instead of a response of the upstream.
    pub(crate) fn count_problem(&self, code: Code) {
        let code = serde_json::to_value(code).unwrap_or_default();
        let help = "Requests that got a problem for an answer, by its code.";
        let labels = [("code", code.as_str().unwrap_or_default())];
        self.registry
            .counter("verbenaspool_agent_problems_total", help, &labels)
            .increment();
    }

    /// Counts a status request for an attempt, by the status returned.
    pub(crate) fn count_settlement(&self, status: Status) {
        let label = match status {
            Status::Rejected => "refused",
            Status::Running => "running",
            Status::Ended => "ended",
            Status::Unknown => "unknown",
        };
        let help = "Questions about an attempt, by the answer.";
        self.registry
            .counter(
                "verbenaspool_agent_settled_total",
                help,
                &[("answer", label)],
            )
            .increment();
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self, shared: &Shared) -> String {
        let gauge = |name, help, value| self.registry.gauge(name, help, &[]).set(value);
        let ledger = shared.ledger.borrow();
        let running = u32::try_from(ledger.running()).unwrap_or(u32::MAX);
        let records = u32::try_from(ledger.records()).unwrap_or(u32::MAX);
        let help = "Attempts that run.";
        gauge("verbenaspool_agent_running", help, running.into());
        let help = "Attempts that the ledger remembers.";
        gauge("verbenaspool_agent_records", help, records.into());
        let help = "Whether the instance is leaving.";
        let leaving = u32::from(ledger.leaving());
        gauge("verbenaspool_agent_leaving", help, leaving.into());
        self.registry.text()
    }
}
