//! What each rank has to be told.

use std::{collections::BTreeSet, time::Duration};

use super::{super::message::Request, Lead, Output, Phase};

impl Lead {
    /// What a rank has to be told now.
    pub(super) fn serve(&mut self, now: Duration, seat: u16, at_once: bool) -> Vec<Output> {
        let own = usize::from(self.settings.seat);
        let rank = &self.attendance[usize::from(seat)];
        let due = rank.sent.is_none_or(|t| now >= t + self.settings.resend);
        // The lead's own rank promises first: from then on its agent tells a
        // rank that starts anew of this fence.
        let held_up =
            usize::from(seat) != own && !self.attendance[own].joined && rank.sent.is_none();
        if held_up {
            return Vec::new();
        }
        let requests = if rank.joined {
            let extended = rank.offered < self.top();
            self.wants(seat, due || at_once || extended)
        } else if due {
            vec![Request::Collect { round: self.round }]
        } else {
            Vec::new()
        };
        if !requests.is_empty() {
            let top = self.top();
            let rank = &mut self.attendance[usize::from(seat)];
            rank.sent = Some(now);
            rank.offered = if rank.joined { top } else { 0 };
        }
        let requests = requests.into_iter();
        requests.map(|request| self.send(seat, request)).collect()
    }

    /// What a rank that has joined lacks: maps that it has to hold, steps that
    /// it hasn't acknowledged.
    fn wants(&self, seat: u16, due: bool) -> Vec<Request> {
        let rank = &self.attendance[usize::from(seat)];
        let start = rank.start;
        let mut requests = Vec::new();
        if !due || self.phase != Phase::Granting {
            return requests;
        }
        let granted: BTreeSet<u64> = self.schedule.epochs().collect();
        let needed = granted.into_iter().chain(self.epoch).chain(self.changing());
        let needed: BTreeSet<u64> = needed
            .filter(|epoch| !rank.loaded.contains(epoch))
            .collect();
        for map in needed.iter().filter_map(|epoch| self.maps.get(epoch)) {
            // A map that steps wait for is loaded as fast as can be.
            let changing = self.change.as_ref();
            let change = changing.filter(|change| change.epoch == map.epoch);
            let rate = change.map_or(u64::MAX, |change| change.rate);
            let map = map.clone();
            requests.push(Request::Stage { start, map, rate });
        }
        // An engine that has run nothing starts where the others wait for it,
        // and isn't granted steps before they have said where that is.
        let from = if rank.done == 0 { rank.place } else { rank.top };
        if from > 0 && (rank.top < self.top() || rank.done == 0) {
            let spans = self.schedule.after(from);
            if !spans.is_empty() {
                requests.push(Request::Grant { start, spans });
            }
        }
        requests
    }

    /// Asks for the placement of a map that steps run on and that a new lead
    /// doesn't know, at one rank after the other: an agent may know it whose
    /// engine has lost the weights.
    pub(super) fn fetch(&mut self, now: Duration) -> Option<Output> {
        let mut used = self.schedule.epochs().chain(self.epoch);
        let epoch = used.find(|epoch| !self.maps.contains_key(epoch))?;
        if self.fetched.is_some_and(|t| now < t + self.settings.resend) {
            return None;
        }
        self.fetched = Some(now);
        self.asked = (self.asked + 1) % self.settings.shape.ranks;
        Some(self.send(self.asked, Request::Fetch { epoch }))
    }
}
