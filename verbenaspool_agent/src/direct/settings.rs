//! Settings of an agent on the direct path.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use verbenaspool_transport::log;

/// Settings of one agent. Unknown fields are ignored: the platform writes the settings and
/// may add fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How requests reach the upstream. Distinguishes these settings from those of an
    /// agent that forwards requests.
    pub path: Path,
    /// Name of the agent.
    pub name: String,
    /// Availability zone of the agent.
    #[serde(default)]
    pub zone: String,
    /// Address of the agent's instance.
    pub address: IpAddr,
    /// Address of the upstream on the same instance.
    pub upstream: SocketAddr,
    /// Service that the upstream runs.
    pub service: String,
    /// UDP port on which agents receive each other's messages, the same on all instances.
    pub peer_port: u16,
    /// Bandwidth of the instance's link in Mbit/s. Maps and choices use only a part of it,
    /// so that rank states and orders aren't delayed.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Level and format of the log.
    #[serde(default)]
    pub log: log::Settings,
}

/// Bandwidth in Mbit/s assumed if the settings contain none: that of the slowest links on
/// which groups of ranks were run.
fn default_link_mbps() -> f64 {
    8.0
}

/// How requests reach the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// Straight from entries.
    Direct,
}
