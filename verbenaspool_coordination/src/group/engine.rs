//! What a rank's agent and its engine say to each other.

use serde::{Deserialize, Serialize};
use verbenaspool_state::expert_map::Map;

use super::schedule::Span;

/// What an engine says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Where the engine stands.
    State(Snapshot),
    /// The engine holds all weights of a map.
    Staged {
        /// The map's epoch.
        epoch: u64,
    },
    /// The engine couldn't load a map.
    Failed {
        /// The map's epoch.
        epoch: u64,
        /// Why.
        reason: String,
    },
}

/// Where an engine stands.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// The ticket of the [`Action::Read`] that this answers; 0 where it answers none.
    pub ticket: u64,
    /// The start of the engine; differs from start to start.
    pub incarnation: u64,
    /// The highest fence seen, where the engine checks them.
    pub fence: Option<u64>,
    /// The last step run; 0 where none was.
    pub done: u64,
    /// The epoch of that step.
    pub running: Option<u64>,
    /// The steps granted beyond it.
    pub spans: Vec<Span>,
    /// The epochs whose weights are loaded.
    #[serde(rename = "held")]
    pub loaded: Vec<u64>,
    /// The placements of those maps, where they were asked for.
    pub maps: Vec<Map>,
}

/// What an engine is to do. All of it may be asked again without a further effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Say where it stands now, with the placements of its maps.
    Read {
        /// Repeated in the answer, which so is known to be no older.
        ticket: u64,
    },
    /// Run these steps.
    Grant {
        /// The steps and their maps.
        spans: Vec<Span>,
    },
    /// Forget all granted steps that haven't started and run these instead.
    Replace {
        /// The steps and their maps.
        spans: Vec<Span>,
    },
    /// Load what a map needs beside the running one.
    Stage {
        /// The map.
        map: Map,
        /// The bytes a second that may be loaded.
        rate: u64,
    },
    /// Forget a map.
    Drop {
        /// The map's epoch.
        epoch: u64,
    },
}
