//! The gate for orders to an engine: load a model, an adapter or a version, or
//! change its role.
//!
//! Failures guarded against:
//! - An order is said twice, since its answer was lost: its id is remembered
//!   with what came of it, so it is carried out once.
//! - An order arrives after its sender was replaced: a lower fence than the
//!   highest seen is refused, also where the engine itself ignores fences.
//! - An order arrives late: it carries how long it is good for, and is refused
//!   after that.
//! - The engine's answer is lost: what came of it is read from the engine's
//!   state, and until then nothing else is sent.
//! - This agent is restarted and knows neither fence nor ids: an order of its
//!   forerunner may still be on its way to the engine, so the first order waits
//!   until the longest time that an order may be on its way is over, and the
//!   engine is read before it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_state::name::Name;

/// The longest that an order may be good for, and so the wait of a new agent.
pub const MAX_ORDER_LIFETIME: Duration = Duration::from_secs(10);

/// How long after an order's time its effect may still show. Its sender closed
/// the connection then, but what had left before may lie unread at the engine,
/// which stands on the same instance.
const LATE_EFFECT_GRACE: Duration = Duration::from_secs(2);

/// How long the outcome of an order is remembered after its end. A sender that
/// got no answer asks again within seconds.
const OUTCOME_RETENTION: Duration = Duration::from_mins(10);

/// What an engine is to become. Each names the state to reach rather than a step
/// towards it, so that an engine's state tells whether it was carried out.
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
    /// Hold this adapter.
    Adapter {
        /// The adapter.
        adapter: Name,
        /// Its version.
        version: String,
    },
    /// Take this role.
    Role(Role),
}

/// What part of the work an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It reads prompts.
    Prefill,
    /// It generates tokens.
    Decode,
    /// It does both.
    Both,
}

/// An order as its sender says it, and says it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The order's own id: the sender's name, its start and a count.
    pub id: String,
    /// The sender's fence.
    pub fence: u64,
    /// How long the order is good for from its arrival, in milliseconds; at
    /// most [`MAX_ORDER_LIFETIME`].
    #[serde(rename = "good_ms")]
    pub valid_ms: u64,
    /// What the engine is to become.
    pub action: Action,
}

/// What the engine is, as far as orders change it.
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
    /// Whether the engine is what an order wants it to be.
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

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The engine is what the order wanted.
    Done,
    /// The engine refused.
    Refused(String),
    /// The order didn't reach the engine, or had no effect.
    NotRun(Reason),
}

/// Why an order was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A higher fence was seen.
    #[error("fence {fence} was seen")]
    Fence {
        /// The higher fence.
        fence: u64,
    },
    /// Another order is on its way to the engine.
    #[error("another order is under way")]
    Busy,
    /// The agent has just started; the order may be said again then.
    #[error("the agent has just started, say it again in {wait_ms} ms")]
    Starting {
        /// In how many milliseconds.
        wait_ms: u64,
    },
    /// The order is good for longer than allowed, or not at all.
    #[error("an order is good for 1 to {} ms", MAX_ORDER_LIFETIME.as_millis())]
    Deadline,
    /// The order's time was over before the engine was seen to carry it out.
    #[error("the order's time is over")]
    Late,
}

/// What the gate has its agent do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Answer the sender.
    Answer(Outcome),
    /// Send the order to the engine, if it is there before then.
    Send {
        /// The order.
        order: Order,
        /// Until when it may be sent.
        until: Duration,
    },
    /// Read the engine's state.
    Read,
    /// Nothing now; the order is under way.
    Wait,
}

/// An order on its way.
#[derive(Debug)]
struct PendingOrder {
    order: Order,
    until: Duration,
}

/// The gate before an engine.
#[derive(Debug)]
pub struct OrderTracker {
    /// From when on orders are taken.
    ready_at: Duration,
    /// The highest fence seen.
    fence: u64,
    /// The order on its way.
    pending: Option<PendingOrder>,
    /// What came of orders, and until when that is remembered.
    outcomes: BTreeMap<String, (Outcome, Duration)>,
}

impl OrderTracker {
    /// The gate of an agent that starts now.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::group::order::{Action, OrderTracker, MAX_ORDER_LIFETIME, Order, Outcome, Role, Effect};
    ///
    /// let mut tracker = OrderTracker::new(Duration::ZERO);
    /// let action = Action::Role(Role::Decode);
    /// let order = Order { id: "lead.1.1".into(), fence: 3, valid_ms: 500, action };
    /// // A late order of the agent before may still reach the engine.
    /// assert!(matches!(tracker.submit(Duration::ZERO, &order), Effect::Answer(Outcome::NotRun(_))));
    /// assert!(matches!(tracker.submit(MAX_ORDER_LIFETIME, &order), Effect::Send { .. }));
    /// assert_eq!(tracker.engine_answered(MAX_ORDER_LIFETIME, Ok(())), Effect::Answer(Outcome::Done));
    /// // Said again, it isn't carried out again.
    /// assert_eq!(tracker.submit(MAX_ORDER_LIFETIME, &order), Effect::Answer(Outcome::Done));
    /// ```
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            ready_at: now + MAX_ORDER_LIFETIME,
            fence: 0,
            pending: None,
            outcomes: BTreeMap::new(),
        }
    }

    /// An order arrives.
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
            // Not remembered: said again later, the order may be taken.
            Err(reason) => Effect::Answer(Outcome::NotRun(reason)),
        }
    }

    /// Whether an order may be sent, and until when.
    fn check(&self, now: Duration, order: &Order) -> Result<Duration, Reason> {
        if order.fence < self.fence {
            return Err(Reason::Fence { fence: self.fence });
        }
        let validity = Duration::from_millis(order.valid_ms);
        if validity.is_zero() || validity > MAX_ORDER_LIFETIME {
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

    /// The engine answered the order on its way: done, or refused for a reason.
    pub fn engine_answered(&mut self, now: Duration, answer: Result<(), String>) -> Effect {
        let outcome = answer.map_or_else(Outcome::Refused, |()| Outcome::Done);
        self.finish(now, outcome)
    }

    /// The engine's answer was lost, or its time is over: the engine is read.
    #[must_use]
    pub fn answer_lost(&self) -> Effect {
        self.pending.as_ref().map_or(Effect::Wait, |_| Effect::Read)
    }

    /// The engine's state was read, as of no earlier than `now`.
    ///
    /// Before the order's time and the grace are over, an engine that isn't yet
    /// what it is to become may still get the order, so nothing is concluded
    /// from that.
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

    /// Ends the order on its way.
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
