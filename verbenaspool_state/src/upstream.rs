//! Upstream instances as the platform's list and the agents name them.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One upstream instance with the agent beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The instance's name, unique within the firm.
    pub name: Name,
    /// The service the instance runs.
    pub service: Name,
    /// The availability zone the instance stands in.
    pub zone: Name,
    /// Where its agent takes requests.
    pub agent: SocketAddr,
    /// Where its agent takes control calls.
    pub control: SocketAddr,
    /// Whether the instance is live or leaving.
    pub state: State,
    /// Counts the starts of an instance under this name; a higher one replaces a lower.
    pub incarnation: u64,
    /// The group of ranks the instance belongs to, where it is part of one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<Rank>,
}

/// An instance among those of all firms, written `firm/instance`.
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

/// An instance's seat in a group of ranks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The group's name.
    pub group: Name,
    /// The seat, from 0; seat 0 leads.
    pub index: u16,
    /// How many ranks the group has.
    pub of: u16,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance takes work.
    Live,
    /// The instance finishes what it has and takes nothing new.
    Leaving,
}
