//! Messages between the agents of a group.
//!
//! Any message may be lost, duplicated, reordered or delayed by minutes.
//! Therefore commands and reports carry the fence they belong to, reports carry
//! the start of their sender, commands that depend on the rank's state carry the
//! start they are addressed to, and all messages are idempotent.

use serde::{Deserialize, Serialize};
use verbenaspool_state::expert_map::Map;

use super::schedule::Span;

/// Identifies the start of a rank that a message comes from or goes to. Later
/// starts compare greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartId {
    /// The start of the rank's agent; higher after every restart.
    pub incarnation: u64,
    /// The number of engine restarts that this agent has observed.
    #[serde(rename = "life")]
    pub engine_restarts: u64,
}

/// A message from the lead to one rank's agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The lead's fence.
    pub fence: u64,
    /// The seat of the lead's agent, which receives the reports.
    pub lead: u16,
    /// The request.
    #[serde(rename = "ask")]
    pub request: Request,
}

/// A request of the lead to a rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Reject every lower fence from now on, and report the rank's state.
    Collect {
        /// The lead's collection round, copied into the answer.
        round: u64,
    },
    /// Run these steps. The list starts no later than the first step that the
    /// rank hasn't acknowledged, so the next grant makes up for a lost one.
    Grant {
        /// The start of the rank that this is addressed to.
        start: StartId,
        /// The steps and their maps.
        spans: Vec<Span>,
    },
    /// Load the weights of this map while steps go on with the current one.
    Stage {
        /// The start of the rank that this is addressed to.
        start: StartId,
        /// The map.
        map: Map,
        /// The maximum load rate of the rank in bytes per second, so that
        /// loading doesn't slow steps by more than the service allows.
        rate: u64,
    },
    /// Unload a map that no step runs on.
    Drop {
        /// The start of the rank that this is addressed to.
        start: StartId,
        /// The map's epoch.
        epoch: u64,
    },
    /// Send the placement of a map, if the rank knows it.
    Fetch {
        /// The map's epoch.
        epoch: u64,
    },
}

/// A message from a rank's agent to the lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The rank's seat.
    pub seat: u16,
    /// The fence that the rank follows.
    pub fence: u64,
    /// The start of the rank.
    pub start: StartId,
    /// The content.
    #[serde(rename = "news")]
    pub body: ReportBody,
}

/// The content of a rank's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportBody {
    /// The rank rejects every lower fence from now on. Its state follows.
    Joined {
        /// The collection round that this answers; 0 if it is unsolicited.
        round: u64,
        /// The last step run; 0 if the engine has run none.
        done: u64,
        /// The steps granted after `done`.
        spans: Vec<Span>,
        /// The epoch of the last step granted, or else run, if there is one.
        running: Option<u64>,
        /// The epochs whose weights the engine holds.
        #[serde(rename = "held")]
        loaded: Vec<u64>,
    },
    /// The rank has run up to `done` and may run up to `top`.
    Progress {
        /// The last step run.
        done: u64,
        /// The last step granted.
        top: u64,
    },
    /// The engine holds all weights of a map.
    Staged {
        /// The map's epoch.
        epoch: u64,
    },
    /// The engine failed to load a map.
    Failed {
        /// The map's epoch.
        epoch: u64,
        /// The error of the engine or the weight store.
        reason: String,
    },
    /// The placement of a map that the lead requested.
    #[serde(rename = "held")]
    FetchedMap {
        /// The map.
        map: Map,
    },
    /// The command was rejected.
    Refused(Rejection),
    /// The engine was given or has run a step on a map that wasn't granted.
    Diverged {
        /// The step.
        step: u64,
        /// The epoch of the engine's map for this step.
        epoch: u64,
        /// Whether the step has already run.
        ran: bool,
    },
}

/// Why a rank rejected a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// A higher fence is known.
    #[error("fence {fence} was seen")]
    Fence {
        /// The higher fence.
        fence: u64,
    },
    /// The command is addressed to another start of the rank.
    #[error("the rank was restarted")]
    #[serde(rename = "start")]
    Restarted,
    /// The agent has just started and doesn't know its fence yet.
    #[error("the agent is still recovering its fence and state")]
    Learning,
    /// The rank hasn't joined this lead.
    #[error("the rank hasn't joined this lead")]
    Unjoined,
    /// The grant names a second map for a step.
    #[error("step {step} is granted on another map")]
    Conflict {
        /// The step.
        step: u64,
    },
    /// The grant leaves a gap after the last granted step.
    #[error("the grant leaves a gap after step {top}")]
    Gap {
        /// The last step granted.
        top: u64,
    },
    /// The rank doesn't know the map.
    #[error("the rank doesn't know the map")]
    Unknown,
}

/// A message between the agents of two ranks, one of which has just started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Asks for the highest fence that the receiver knows.
    Probe {
        /// The sender's seat.
        seat: u16,
        /// The sender's start.
        incarnation: u64,
    },
    /// The answer to a probe. The asking agent adopts the highest fence of all
    /// answers.
    Floor {
        /// The sender's seat.
        seat: u16,
        /// The start of the agent that asked, from its probe.
        incarnation: u64,
        /// The highest fence that the sender knows.
        fence: u64,
        /// The seat of the lead with that fence, if known.
        lead: Option<u16>,
    },
}
