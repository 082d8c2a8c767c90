//! Settings, inputs and outputs of a rank.

use std::time::Duration;

use super::{
    engine::{Action, Event},
    message::{Command, PeerMessage, Report},
};

/// Settings of a rank and its engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The rank's seat in the group, from 0.
    pub seat: u16,
    /// How many ranks the group has.
    pub ranks: u16,
    /// The start of this agent; higher after every restart.
    pub incarnation: u64,
    /// Whether the engine rejects orders with a lower fence than the highest one
    /// that it has seen, so that late orders have no effect.
    pub checks_fences: bool,
    /// How long an order may be in flight to an engine that ignores fences. A new
    /// agent waits that long before it reads the engine.
    pub max_order_delay: Duration,
    /// The interval for resending a message that has shown no effect.
    pub resend_interval: Duration,
    /// The number of steps between two progress reports to a lead on the same
    /// agent. Other ranks report progress when they receive a grant.
    pub progress_interval_steps: u64,
}

/// An input of a rank.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A command of the lead.
    Command(Command),
    /// A message from another rank's agent.
    Peer(PeerMessage),
    /// A message from the engine.
    Engine(Event),
    /// A periodic call that drives timeouts and resending.
    Tick,
}

/// An output of a rank.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a report to the lead.
    Report {
        /// The lead's seat.
        lead: u16,
        /// The report.
        report: Report,
    },
    /// Send a message to the agent of another rank.
    Peer {
        /// The other rank's seat.
        to: u16,
        /// The message.
        message: PeerMessage,
    },
    /// Send an order to the engine.
    Engine {
        /// The fence of the order.
        fence: u64,
        /// The order.
        action: Action,
    },
}
