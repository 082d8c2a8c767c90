//! Services that a firm offers to its customers.

use serde::{Deserialize, Serialize};

use crate::{decisions::Decisions, expert_map::Layer, name::Name, rebalancing::Rebalancing};

/// A service: a model or a plain one, found by its path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, unique within the firm.
    pub name: Name,
    /// What runs behind it.
    pub kind: Kind,
    /// Requests whose path starts with this go to the service, for example `/loft/`.
    pub path: String,
    /// The zones the service runs in; empty means all of the firm's.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<Name>,
    /// Settings of the decisions under load.
    #[serde(default)]
    pub decisions: Decisions,
}

/// What runs behind a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// A model engine, whose calls may be repeated.
    Model(Model),
    /// A plain service, some of whose calls may not be repeated.
    Plain(Plain),
}

/// How a service's model engines behave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Whether the engines refuse an order with an old fencing number.
    pub fences: Fences,
    /// Whether the engines can resume a broken stream.
    #[serde(default)]
    pub resume: bool,
    /// The experts and groups, for an expert-parallel model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub experts: Option<Experts>,
}

/// What engines do with an order that carries an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fences {
    /// They refuse it.
    Checked,
    /// They carry it out.
    Ignored,
}

/// The expert-parallel layout of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experts {
    /// How many ranks a group has, 1 to 1024.
    pub ranks: u16,
    /// How many experts a layer has, 1 to 4096.
    pub experts: u16,
    /// How many layers carry experts, 1 to 256.
    pub layers: u16,
    /// How many experts a rank holds of one layer; ranks times slots is at
    /// least the number of experts, and what is over holds replicas.
    pub slots: u16,
    /// The size of one expert's weights in bytes.
    pub expert_bytes: u64,
    /// When experts move.
    #[serde(default)]
    pub rebalancing: Rebalancing,
    /// The expert map that a group starts with, one placement a layer; empty to
    /// spread experts in order of their numbers. Kept and checked; agents don't
    /// read it yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub placement: Vec<Layer>,
}

/// How a plain service's calls behave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plain {
    /// Path prefixes, read below the service's own path, whose calls may be
    /// repeated whatever their method: `/search` covers `/jobs/search` of a
    /// service at `/jobs/`. GET, HEAD and OPTIONS always may.
    pub idempotent: Vec<String>,
}
