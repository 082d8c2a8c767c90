//! What the agents of a group say to each other.
//!
//! Every message may be lost, repeated, reordered or late by minutes. So each
//! names the fence it belongs to and the start of the agent it is meant for,
//! and each can be said again without a further effect.

use serde::{Deserialize, Serialize};
use verbenaspool_state::expert_map::Map;

use super::schedule::Span;

/// Which start of a rank a message is from or for; the later one is the greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartId {
    /// The start of the rank's agent; counts up.
    pub incarnation: u64,
    /// Counts the restarts of the engine that this agent has seen.
    #[serde(rename = "life")]
    pub engine_restarts: u64,
}

/// From the lead to one rank's agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The lead's fence.
    pub fence: u64,
    /// The seat of the lead's agent, where reports go.
    pub lead: u16,
    /// What is asked.
    #[serde(rename = "ask")]
    pub request: Request,
}

/// What a lead asks of a rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Refuse every lower fence from now on, and say where you stand.
    Collect {
        /// Counts the lead's rounds of asking; the answer repeats it.
        round: u64,
    },
    /// Run these steps. The list starts no later than the first step that the
    /// rank hasn't acknowledged, so a lost grant is made good by the next.
    Grant {
        /// The start of the rank that the grant is for.
        start: StartId,
        /// The steps and their maps.
        spans: Vec<Span>,
    },
    /// Load what this map needs beside the running one.
    Stage {
        /// The start of the rank that it is for.
        start: StartId,
        /// The map.
        map: Map,
        /// The bytes a second that the rank may load, so that loading doesn't
        /// slow steps by more than the service allows.
        rate: u64,
    },
    /// Forget a map that no step runs on.
    Drop {
        /// The start of the rank that it is for.
        start: StartId,
        /// The map's epoch.
        epoch: u64,
    },
    /// Send the placement of a map that you hold.
    Fetch {
        /// The map's epoch.
        epoch: u64,
    },
}

/// From a rank's agent to the lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The rank's seat.
    pub seat: u16,
    /// The fence that the rank obeys.
    pub fence: u64,
    /// The start of the rank.
    pub start: StartId,
    /// What there is to say.
    #[serde(rename = "news")]
    pub body: ReportBody,
}

/// What a rank says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportBody {
    /// The rank refuses every lower fence from now on, and stands here.
    Joined {
        /// The round of asking that this answers; 0 where nobody asked.
        round: u64,
        /// The last step run; 0 where the engine has run none.
        done: u64,
        /// The steps granted beyond it.
        spans: Vec<Span>,
        /// The epoch of the last step run or granted, where there is one.
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
    /// The engine couldn't load a map.
    Failed {
        /// The map's epoch.
        epoch: u64,
        /// What the engine or the weight store said.
        reason: String,
    },
    /// The placement of a map that the lead asked for.
    #[serde(rename = "held")]
    FetchedMap {
        /// The map.
        map: Map,
    },
    /// The command wasn't carried out.
    Refused(Refusal),
    /// The engine holds or ran a step on a map that wasn't granted.
    Diverged {
        /// The step.
        step: u64,
        /// The epoch that the engine has for it.
        epoch: u64,
        /// Whether the step was run already.
        ran: bool,
    },
}

/// Why a rank didn't carry out a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A lead with a higher fence was heard.
    #[error("fence {fence} was seen")]
    Fence {
        /// The higher fence.
        fence: u64,
    },
    /// The command was meant for another start of the rank.
    #[error("the rank was restarted")]
    #[serde(rename = "start")]
    Restarted,
    /// The agent has just started and doesn't know its fence yet.
    #[error("the agent is still learning where it stands")]
    Learning,
    /// The rank hasn't joined this lead.
    #[error("the rank hasn't joined this lead")]
    Unjoined,
    /// A step would get a second map.
    #[error("step {step} has another map")]
    Conflict {
        /// The step.
        step: u64,
    },
    /// The grant starts too late.
    #[error("the steps after {top} are missing")]
    Gap {
        /// The last step granted.
        top: u64,
    },
    /// The rank doesn't know the map.
    #[error("the map isn't known here")]
    Unknown,
}

/// Between the agents of two ranks, when one of them has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Which is the highest fence you have heard of?
    Probe {
        /// The seat that asks.
        seat: u16,
        /// The start of the agent that asks.
        incarnation: u64,
    },
    /// The highest fence heard of.
    Floor {
        /// The seat that answers.
        seat: u16,
        /// The start of the agent that asked.
        incarnation: u64,
        /// The fence.
        fence: u64,
        /// The seat of the lead that holds it, where known.
        lead: Option<u16>,
    },
}
