//! Orders to an engine, with fences that it checks or ignores.

use std::cell::{Cell, RefCell};

use verbenaspool_coordination::group::order::{Action, State};
use verbenaspool_protocol::engine::Order;

/// The orders that an engine carried out.
#[derive(Debug)]
pub struct Orders {
    checks: bool,
    fence: Cell<u64>,
    done: RefCell<Vec<Order>>,
    lose: Cell<u32>,
}

impl Orders {
    pub(crate) fn new(checks: bool) -> Self {
        Self {
            checks,
            fence: Cell::new(0),
            done: RefCell::default(),
            lose: Cell::new(0),
        }
    }

    /// The orders that were carried out, in their order.
    #[must_use]
    pub fn done(&self) -> Vec<Order> {
        self.done.borrow().clone()
    }

    /// Loses the answers to the next orders, which are carried out.
    pub fn lose(&self, answers: u32) {
        self.lose.set(answers);
    }

    /// Whether the answer to the order just carried out is lost.
    pub(crate) fn loses(&self) -> bool {
        let left = self.lose.get();
        self.lose.set(left.saturating_sub(1));
        left > 0
    }

    /// What the engine has become by its orders.
    pub(crate) fn held(&self) -> State {
        let mut state = State::default();
        for order in self.done.borrow().iter() {
            match serde_json::from_value(order.action.clone()) {
                Ok(Action::Model { model, version }) => state.model = Some((model, version)),
                Ok(Action::Adapter { adapter, version }) => {
                    state.adapters.insert(adapter, version);
                }
                Ok(Action::Role(role)) => state.role = Some(role),
                Err(_) => {}
            }
        }
        state
    }

    /// Carries an order out, or names the higher fence that forbids it.
    pub(crate) fn take(&self, order: Order) -> Result<(), u64> {
        let fence = self.fence.get();
        if self.checks && order.fence < fence {
            return Err(fence);
        }
        self.fence.set(fence.max(order.fence));
        self.done.borrow_mut().push(order);
        Ok(())
    }
}
