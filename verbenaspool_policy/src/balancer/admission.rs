//! What is let in, what waits and what is refused.

use std::time::Duration;

use verbenaspool_state::name::Name;

use super::Balancer;
use crate::{
    budget, decision::Decision, decision::Reason, decision::Refusal, decision::Resolution,
    decision::Ticket, estimate::Size, mechanism::Mechanism, queue::Waiting, refusal,
    request::Request, room::Held,
};

impl Balancer {
    /// What is kept of a request.
    pub(super) fn hold(&mut self, request: &Request<'_>, tried: &[Name]) -> Held {
        let customer = self.room.customers.number(request.customer);
        let asked = Size {
            prompt_tokens: request.prompt_tokens,
            tokens: request.max_tokens,
        };
        let weight = self.settings.prefill_weight;
        let work = if self.mechanisms.has(Mechanism::Learning) {
            let own = &self.room.customers.get(customer).habit;
            own.work(&self.habit, asked, weight)
        } else {
            asked.work(weight)
        };
        Held {
            customer,
            work,
            asked,
            prefixes: request.prefixes.to_vec(),
            tried: tried.to_vec(),
        }
    }

    /// Starts a request, or lets it wait, or refuses it.
    pub(super) fn admit(&mut self, now: Duration, request: &Request<'_>, held: Held) -> Decision {
        self.refresh(now);
        if !self.router.pool.is_open() {
            return Decision::Refuse(self.refuse(Reason::NoUpstream, held.customer));
        }
        if request.deadline <= now {
            return Decision::Refuse(self.refuse(Reason::Late, held.customer));
        }
        if self.room.is_empty()
            && let Some(choice) = self.choose(now, &held)
        {
            // Capacity that nobody waits for isn't charged.
            return Decision::Admit(self.start(&held, choice, 0.0));
        }
        if self.latest(request.deadline, held.work) < now {
            return Decision::Refuse(self.refuse(Reason::Late, held.customer));
        }
        if self.room.queued(held.customer) >= self.settings.queue as usize {
            return Decision::Refuse(self.refuse(Reason::QueueFull, held.customer));
        }
        self.enqueue(now, request, held)
    }

    /// Lets a request wait, unless it or others must yield for the rest to be in time.
    pub(super) fn enqueue(&mut self, now: Duration, request: &Request<'_>, held: Held) -> Decision {
        let ticket = Ticket(self.number());
        let customer = held.customer;
        let waiting = Waiting {
            ticket,
            priority: request.priority,
            latest: self.latest(request.deadline, held.work),
            work: held.work,
        };
        self.room.push(waiting, held);
        while self.mechanisms.has(Mechanism::Refusal)
            && let Some(excess) = self.room.excess(now, customer, self.capacity())
        {
            if excess == ticket || !self.mechanisms.has(Mechanism::Displacement) {
                let refusal = self.refuse(Reason::Late, customer);
                self.room.remove(ticket);
                return Decision::Refuse(refusal);
            }
            self.give_up(excess, Reason::Displaced);
        }
        self.counts.waited += 1;
        Decision::Wait(ticket)
    }

    /// Gives a waiting request up; the next poll says so.
    pub(super) fn give_up(&mut self, ticket: Ticket, reason: Reason) {
        let Some(customer) = self.room.get(ticket).map(|held| held.customer) else {
            return;
        };
        let refusal = self.refuse(reason, customer);
        self.room.remove(ticket);
        self.given_up.push(Resolution {
            ticket,
            result: Err(refusal),
        });
    }

    /// The latest start that meets a deadline.
    pub(super) fn latest(&self, deadline: Duration, work: f64) -> Duration {
        let service = work * self.router.pool.pace().unwrap_or(0.0);
        deadline.saturating_sub(Duration::try_from_secs_f64(service).unwrap_or(Duration::MAX))
    }

    /// A refusal, counted, with the time until what the customer has waiting is done.
    pub(super) fn refuse(&mut self, reason: Reason, customer: u32) -> Refusal {
        self.counts.refused[reason as usize] += 1;
        let wait = self.room.wait(customer, self.capacity());
        Refusal {
            reason,
            retry_after: refusal::retry_after(reason, wait, self.router.random()),
        }
    }

    /// Takes one retry off the budgets of the customer and of the service.
    pub(super) fn spend(&mut self, customer: u32) -> bool {
        let own = &mut self.room.customers.get_mut(customer).budget;
        !self.mechanisms.has(Mechanism::Budget) || budget::spend(own, &mut self.budget)
    }

    /// The work a second that is done for this entry; without bound while unknown.
    pub(super) fn capacity(&self) -> f64 {
        self.router.pool.capacity().unwrap_or(f64::INFINITY)
    }
}
