//! Executes orders to the engine on behalf of the fleet's controller, and determines
//! their outcomes.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use http::Request;
use http_body_util::{BodyExt, Limited};
use slog::{Logger, info};

use verbenaspool_coordination::group::order::{Effect, Order, OrderTracker, Outcome, State};
use verbenaspool_protocol::{
    engine,
    order::{METHOD, STATE_PATH},
};
use verbenaspool_transport::{
    clock::Clock,
    http::{body::Body, client::Client},
    rpc::Module,
};

use crate::orders;

/// Interval at which the engine's state is read until it satisfies an order: loading a
/// model takes seconds.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// How long a call waits for an order's outcome. If the engine can't be read for longer,
/// the outcome stays open and the caller has to repeat the order.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of the engine's state in bytes.
const MAX_STATE_BYTES: usize = 64 * 1024;

/// Error of a call whose order has no outcome yet.
const ORDER_PENDING: &str = "the order is under way; say it again";

/// Executes orders to one engine.
#[derive(Debug)]
pub(crate) struct Executor {
    tracker: RefCell<OrderTracker>,
    sender: Rc<orders::Sender>,
    client: Client,
    engine: SocketAddr,
    clock: Rc<dyn Clock>,
    log: Logger,
}

impl Executor {
    /// Creates the executor of an agent that starts now.
    pub(crate) fn new(
        engine: SocketAddr,
        sender: Rc<orders::Sender>,
        client: Client,
        clock: Rc<dyn Clock>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            tracker: RefCell::new(OrderTracker::new(clock.now())),
            sender,
            client,
            engine,
            clock,
            log,
        })
    }

    /// Registers the control method.
    pub(crate) fn register(self: &Rc<Self>, module: &mut Module) {
        let executor = self.clone();
        module.register(METHOD, move |order: Order| {
            let executor = executor.clone();
            async move { executor.execute(order).await }
        });
    }

    /// Executes an order and returns its outcome.
    async fn execute(&self, order: Order) -> Result<Outcome, String> {
        let now = self.clock.now();
        let effect = self.tracker.borrow_mut().submit(now, &order);
        let mut effect = match effect {
            Effect::Send { order, until } => self.send(order, until).await,
            // The order was repeated while pending: its outcome may be readable.
            Effect::Wait => Effect::Read,
            effect => effect,
        };
        while self.clock.now() < now + OUTCOME_TIMEOUT {
            effect = match effect {
                Effect::Answer(outcome) => {
                    info!(self.log, "order completed"; "order" => order.id, "fence" => order.fence,
                        "outcome" => format!("{outcome:?}"));
                    return Ok(outcome);
                }
                Effect::Read => self.read_state().await,
                Effect::Send { .. } | Effect::Wait => break,
            };
        }
        Err(ORDER_PENDING.to_owned())
    }

    /// Sends an order to the engine.
    async fn send(&self, order: Order, until: Duration) -> Effect {
        let action = serde_json::to_value(&order.action).expect("an action has only plain keys");
        let fence = order.fence;
        let sent = self
            .sender
            .send(&engine::Order { fence, action }, until)
            .await;
        let mut tracker = self.tracker.borrow_mut();
        match sent {
            Ok(_) => tracker.engine_answered(self.clock.now(), Ok(())),
            Err(orders::Error::Rejected(reason)) => {
                tracker.engine_answered(self.clock.now(), Err(reason))
            }
            Err(_) => tracker.answer_lost(),
        }
    }

    /// Reads the engine's state and passes it to the tracker. If it can't be read, the read
    /// is repeated.
    async fn read_state(&self) -> Effect {
        let now = self.clock.now();
        let effect = match self.engine_state().await {
            Ok(state) => self.tracker.borrow_mut().state_read(now, &state),
            Err(_) => Effect::Read,
        };
        if effect == Effect::Read {
            self.clock.sleep(READ_INTERVAL).await;
        }
        effect
    }

    /// Requests the state of the engine.
    async fn engine_state(&self) -> Result<State, String> {
        let request = Request::get(STATE_PATH)
            .header(http::header::HOST, self.engine.to_string())
            .body(Body::empty())
            .map_err(|error| error.to_string())?;
        let response = self.client.send(self.engine, request).await;
        let response = response.map_err(|error| error.to_string())?;
        let body = Limited::new(response.into_body(), MAX_STATE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }
}
