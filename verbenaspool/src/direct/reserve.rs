//! Reservations: an entry asks the agent beside an upstream before it sends there.
//!
//! Load: tens of entries that place requests on hundreds of upstreams, of which each knows only
//! what it heard. An agent that keeps a slot makes sure that no two entries take it;
//! one that has none says so within a millisecond or two, instead of a queue of
//! streams at a full upstream. An agent that is silent isn't waited for: its instance may
//! be frozen, so another upstream is asked, and where that one's agent is silent as well
//! the request is sent without asking.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use monoio::net::udp::UdpSocket;
use slog::debug;
use tokio::sync::oneshot;
use verbenaspool_policy::dispatch::{PlacementRequest, Rejection};
use verbenaspool_protocol::{
    message::Message,
    reservation::{self, Answer},
};
use verbenaspool_state::replica::Replica;

use super::{
    gateway::Gateway,
    queue::{Permit, ServiceQueue},
};

/// How long an agent has to answer. It does so within a millisecond, and there and
/// back between zones takes two; one that decides on a map takes some ten more.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(25);

/// Silent agents after which a request is sent without asking: where those of
/// two upstreams are, they were stopped rather than frozen with their instances.
const MAX_SILENT_AGENTS: u32 = 2;

/// What came of asking an agent.
enum Outcome {
    /// A slot is kept.
    Granted(Answer),
    /// None is free, or the upstream runs nothing.
    Denied(Answer),
    /// The agent didn't answer.
    Silent,
    /// There is no agent to be asked.
    Unasked,
}

/// Asks that wait for an answer.
pub struct Reservations {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, (IpAddr, oneshot::Sender<Answer>)>>,
}

/// An ask that waits; forgotten with the value.
struct Waiting<'a> {
    reservations: &'a Reservations,
    ticket: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.reservations.waiting.borrow_mut().remove(&self.ticket);
    }
}

impl Reservations {
    /// No ask yet. Tickets begin anywhere, so that an answer to an earlier process in
    /// this one's stead isn't taken for one to this.
    pub fn new() -> Self {
        Self {
            socket: RefCell::default(),
            next: Cell::new(rand::random()),
            waiting: RefCell::default(),
        }
    }

    /// Asks go by this socket from here on.
    pub fn open(&self, socket: Rc<UdpSocket>) {
        self.socket.replace(Some(socket));
    }

    /// Takes an answer in; one that nobody waits for, or that comes from elsewhere than
    /// from whom was asked, is dropped.
    pub fn answered(&self, from: IpAddr, answer: Answer) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let asked = waiting.get(&answer.ticket);
        if asked.is_none_or(|(agent, _)| *agent != from) {
            return false;
        }
        let sender = waiting.remove(&answer.ticket);
        sender.is_some_and(|(_, sender)| sender.send(answer).is_ok())
    }

    /// Asks the agent at an address for a slot.
    async fn ask(&self, agent: SocketAddr, slots: u32) -> Option<Answer> {
        let socket = self.socket.borrow().clone()?;
        let ticket = self.next.get().wrapping_add(1);
        self.next.set(ticket);
        let (sender, answer) = oneshot::channel();
        let asked = (agent.ip(), sender);
        self.waiting.borrow_mut().insert(ticket, asked);
        let _waiting = Waiting {
            reservations: self,
            ticket,
        };
        let message = Message::Ask(reservation::Ask { ticket, slots });
        // An ask that is lost is as good as an agent that is silent.
        let _ = socket.send_to(message.encode(), agent).await;
        monoio::time::timeout(RESERVATION_TIMEOUT, answer)
            .await
            .ok()?
            .ok()
    }
}

impl Gateway {
    /// Waits for a permit at an upstream, with the consent of the agent beside it where
    /// there is one.
    ///
    /// # Errors
    /// There is no room, nor will there be in time.
    pub async fn admit(
        &self,
        queue: &Rc<ServiceQueue>,
        ask: PlacementRequest,
    ) -> Result<Permit, Rejection> {
        let mut silent = 0;
        loop {
            let permit = queue.admit(ask.clone()).await?;
            match self.reserve(&permit).await {
                Outcome::Granted(answer) => {
                    permit.reserved();
                    self.record_status(&answer.status);
                    return Ok(permit);
                }
                Outcome::Denied(answer) => self.record_status(&answer.status),
                Outcome::Silent if silent + 1 < MAX_SILENT_AGENTS => {
                    silent += 1;
                    permit.unanswered();
                }
                Outcome::Silent | Outcome::Unasked => {
                    permit.reserved();
                    return Ok(permit);
                }
            }
        }
    }

    /// Has the agent beside an upstream keep a slot.
    async fn reserve(&self, permit: &Permit) -> Outcome {
        let replica = self.replica(&permit.upstream);
        let Some(replica) = replica.filter(|_| permit.asks()) else {
            return Outcome::Unasked;
        };
        let agent = self.agent(&replica);
        match self.reservations.ask(agent, replica.slots).await {
            Some(answer) if answer.granted => Outcome::Granted(answer),
            Some(answer) => Outcome::Denied(answer),
            None => {
                debug!(self.log, "Entry: An agent doesn't answer.";
                    "agent" => agent.to_string(), "upstream" => &*permit.upstream);
                Outcome::Silent
            }
        }
    }

    /// Where the agent beside an upstream is.
    fn agent(&self, replica: &Replica) -> SocketAddr {
        let port = self.settings.borrow().peer_port;
        SocketAddr::new(replica.address.ip(), port)
    }
}

#[cfg(test)]
mod tests;
