//! One agent of a group: its rank, and the lead while it holds the lease.
//!
//! The two are kept together because one depends on the other's promise: the
//! rank answers for every fence that the lead beside it has taken, and a lead
//! is over as soon as the rank beside it has promised a higher one.

use std::time::Duration;

use verbenaspool_state::expert_map::Layer;

use super::{
    engine::{Action, Event},
    lead::{self, Lead, ProposeError},
    message::{Command, PeerMessage, Report},
    rank::{self, Rank},
};

/// What happens to an agent of a group.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message from another agent of the group, or from this one.
    Message(Message),
    /// The engine says something.
    Engine(Event),
    /// The platform gave this agent the lead's lease under a fence.
    LeaseAcquired {
        /// The fence.
        fence: u64,
    },
    /// Time has passed.
    Tick,
}

/// What agents of a group send each other.
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

/// What an agent of a group does.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send to the agent at a seat, which may be this one.
    Send {
        /// The seat.
        to: u16,
        /// The message.
        message: Message,
    },
    /// Have the engine do something.
    Engine {
        /// The fence that the order carries.
        fence: u64,
        /// What it is to do.
        action: Action,
    },
    /// Something that operators may want to know happened.
    Notice(lead::Output),
}

/// One agent of a group.
#[derive(Debug)]
pub struct Member {
    /// The rank.
    rank: Rank,
    /// The lead, while this agent is it.
    lead: Option<Lead>,
    /// How a lead works.
    lead_settings: lead::Settings,
}

impl Member {
    /// An agent that has just started and leads nobody.
    #[must_use]
    pub fn new(rank: rank::Settings, lead: lead::Settings) -> Self {
        Self {
            rank: Rank::new(rank),
            lead: None,
            lead_settings: lead,
        }
    }

    /// The rank.
    #[must_use]
    pub fn rank(&self) -> &Rank {
        &self.rank
    }

    /// The lead, while this agent is it.
    #[must_use]
    pub fn lead(&self) -> Option<&Lead> {
        self.lead.as_ref()
    }

    /// Takes in what happened and returns what to do about it.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let outputs = match input {
            Input::Message(Message::Report(report)) => self.handle_report(now, report),
            Input::Message(Message::Command(command)) => {
                self.handle_rank(now, rank::Input::Command(command))
            }
            Input::Message(Message::Peer(peer)) => self.handle_rank(now, rank::Input::Peer(peer)),
            Input::Engine(event) => self.handle_rank(now, rank::Input::Engine(event)),
            Input::LeaseAcquired { fence } => self.start_lead(now, fence),
            Input::Tick => self.tick(now),
        };
        self.drop_ended_lead();
        outputs
    }

    /// Starts a change of map, where this agent is the lead. Each rank loads at
    /// most `rate` bytes a second for it.
    ///
    /// # Errors
    ///
    /// Why the placement isn't taken up; the map in force stays.
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

    /// Takes the lead under a fence, unless a higher one is known.
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

    /// A rank reports to the lead.
    fn handle_report(&mut self, now: Duration, report: Report) -> Vec<Output> {
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let outputs = lead.handle_report(now, report);
        outputs.into_iter().map(from_lead).collect()
    }

    /// Something happens to the rank.
    fn handle_rank(&mut self, now: Duration, input: rank::Input) -> Vec<Output> {
        let outputs = self.rank.handle(now, input);
        outputs.into_iter().map(from_rank).collect()
    }

    /// Time has passed.
    fn tick(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = self.handle_rank(now, rank::Input::Tick);
        if let Some(lead) = &mut self.lead {
            outputs.extend(lead.tick(now).into_iter().map(from_lead));
        }
        outputs
    }

    /// Gives up a lead that is over.
    fn drop_ended_lead(&mut self) {
        let fence = self.rank.fence();
        self.lead
            .take_if(|lead| lead.is_ended() || lead.fence() < fence);
    }
}

/// What the lead does, as what its agent does.
fn from_lead(output: lead::Output) -> Output {
    match output {
        lead::Output::Send { seat, command } => Output::Send {
            to: seat,
            message: Message::Command(command),
        },
        notice => Output::Notice(notice),
    }
}

/// What the rank does, as what its agent does.
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
