//! The settings of an agent process, a YAML file.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use verbenaspool_state::name::Name;
use verbenaspool_transport::log;

/// The settings of an agent process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance that the agent stands beside.
    pub instance: Name,
    /// Where entries send requests.
    pub listen: SocketAddr,
    /// Where entries and operators send control calls.
    pub control: SocketAddr,
    /// The upstream beside the agent.
    pub upstream: Upstream,
    /// Bounds on what entries may make the agent hold.
    #[serde(default)]
    pub limits: Limits,
    /// How the agent stops.
    #[serde(default)]
    pub drain: Drain,
    /// What is logged, and how.
    #[serde(default)]
    pub log: log::Settings,
}

/// The upstream beside the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Where the upstream takes requests.
    pub address: SocketAddr,
    /// What the upstream is.
    pub kind: Kind,
    /// How often a model engine is asked for its state, in milliseconds.
    #[serde(default = "Upstream::poll_ms")]
    pub poll_ms: u64,
}

impl Upstream {
    /// Engines' own figures lag by more than this, so that asking more often
    /// brings nothing newer.
    fn poll_ms() -> u64 {
        250
    }
}

/// What an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine: a request whose caller has gone is cancelled.
    Engine,
    /// A plain service: a request that began runs on to its end, whoever
    /// still waits for it, so that its outcome can be told.
    Plain,
}

/// Bounds on what entries may make the agent hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that run at once.
    pub requests: usize,
    /// Connections of entries at once.
    pub connections: usize,
    /// The largest request body in bytes.
    pub body_bytes: usize,
    /// Closed attempts that are remembered.
    pub remembered: usize,
    /// The longest that the upstream may take for one request, in seconds.
    pub longest_seconds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests: 4_096,
            connections: 8_192,
            body_bytes: 16 * 1024 * 1024,
            remembered: 16_384,
            longest_seconds: 600,
        }
    }
}

/// How the agent stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long requests in flight may take to end, in seconds.
    pub deadline_seconds: u64,
    /// How long the agent stays to refuse new work before it closes its
    /// listener, in milliseconds. Entries hear of the leaving in this time.
    pub linger_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            deadline_seconds: 60,
            linger_ms: 3_000,
        }
    }
}

impl Drain {
    /// How long requests in flight may take to end.
    ///
    /// ```
    /// use verbenaspool_agent::settings::Drain;
    ///
    /// assert_eq!(Drain::default().deadline().as_secs(), 60);
    /// ```
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_secs(self.deadline_seconds)
    }

    /// How long the agent stays to refuse new work.
    ///
    /// ```
    /// use verbenaspool_agent::settings::Drain;
    ///
    /// assert_eq!(Drain::default().linger().as_secs(), 3);
    /// ```
    #[must_use]
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

/// Reads settings.
///
/// # Errors
/// The text is no YAML, or a key is unknown, missing or holds the wrong thing;
/// the error names the key, the line and the reason.
///
/// ```
/// use verbenaspool_agent::settings;
///
/// let settings = settings::read(
///     "instance: loft-1
/// listen: 127.0.0.1:7101
/// control: 127.0.0.1:7102
/// upstream: {address: '127.0.0.1:7100', kind: engine}
/// ",
/// )?;
/// assert_eq!(settings.drain.deadline_seconds, 60);
/// # Ok::<(), settings::Error>(())
/// ```
pub fn read(text: &str) -> Result<Settings, Error> {
    serde_norway::from_str(text).map_err(Error)
}

/// The settings can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(serde_norway::Error);
