//! Starting attempts, and what is recorded when they end.

use std::time::Duration;

use super::Balancer;
use crate::{
    attempt::Ending, attempt::Id, attempt::Outcome, decision::Resolution, decision::Start,
    estimate::Size, in_flight::Attempt, member::Member, queues::PendingRequest, route::Choice,
    subset,
};

impl Balancer {
    /// Updates ejections and capacity, which change with time.
    pub(super) fn refresh(&mut self, now: Duration) {
        if self.router.pool.refresh(now, &self.settings) {
            self.router.clear_full();
        }
    }

    /// Chooses the subset of upstreams that this entry sends to.
    pub(super) fn choose_subset(&mut self, now: Duration) {
        let size = self.settings.subset as usize;
        let indices = subset::choose(
            &self.entry,
            self.router.pool.zone(),
            &self.peers,
            &self.members,
            size,
        );
        let members: Vec<&Member> = indices.iter().map(|&index| &self.members[index]).collect();
        self.router.clear_full();
        self.router.pool.set_members(now, &members, &self.settings);
    }

    /// Starts the next queued request if an upstream is below its limit.
    pub(super) fn start_next(&mut self, now: Duration) -> Option<Resolution> {
        let ticket = self.queues.next_ticket(self.capacity())?;
        let query = self.queues.get(ticket)?.query(now, &self.settings);
        let choice = self.router.choose(&query)?;
        let pending = self.queues.remove(ticket)?;
        let start = self.start(&pending, choice, pending.work);
        Some(Resolution {
            ticket,
            result: Ok(start),
        })
    }

    /// Chooses an upstream for a request, if any takes another attempt.
    pub(super) fn choose(&mut self, now: Duration, pending: &PendingRequest) -> Option<Choice> {
        self.router.choose(&pending.query(now, &self.settings))
    }

    /// Starts an attempt at the chosen upstream and charges `charge` to the customer.
    pub(super) fn start(&mut self, pending: &PendingRequest, choice: Choice, charge: f64) -> Start {
        let attempt = Id(self.next_id());
        let upstream = &self.router.pool.upstreams()[choice.index];
        let attempt_record = Attempt {
            customer: pending.customer,
            upstream: upstream.member.name.clone(),
            serial: upstream.serial,
            charged: charge,
            requested: pending.requested,
            prefix: choice.prefix_index.map(|index| pending.prefixes[index]),
        };
        self.counters.started += 1;
        self.counters.spilled += u64::from(!upstream.local);
        self.counters.affine += u64::from(choice.prefix_index.is_some());
        self.router
            .affinity
            .record_start(&pending.prefixes, upstream.cache);
        self.router.pool.start(choice.index);
        self.queues.charge(pending.customer, charge);
        if pending.tried.is_empty() {
            let ratio = self.settings.retry_ratio;
            self.retry_budget.earn(ratio);
            self.queues
                .customers
                .get_mut(pending.customer)
                .retry_budget
                .earn(ratio);
        }
        let name = attempt_record.upstream.clone();
        self.in_flight.insert(attempt, attempt_record);
        Start {
            attempt,
            upstream: name,
        }
    }

    /// Records the tokens that an answer took for its customer and for the service, and
    /// corrects the charge from the estimated work to `used_work`.
    pub(super) fn record_usage(
        &mut self,
        attempt_record: &Attempt,
        used_tokens: Size,
        used_work: f64,
    ) {
        let customer = self.queues.customers.get_mut(attempt_record.customer);
        customer.usage.record(used_tokens, attempt_record.requested);
        self.usage.record(used_tokens, attempt_record.requested);
        if attempt_record.charged > 0.0 {
            self.queues
                .charge(attempt_record.customer, used_work - attempt_record.charged);
        }
    }

    /// Removes the prefix that an upstream was chosen for if the answer shows that it
    /// wasn't cached.
    pub(super) fn correct_cache(
        &mut self,
        index: usize,
        attempt_record: &Attempt,
        outcome: &Outcome,
    ) {
        let missed = outcome.ending == Ending::Ran
            && outcome.prompt_tokens >= attempt_record.requested.prompt_tokens;
        if let Some(prefix) = attempt_record.prefix.filter(|_| missed) {
            self.router
                .affinity
                .remove(prefix, self.router.pool.upstreams()[index].cache);
        }
    }

    /// Assigns a number to a ticket or attempt.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
