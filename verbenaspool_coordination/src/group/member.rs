//! One agent of a group: its rank, and the lead while the agent holds the lease.
//!
//! They are kept together because each depends on the other's fence: the rank
//! reports every fence that the lead of this agent has taken, and the lead ends
//! as soon as the rank follows a higher fence.

use std::time::Duration;

use verbenaspool_state::expert_map::Layer;

use super::{
    engine::{Action, Event},
    lead::{self, Lead, ProposeError},
    message::{Command, PeerMessage, Report},
    rank::{self, Rank},
};

/// An input of an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message from another agent of the group, or from this one.
    Message(Message),
    /// A message from the engine.
    Engine(Event),
    /// This agent acquired the lead's lease.
    LeaseAcquired {
        /// The fence of the lease.
        fence: u64,
    },
    /// This agent may not hold the lead's lease any more, and another one may acquire it under the
    /// same fence.
    LeaseLost,
    /// A periodic call that drives timeouts and resending.
    Tick,
}

/// A message between agents of a group.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// From the lead to a rank.
    Command(Command),
    /// From a rank to the lead.
    Report(Report),
    /// Between two ranks.
    Peer(PeerMessage),
}

/// An output of an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to the agent at a seat, possibly this one.
    Send {
        /// The seat.
        to: u16,
        /// The message.
        message: Message,
    },
    /// Send an order to the engine.
    Engine {
        /// The fence of the order.
        fence: u64,
        /// The order.
        action: Action,
    },
    /// An event of the lead to log and count.
    Notice(lead::Output),
}

/// One agent of a group.
#[derive(Debug)]
pub struct Member {
    /// The rank.
    rank: Rank,
    /// The lead, while this agent is the lead.
    lead: Option<Lead>,
    /// The settings of a lead on this agent.
    lead_settings: lead::Settings,
}

impl Member {
    /// Creates an agent that has just started and isn't the lead.
    #[must_use]
    pub fn new(rank: rank::Settings, lead: lead::Settings) -> Self {
        Self {
            rank: Rank::new(rank),
            lead: None,
            lead_settings: lead,
        }
    }

    /// Returns the rank.
    #[must_use]
    pub fn rank(&self) -> &Rank {
        &self.rank
    }

    /// Returns the lead, while this agent is the lead.
    #[must_use]
    pub fn lead(&self) -> Option<&Lead> {
        self.lead.as_ref()
    }

    /// Handles an input and returns the resulting outputs.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let outputs = match input {
            Input::Message(Message::Report(report)) => self.handle_report(now, report),
            Input::Message(Message::Command(command)) => {
                self.handle_rank(now, rank::Input::Command(command))
            }
            Input::Message(Message::Peer(peer)) => self.handle_rank(now, rank::Input::Peer(peer)),
            Input::Engine(event) => self.handle_rank(now, rank::Input::Engine(event)),
            Input::LeaseAcquired { fence } => self.start_lead(now, fence),
            Input::LeaseLost => {
                self.lead = None;
                Vec::new()
            }
            Input::Tick => self.tick(now),
        };
        self.drop_ended_lead();
        outputs
    }

    /// Starts a change of map, if this agent is the lead. Each rank loads at most
    /// `rate` bytes per second for it.
    ///
    /// # Errors
    ///
    /// Why the placement is rejected; the current map stays in use.
    pub fn propose(
        &mut self,
        now: Duration,
        layers: Vec<Layer>,
        rate: u64,
    ) -> Result<(u64, Vec<Output>), ProposeError> {
        let lead = self.lead.as_mut().ok_or(ProposeError::Ended)?;
        let (epoch, outputs) = lead.propose(now, layers, rate)?;
        Ok((epoch, outputs.into_iter().map(from_lead).collect()))
    }

    /// Becomes the lead under a fence, unless this fence or a higher one is known.
    fn start_lead(&mut self, now: Duration, fence: u64) -> Vec<Output> {
        if fence <= self.rank.fence() {
            return Vec::new();
        }
        self.rank.raise_fence(fence);
        let lead = self
            .lead
            .insert(Lead::new(self.lead_settings.clone(), fence));
        lead.tick(now).into_iter().map(from_lead).collect()
    }

    /// Passes a rank's report to the lead.
    fn handle_report(&mut self, now: Duration, report: Report) -> Vec<Output> {
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let outputs = lead.handle_report(now, report);
        outputs.into_iter().map(from_lead).collect()
    }

    /// Passes an input to the rank.
    fn handle_rank(&mut self, now: Duration, input: rank::Input) -> Vec<Output> {
        let outputs = self.rank.handle(now, input);
        outputs.into_iter().map(from_rank).collect()
    }

    /// Runs the periodic work of the rank and the lead.
    fn tick(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = self.handle_rank(now, rank::Input::Tick);
        if let Some(lead) = &mut self.lead {
            outputs.extend(lead.tick(now).into_iter().map(from_lead));
        }
        outputs
    }

    /// Drops a lead that has ended or whose fence the rank no longer follows.
    fn drop_ended_lead(&mut self) {
        let fence = self.rank.fence();
        self.lead
            .take_if(|lead| lead.is_ended() || lead.fence() < fence);
    }
}

/// Converts an output of the lead to an output of the agent.
fn from_lead(output: lead::Output) -> Output {
    match output {
        lead::Output::Send { seat, command } => Output::Send {
            to: seat,
            message: Message::Command(command),
        },
        notice => Output::Notice(notice),
    }
}

/// Converts an output of the rank to an output of the agent.
fn from_rank(output: rank::Output) -> Output {
    match output {
        rank::Output::Report { lead, report } => Output::Send {
            to: lead,
            message: Message::Report(report),
        },
        rank::Output::Peer { to, message } => Output::Send {
            to,
            message: Message::Peer(message),
        },
        rank::Output::Engine { fence, action } => Output::Engine { fence, action },
    }
}
