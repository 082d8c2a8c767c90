//! Executes orders to an engine, with fences that are checked or ignored.

use std::cell::{Cell, RefCell};

use verbenaspool_coordination::group::order::{Action, State};
use verbenaspool_protocol::engine::Order;

/// The orders that an engine executed.
#[derive(Debug)]
pub struct Orders {
    checks_fences: bool,
    /// The highest fence of an executed order.
    fence: Cell<u64>,
    executed: RefCell<Vec<Order>>,
    lost_answers: Cell<u32>,
}

impl Orders {
    pub(crate) fn new(checks_fences: bool) -> Self {
        Self {
            checks_fences,
            fence: Cell::new(0),
            executed: RefCell::default(),
            lost_answers: Cell::new(0),
        }
    }

    /// Returns the orders that were executed, in order.
    #[must_use]
    pub fn executed(&self) -> Vec<Order> {
        self.executed.borrow().clone()
    }

    /// Has the answers to this many further orders lost, which are executed all the same.
    pub fn lose_answers(&self, answers: u32) {
        self.lost_answers.set(answers);
    }

    /// Returns whether the answer to the order just executed is lost, and counts it.
    pub(crate) fn take_lost_answer(&self) -> bool {
        let left = self.lost_answers.get();
        self.lost_answers.set(left.saturating_sub(1));
        left > 0
    }

    /// Returns the state that results from the executed orders.
    pub(crate) fn state(&self) -> State {
        let mut state = State::default();
        for order in self.executed.borrow().iter() {
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

    /// Executes an order, or returns the higher fence for which it is rejected.
    pub(crate) fn execute(&self, order: Order) -> Result<(), u64> {
        let fence = self.fence.get();
        if self.checks_fences && order.fence < fence {
            return Err(fence);
        }
        self.fence.set(fence.max(order.fence));
        self.executed.borrow_mut().push(order);
        Ok(())
    }
}
