//! Upstream instances, as listed by the platform and identified by agents.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// An upstream instance and its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The instance's name, unique within the firm.
    pub name: Name,
    /// The service that the instance runs.
    pub service: Name,
    /// The availability zone of the instance.
    pub zone: Name,
    /// The address at which its agent accepts requests.
    pub agent: SocketAddr,
    /// The address at which its agent accepts control calls.
    pub control: SocketAddr,
    /// Whether the instance is live or leaving.
    pub state: State,
    /// Number of starts of an instance with this name; a higher one replaces a lower one.
    pub incarnation: u64,
    /// The instance's rank, if it is part of a group of ranks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<Rank>,
}

/// The globally unique id of an instance, written `firm/instance`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The firm.
    pub firm: Name,
    /// The instance's name, unique within the firm.
    pub instance: Name,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.firm, self.instance)
    }
}

/// The rank of an instance in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The group's name.
    pub group: Name,
    /// Index of the rank, from 0.
    pub index: u16,
    /// Number of ranks in the group.
    #[serde(rename = "of")]
    pub group_size: u16,
}

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance accepts requests.
    Live,
    /// The instance finishes its requests and accepts no new ones.
    Leaving,
}
