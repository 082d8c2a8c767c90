//! Orders to an engine, with fences that it checks or ignores.

use std::cell::{Cell, RefCell};

use verbenaspool_protocol::engine::Order;

/// The orders that an engine carried out.
#[derive(Debug)]
pub struct Orders {
    checks: bool,
    fence: Cell<u64>,
    done: RefCell<Vec<Order>>,
}

impl Orders {
    pub(crate) fn new(checks: bool) -> Self {
        Self {
            checks,
            fence: Cell::new(0),
            done: RefCell::default(),
        }
    }

    /// The orders that were carried out, in their order.
    #[must_use]
    pub fn done(&self) -> Vec<Order> {
        self.done.borrow().clone()
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
