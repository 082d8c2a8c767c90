//! Orders to an engine: load a model or an adapter in some version, or change
//! the engine's role. The agent admits one order at a time and tracks it until
//! its outcome is known.
//!
//! Failures guarded against:
//! - An order is sent again because its answer was lost: outcomes are kept by
//!   order ID, so the order is executed once.
//! - An order arrives after its sender was replaced: a fence lower than the
//!   highest one seen is rejected, even if the engine itself ignores fences.
//! - An order is delayed on its way to the engine: it carries its validity, and
//!   isn't sent to the engine after that.
//! - The engine's answer is lost: the outcome is read from the engine's state,
//!   and no other order is sent before it is known.
//! - This agent restarts and has lost fence and IDs, while an order of its
//!   predecessor may still be in flight to the engine: no order is admitted for
//!   the longest validity that an order can have.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_state::name::Name;

/// The maximum validity of an order, and therefore how long a new agent rejects
/// orders.
pub const MAX_ORDER_VALIDITY: Duration = Duration::from_secs(10);

/// How long after an order has expired it may still take effect. The agent closes
/// the connection at expiry, but bytes sent before may still be unread at the
/// engine, which runs on the same instance.
const LATE_EFFECT_GRACE: Duration = Duration::from_secs(2);

/// How long the outcome of an order is kept. A sender that got no answer retries
/// within seconds.
const OUTCOME_RETENTION: Duration = Duration::from_mins(10);

/// What an order asks for. Each action names the target state rather than a
/// transition, so that the engine's state shows whether it was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Serve this version of a model.
    Model {
        /// The model.
        model: Name,
        /// Its version.
        version: String,
    },
    /// Load this adapter.
    Adapter {
        /// The adapter.
        adapter: Name,
        /// Its version.
        version: String,
    },
    /// Switch to this role.
    Role(Role),
}

/// Which phases of inference an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompt processing.
    Prefill,
    /// Token generation.
    Decode,
    /// Both phases.
    Both,
}

/// An order, unchanged when its sender retries it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The order's unique ID: the sender's name, its start and a counter.
    pub id: String,
    /// The sender's fence.
    pub fence: u64,
    /// How long the order is valid after its arrival, in milliseconds; at most
    /// [`MAX_ORDER_VALIDITY`].
    #[serde(rename = "good_ms")]
    pub valid_ms: u64,
    /// The target state.
    pub action: Action,
}

/// The part of an engine's state that orders change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The model and its version.
    pub model: Option<(Name, String)>,
    /// The adapters and their versions.
    pub adapters: BTreeMap<Name, String>,
    /// The role.
    pub role: Option<Role>,
}

impl State {
    /// Returns whether the engine has reached the target state of an order.
    ///
    /// ```
    /// use verbenaspool_coordination::group::order::{Action, Role, State};
    ///
    /// let state = State { role: Some(Role::Decode), ..State::default() };
    /// assert!(state.satisfies(&Action::Role(Role::Decode)));
    /// assert!(!state.satisfies(&Action::Role(Role::Both)));
    /// ```
    #[must_use]
    pub fn satisfies(&self, action: &Action) -> bool {
        match action {
            Action::Model { model, version } => {
                let current = self.model.as_ref().map(|(model, version)| (model, version));
                current == Some((model, version))
            }
            Action::Adapter { adapter, version } => self.adapters.get(adapter) == Some(version),
            Action::Role(role) => self.role == Some(*role),
        }
    }
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The engine has reached the target state.
    Done,
    /// The engine rejected the order.
    Refused(String),
    /// The order wasn't sent to the engine, or had no effect in time.
    NotRun(Reason),
}

/// Why an order wasn't executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A higher fence was seen.
    #[error("fence {fence} was seen")]
    Fence {
        /// The higher fence.
        fence: u64,
    },
    /// Another order is pending.
    #[error("another order is pending")]
    Busy,
    /// The agent has just started. The order can be retried after the wait.
    #[error("the agent has just started; retry in {wait_ms} ms")]
    Starting {
        /// The wait in milliseconds.
        wait_ms: u64,
    },
    /// The order's validity is zero or above the maximum.
    #[error("an order's validity must be 1 to {} ms", MAX_ORDER_VALIDITY.as_millis())]
    Deadline,
    /// The order expired before the engine was seen to reach the target state.
    #[error("the order expired")]
    Late,
}

/// What the agent has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Answer the sender.
    Answer(Outcome),
    /// Send the order to the engine before the deadline.
    Send {
        /// The order.
        order: Order,
        /// The deadline.
        until: Duration,
    },
    /// Read the engine's state.
    Read,
    /// Nothing; the order is pending already, or no order is.
    Wait,
}

/// An order whose outcome isn't known yet.
#[derive(Debug)]
struct PendingOrder {
    order: Order,
    until: Duration,
}

/// Admits orders to one engine and tracks their outcomes.
#[derive(Debug)]
pub struct OrderTracker {
    /// When the first order may be admitted.
    ready_at: Duration,
    /// The highest fence seen.
    fence: u64,
    /// The order whose outcome isn't known yet.
    pending: Option<PendingOrder>,
    /// Outcomes by order ID, and when each is discarded.
    outcomes: BTreeMap<String, (Outcome, Duration)>,
}

impl OrderTracker {
    /// Creates the tracker of an agent that starts at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::group::order::{Action, OrderTracker, MAX_ORDER_VALIDITY, Order, Outcome, Role, Effect};
    ///
    /// let mut tracker = OrderTracker::new(Duration::ZERO);
    /// let action = Action::Role(Role::Decode);
    /// let order = Order { id: "lead.1.1".into(), fence: 3, valid_ms: 500, action };
    /// // A late order of the previous agent may still reach the engine.
    /// assert!(matches!(tracker.submit(Duration::ZERO, &order), Effect::Answer(Outcome::NotRun(_))));
    /// assert!(matches!(tracker.submit(MAX_ORDER_VALIDITY, &order), Effect::Send { .. }));
    /// assert_eq!(tracker.engine_answered(MAX_ORDER_VALIDITY, Ok(())), Effect::Answer(Outcome::Done));
    /// // A retry gets the recorded outcome.
    /// assert_eq!(tracker.submit(MAX_ORDER_VALIDITY, &order), Effect::Answer(Outcome::Done));
    /// ```
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            ready_at: now + MAX_ORDER_VALIDITY,
            fence: 0,
            pending: None,
            outcomes: BTreeMap::new(),
        }
    }

    /// Handles an order from a sender.
    pub fn submit(&mut self, now: Duration, order: &Order) -> Effect {
        self.outcomes.retain(|_, (_, until)| *until > now);
        if let Some((outcome, _)) = self.outcomes.get(&order.id) {
            return Effect::Answer(outcome.clone());
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.order.id == order.id)
        {
            return Effect::Wait;
        }
        match self.check(now, order) {
            Ok(until) => {
                self.fence = order.fence;
                let order = order.clone();
                self.pending = Some(PendingOrder {
                    order: order.clone(),
                    until,
                });
                Effect::Send { order, until }
            }
            // This outcome isn't kept, so a later retry may be admitted.
            Err(reason) => Effect::Answer(Outcome::NotRun(reason)),
        }
    }

    /// Returns the deadline of an order, or why it can't be admitted.
    fn check(&self, now: Duration, order: &Order) -> Result<Duration, Reason> {
        if order.fence < self.fence {
            return Err(Reason::Fence { fence: self.fence });
        }
        let validity = Duration::from_millis(order.valid_ms);
        if validity.is_zero() || validity > MAX_ORDER_VALIDITY {
            return Err(Reason::Deadline);
        }
        if now < self.ready_at {
            let wait = self.ready_at.saturating_sub(now).as_millis();
            let wait_ms = u64::try_from(wait).unwrap_or(u64::MAX);
            return Err(Reason::Starting { wait_ms });
        }
        if self.pending.is_some() {
            return Err(Reason::Busy);
        }
        Ok(now + validity)
    }

    /// Handles the engine's answer to the pending order: success, or the error with
    /// which the engine rejected it.
    pub fn engine_answered(&mut self, now: Duration, answer: Result<(), String>) -> Effect {
        let outcome = answer.map_or_else(Outcome::Refused, |()| Outcome::Done);
        self.finish(now, outcome)
    }

    /// Handles a lost answer or the expiry of the pending order: its outcome has to
    /// be read from the engine's state.
    #[must_use]
    pub fn answer_lost(&self) -> Effect {
        self.pending.as_ref().map_or(Effect::Wait, |_| Effect::Read)
    }

    /// Handles the engine's state, which was read at `now` or later.
    ///
    /// Until the order has expired and [`LATE_EFFECT_GRACE`] is over, the engine may
    /// still execute it, so a state that differs from the target is inconclusive.
    pub fn state_read(&mut self, now: Duration, state: &State) -> Effect {
        let Some(pending) = &self.pending else {
            return Effect::Wait;
        };
        if state.satisfies(&pending.order.action) {
            return self.finish(now, Outcome::Done);
        }
        if now < pending.until + LATE_EFFECT_GRACE {
            return Effect::Read;
        }
        self.finish(now, Outcome::NotRun(Reason::Late))
    }

    /// Records the outcome of the pending order.
    fn finish(&mut self, now: Duration, outcome: Outcome) -> Effect {
        let Some(pending) = self.pending.take() else {
            return Effect::Wait;
        };
        let until = now + OUTCOME_RETENTION;
        self.outcomes
            .insert(pending.order.id, (outcome.clone(), until));
        Effect::Answer(outcome)
    }
}
