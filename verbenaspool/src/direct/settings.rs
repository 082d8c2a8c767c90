//! The settings of an entry on the direct path.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use verbenaspool_policy::{dispatch::retry_budget, quarantine};
use verbenaspool_transport::log;

/// The settings of one entry. What they don't name is ignored: they are written
/// by the platform, which may add fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How requests reach upstreams; tells these settings from others.
    pub path: Path,
    /// The entry's name.
    pub name: String,
    /// The availability zone it stands in.
    pub zone: String,
    /// The address of its instance.
    pub address: IpAddr,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// Where other entries and operators connect.
    pub control: SocketAddr,
    /// Where metrics are told.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The UDP port on which entries hear each other, the same everywhere.
    pub peer_port: u16,
    /// Control addresses of some other entries.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub platform: SocketAddr,
    /// The file descriptors that the process may have.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// What the operator promises and demands.
    #[serde(default)]
    pub bounds: Bounds,
    /// When requests are rejected that upstreams crash under.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// What is logged, and how.
    #[serde(default)]
    pub log: log::Settings,
}

/// How requests reach upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// Straight from the entry.
    Direct,
}

/// What the operator promises and demands.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// How long a stopping process may go on before it is killed, in seconds.
    pub grace_s: f64,
    /// The part of requests that may be sent to a second upstream.
    pub retry_ratio: f64,
    /// The window in which they are counted, in seconds.
    pub retry_window_s: f64,
    /// What may be sent beyond that in a window, by all entries together.
    pub retry_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 0.0,
        }
    }
}

impl Bounds {
    /// The bound on repeats.
    ///
    /// ```
    /// let bounds = verbenaspool::direct::settings::Bounds::default();
    /// assert_eq!(bounds.retry_limits().window.as_secs(), 10);
    /// ```
    #[must_use]
    pub fn retry_limits(&self) -> retry_budget::RetryLimits {
        retry_budget::RetryLimits {
            ratio: self.retry_ratio,
            window: Duration::from_secs_f64(self.retry_window_s.max(0.1)),
            slack: self.retry_slack,
        }
    }
}

/// When requests are rejected that upstreams crash under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Quarantine {
    /// Crashes after which a request is rejected; 0 turns this off.
    pub crashes: usize,
    /// How long it is rejected, in seconds.
    pub duration_s: u32,
}

impl Default for Quarantine {
    fn default() -> Self {
        let limits = quarantine::Limits::default();
        Self {
            crashes: limits.crash_threshold,
            duration_s: u32::try_from(limits.duration.as_secs()).unwrap_or(u32::MAX),
        }
    }
}

impl Quarantine {
    /// The bound on crashes.
    ///
    /// ```
    /// let quarantine = verbenaspool::direct::settings::Quarantine::default();
    /// assert_eq!(quarantine.limits().crash_threshold, 2);
    /// ```
    #[must_use]
    pub fn limits(&self) -> quarantine::Limits {
        quarantine::Limits {
            crash_threshold: self.crashes,
            duration: Duration::from_secs(self.duration_s.into()),
        }
    }
}

/// The descriptors of a usual process.
fn default_descriptors() -> usize {
    1_024
}
