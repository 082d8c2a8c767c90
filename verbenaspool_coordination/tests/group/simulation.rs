//! Simulates the agents of a group, their messages and their engines in virtual
//! time.

use std::time::Duration;

use verbenaspool_coordination::group::{
    engine::{Action, Event},
    lead,
    member::{Input, Member, Message, Output},
    message::{Command, Report, ReportBody, Request},
    rank,
};
use verbenaspool_standin::{
    history::steps,
    ranks::{self, Group},
    weights::Store,
};
use verbenaspool_state::expert_map::{Map, Shape};

/// The layout of the simulated group.
pub const SHAPE: Shape = Shape {
    ranks: 3,
    experts: 6,
    layers: 1,
    slots: 3,
};
/// The resolution of virtual time.
const TICK: Duration = Duration::from_millis(10);
/// How long an order may be in flight to an engine, except for injected ones.
pub const MAX_ORDER_DELAY: Duration = Duration::from_millis(500);
/// How long the ranks may take to stage a map.
pub const STAGING_TIMEOUT: Duration = Duration::from_secs(5);

/// How a message or order is delivered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Delivery {
    Normal,
    Drop,
    Delay(Duration),
    Duplicate(Duration),
}

/// A message or order in flight.
#[derive(Debug, Clone)]
enum Payload {
    Message(Message),
    Order(u64, Action),
}

/// Decides how each message is delivered, from sender, receiver and content.
type MessageFaults = Box<dyn FnMut(u16, u16, &Message) -> Delivery>;
/// Decides how each order to an engine is delivered, from seat, fence and content.
type OrderFaults = Box<dyn FnMut(u16, u64, &Action) -> Delivery>;

/// A simulated group with its agents, engines and network.
pub struct Simulation {
    pub now: Duration,
    pub group: Group,
    pub message_faults: MessageFaults,
    pub order_faults: OrderFaults,
    pub notices: Vec<lead::Output>,
    members: Vec<Member>,
    incarnations: Vec<u64>,
    paused_until: Vec<Duration>,
    inbox: Vec<Vec<Message>>,
    in_flight: Vec<(Duration, u16, Payload)>,
    fence: u64,
    checked: bool,
}

impl Simulation {
    pub fn new(checked: bool) -> Self {
        let settings = ranks::Settings {
            ranks: SHAPE.ranks,
            step_time: Duration::from_millis(20),
            checks_fences: checked,
            expert_bytes: 1_000,
        };
        let mut simulation = Self {
            now: Duration::ZERO,
            group: Group::new(settings, Store::new(100_000)),
            message_faults: Box::new(|_, _, _| Delivery::Normal),
            order_faults: Box::new(|_, _, _| Delivery::Normal),
            notices: Vec::new(),
            members: Vec::new(),
            incarnations: vec![0; usize::from(SHAPE.ranks)],
            paused_until: vec![Duration::ZERO; usize::from(SHAPE.ranks)],
            inbox: vec![Vec::new(); usize::from(SHAPE.ranks)],
            in_flight: Vec::new(),
            fence: 0,
            checked,
        };
        for seat in 0..SHAPE.ranks {
            let member = simulation.new_member(seat);
            simulation.members.push(member);
        }
        simulation
    }

    /// Creates a group that runs on its first map, with seat 0 as the lead.
    pub fn running(checked: bool) -> Self {
        let mut simulation = Self::new(checked);
        simulation.run_ms(2_000);
        simulation.grant_lease(0);
        simulation.run_ms(500);
        simulation.propose_map(0, 0);
        simulation.run_ms(2_000);
        assert!(
            simulation.group.history().len() > 50,
            "the group has stopped"
        );
        simulation
    }

    /// Creates the agent at a seat with its next incarnation.
    fn new_member(&mut self, seat: u16) -> Member {
        let incarnation = &mut self.incarnations[usize::from(seat)];
        *incarnation += 1;
        let rank = rank::Settings {
            seat,
            ranks: SHAPE.ranks,
            incarnation: *incarnation,
            checks_fences: self.checked,
            max_order_delay: if self.checked {
                Duration::ZERO
            } else {
                MAX_ORDER_DELAY
            },
            resend_interval: Duration::from_millis(100),
            progress_interval_steps: 8,
        };
        let lead = lead::Settings {
            seat,
            shape: SHAPE,
            window: 100,
            resend_interval: Duration::from_millis(100),
            staging_timeout: STAGING_TIMEOUT,
        };
        Member::new(rank, lead)
    }

    /// Crashes and restarts the agent at a seat.
    pub fn restart_agent(&mut self, seat: u16) {
        let member = self.new_member(seat);
        self.members[usize::from(seat)] = member;
        self.inbox[usize::from(seat)].clear();
    }

    /// Pauses the agent at a seat.
    pub fn pause_agent(&mut self, seat: u16, millis: u64) {
        self.paused_until[usize::from(seat)] = self.now + Duration::from_millis(millis);
    }

    /// Grants the lease to the agent at a seat, with the next fence.
    pub fn grant_lease(&mut self, seat: u16) {
        self.fence += 1;
        let fence = self.fence;
        self.input(seat, Input::LeaseAcquired { fence });
    }

    /// Takes the lease from the agent at a seat, as the store came back from a copy without it.
    pub fn lose_lease(&mut self, seat: u16) {
        self.input(seat, Input::LeaseLost);
    }

    /// Proposes a map that differs with `turn`. Returns whether it was accepted.
    pub fn propose_map(&mut self, seat: u16, turn: u16) -> bool {
        let mut map = Map::spread(1, SHAPE);
        map.layers[0].ranks.rotate_left(usize::from(turn));
        let member = &mut self.members[usize::from(seat)];
        match member.propose(self.now, map.layers, u64::MAX) {
            Ok((_, outputs)) => {
                self.dispatch(seat, outputs);
                true
            }
            Err(_) => false,
        }
    }

    pub fn member(&self, seat: u16) -> &Member {
        &self.members[usize::from(seat)]
    }

    /// Advances the simulation by this many milliseconds.
    pub fn run_ms(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += TICK;
            self.group.advance(self.now);
            self.deliver();
            for seat in 0..SHAPE.ranks {
                self.run_agent(seat);
            }
        }
    }

    /// Runs until the condition holds, for at most this many milliseconds. Returns
    /// whether it holds.
    pub fn run_until(&mut self, millis: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end && !condition(self) {
            self.run_ms(10);
        }
        condition(self)
    }

    /// Checks that no step ran on two maps, and returns the number of steps.
    pub fn check_history(&self) -> Result<usize, steps::Violation> {
        steps::check(self.group.history())
    }

    /// Passes an order to an engine directly, as a late order of a replaced agent.
    pub fn inject_order(&mut self, seat: u16, fence: u64, action: Action) {
        self.group.order(self.now, seat, fence, action);
    }

    /// Delivers the messages and orders that are due.
    fn deliver(&mut self) {
        let now = self.now;
        let due = self
            .in_flight
            .extract_if(.., |in_flight| in_flight.0 <= now);
        let due: Vec<_> = due.collect();
        for (_, to, payload) in due {
            match payload {
                Payload::Message(message) => self.inbox[usize::from(to)].push(message),
                Payload::Order(fence, action) => drop(self.group.order(now, to, fence, action)),
            }
        }
    }

    /// Runs the agent at a seat, unless it is paused.
    fn run_agent(&mut self, seat: u16) {
        if self.paused_until[usize::from(seat)] > self.now {
            return;
        }
        for message in std::mem::take(&mut self.inbox[usize::from(seat)]) {
            self.input(seat, Input::Message(message));
        }
        let state = self.group.state(seat, 0);
        self.input(seat, Input::Engine(Event::State(state)));
        for event in self.group.events(seat) {
            self.input(seat, Input::Engine(event));
        }
        self.input(seat, Input::Tick);
    }

    fn input(&mut self, seat: u16, input: Input) {
        let outputs = self.members[usize::from(seat)].handle(self.now, input);
        self.dispatch(seat, outputs);
    }

    /// Executes the outputs of an agent.
    fn dispatch(&mut self, seat: u16, outputs: Vec<Output>) {
        for output in outputs {
            let (delivery, to, payload) = match output {
                Output::Notice(notice) => {
                    self.notices.push(notice);
                    continue;
                }
                Output::Send { to, message } => {
                    let delivery = (self.message_faults)(seat, to, &message);
                    (delivery, to, Payload::Message(message))
                }
                Output::Engine { fence, action } => {
                    let delivery = (self.order_faults)(seat, fence, &action);
                    (delivery, seat, Payload::Order(fence, action))
                }
            };
            let (first, second) = match delivery {
                Delivery::Normal => (Some(TICK), None),
                Delivery::Drop => (None, None),
                Delivery::Delay(delay) => (Some(delay), None),
                Delivery::Duplicate(delay) => (Some(TICK), Some(delay)),
            };
            for delay in [first, second].into_iter().flatten() {
                self.in_flight.push((self.now + delay, to, payload.clone()));
            }
        }
    }
}

/// Returns whether the message grants steps on an epoch above `above`.
pub fn grants_epoch_above(message: &Message, above: u64) -> bool {
    let Message::Command(Command {
        request: Request::Grant { spans, .. },
        ..
    }) = message
    else {
        return false;
    };
    spans.iter().any(|span| span.epoch > above)
}

/// Returns whether the message reports a staged map.
pub fn is_staged_report(message: &Message) -> bool {
    matches!(
        message,
        Message::Report(Report {
            body: ReportBody::Staged { .. },
            ..
        })
    )
}
