//! Settings of an entry on the direct path.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use verbenaspool_policy::{dispatch::retry_budget, quarantine};
use verbenaspool_transport::log;

/// The largest weight of a customer.
const MAX_WEIGHT: f64 = 1_000.0;

/// Settings of one entry. Unknown fields are ignored: the platform writes the settings and
/// may add fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How requests reach upstreams. Distinguishes these settings from those of other entries.
    pub path: Path,
    /// The entry's name.
    pub name: String,
    /// The availability zone of the entry.
    pub zone: String,
    /// The address of the entry's instance.
    pub address: IpAddr,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for RPC calls of other entries and operators.
    pub control: SocketAddr,
    /// Address at which metrics are served, if any.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The UDP port for messages between entries and agents, the same on all instances.
    pub peer_port: u16,
    /// Control addresses of some entries, from which the others are discovered.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Number of file descriptors available to the process.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Memory of the entry's instance, in megabytes.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Limits on shutdown and retries.
    #[serde(default, rename = "bounds")]
    pub limits: Limits,
    /// When requests that crash upstreams are rejected.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Whether capacity is divided among customers during a shortage.
    #[serde(default)]
    pub shares: Shares,
    /// How requests are balanced over upstreams.
    #[serde(default)]
    pub balancing: Balancing,
    /// Settings of the log.
    #[serde(default)]
    pub log: log::Settings,
}

/// Bytes of a megabyte of [`Settings::memory_mb`].
const BYTES_PER_MEGABYTE: usize = 1_000_000;

/// The part of an instance's memory that is held for others at most. An entry without requests has
/// 18 MB, and messages are held several times while they are parsed and copied.
const BUDGET_DIVISOR: usize = 4;

/// The budget of an instance whose memory isn't known.
const DEFAULT_BUDGET_BYTES: usize = 64 * 1024 * 1024;

/// The smallest budget. The largest call of a peer, 2 MB, must fit into the part that isn't for
/// callers.
const MIN_BUDGET_BYTES: usize = 16 * 1024 * 1024;

impl Settings {
    /// The bytes that the entry may hold for callers, the store and peers.
    ///
    /// ```
    /// # fn check(settings: &mut verbenaspool::direct::settings::Settings) {
    /// settings.memory_mb = Some(160);
    /// assert_eq!(settings.memory_budget(), 40_000_000);
    /// # }
    /// ```
    #[must_use]
    pub fn memory_budget(&self) -> usize {
        let bytes = |mb: usize| mb.saturating_mul(BYTES_PER_MEGABYTE) / BUDGET_DIVISOR;
        let budget = self.memory_mb.map_or(DEFAULT_BUDGET_BYTES, bytes);
        budget.max(MIN_BUDGET_BYTES)
    }
}

/// How requests reach upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// The entry sends them to the upstream without an agent in between.
    Direct,
}

/// Limits on shutdown and retries, set by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// How long a process may take to stop before it is killed, in seconds.
    pub grace_s: f64,
    /// The share of requests that may be retried at another upstream.
    pub retry_ratio: f64,
    /// The window in which requests and retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Number of retries allowed in addition per window, by all entries together.
    pub retry_slack: f64,
    /// How long after its evacuation a zone may still get requests, in milliseconds. Zones
    /// are never evacuated if it is missing.
    pub evacuation_ms: Option<f64>,
    /// Interval of the heartbeats with which upstreams renew their registrations, in milliseconds.
    pub heartbeat_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 0.0,
            evacuation_ms: None,
            heartbeat_ms: 1_200,
        }
    }
}

impl Limits {
    /// Whether the operator may evacuate zones.
    ///
    /// ```
    /// let limits = verbenaspool::direct::settings::Limits::default();
    /// assert!(!limits.can_evacuate());
    /// ```
    #[must_use]
    pub fn can_evacuate(&self) -> bool {
        self.evacuation_ms.is_some()
    }

    /// Interval of the heartbeats with which upstreams renew their registrations.
    ///
    /// ```
    /// let limits = verbenaspool::direct::settings::Limits::default();
    /// assert_eq!(limits.heartbeat_interval().as_millis(), 1_200);
    /// ```
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms.into())
    }

    /// The limits of the retry budget.
    ///
    /// ```
    /// let limits = verbenaspool::direct::settings::Limits::default();
    /// assert_eq!(limits.retry_limits().window.as_secs(), 10);
    /// ```
    #[must_use]
    pub fn retry_limits(&self) -> retry_budget::Limits {
        retry_budget::Limits {
            ratio: self.retry_ratio,
            window: Duration::from_secs_f64(self.retry_window_s.max(0.1)),
            slack: self.retry_slack,
        }
    }
}

/// How requests are balanced over upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Balancing {
    /// Whether the speed of upstreams is learned from their responses, and requests are placed
    /// by it over all zones.
    pub learn_speed: bool,
}

/// When requests that crash upstreams are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Quarantine {
    /// Number of crashes after which a request is rejected. 0 disables the quarantine.
    pub crashes: usize,
    /// How long the request is rejected, in seconds.
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
    /// The limits of the quarantine.
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

/// Whether capacity is divided among customers during a shortage, and how.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, try_from = "RawShares")]
pub struct Shares {
    /// Whether it is divided.
    pub enabled: bool,
    /// The weights of customers. Others have weight 1.
    pub weights: BTreeMap<String, f64>,
}

/// The settings of shares before the weights have been checked.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawShares {
    enabled: bool,
    weights: BTreeMap<String, RawWeight>,
}

/// A weight as it was written.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum RawWeight {
    Number(f64),
    Text(String),
    Other(serde::de::IgnoredAny),
}

impl TryFrom<RawShares> for Shares {
    type Error = String;

    fn try_from(raw: RawShares) -> Result<Self, String> {
        let check = |(customer, weight): (String, RawWeight)| {
            let written = match weight {
                RawWeight::Number(weight) if weight > 0.0 && weight <= MAX_WEIGHT => {
                    return Ok((customer, weight));
                }
                RawWeight::Number(weight) => weight.to_string(),
                RawWeight::Text(text) => format!("\"{text}\""),
                RawWeight::Other(_) => "no number".to_owned(),
            };
            Err(format!(
                "shares.weights: the weight of {customer} is {written}; it must be a number over 0 \
                 and at most {MAX_WEIGHT}"
            ))
        };
        let weights: Result<_, String> = raw.weights.into_iter().map(check).collect();
        Ok(Self {
            enabled: raw.enabled,
            weights: weights?,
        })
    }
}

/// The usual limit of a process.
fn default_descriptors() -> usize {
    1_024
}

#[cfg(test)]
mod tests;
