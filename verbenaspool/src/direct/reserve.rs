//! Reservation of slots with the agents of upstreams.
//!
//! Tens of entries place requests on hundreds of upstreams, and each knows the load of the
//! others only from reports. Before an entry sends a request, it reserves a slot with the
//! upstream's agent, so that no two entries use the same one. If no slot is free, the agent
//! denies the reservation within a millisecond or two, and no stream has to queue at a full
//! upstream. If an agent doesn't answer, its instance may be frozen, and another upstream is
//! tried. If that one's agent doesn't answer either, the request is sent without a reservation.

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
    rate_limit::RateLimit,
    reservation::{self, Answer, WarmUp},
};
use verbenaspool_state::replica::Replica;

use super::{
    gateway::Gateway,
    queue::{Permit, ServiceQueue},
};

/// Timeout of a reservation. An agent answers within 1 ms, the round trip between zones takes
/// 2 ms, and an agent that is computing an expert map takes about 10 ms longer.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(25);

/// Number of unanswered reservations after which a request is sent without one. If two agents
/// don't answer, they were probably stopped, rather than frozen with their instances.
const MAX_UNRESPONSIVE_AGENTS: u32 = 2;

/// The result of a reservation.
enum Outcome {
    /// The agent keeps a slot for the request.
    Granted(Answer),
    /// No slot is free, or the upstream's group isn't running.
    Denied(Answer),
    /// The agent didn't answer.
    NoAnswer,
    /// The upstream has no agent that has to be asked.
    NotRequired,
}

/// The limits of an upstream, as known to this entry.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub warm_up: Option<WarmUp>,
    pub rate_limit: Option<RateLimit>,
}

impl Limits {
    /// Whether the upstream takes few requests.
    fn apply(&self) -> bool {
        let named = self
            .rate_limit
            .is_some_and(|limit| limit.per_second.is_some());
        self.warm_up.is_some() || named
    }
}

/// Reservations waiting for an answer.
pub struct Reservations {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    last_ticket: Cell<u64>,
    /// The agent and the receiver of its answer, by ticket.
    pending: RefCell<HashMap<u64, (IpAddr, oneshot::Sender<Answer>)>>,
}

/// A reservation waiting for an answer; dropping it removes it from the list.
struct PendingReservation<'a> {
    reservations: &'a Reservations,
    ticket: u64,
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        self.reservations.pending.borrow_mut().remove(&self.ticket);
    }
}

impl Reservations {
    /// Creates an empty list. The first ticket is random, so that answers to an earlier process
    /// with the same address aren't mistaken for answers to this one.
    pub fn new() -> Self {
        Self {
            socket: RefCell::default(),
            last_ticket: Cell::new(rand::random()),
            pending: RefCell::default(),
        }
    }

    /// Sets the socket that reservations are sent from.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.socket.replace(Some(socket));
    }

    /// Handles an answer. Returns whether it was accepted: answers with an unknown ticket or
    /// from another address than the request was sent to are ignored.
    pub fn handle_answer(&self, from: IpAddr, answer: Answer) -> bool {
        let mut pending = self.pending.borrow_mut();
        let request = pending.get(&answer.ticket);
        if request.is_none_or(|(agent, _)| *agent != from) {
            return false;
        }
        let sender = pending.remove(&answer.ticket);
        sender.is_some_and(|(_, sender)| sender.send(answer).is_ok())
    }

    /// Requests a slot from an agent; returns nothing if it doesn't answer in time.
    async fn request(&self, agent: SocketAddr, slots: u32, limits: Limits) -> Option<Answer> {
        let socket = self.socket.borrow().clone()?;
        let ticket = self.last_ticket.get().wrapping_add(1);
        self.last_ticket.set(ticket);
        let (sender, answer) = oneshot::channel();
        let request = (agent.ip(), sender);
        self.pending.borrow_mut().insert(ticket, request);
        let _pending = PendingReservation {
            reservations: self,
            ticket,
        };
        let message = Message::ReservationRequest(reservation::Request {
            ticket,
            slots,
            warm_up: limits.warm_up,
            rate_limit: limits.rate_limit,
        });
        // A send error is handled like a missing answer, by the timeout.
        let _ = socket.send_to(message.encode(), agent).await;
        monoio::time::timeout(RESERVATION_TIMEOUT, answer)
            .await
            .ok()?
            .ok()
    }
}

impl Gateway {
    /// Waits for a permit at an upstream and reserves a slot with its agent, if it has one.
    ///
    /// # Errors
    /// No upstream will have capacity in time.
    pub async fn admit(
        &self,
        queue: &Rc<ServiceQueue>,
        request: PlacementRequest,
    ) -> Result<Permit, Rejection> {
        let mut unanswered = 0;
        loop {
            let permit = queue.admit(request.clone()).await?;
            let outcome = self.reserve(&permit).await;
            // Its rejection of another request may have arrived while the agent was asked.
            if permit.is_backing_off() {
                continue;
            }
            match outcome {
                Outcome::Granted(answer) => {
                    permit.finish_reservation();
                    permit.record_agent_answer(&answer);
                    self.record_status(&answer.status);
                    return Ok(permit);
                }
                Outcome::Denied(answer) => {
                    permit.record_agent_answer(&answer);
                    self.record_status(&answer.status);
                }
                // A limited upstream gets only requests that its agent or this entry counts.
                Outcome::NoAnswer
                    if unanswered + 1 < MAX_UNRESPONSIVE_AGENTS || permit.limits().apply() =>
                {
                    unanswered += 1;
                    permit.record_agent_timeout();
                }
                Outcome::NoAnswer | Outcome::NotRequired => {
                    permit.finish_reservation();
                    return Ok(permit);
                }
            }
        }
    }

    /// Reserves a slot with the agent of an upstream.
    async fn reserve(&self, permit: &Permit) -> Outcome {
        let replica = self.replica(&permit.upstream);
        let Some(replica) = replica.filter(|_| permit.needs_reservation()) else {
            return Outcome::NotRequired;
        };
        let agent = self.agent_address(&replica);
        match self
            .reservations
            .request(agent, replica.slots, permit.limits())
            .await
        {
            Some(answer) if answer.granted => Outcome::Granted(answer),
            Some(answer) => Outcome::Denied(answer),
            None => {
                debug!(self.log, "agent does not answer";
                    "agent" => agent.to_string(), "upstream" => &*permit.upstream);
                Outcome::NoAnswer
            }
        }
    }

    /// The address of an upstream's agent.
    fn agent_address(&self, replica: &Replica) -> SocketAddr {
        let port = self.settings.borrow().peer_port;
        SocketAddr::new(replica.address.ip(), port)
    }
}

#[cfg(test)]
mod tests;
