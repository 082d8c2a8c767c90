//! State per customer of one service.
//!
//! Shares are kept once for all services of a firm; the rest of a customer's state is
//! created with its first request to the service. With 16,000 customers and 11
//! services, state for every pair would take more memory than everything else in the
//! process.

use std::{collections::HashMap, rc::Rc};

use verbenaspool_state::name::Name;

use crate::{budget::Budget, estimate::Profile, queue::Queue, round_robin::Deficit, share::Table};

/// The state of one customer.
#[derive(Debug, Default)]
pub struct Customer {
    /// Its weight when capacity is scarce.
    pub share: u32,
    /// Its token usage.
    pub usage: Profile,
    /// Its queued requests.
    pub queue: Queue,
    /// Its credit in the round robin.
    pub deficit: Deficit,
    /// Its retry budget.
    pub retry_budget: Budget,
}

/// The customers, by name and by number. Numbers stay valid for the life of the
/// balancer.
#[derive(Debug, Default)]
pub struct Customers {
    /// Each customer's number.
    numbers: HashMap<Name, u32>,
    /// The customers by number.
    by_number: Vec<Customer>,
    /// The shares of all customers of the firm.
    shares: Rc<Table>,
}

impl Customers {
    /// Replaces the shares. Returns the known customers whose share changes, each with
    /// its new share.
    pub fn set_shares(&mut self, shares: &Rc<Table>) -> Vec<(u32, u32)> {
        self.shares = shares.clone();
        let mut changed: Vec<(u32, u32)> = self
            .numbers
            .iter()
            .map(|(name, &number)| (number, shares.of(name)))
            .filter(|&(number, share)| self.get(number).share != share)
            .collect();
        changed.sort_unstable();
        changed
    }

    /// Returns a customer's number; assigns one at its first request.
    #[allow(clippy::cast_possible_truncation)] // Customers are some thousands.
    pub fn number(&mut self, name: &Name) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.by_number.len() as u32;
        self.numbers.insert(name.clone(), number);
        self.by_number.push(Customer {
            share: self.shares.of(name),
            ..Customer::default()
        });
        number
    }

    /// Returns a customer by number.
    #[must_use]
    pub fn get(&self, number: u32) -> &Customer {
        &self.by_number[number as usize]
    }

    #[must_use]
    pub fn get_mut(&mut self, number: u32) -> &mut Customer {
        &mut self.by_number[number as usize]
    }
}
