//! What is kept for each customer.
//!
//! Shares stand once for all services of a firm; the rest of a customer's state
//! begins with its first request to the service. With 16,000 customers and 11
//! services, state for every pair would take more than all else in the process.

use std::{collections::HashMap, rc::Rc};

use verbenaspool_state::name::Name;

use crate::{
    budget::RetryBudget, estimate::UsageProfile, queue::Queue, round_robin::DeficitCounter,
    share::Shares,
};

/// One customer.
#[derive(Debug, Default)]
pub struct Customer {
    /// Its weight when capacity is short.
    pub share: u32,
    /// What its requests turn out to be.
    pub usage: UsageProfile,
    /// Its waiting requests.
    pub queue: Queue,
    /// Its seat among those that wait.
    pub deficit: DeficitCounter,
    /// Its retries.
    pub retry_budget: RetryBudget,
}

/// The customers, by name and by number. Numbers stay while the balancer lives.
#[derive(Debug, Default)]
pub struct Customers {
    /// Each customer's number.
    numbers: HashMap<Name, u32>,
    /// The customers by number.
    customers: Vec<Customer>,
    /// The shares of all customers of the firm.
    shares: Rc<Shares>,
}

impl Customers {
    /// Takes new shares; gives the customers seen whose share changes, each with
    /// its new one.
    pub fn set_shares(&mut self, shares: &Rc<Shares>) -> Vec<(u32, u32)> {
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

    /// A customer's number, given out on first sight.
    #[allow(clippy::cast_possible_truncation)] // Customers are some thousands.
    pub fn number(&mut self, name: &Name) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.customers.len() as u32;
        self.numbers.insert(name.clone(), number);
        self.customers.push(Customer {
            share: self.shares.of(name),
            ..Customer::default()
        });
        number
    }

    /// A customer by number.
    #[must_use]
    pub fn get(&self, number: u32) -> &Customer {
        &self.customers[number as usize]
    }

    /// A customer by number, to be changed.
    #[must_use]
    pub fn get_mut(&mut self, number: u32) -> &mut Customer {
        &mut self.customers[number as usize]
    }
}
