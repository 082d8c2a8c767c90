//! The entry's settings file.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_state::{credential::Token, name::Name};
use verbenaspool_transport::{http::server, log, platform::client, trace};

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
    /// Where the zone's other entries connect.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Control addresses of some other entries of the zone.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Where health, readiness and metrics are told.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The platform's object API.
    pub platform: Platform,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// What happens at SIGTERM.
    #[serde(default)]
    pub drain: Drain,
    /// What is logged, and how.
    #[serde(default)]
    pub log: log::Settings,
    /// Where spans go; none are recorded without it.
    #[serde(default)]
    pub traces: Option<trace::Settings>,
}

/// How the platform is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// The token that stands for the firm.
    pub token: Token,
    /// How long a call may take, in milliseconds.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Platform {
    /// The default of [`Platform::timeout_ms`]: the platform answers in
    /// milliseconds, and a slow answer is waited for this long.
    fn default_timeout_ms() -> u64 {
        2_000
    }

    /// The settings in the client's terms.
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

/// What happens at SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long the entry is unready before it accepts no more connections, in
    /// milliseconds: the platform's balancer has to notice first.
    pub linger_ms: u64,
    /// How long requests in flight may go on, in milliseconds.
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

/// Bounds on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
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
    /// The settings in the entry's terms.
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
                connections: limits.connections,
                head: Duration::from_millis(limits.head_ms),
                head_bytes: limits.head_bytes,
                headers: limits.headers,
            },
            bounds: Bounds {
                max_bytes: limits.body_bytes,
                max_pause: Duration::from_millis(limits.pause_ms),
            },
            connect_timeout: Duration::from_millis(limits.connect_ms),
        }
    }
}
