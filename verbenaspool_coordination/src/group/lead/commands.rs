//! The commands that the lead sends to each rank.

use std::{collections::BTreeSet, time::Duration};

use super::{super::message::Request, Lead, Output, Phase};

impl Lead {
    /// Returns the commands to send to a rank now.
    pub(super) fn commands_for(
        &mut self,
        now: Duration,
        seat: u16,
        resend_now: bool,
    ) -> Vec<Output> {
        let own = usize::from(self.settings.seat);
        let rank = &self.ranks[usize::from(seat)];
        let due = rank
            .last_sent
            .is_none_or(|sent| now >= sent + self.settings.resend_interval);
        // The lead's own rank joins first: from then on its agent reports this fence
        // to a restarted rank.
        let waits_for_own_rank =
            usize::from(seat) != own && !self.ranks[own].joined && rank.last_sent.is_none();
        if waits_for_own_rank {
            return Vec::new();
        }
        let requests = if rank.joined {
            let extended = rank.sent_top < self.top();
            self.requests_for(seat, due || resend_now || extended)
        } else if due {
            vec![Request::Collect { round: self.round }]
        } else {
            Vec::new()
        };
        if !requests.is_empty() {
            let top = self.top();
            let rank = &mut self.ranks[usize::from(seat)];
            rank.last_sent = Some(now);
            rank.sent_top = if rank.joined { top } else { 0 };
        }
        let requests = requests.into_iter();
        requests
            .map(|request| self.command(seat, request))
            .collect()
    }

    /// Returns the requests for what a joined rank lacks: maps that it needs and
    /// steps that it hasn't acknowledged.
    fn requests_for(&self, seat: u16, due: bool) -> Vec<Request> {
        let rank = &self.ranks[usize::from(seat)];
        let start = rank.start;
        let mut requests = Vec::new();
        if !due || self.phase != Phase::Granting {
            return requests;
        }
        let granted: BTreeSet<u64> = self.schedule.epochs().collect();
        let needed = granted
            .into_iter()
            .chain(self.epoch)
            .chain(self.pending_epoch());
        let needed: BTreeSet<u64> = needed
            .filter(|epoch| !rank.loaded.contains(epoch))
            .collect();
        for map in needed.iter().filter_map(|epoch| self.maps.get(epoch)) {
            // A map that granted steps need is loaded without a rate limit.
            let changing = self.change.as_ref();
            let change = changing.filter(|change| change.epoch == map.epoch);
            let rate = change.map_or(u64::MAX, |change| change.rate);
            let map = map.clone();
            requests.push(Request::Stage { start, map, rate });
        }
        // An engine that has run nothing starts at the step where the others wait
        // for it. It isn't granted steps before that step is known.
        let from = if rank.done == 0 {
            rank.resume_after
        } else {
            rank.acked_top
        };
        if from > 0 && (rank.acked_top < self.top() || rank.done == 0) {
            let spans = self.schedule.after(from);
            if !spans.is_empty() {
                requests.push(Request::Grant { start, spans });
            }
        }
        requests
    }

    /// Requests the placement of a map that steps run on and that this lead, being
    /// new, doesn't know. It asks one rank after the other, including those without
    /// the weights: an agent may know the placement although its engine has lost the
    /// weights.
    pub(super) fn fetch_missing_map(&mut self, now: Duration) -> Option<Output> {
        let mut used = self.schedule.epochs().chain(self.epoch);
        let epoch = used.find(|epoch| !self.maps.contains_key(epoch))?;
        if self
            .fetch_sent_at
            .is_some_and(|sent| now < sent + self.settings.resend_interval)
        {
            return None;
        }
        self.fetch_sent_at = Some(now);
        self.fetch_seat = (self.fetch_seat + 1) % self.settings.shape.ranks;
        Some(self.command(self.fetch_seat, Request::Fetch { epoch }))
    }
}
