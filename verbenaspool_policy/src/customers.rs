//! What is kept for each customer.

use std::collections::HashMap;

use verbenaspool_state::name::Name;

use crate::{budget::Budget, estimate::Habit, fair::Seat, queue::Queue};

/// The share of a customer that the configuration doesn't name.
const UNNAMED: u32 = 1;

/// One customer.
#[derive(Debug, Default)]
pub struct Customer {
    /// Its weight when capacity is short.
    pub share: u32,
    /// What its requests turn out to be.
    pub habit: Habit,
    /// Its waiting requests.
    pub queue: Queue,
    /// Its seat among those that wait.
    pub seat: Seat,
    /// Its retries.
    pub budget: Budget,
}

/// The customers, by name and by number. Numbers stay while the balancer lives.
#[derive(Debug, Default)]
pub struct Customers {
    /// Each customer's number.
    numbers: HashMap<Name, u32>,
    /// The customers by number.
    list: Vec<Customer>,
}

impl Customers {
    /// The customers whose share changes by new settings, each with its new share;
    /// customers not named get share 1.
    pub fn changes(&mut self, shares: &[(Name, u32)]) -> Vec<(u32, u32)> {
        let mut changed: HashMap<u32, u32> =
            (0..).zip(&self.list).map(|(n, _)| (n, UNNAMED)).collect();
        for (name, share) in shares {
            changed.insert(self.number(name), *share);
        }
        changed.retain(|&number, share| self.get(number).share != *share);
        let mut changed: Vec<(u32, u32)> = changed.into_iter().collect();
        changed.sort_unstable();
        changed
    }

    /// A customer's number, given out on first sight.
    #[allow(clippy::cast_possible_truncation)] // Customers are some thousands.
    pub fn number(&mut self, name: &Name) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.list.len() as u32;
        self.numbers.insert(name.clone(), number);
        self.list.push(Customer {
            share: UNNAMED,
            ..Customer::default()
        });
        number
    }

    /// A customer by number.
    #[must_use]
    pub fn get(&self, number: u32) -> &Customer {
        &self.list[number as usize]
    }

    /// A customer by number, to be changed.
    #[must_use]
    pub fn get_mut(&mut self, number: u32) -> &mut Customer {
        &mut self.list[number as usize]
    }
}
