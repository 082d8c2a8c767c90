//! Connects the group's state machines with the other agents and the engine: delivers
//! their messages and orders, and passes on what is received.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::{Buf, Bytes};
use http::Request;
use http_body_util::{BodyExt, Limited};
use slog::{Logger, info, warn};

use verbenaspool_coordination::group::{
    engine::{Action, Event},
    lead,
    member::{Input, Member, Message, Output},
    rank,
};
use verbenaspool_policy::rebalancer::Rebalancer;
use verbenaspool_protocol::{
    engine::Order,
    group::{ENGINE_STATE_PATH, Envelope, METHOD, STATUS_METHOD, State, Status},
};
use verbenaspool_state::{
    expert_map::{Map, Shape},
    name::Name,
    service::Fences,
};
use verbenaspool_transport::{
    clock::Clock,
    http::{body::Body, client::Client},
    rpc::{self, Module},
};

use super::{lease, settings::Settings};
use crate::orders::Sender;

/// Interval at which the engine is read and the state machines get a tick. Each read costs
/// processor time on the instance, and a shorter interval gains little: half a window of
/// steps, some seconds, passes between grants.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long an order to the engine may be in flight. A new agent waits this long before its
/// first order to an engine that ignores fences.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);

/// Interval at which an unanswered message is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a message to another agent, and for reading the engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long all ranks may take to stage a map. They share the rate of the weight store.
const STAGING_TIMEOUT: Duration = Duration::from_mins(10);

/// Maximum size of an engine's state in bytes, enough for maps of 128 ranks, 256 experts
/// and about 60 layers.
const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;

/// Interval at which the lead considers a map change.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an agent's state machines in its group.
#[derive(Debug)]
pub(crate) struct Driver {
    firm: Name,
    settings: Settings,
    shape: Shape,
    log: Logger,
    clock: Rc<dyn Clock>,
    member: RefCell<Member>,
    rebalancer: RefCell<Rebalancer>,
    order_sender: Sender,
    client: Client,
    peers: rpc::Client,
    counters: Counters,
}

/// Counters of the group's map changes, shown to operators.
#[derive(Debug, Default)]
struct Counters {
    changes: Cell<u64>,
    aborts: Cell<u64>,
    diverged: Cell<u64>,
    moves: Cell<u64>,
    bytes_moved: Cell<u64>,
    samples_ignored: Cell<u64>,
    slowdown: Cell<f64>,
}

/// Adds to a counter.
fn add(count: &Cell<u64>, more: u64) {
    count.set(count.get() + more);
}

impl Driver {
    /// Creates a driver, which starts with [`run`](Self::run).
    pub(crate) fn new(
        firm: Name,
        settings: Settings,
        client: Client,
        log: Logger,
        clock: Rc<dyn Clock>,
    ) -> Rc<Self> {
        let shape = Shape::from(&settings.experts);
        let checks_fences = settings.fences == Fences::Checked;
        let rank = rank::Settings {
            seat: settings.seat,
            ranks: shape.ranks,
            incarnation: incarnation(),
            checks_fences,
            max_order_delay: if checks_fences {
                Duration::ZERO
            } else {
                MAX_ORDER_DELAY
            },
            resend_interval: RESEND_INTERVAL,
            progress_interval_steps: (settings.window / 8).max(1),
        };
        let lead = lead::Settings {
            seat: settings.seat,
            shape,
            window: settings.window,
            resend_interval: RESEND_INTERVAL,
            staging_timeout: STAGING_TIMEOUT,
        };
        let rebalancing = settings.experts.rebalancing.clone();
        let rebalancer = Rebalancer::new(rebalancing, shape, settings.experts.expert_bytes);
        Rc::new(Self {
            shape,
            log,
            member: RefCell::new(Member::new(rank, lead)),
            rebalancer: RefCell::new(rebalancer),
            order_sender: Sender::new(settings.engine, client.clone(), clock.clone()),
            client,
            peers: rpc::Client::default(),
            counters: Counters::default(),
            clock,
            firm,
            settings,
        })
    }

    /// Registers the group's control methods.
    pub(crate) fn register(self: &Rc<Self>, module: &mut Module) {
        let driver = self.clone();
        module.register(METHOD, move |envelope: Envelope| {
            let received = driver.receive(envelope);
            async move { received }
        });
        let driver = self.clone();
        module.register(STATUS_METHOD, move |(): ()| {
            let status = driver.status();
            async move { Ok::<_, String>(status) }
        });
    }

    /// Runs for as long as the event loop runs.
    pub(crate) async fn run(self: Rc<Self>) {
        let (rank, driver) = (self.clone(), self.clone());
        monoio::spawn(lease::run(
            self.firm.clone(),
            self.settings.clone(),
            self.log.clone(),
            self.clock.clone(),
            move || rank.member.borrow().rank().fence(),
            move |change| match change {
                lease::Change::Acquired(fence) => {
                    driver.handle_input(Input::LeaseAcquired { fence });
                }
                lease::Change::Lost => driver.handle_input(Input::LeaseLost),
            },
        ));
        let mut last_decision = Duration::ZERO;
        loop {
            if let Ok(state) = self.read_state().await {
                self.observe_samples(&state);
                self.handle_input(Input::Engine(Event::State(state.snapshot)));
                for event in state.events {
                    self.handle_input(Input::Engine(event));
                }
            }
            self.handle_input(Input::Tick);
            let now = self.clock.now();
            if now >= last_decision + DECISION_INTERVAL {
                last_decision = now;
                self.propose_change(now);
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Handles a message from another agent.
    fn receive(self: &Rc<Self>, envelope: Envelope) -> Result<(), String> {
        let own = &self.settings;
        let addressee = (&envelope.firm, &envelope.group, envelope.to);
        if addressee != (&self.firm, &own.name, own.seat) {
            return Err("the message is for another agent".to_owned());
        }
        self.handle_input(Input::Message(envelope.message));
        Ok(())
    }

    /// Passes an input to the state machines and applies their outputs.
    fn handle_input(self: &Rc<Self>, input: Input) {
        let now = self.clock.now();
        let outputs = self.member.borrow_mut().handle(now, input);
        self.apply_outputs(outputs);
    }

    /// Applies the outputs of the state machines.
    fn apply_outputs(self: &Rc<Self>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } if to == self.settings.seat => {
                    self.handle_input(Input::Message(message));
                }
                Output::Send { to, message } => self.send(to, message),
                Output::Engine { fence, action } => {
                    monoio::spawn(self.clone().order(fence, action));
                }
                Output::Notice(notice) => self.record_notice(&notice),
            }
        }
    }

    /// Sends a message to another agent, without retry.
    fn send(self: &Rc<Self>, to: u16, message: Message) {
        let Some(&address) = self.settings.members.get(usize::from(to)) else {
            return;
        };
        let envelope = Envelope {
            firm: self.firm.clone(),
            group: self.settings.name.clone(),
            to,
            message,
        };
        monoio::spawn(deliver(self.clone(), address, envelope));
    }

    /// Sends an order to the engine and handles the answer to a read order.
    async fn order(self: Rc<Self>, fence: u64, action: Action) {
        let is_read = matches!(action, Action::Read { .. });
        let action = serde_json::to_value(&action).expect("an action has only plain keys");
        let order = Order { fence, action };
        let deadline = self.clock.now() + MAX_ORDER_DELAY;
        match self.order_sender.send(&order, deadline).await {
            Ok(answer) if is_read => {
                if let Ok(snapshot) = serde_json::from_slice(&answer) {
                    self.handle_input(Input::Engine(Event::State(snapshot)));
                }
            }
            Ok(_) => {}
            // The state machine reads the engine's state and repeats the order.
            Err(reason) => {
                warn!(self.log, "engine order failed"; "reason" => reason.to_string());
            }
        }
    }

    /// Reads the state and the events of the engine.
    async fn read_state(&self) -> Result<State, String> {
        let request = Request::get(ENGINE_STATE_PATH)
            .header(http::header::HOST, self.settings.engine.to_string())
            .body(Body::empty())
            .map_err(|error| error.to_string())?;
        let answer = async {
            let response = self.client.send(self.settings.engine, request).await;
            let response = response.map_err(|error| error.to_string())?;
            let body = Limited::new(response.into_body(), MAX_STATE_BYTES)
                .collect()
                .await;
            body.map_err(|error| error.to_string())
        };
        let answer = monoio::time::timeout(CALL_TIMEOUT, answer).await;
        let body = answer.map_err(|error| error.to_string())??;
        let bytes: Bytes = body.to_bytes();
        serde_json::from_reader(bytes.reader()).map_err(|error| error.to_string())
    }

    /// Passes the engine's token samples to the rebalancer.
    fn observe_samples(&self, state: &State) {
        let mut rebalancer = self.rebalancer.borrow_mut();
        for sample in &state.samples {
            if let Err(reason) = rebalancer.observe(sample) {
                add(&self.counters.samples_ignored, 1);
                info!(self.log, "token sample ignored"; "reason" => reason.to_string());
            }
        }
    }

    /// Proposes a map change to the lead if its benefit exceeds its cost.
    fn propose_change(self: &Rc<Self>, now: Duration) {
        let (layers, rate) = {
            let member = self.member.borrow();
            let Some(lead) = member.lead() else {
                return;
            };
            if !lead.is_granting() || lead.pending_epoch().is_some() {
                return;
            }
            match (lead.epoch(), lead.map()) {
                (None, _) => (Map::spread(1, self.shape).layers, u64::MAX),
                (Some(_), Some(map)) => {
                    let Some(plan) = self.rebalancer.borrow_mut().decide(now, map) else {
                        return;
                    };
                    info!(self.log, "map change planned";
                        "moves" => plan.moves, "bytes" => plan.bytes,
                        "skew_before" => plan.skew_before, "skew_after" => plan.skew_after);
                    add(&self.counters.moves, u64::from(plan.moves));
                    add(&self.counters.bytes_moved, plan.bytes);
                    self.counters.slowdown.set(plan.slowdown);
                    (plan.layers, plan.bytes_per_second)
                }
                (Some(_), None) => return,
            }
        };
        let proposed = self.member.borrow_mut().propose(now, layers, rate);
        match proposed {
            Ok((_, outputs)) => self.apply_outputs(outputs),
            Err(reason) => {
                info!(self.log, "map change rejected"; "reason" => reason.to_string());
            }
        }
    }

    /// Counts and logs an event for operators.
    fn record_notice(&self, notice: &lead::Output) {
        match notice {
            lead::Output::Switched { epoch, step } => {
                add(&self.counters.changes, 1);
                info!(self.log, "map change scheduled"; "epoch" => epoch, "step" => step);
            }
            lead::Output::Aborted { epoch, reason } => {
                add(&self.counters.aborts, 1);
                warn!(self.log, "map change abandoned";
                    "epoch" => epoch, "reason" => reason.to_string());
            }
            lead::Output::Diverged { seat, step, ran } => {
                add(&self.counters.diverged, 1);
                warn!(self.log, "rank has a step on a map that was not granted";
                    "seat" => seat, "step" => step, "ran" => ran);
            }
            lead::Output::Deposed { fence } => {
                info!(self.log, "another agent became the lead"; "fence" => fence);
            }
            lead::Output::Send { .. } => {}
        }
    }

    /// The status of the group, as far as the agent knows it.
    pub(crate) fn status(&self) -> Status {
        let member = self.member.borrow();
        let rank = member.rank();
        let map = rank.running().and_then(|epoch| rank.map(epoch));
        Status {
            group: self.settings.name.clone(),
            seat: self.settings.seat,
            leads: member.lead().is_some_and(lead::Lead::is_granting),
            ready: rank.is_ready(),
            fence: rank.fence(),
            step: rank.done(),
            epoch: rank.running(),
            changing: member.lead().and_then(lead::Lead::pending_epoch),
            skew: map.and_then(|map| self.rebalancer.borrow().skew(map)),
            changes: self.counters.changes.get(),
            aborts: self.counters.aborts.get(),
            diverged: self.counters.diverged.get(),
            moves: self.counters.moves.get(),
            bytes_moved: self.counters.bytes_moved.get(),
            samples_ignored: self.counters.samples_ignored.get(),
            slowdown: self.counters.slowdown.get(),
        }
    }
}

/// Delivers a message, or drops it if the call fails: its sender sends it again.
async fn deliver(driver: Rc<Driver>, address: SocketAddr, envelope: Envelope) {
    let called = driver
        .peers
        .call::<_, ()>(address, METHOD, &envelope, CALL_TIMEOUT);
    let _ = called.await;
}

/// A number that increases with each start of this agent: the wall clock's time in
/// milliseconds. If the clock is set back between two starts, the lead takes the new start
/// for an old one and the group waits until the clock has caught up. Ranks still never run
/// a step on different maps.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(1, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}
