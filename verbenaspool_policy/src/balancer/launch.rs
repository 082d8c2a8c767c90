//! Where a request starts, and what its end teaches.

use std::time::Duration;

use super::Balancer;
use crate::{
    attempt::Ending, attempt::Id, attempt::Outcome, decision::Resolution, decision::Start,
    estimate::Size, flight::Flight, member::Member, room::Held, route::Choice, subset,
};

impl Balancer {
    /// Looks at what changes with time.
    pub(super) fn refresh(&mut self, now: Duration) {
        if self.router.pool.refresh(now, &self.settings) {
            self.router.free();
        }
    }

    /// Chooses the upstreams to work with.
    pub(super) fn choose_subset(&mut self, now: Duration) {
        let size = self.settings.subset as usize;
        let places = subset::choose(
            &self.entry,
            self.router.pool.zone(),
            &self.peers,
            &self.members,
            size,
        );
        let members: Vec<&Member> = places.iter().map(|&place| &self.members[place]).collect();
        self.router.free();
        self.router.pool.set(now, &members, &self.settings);
    }

    /// Starts the waiting request whose turn it is, if there is room for it.
    pub(super) fn start_next(&mut self, now: Duration) -> Option<Resolution> {
        let ticket = self.room.turn(self.capacity())?;
        let search = self.room.get(ticket)?.search(now, &self.settings);
        let choice = self.router.choose(&search)?;
        let held = self.room.remove(ticket)?;
        let start = self.start(&held, choice, held.work);
        Some(Resolution {
            ticket,
            result: Ok(start),
        })
    }

    /// Chooses an upstream for a request.
    pub(super) fn choose(&mut self, now: Duration, held: &Held) -> Option<Choice> {
        self.router.choose(&held.search(now, &self.settings))
    }

    /// Starts an attempt at the chosen upstream.
    pub(super) fn start(&mut self, held: &Held, choice: Choice, charge: f64) -> Start {
        let attempt = Id(self.number());
        let upstream = &self.router.pool.list()[choice.place];
        let flight = Flight {
            customer: held.customer,
            upstream: upstream.member.name.clone(),
            serial: upstream.serial,
            charged: charge,
            asked: held.asked,
            prefix: choice.prefix.map(|place| held.prefixes[place]),
        };
        self.counts.started += 1;
        self.counts.spilled += u64::from(!upstream.local);
        self.counts.affine += u64::from(choice.prefix.is_some());
        self.router.affinity.learn(&held.prefixes, upstream.cache);
        self.router.pool.start(choice.place);
        self.room.charge(held.customer, charge);
        if held.tried.is_empty() {
            let ratio = self.settings.retry_ratio;
            self.budget.earn(ratio);
            self.room
                .customers
                .get_mut(held.customer)
                .budget
                .earn(ratio);
        }
        let name = flight.upstream.clone();
        self.flights.insert(attempt, flight);
        Start {
            attempt,
            upstream: name,
        }
    }

    /// Learns a customer's habit from an answer, which took `done` work.
    pub(super) fn learn(&mut self, flight: &Flight, size: Size, done: f64) {
        let customer = self.room.customers.get_mut(flight.customer);
        customer.habit.learn(size, flight.asked);
        self.habit.learn(size, flight.asked);
        if flight.charged > 0.0 {
            self.room.charge(flight.customer, done - flight.charged);
        }
    }

    /// Forgets a prefix that the answer shows not to have been held.
    pub(super) fn correct_cache(&mut self, place: usize, flight: &Flight, outcome: &Outcome) {
        let missed =
            outcome.ending == Ending::Ran && outcome.prompt_tokens >= flight.asked.prompt_tokens;
        if let Some(prefix) = flight.prefix.filter(|_| missed) {
            self.router
                .affinity
                .drop(prefix, self.router.pool.list()[place].cache);
        }
    }

    /// The next unused number.
    pub(super) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
