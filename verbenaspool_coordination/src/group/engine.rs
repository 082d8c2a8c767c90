//! Messages between a rank's agent and its engine.

use serde::{Deserialize, Serialize};
use verbenaspool_state::expert_map::Map;

use super::schedule::Span;

/// A message from an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The engine's state.
    State(Snapshot),
    /// The engine holds all weights of a map.
    Staged {
        /// The map's epoch.
        epoch: u64,
    },
    /// The engine failed to load a map.
    Failed {
        /// The map's epoch.
        epoch: u64,
        /// The engine's error.
        reason: String,
    },
}

/// The state of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// The ticket of the [`Action::Read`] that this answers; 0 if it answers none.
    pub ticket: u64,
    /// Identifies the start of the engine; differs after every restart.
    pub incarnation: u64,
    /// The highest fence seen, if the engine checks fences.
    pub fence: Option<u64>,
    /// The last step run; 0 if none was.
    pub done: u64,
    /// The epoch of the map that step ran on.
    pub running: Option<u64>,
    /// The steps granted after `done`.
    pub spans: Vec<Span>,
    /// The epochs whose weights are loaded.
    #[serde(rename = "held")]
    pub loaded: Vec<u64>,
    /// The placements of those maps, if they were requested.
    pub maps: Vec<Map>,
}

/// An order to an engine. All orders are idempotent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Return the current state, with the placements of the loaded maps.
    Read {
        /// Copied into the answer, which shows that the state was read after this
        /// order was sent.
        ticket: u64,
    },
    /// Run these steps.
    Grant {
        /// The steps and their maps.
        spans: Vec<Span>,
    },
    /// Discard all granted steps that haven't started and run these instead.
    Replace {
        /// The steps and their maps.
        spans: Vec<Span>,
    },
    /// Load the weights of a map while steps go on with the current one.
    Stage {
        /// The map.
        map: Map,
        /// The maximum load rate in bytes per second.
        rate: u64,
    },
    /// Unload a map.
    Drop {
        /// The map's epoch.
        epoch: u64,
    },
}
