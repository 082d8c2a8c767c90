//! The settings of an agent on the direct path.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use verbenaspool_transport::log;

/// The settings of one agent. What they don't name is ignored: they are written
/// by the platform, which may add fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How requests reach the upstream; tells these settings from others.
    pub path: Path,
    /// The agent's name.
    pub name: String,
    /// The availability zone it stands in.
    #[serde(default)]
    pub zone: String,
    /// The address of its instance.
    pub address: IpAddr,
    /// The upstream beside it.
    pub upstream: SocketAddr,
    /// The service that the upstream runs.
    pub service: String,
    /// The UDP port on which agents hear each other, the same everywhere.
    pub peer_port: u16,
    /// What the instance's link carries, in Mbit/s. Maps and choices leave most of it
    /// free, so that the states of ranks and orders get through.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// What is logged, and how.
    #[serde(default)]
    pub log: log::Settings,
}

/// The link that is reckoned with where the settings name none, in Mbit/s: the narrowest
/// that groups of ranks were run on.
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
