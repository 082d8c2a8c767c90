//! The entry's settings file.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_state::name::Name;
use verbenaspool_transport::http::server::Limits;

use crate::entry::{Options, upload::Bounds};

/// The settings of one entry process. All defaults stand in this module.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The firm that the entry serves.
    pub firm: Name,
    /// The entry's own name among the firm's entry instances.
    pub name: Name,
    /// The availability zone it stands in.
    pub zone: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: Bound,
    /// How long requests in flight may go on after SIGTERM, in milliseconds.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// A fixed file and list of upstreams, for trials without the platform.
    #[serde(default)]
    pub fixed: Option<Fixed>,
}

/// A fixed configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fixed {
    /// The firm's file.
    pub file: PathBuf,
    /// The list of upstreams.
    pub upstreams: PathBuf,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bound {
    /// Connections at once.
    pub connections: usize,
    /// The largest head in bytes.
    pub head_bytes: usize,
    /// The most header lines.
    pub headers: usize,
    /// How long a head may take, in milliseconds; an idle connection is closed
    /// after the same time.
    pub head_ms: u64,
    /// The largest body in bytes.
    pub body_bytes: u64,
    /// The longest pause in a body, in milliseconds.
    pub pause_ms: u64,
    /// How long a connection to an agent may take, in milliseconds.
    pub connect_ms: u64,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head_bytes: 32 * 1024,
            headers: 64,
            head_ms: 30_000,
            body_bytes: 16 * 1024 * 1024,
            pause_ms: 15_000,
            connect_ms: 1_000,
        }
    }
}

/// The default of [`Settings::drain_ms`].
fn drain_ms() -> u64 {
    60_000
}

impl Settings {
    /// The settings in the entry's terms.
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use verbenaspool::settings::Settings;
    /// use verbenaspool_transport::settings;
    ///
    /// let text = "firm: quetzal\nname: entry-1\nzone: xela-a\nlisten: 127.0.0.1:8080\n";
    /// let settings: Settings = settings::parse(Path::new("entry.yaml"), text).unwrap();
    /// assert_eq!(settings.options().name.as_str(), "entry-1");
    /// ```
    #[must_use]
    pub fn options(&self) -> Options {
        let limits = &self.limits;
        Options {
            firm: self.firm.clone(),
            name: self.name.clone(),
            zone: self.zone.clone(),
            limits: Limits {
                connections: limits.connections,
                head: Duration::from_millis(limits.head_ms),
                head_bytes: limits.head_bytes,
                headers: limits.headers,
            },
            bounds: Bounds {
                bytes: limits.body_bytes,
                pause: Duration::from_millis(limits.pause_ms),
            },
            connect: Duration::from_millis(limits.connect_ms),
        }
    }
}
