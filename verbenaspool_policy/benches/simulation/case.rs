//! The simulated load cases.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    engine::{Engine, FULL_SPEED_REQUESTS, WORK_PER_SECOND},
    job::{Job, Mix, exponential},
};

// The deployment of one firm today.
pub const ENTRIES: usize = 4;
pub const ENGINES: usize = 16;
pub const CUSTOMERS: usize = 10;
pub const ZONES: usize = 3;

/// A change of the upstreams during a case.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// Sets the speed of an engine, as a fraction of full speed.
    Speed(usize, f64),
    /// Sets the fraction of an engine's attempts that fail immediately.
    Fail(usize, f64),
    /// Replaces an engine with a new incarnation, which starts cold.
    Replace(usize),
    /// Partitions a zone from the others.
    Partition(usize),
    /// Ends the partition of a zone.
    Heal(usize),
}

#[derive(Debug, Clone)]
pub struct Case {
    pub name: &'static str,
    pub seconds: u64,
    pub seed: u64,
    pub mix: Mix,
    /// Offered load as a fraction of capacity, from each second on.
    pub offered_load: Vec<(u64, f64)>,
    /// The fraction of requests that the first three customers send.
    pub hot_fraction: f64,
    /// The delay of load reports and cache events.
    pub signal_lag: Duration,
    /// The fraction of load reports and cache events that are lost.
    pub signal_loss: f64,
    pub changes: Vec<(Duration, Change)>,
    /// The fraction of requests that arrive at the first entry.
    pub first_entry_fraction: f64,
    /// Whether half of the engines run three times as many requests as the others.
    pub mixed_sizes: bool,
    /// Whether every third customer always sets `max_tokens` to the maximum, which says
    /// nothing about its answers. Only applies to [`Mix::Exponential`].
    pub fixed_max_tokens: bool,
}

impl Case {
    fn new(name: &'static str, seconds: u64, offered_load: f64) -> Self {
        Self {
            name,
            seconds,
            seed: 1,
            mix: Mix::Exponential,
            offered_load: vec![(0, offered_load)],
            hot_fraction: 0.3,
            signal_lag: Duration::from_millis(200),
            signal_loss: 0.0,
            changes: Vec::new(),
            first_entry_fraction: 1.0 / ENTRIES as f64,
            mixed_sizes: false,
            fixed_max_tokens: true,
        }
    }

    pub fn all() -> Vec<Self> {
        let at = Duration::from_secs;
        let mut cases = vec![
            Self {
                offered_load: vec![(0, 0.7), (20, 7.0), (25, 0.7)],
                ..Self::new("burst", 60, 0.7)
            },
            Self {
                hot_fraction: 0.8,
                ..Self::new("hot-callers", 60, 1.5)
            },
            Self {
                mix: Mix::SharedPrefix,
                ..Self::new("hot-prefix", 60, 0.9)
            },
            Self {
                changes: vec![
                    (at(15), Change::Speed(3, 0.2)),
                    (at(45), Change::Speed(3, 1.0)),
                ],
                ..Self::new("slow-upstream", 75, 0.8)
            },
            Self {
                mix: Mix::LongTail,
                ..Self::new("long-among-short", 120, 1.2)
            },
            Self::new("load-1.0", 120, 1.0),
            Self::new("load-1.5", 120, 1.5),
            Self::new("load-3.0", 120, 3.0),
            Self {
                signal_lag: at(2),
                signal_loss: 0.3,
                ..Self::new("late-reports", 60, 0.95)
            },
        ];
        let replacements = (0..ENGINES)
            .step_by(2)
            .map(|engine| (at(20), Change::Replace(engine)));
        cases.push(Self {
            changes: replacements.collect(),
            ..Self::new("half-replaced", 60, 0.7)
        });
        cases.push(Self {
            changes: vec![(at(20), Change::Partition(0)), (at(45), Change::Heal(0))],
            ..Self::new("zone-lost", 75, 0.55)
        });
        cases.extend(Self::failure_cases());
        cases.extend([
            Self {
                first_entry_fraction: 0.7,
                ..Self::new("uneven-entries", 60, 0.8)
            },
            Self {
                mixed_sizes: true,
                ..Self::new("mixed-engines", 60, 0.95)
            },
            Self {
                fixed_max_tokens: false,
                ..Self::new("load-3.0-told", 120, 3.0)
            },
        ]);
        cases
    }

    /// Cases in which upstreams fail their attempts.
    fn failure_cases() -> [Self; 2] {
        let at = Duration::from_secs;
        let all =
            |second, fraction| (0..ENGINES).map(move |e| (at(second), Change::Fail(e, fraction)));
        [
            Self {
                changes: vec![
                    (at(15), Change::Fail(3, 1.0)),
                    (at(45), Change::Fail(3, 0.0)),
                ],
                ..Self::new("failing-upstream", 60, 0.7)
            },
            Self {
                changes: all(20, 1.0).chain(all(30, 0.0)).collect(),
                ..Self::new("outage", 60, 0.7)
            },
        ]
    }

    /// The work per second of all engines at full speed.
    pub fn capacity() -> f64 {
        (ENGINES * FULL_SPEED_REQUESTS) as f64 * WORK_PER_SECOND
    }

    pub fn engines(&self) -> Vec<Engine> {
        (0..ENGINES)
            .map(|engine| Engine::new(engine % ZONES, 24, self.full_speed_requests(engine)))
            .collect()
    }

    /// How many requests an engine runs at full speed.
    pub fn full_speed_requests(&self, engine: usize) -> usize {
        match (self.mixed_sizes, engine % 2) {
            (false, _) => FULL_SPEED_REQUESTS,
            (true, 0) => FULL_SPEED_REQUESTS / 2,
            (true, _) => FULL_SPEED_REQUESTS * 3 / 2,
        }
    }

    /// The work per second of all engines at `now`, after the changes so far.
    pub fn capacity_at(&self, now: Duration) -> f64 {
        let mut speeds = [1.0; ENGINES];
        let past = self.changes.iter().filter(|(at, _)| *at <= now);
        for (at, change) in past {
            match *change {
                Change::Speed(engine, speed) => speeds[engine] = speed,
                Change::Replace(engine) if now < *at + super::engine::COLD_DURATION => {
                    speeds[engine] = 0.3;
                }
                Change::Replace(engine) => speeds[engine] = 1.0,
                Change::Fail(engine, failing) => speeds[engine] = 1.0 - failing,
                Change::Partition(zone) => {
                    (zone..ENGINES).step_by(ZONES).for_each(|e| speeds[e] = 0.0);
                }
                Change::Heal(zone) => (zone..ENGINES).step_by(ZONES).for_each(|e| speeds[e] = 1.0),
            }
        }
        let speed = |engine: usize| {
            speeds[engine] * self.full_speed_requests(engine) as f64 * WORK_PER_SECOND
        };
        (0..ENGINES).map(speed).sum()
    }

    fn load_at(&self, second: f64) -> f64 {
        let past = self
            .offered_load
            .iter()
            .rev()
            .find(|(from, _)| *from as f64 <= second);
        past.map_or(0.0, |(_, offered_load)| *offered_load)
    }

    /// Whether a zone is partitioned from the others.
    pub fn is_partitioned(&self, now: Duration, zone: usize) -> bool {
        let past = self.changes.iter().filter(|(at, _)| *at <= now);
        past.fold(false, |partitioned, (_, change)| match change {
            Change::Partition(z) if *z == zone => true,
            Change::Heal(z) if *z == zone => false,
            _ => partitioned,
        })
    }

    fn pick_entry(&self, random: &mut SmallRng) -> usize {
        if random.random_bool(self.first_entry_fraction) {
            0
        } else {
            random.random_range(1..ENTRIES)
        }
    }

    fn pick_customer(&self, random: &mut SmallRng) -> usize {
        if random.random_bool(self.hot_fraction) {
            random.random_range(0..3)
        } else {
            random.random_range(3..CUSTOMERS)
        }
    }

    /// The requests in order of arrival.
    pub fn jobs(&self) -> Vec<Job> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut sample_random = SmallRng::seed_from_u64(self.seed + 1);
        let total: f64 = (0..20_000)
            .map(|i| {
                self.mix
                    .job(&mut sample_random, i % CUSTOMERS, self.fixed_max_tokens)
                    .work(true)
            })
            .sum();
        let mean = total / 20_000.0;
        let mut jobs = Vec::new();
        let mut now = 0.0;
        while now < self.seconds as f64 {
            let rate = self.load_at(now) * Self::capacity() / mean;
            now += exponential(&mut random, 1.0 / rate);
            let customer = self.pick_customer(&mut random);
            let mut job = self.mix.job(&mut random, customer, self.fixed_max_tokens);
            job.arrival = Duration::from_secs_f64(now);
            job.deadline += job.arrival;
            // The load balancer in front of the entries sends nothing to those in a
            // partitioned zone.
            job.entry = self.pick_entry(&mut random);
            while self.is_partitioned(job.arrival, job.entry % ZONES) {
                job.entry = self.pick_entry(&mut random);
            }
            jobs.push(job);
        }
        jobs
    }
}
