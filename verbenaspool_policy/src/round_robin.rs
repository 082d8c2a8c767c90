//! Weighted fair sharing of work among customers.
//!
//! In order of arrival, a customer that sends most of the requests would take most of
//! the capacity, and everyone else would wait behind it.
//!
//! This is deficit round robin over the customers with queued requests: a turn credits
//! a customer with a quantum times its share, and starts charge their work. Idle
//! customers aren't in a ring, so others use their capacity; a customer that becomes
//! active is served within a round. The cost of a decision doesn't depend on the number
//! of customers. Customers with share 0 are in a ring of their own, which is served
//! when the first is empty.

use std::collections::VecDeque;

/// The credit of one customer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Deficit {
    /// Work that the customer may still start in this turn; a negative value is debt.
    credit: f64,
    /// Whether the customer is in a ring.
    active: bool,
}

/// How many turns of credit or debt are carried over, unless one request alone costs
/// more. Debt beyond this is forgiven: carried for 64 turns, one long request of a
/// customer delayed its short ones long after (2 in 100 of all requests were late, with
/// 1 long one in 100).
const MAX_CARRIED_TURNS: f64 = 4.0;

/// The most turns that one request may cost. Without this, a request that claims
/// billions of tokens would block its customer for hours, and one decision would take
/// millions of ring rotations.
const MAX_REQUEST_TURNS: f64 = 1_000.0;

/// The rings of customers with queued requests, by customer number.
#[derive(Debug, Default)]
pub struct Ring {
    /// Customers with a share above 0.
    weighted: VecDeque<u32>,
    /// Customers with share 0.
    best_effort: VecDeque<u32>,
    /// The sum of the shares in `weighted`.
    total_share: u64,
}

impl Ring {
    /// The sum of the shares of customers with queued requests.
    #[must_use]
    pub fn total_share(&self) -> u64 {
        self.total_share
    }

    /// Adds a customer that has queued requests to a ring.
    pub fn activate(&mut self, customer: u32, share: u32, quantum: f64, deficit: &mut Deficit) {
        if deficit.active {
            return;
        }
        deficit.active = true;
        // Credit is dropped while a customer is idle, so that it can't save up for a
        // burst; debt is kept, so that a customer can't clear it by going idle.
        deficit.credit = deficit.credit.min(0.0) + quantum * f64::from(share.max(1));
        self.total_share += u64::from(share);
        self.ring(share).push_back(customer);
    }

    /// The customer whose turn it is.
    #[must_use]
    pub fn front(&self) -> Option<u32> {
        self.weighted.front().or(self.best_effort.front()).copied()
    }

    /// Whether the customer at the front may start a request. If not, its turn ends and
    /// it is credited for the next.
    pub fn may_start(&mut self, share: u32, quantum: f64, deficit: &mut Deficit) -> bool {
        if deficit.credit > 0.0 {
            return true;
        }
        deficit.credit += quantum * f64::from(share.max(1));
        self.ring(share).rotate_left(1);
        false
    }

    /// Removes a customer without queued requests from its ring.
    pub fn deactivate(&mut self, customer: u32, share: u32, deficit: &mut Deficit) {
        if !deficit.active {
            return;
        }
        deficit.active = false;
        let ring = self.ring(share);
        // The customer is at the front unless its last request was cancelled or dropped.
        if let Some(index) = ring.iter().position(|&other| other == customer) {
            ring.remove(index);
        }
        self.total_share -= u64::from(share);
    }

    /// The ring of customers with this share.
    fn ring(&mut self, share: u32) -> &mut VecDeque<u32> {
        if share == 0 {
            &mut self.best_effort
        } else {
            &mut self.weighted
        }
    }
}

impl Deficit {
    /// Charges started work; negative work is a refund.
    pub fn charge(&mut self, work: f64, quantum: f64, share: u32) {
        let turn_work = quantum * f64::from(share.max(1));
        let max_debt = work.clamp(MAX_CARRIED_TURNS * turn_work, MAX_REQUEST_TURNS * turn_work);
        self.credit = (self.credit - work).clamp(-max_debt, MAX_CARRIED_TURNS * turn_work);
    }
}
