//! The entry's settings file.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_state::{credential::Token, name::Name};
use verbenaspool_transport::{http::server, log, platform::client, trace};

use crate::entry::{Options, upload::Bounds};

/// The settings of an entry process. All defaults are defined in this module.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The firm that the entry serves.
    pub firm: Name,
    /// The entry's name, unique among the firm's entry instances.
    pub name: Name,
    /// The availability zone of the entry.
    pub zone: Name,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for the other entries of the zone.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Control addresses of some other entries of the zone.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Listen address for health checks, readiness checks and metrics.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The platform's object API.
    pub platform: Platform,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub limits: Limits,
    /// How the entry drains at SIGTERM.
    #[serde(default)]
    pub drain: Drain,
    /// Level and format of the log.
    #[serde(default)]
    pub log: log::Settings,
    /// Export of spans; without it none are recorded.
    #[serde(default)]
    pub traces: Option<trace::Settings>,
}

/// Access to the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the API.
    pub address: SocketAddr,
    /// The firm's access token.
    pub token: Token,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Platform {
    /// The default of [`Platform::timeout_ms`]. The platform usually answers within
    /// milliseconds; slow answers are awaited up to this limit.
    fn default_timeout_ms() -> u64 {
        2_000
    }

    /// Converts to the settings of the platform client.
    ///
    /// ```
    /// use verbenaspool::settings::Platform;
    ///
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let platform = Platform { address, token: "t".to_owned().into(), timeout_ms: 5 };
    /// assert_eq!(platform.client().timeout.as_millis(), 5);
    /// ```
    #[must_use]
    pub fn client(&self) -> client::Settings {
        client::Settings {
            address: self.address,
            token: self.token.clone(),
            timeout: Duration::from_millis(self.timeout_ms),
        }
    }
}

/// How the entry drains at SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long the entry still accepts connections after it stops being ready, in
    /// milliseconds. The platform's load balancer has to notice first.
    pub linger_ms: u64,
    /// How long requests in flight may still run after that, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            linger_ms: 2_000,
            deadline_ms: 60_000,
        }
    }
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of header lines.
    pub headers: usize,
    /// Timeout for reading a request head, in milliseconds. Idle connections are closed
    /// after the same time.
    pub head_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum pause while a body is received, in milliseconds.
    pub pause_ms: u64,
    /// Timeout for connecting to an agent, in milliseconds.
    pub connect_ms: u64,
}

impl Default for Limits {
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

impl Settings {
    /// Converts to the options of the entry.
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use verbenaspool::settings::Settings;
    /// use verbenaspool_transport::settings;
    ///
    /// let text = "
    /// firm: quetzal
    /// name: entry-1
    /// zone: xela-a
    /// listen: 127.0.0.1:8080
    /// platform: {address: '127.0.0.1:7000', token: secret}
    /// ";
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
            limits: server::Limits {
                max_connections: limits.connections,
                header_timeout: Duration::from_millis(limits.head_ms),
                max_header_bytes: limits.head_bytes,
                max_headers: limits.headers,
                ..server::Limits::default()
            },
            bounds: Bounds {
                max_bytes: limits.body_bytes,
                max_pause: Duration::from_millis(limits.pause_ms),
            },
            connect_timeout: Duration::from_millis(limits.connect_ms),
        }
    }
}
