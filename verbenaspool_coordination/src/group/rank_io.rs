//! What goes into a rank's agent and comes out of it.

use std::time::Duration;

use super::{
    engine::{Action, Event},
    message::{Command, PeerMessage, Report},
};

/// Fixed properties of a rank and its engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The rank's seat in the group, from 0.
    pub seat: u16,
    /// How many ranks the group has.
    pub ranks: u16,
    /// The start of this agent; counts up.
    pub incarnation: u64,
    /// Whether the engine refuses orders with an old fence. A late order to it
    /// has no effect once it has seen a higher fence.
    pub checks_fences: bool,
    /// The longest that an order may be on its way to an engine that ignores
    /// fences. A new agent waits it out before it reads the engine.
    pub max_order_delay: Duration,
    /// After how long an unanswered message is sent again.
    pub resend_interval: Duration,
    /// How many steps pass between two reports of progress to a lead beside the
    /// rank; other ranks report when they take a grant.
    pub progress_interval_steps: u64,
}

/// What happens to a rank's agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The lead asks something.
    Command(Command),
    /// Another rank's agent says something.
    Peer(PeerMessage),
    /// The engine says something.
    Engine(Event),
    /// Time has passed.
    Tick,
}

/// What a rank's agent does.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Tell the lead at a seat.
    Report {
        /// The lead's seat.
        lead: u16,
        /// What to tell.
        report: Report,
    },
    /// Tell the agent of another rank.
    Peer {
        /// The rank's seat.
        to: u16,
        /// What to tell.
        message: PeerMessage,
    },
    /// Have the engine do something.
    Engine {
        /// The fence that the order carries.
        fence: u64,
        /// What it is to do.
        action: Action,
    },
}
