//! Services that a firm offers to its customers.

use serde::{Deserialize, Serialize};

use crate::{decisions::Decisions, expert_map::Layer, name::Name, rebalancing::Rebalancing};

/// A model or plain service, to which requests are routed by path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, unique within the firm.
    pub name: Name,
    /// Whether it is a model or a plain service, with the settings of that kind.
    pub kind: Kind,
    /// The path prefix of requests to the service, for example `/loft/`.
    pub path: String,
    /// The zones in which the service runs; empty means all zones of the firm.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<Name>,
    /// Settings for admission, queueing and load balancing.
    #[serde(default)]
    pub decisions: Decisions,
}

/// The kind of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// A model service, whose calls may be retried.
    Model(Model),
    /// A plain service, some of whose calls may not be retried.
    Plain(Plain),
}

/// Properties of a model service's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Whether the engines reject orders with an outdated fencing token.
    pub fences: Fences,
    /// Whether the engines can resume an interrupted stream.
    #[serde(default)]
    pub resume: bool,
    /// The experts and groups, for an expert-parallel model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub experts: Option<Experts>,
}

/// How engines treat orders with an outdated fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fences {
    /// They reject such orders.
    Checked,
    /// They execute such orders.
    Ignored,
}

/// The expert-parallel layout of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experts {
    /// Number of ranks in a group, 1 to 1024.
    pub ranks: u16,
    /// Number of experts per layer, 1 to 4096.
    pub experts: u16,
    /// Number of layers with experts, 1 to 256.
    pub layers: u16,
    /// Maximum number of experts per layer on a rank. There must be a slot for each expert,
    /// and spare slots hold replicas.
    pub slots: u16,
    /// Size of an expert's weights in bytes.
    pub expert_bytes: u64,
    /// Settings for moving experts between ranks.
    #[serde(default)]
    pub rebalancing: Rebalancing,
    /// The initial expert map of a group, as the placement of each layer's experts. If empty,
    /// experts are spread in order of their numbers. It is stored and checked, but not yet
    /// used by agents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub placement: Vec<Layer>,
}

/// Properties of a plain service's calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plain {
    /// Path prefixes of calls that may be retried regardless of their method. They are
    /// relative to the service's path: `/search` matches `/jobs/search` of a service at
    /// `/jobs/`. GET, HEAD and OPTIONS may always be retried.
    pub idempotent: Vec<String>,
}
