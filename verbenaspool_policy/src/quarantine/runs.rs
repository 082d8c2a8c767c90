//! How often recent sound runs had each part of a prompt.
//!
//! Shares are taken over all runs of a service, so that a part that only crashed upstreams has
//! none, however many requests with it arrive.

use std::{collections::HashMap, time::Duration};

use verbenaspool_state::fingerprint::Fingerprint;

use super::subject::Subject;

/// The most parts that are counted. Rarely used ones are dropped first.
const MAX_PARTS: usize = 4_096;

/// Time in which a count halves.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// A count that decays.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    value: f64,
    at: Duration,
}

impl Count {
    /// The count at a time.
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.value * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn increment(&mut self, now: Duration) {
        *self = Self {
            value: self.at(now) + 1.0,
            at: now,
        };
    }
}

/// Counts of sound runs.
#[derive(Debug, Default)]
pub(super) struct Runs {
    /// By service.
    totals: HashMap<u32, Count>,
    parts: HashMap<Fingerprint, Count>,
}

impl Runs {
    /// Counts a sound run.
    pub(super) fn record(&mut self, now: Duration, subject: &Subject) {
        self.totals
            .entry(subject.service)
            .or_default()
            .increment(now);
        for part in &subject.parts {
            self.parts.entry(*part).or_default().increment(now);
        }
        if self.parts.len() > MAX_PARTS {
            self.drop_rare(now);
        }
    }

    /// The share of a service's sound runs that had a part, from 0 to 1 and never quite 0.
    pub(super) fn share(&self, now: Duration, service: u32, part: Fingerprint) -> f64 {
        let total = self.totals.get(&service).map_or(0.0, |count| count.at(now));
        let with_part = self.parts.get(&part).map_or(0.0, |count| count.at(now));
        (with_part + 1.0) / (total + 2.0)
    }

    /// Keeps the more common half of the parts.
    fn drop_rare(&mut self, now: Duration) {
        let mut counts: Vec<f64> = self.parts.values().map(|count| count.at(now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.parts.retain(|_, count| count.at(now) > median);
    }
}
