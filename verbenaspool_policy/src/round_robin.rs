//! Whose waiting request starts next: weighted fair shares by work.
//!
//! Load: one customer who sends most of the requests. In order of arrival it
//! would take most of the capacity and everyone else would wait behind it.
//!
//! Deficit round robin over the customers that have something waiting: a turn
//! credits a customer with a quantum times its share, and starts charge their
//! work. Idle customers aren't in the ring, so their capacity is lent to the
//! others; one that comes back is served within a round. A decision costs the
//! same however many customers there are. Customers with share 0 are in a ring
//! of their own that is served when the first is empty.

use std::collections::VecDeque;

/// A customer's seat in the ring.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeficitCounter {
    /// Work the customer may still start in this turn; below 0 it is in debt.
    credit: f64,
    /// Whether it is in a ring.
    active: bool,
}

/// How many turns' worth of debt is kept, unless one request alone is worth more.
/// What is beyond it is forgiven: kept for 64 turns, a customer's one long request
/// made its short ones late long after (2 in 100 of all, among 1 long in 100).
const MAX_CARRIED_TURNS: f64 = 4.0;

/// Turns that one request may cost at most. A request that claims billions of tokens
/// would else shut its customer out for hours, and have the ring turned millions
/// of times for one decision.
const MAX_REQUEST_TURNS: f64 = 1_000.0;

/// The rings of customers that have something waiting, by their numbers.
#[derive(Debug, Default)]
pub struct DeficitRoundRobin {
    /// Customers with a share.
    weighted: VecDeque<u32>,
    /// Customers with share 0.
    best_effort: VecDeque<u32>,
    /// The sum of the shares in the first ring.
    total_share: u64,
}

impl DeficitRoundRobin {
    /// The sum of the shares of customers that have something waiting.
    #[must_use]
    pub fn total_share(&self) -> u64 {
        self.total_share
    }

    /// Queues a customer that has something waiting.
    pub fn activate(
        &mut self,
        customer: u32,
        share: u32,
        quantum: f64,
        deficit: &mut DeficitCounter,
    ) {
        if deficit.active {
            return;
        }
        deficit.active = true;
        // Credit isn't saved up while away, so that nobody can start a burst on
        // it; debt stays, so that nobody gets rid of it by leaving.
        deficit.credit = deficit.credit.min(0.0) + quantum * f64::from(share.max(1));
        self.total_share += u64::from(share);
        self.ring(share).push_back(customer);
    }

    /// The customer whose turn it is.
    #[must_use]
    pub fn front(&self) -> Option<u32> {
        self.weighted.front().or(self.best_effort.front()).copied()
    }

    /// Whether the customer at the front may start; if not, its turn ends and
    /// it is credited for the next.
    pub fn may_start(&mut self, share: u32, quantum: f64, deficit: &mut DeficitCounter) -> bool {
        if deficit.credit > 0.0 {
            return true;
        }
        deficit.credit += quantum * f64::from(share.max(1));
        self.ring(share).rotate_left(1);
        false
    }

    /// Takes a customer out, as nothing of it waits any more.
    pub fn deactivate(&mut self, customer: u32, share: u32, deficit: &mut DeficitCounter) {
        if !deficit.active {
            return;
        }
        deficit.active = false;
        let ring = self.ring(share);
        // It is at the front unless its last request was taken back or given up.
        if let Some(index) = ring.iter().position(|&other| other == customer) {
            ring.remove(index);
        }
        self.total_share -= u64::from(share);
    }

    /// The ring that a share belongs to.
    fn ring(&mut self, share: u32) -> &mut VecDeque<u32> {
        if share == 0 {
            &mut self.best_effort
        } else {
            &mut self.weighted
        }
    }
}

impl DeficitCounter {
    /// Charges work that was started, or, when `work` is negative, pays it back.
    pub fn charge(&mut self, work: f64, quantum: f64, share: u32) {
        let turn_work = quantum * f64::from(share.max(1));
        let max_debt = work.clamp(MAX_CARRIED_TURNS * turn_work, MAX_REQUEST_TURNS * turn_work);
        self.credit = (self.credit - work).clamp(-max_debt, MAX_CARRIED_TURNS * turn_work);
    }
}
