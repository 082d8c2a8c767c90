//! Admission, queueing and rejection of requests.

use std::time::Duration;

use verbenaspool_state::name::Name;

use super::Balancer;
use crate::{
    budget, decision::Decision, decision::Reason, decision::Rejection, decision::Resolution,
    decision::Ticket, estimate::Size, mechanism::Mechanism, queue::QueuedRequest,
    queues::PendingRequest, rejection, request::Request,
};

impl Balancer {
    /// Estimates the work of a request and collects what is needed until it starts.
    pub(super) fn pending_request(
        &mut self,
        request: &Request<'_>,
        tried: &[Name],
    ) -> PendingRequest {
        let customer = self.queues.customers.number(request.customer);
        let requested = Size {
            prompt_tokens: request.prompt_tokens,
            tokens: request.max_tokens,
        };
        let weight = self.settings.prefill_weight;
        let work = if self.mechanisms.has(Mechanism::Learning) {
            let own = &self.queues.customers.get(customer).usage;
            own.work(&self.usage, requested, weight)
        } else {
            requested.work(weight)
        };
        PendingRequest {
            customer,
            work,
            requested,
            prefixes: request.prefixes.to_vec(),
            tried: tried.to_vec(),
        }
    }

    /// Starts a request, queues it or rejects it.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        pending: PendingRequest,
    ) -> Decision {
        self.refresh(now);
        if !self.router.pool.is_open() {
            return Decision::Reject(self.reject(Reason::NoUpstream, pending.customer));
        }
        if request.deadline <= now {
            return Decision::Reject(self.reject(Reason::Late, pending.customer));
        }
        if self.queues.is_empty()
            && let Some(choice) = self.choose(now, &pending)
        {
            // Spare capacity isn't charged to the customer.
            return Decision::Admit(self.start(&pending, choice, 0.0));
        }
        if self.latest_start(request.deadline, pending.work) < now {
            return Decision::Reject(self.reject(Reason::Late, pending.customer));
        }
        if self.queues.queued(pending.customer) >= self.settings.queue as usize {
            return Decision::Reject(self.reject(Reason::QueueFull, pending.customer));
        }
        self.enqueue(now, request, pending)
    }

    /// Queues a request, unless it or a queued one must be dropped for the rest to meet
    /// their deadlines.
    pub(super) fn enqueue(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        pending: PendingRequest,
    ) -> Decision {
        let ticket = Ticket(self.next_id());
        let customer = pending.customer;
        let queued = QueuedRequest {
            ticket,
            priority: request.priority,
            latest_start: self.latest_start(request.deadline, pending.work),
            work: pending.work,
        };
        self.queues.push(queued, pending);
        while self.mechanisms.has(Mechanism::Refusal)
            && let Some(excess) = self.queues.find_excess(now, customer, self.capacity())
        {
            if excess == ticket || !self.mechanisms.has(Mechanism::Displacement) {
                let rejection = self.reject(Reason::Late, customer);
                self.queues.remove(ticket);
                return Decision::Reject(rejection);
            }
            self.evict(excess, Reason::Displaced);
        }
        self.counters.waited += 1;
        Decision::Wait(ticket)
    }

    /// Drops a queued request; the next poll returns its rejection.
    pub(super) fn evict(&mut self, ticket: Ticket, reason: Reason) {
        let Some(customer) = self.queues.get(ticket).map(|pending| pending.customer) else {
            return;
        };
        let rejection = self.reject(reason, customer);
        self.queues.remove(ticket);
        self.evicted.push(Resolution {
            ticket,
            result: Err(rejection),
        });
    }

    /// Returns the latest start time at which a request with this work still meets its
    /// deadline.
    pub(super) fn latest_start(&self, deadline: Duration, work: f64) -> Duration {
        let service = work * self.router.pool.pace().unwrap_or(0.0);
        deadline.saturating_sub(Duration::try_from_secs_f64(service).unwrap_or(Duration::MAX))
    }

    /// Counts a rejection. Its `retry_after` is derived from its reason and from the time
    /// until the customer's queued work is done.
    pub(super) fn reject(&mut self, reason: Reason, customer: u32) -> Rejection {
        self.counters.rejected[reason as usize] += 1;
        let wait_seconds = self.queues.wait_seconds(customer, self.capacity());
        Rejection {
            reason,
            retry_after: rejection::retry_after(reason, wait_seconds, self.router.random()),
        }
    }

    /// Takes one retry from the budgets of the customer and of the service, if both have
    /// one.
    pub(super) fn try_spend_retry(&mut self, customer: u32) -> bool {
        let own = &mut self.queues.customers.get_mut(customer).retry_budget;
        !self.mechanisms.has(Mechanism::Budget) || budget::try_spend(own, &mut self.retry_budget)
    }

    /// Returns the work per second that the upstreams do for this entry; infinite while
    /// unknown.
    pub(super) fn capacity(&self) -> f64 {
        self.router.pool.capacity().unwrap_or(f64::INFINITY)
    }
}
