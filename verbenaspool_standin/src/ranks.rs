//! A stand-in for the engines of a group, whose ranks advance in lockstep within the steps that
//! they were granted.
//!
//! It runs on virtual time, so tests simulate hours in milliseconds. A step starts when no rank is
//! stalled, and every rank was granted the step and has loaded the weights of the map that it was
//! granted the step for. As in collective calls of real engines, the ranks don't compare these
//! maps: the group's protocol has to make them agree, and `history::steps` checks that they do.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use verbenaspool_coordination::group::{
    engine::{Action, Event, Snapshot},
    schedule::Span,
};
use verbenaspool_policy::rebalancer::sample::Sample;
use verbenaspool_state::expert_map::Map;

use crate::{history::steps::Entry, weights::Store};

/// Fixed settings of the group.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The number of ranks.
    pub ranks: u16,
    /// The duration of a step.
    pub step_time: Duration,
    /// Whether the engines reject orders with an old fence.
    pub checks_fences: bool,
    /// The size of one expert's weights in bytes.
    pub expert_bytes: u64,
}

/// The engine of one rank.
#[derive(Debug, Default)]
struct Engine {
    /// The number of the engine's start.
    incarnation: u64,
    /// The highest fence seen.
    fence: u64,
    /// The last step that was run.
    last_step: u64,
    /// The epoch of the last step.
    running_epoch: Option<u64>,
    /// The granted steps that haven't run, with their epochs.
    granted_steps: VecDeque<(u64, u64)>,
    /// The epochs of the maps whose weights are loaded.
    loaded: BTreeSet<u64>,
    /// The staged maps by epoch.
    maps: BTreeMap<u64, Map>,
    /// The epochs of the maps that are being loaded, and when their loads end.
    loading: BTreeMap<u64, Duration>,
    /// Until when the engine runs no step.
    stalled_until: Duration,
    /// Events that haven't been reported to the agent.
    events: Vec<Event>,
    /// Samples, and when they are reported.
    samples: Vec<(Duration, Sample)>,
}

/// How many steps a sample covers.
const STEPS_PER_SAMPLE: u32 = 100;
/// One of this many samples is dropped.
const DROPPED_SAMPLE_INTERVAL: u64 = 7;
/// How late samples are reported.
const SAMPLE_DELAY: Duration = Duration::from_millis(500);
/// How many unreported samples an engine keeps, in case its agent doesn't poll.
const MAX_PENDING_SAMPLES: usize = 16;

/// The engines of a group.
#[derive(Debug)]
pub struct Group {
    settings: Settings,
    /// The engines, by seat.
    engines: Vec<Engine>,
    /// The weight store from which the engines load.
    store: Store,
    /// When the current step ends.
    step_ends_at: Duration,
    /// The steps that were run.
    history: Vec<Entry>,
    /// How long no step ran though no engine was stalled.
    idle_time: Duration,
    /// The tokens per step of each expert, by layer.
    popularity: Vec<Vec<u64>>,
}

impl Group {
    /// Creates a group that has run no steps.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::group::{engine::Action, schedule::Span};
    /// use verbenaspool_standin::{ranks::{Group, Settings}, weights::Store};
    /// use verbenaspool_state::expert_map::{Map, Shape};
    ///
    /// let step_time = Duration::from_millis(25);
    /// let settings = Settings { ranks: 1, step_time, checks_fences: true, expert_bytes: 1 };
    /// let mut group = Group::new(settings, Store::new(1_000_000));
    /// let shape = Shape { ranks: 1, experts: 2, layers: 1, slots: 2 };
    /// let map = Map::spread(1, shape);
    /// group.order(Duration::ZERO, 0, 1, Action::Stage { map, rate: 1_000 });
    /// let spans = vec![Span { from: 1, to: 4, epoch: 1 }];
    /// group.order(Duration::ZERO, 0, 1, Action::Grant { spans });
    /// group.advance(Duration::from_secs(1));
    /// assert_eq!(group.history().len(), 4);
    /// ```
    #[must_use]
    pub fn new(settings: Settings, store: Store) -> Self {
        let engines = (0..settings.ranks).map(|_| Engine::default());
        Self {
            engines: engines.collect(),
            settings,
            store,
            step_ends_at: Duration::ZERO,
            history: Vec::new(),
            idle_time: Duration::ZERO,
            popularity: Vec::new(),
        }
    }

    /// Sets how many tokens each expert of each layer gets per step.
    pub fn set_popularity(&mut self, popularity: Vec<Vec<u64>>) {
        self.popularity = popularity;
    }

    /// Takes the samples that a rank's engine has to report by now.
    pub fn samples(&mut self, now: Duration, seat: u16) -> Vec<Sample> {
        let samples = &mut self.engines[usize::from(seat)].samples;
        let due_samples = samples.extract_if(.., |(due, _)| *due <= now);
        due_samples.map(|(_, sample)| sample).collect()
    }

    /// Returns the steps that were run, in order.
    #[must_use]
    pub fn history(&self) -> &[Entry] {
        &self.history
    }

    /// Returns how long no step ran though no engine was stalled, since the first step.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.idle_time
    }

    /// Returns the weight store from which the engines load.
    pub fn store(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Returns the last step that a rank has run.
    #[must_use]
    pub fn last_step(&self, seat: u16) -> u64 {
        self.engines[usize::from(seat)].last_step
    }

    /// Stalls a rank: it runs no step before the given time.
    pub fn stall(&mut self, seat: u16, until: Duration) {
        self.engines[usize::from(seat)].stalled_until = until;
    }

    /// Restarts a rank's engine, which loses its state.
    pub fn restart(&mut self, seat: u16) {
        let engine = &mut self.engines[usize::from(seat)];
        *engine = Engine {
            incarnation: engine.incarnation + 1,
            ..Engine::default()
        };
    }

    /// Takes the events that a rank has to report to its agent.
    pub fn events(&mut self, seat: u16) -> Vec<Event> {
        std::mem::take(&mut self.engines[usize::from(seat)].events)
    }

    /// Returns the state of a rank. The ticket is returned as given; without one (0), the maps are
    /// left out.
    #[must_use]
    pub fn state(&self, seat: u16, ticket: u64) -> Snapshot {
        let engine = &self.engines[usize::from(seat)];
        let mut spans: Vec<Span> = Vec::new();
        for &(step, epoch) in &engine.granted_steps {
            match spans.last_mut() {
                Some(span) if span.epoch == epoch => span.to = step,
                _ => spans.push(Span {
                    from: step,
                    to: step,
                    epoch,
                }),
            }
        }
        let maps = if ticket == 0 {
            Vec::new()
        } else {
            engine.maps.values().cloned().collect()
        };
        Snapshot {
            ticket,
            incarnation: engine.incarnation,
            fence: self.settings.checks_fences.then_some(engine.fence),
            done: engine.last_step,
            running: engine.running_epoch,
            spans,
            loaded: engine.loaded.iter().copied().collect(),
            maps,
        }
    }

    /// Reads the state of a rank's engine with a fence. From then on the engine rejects lower
    /// fences, if it checks them. The read itself is always answered, so that an agent learns that
    /// its fence is old.
    pub fn read(&mut self, seat: u16, fence: u64, ticket: u64) -> Snapshot {
        let engine = &mut self.engines[usize::from(seat)];
        engine.fence = engine.fence.max(fence);
        self.state(seat, ticket)
    }

    /// Sends an order to a rank's engine and returns whether the engine accepted it. Results are
    /// reported as events.
    pub fn order(&mut self, now: Duration, seat: u16, fence: u64, action: Action) -> bool {
        let ignores_fences = !self.settings.checks_fences;
        if let Action::Read { ticket } = action {
            let state = self.read(seat, fence, ticket);
            let engine = &mut self.engines[usize::from(seat)];
            engine.events.push(Event::State(state));
            return true;
        }
        let engine = &mut self.engines[usize::from(seat)];
        if fence < engine.fence && !ignores_fences {
            return false;
        }
        engine.fence = engine.fence.max(fence);
        match action {
            Action::Read { .. } => {}
            Action::Grant { spans } => engine.grant(&spans),
            Action::Replace { spans } => {
                engine.granted_steps.clear();
                engine.grant(&spans);
            }
            Action::Stage { map, rate } => self.stage(now, seat, map, rate),
            Action::Drop { epoch } => {
                engine.loaded.remove(&epoch);
                engine.maps.remove(&epoch);
                engine.loading.remove(&epoch);
            }
        }
        true
    }

    /// Starts to load the weights that a rank lacks for a map, at no more than `max_rate`.
    fn stage(&mut self, now: Duration, seat: u16, map: Map, max_rate: u64) {
        let engine = &mut self.engines[usize::from(seat)];
        let epoch = map.epoch;
        if engine.loaded.contains(&epoch) {
            engine.events.push(Event::Staged { epoch });
            return;
        }
        if engine.loading.contains_key(&epoch) {
            return;
        }
        let before = engine
            .loaded
            .last()
            .and_then(|epoch| engine.maps.get(epoch));
        let experts = map.added(before, seat).len() as u64;
        let bytes = experts * self.settings.expert_bytes;
        match self.store.load(now, bytes) {
            Ok(ready) => {
                let millis = (bytes * 1_000).checked_div(max_rate).unwrap_or(0);
                let ready = ready.max(now + Duration::from_millis(millis));
                engine.maps.insert(epoch, map);
                engine.loading.insert(epoch, ready);
            }
            Err(rejected) => {
                let reason = rejected.to_string();
                engine.events.push(Event::Failed { epoch, reason });
            }
        }
    }

    /// Advances to `now`: completes loads and runs steps.
    pub fn advance(&mut self, now: Duration) {
        for engine in &mut self.engines {
            engine.load(now);
        }
        // A step is recorded at its start, which requires the grant. Recorded at its end, it could
        // run on a grant that came after its start.
        while self.step_ends_at <= now && self.step(now) {
            self.step_ends_at += self.settings.step_time;
        }
        let idle = now.saturating_sub(self.step_ends_at);
        self.step_ends_at += idle;
        let can_run = self
            .engines
            .iter()
            .all(|engine| engine.stalled_until <= now);
        if can_run && !self.history.is_empty() {
            self.idle_time += idle;
        }
    }

    /// Takes a sample of the token counts if one is due at this step.
    fn sample(&mut self, now: Duration, step: u64) {
        let steps = u64::from(STEPS_PER_SAMPLE);
        let dropped = (step / steps).is_multiple_of(DROPPED_SAMPLE_INTERVAL);
        if self.popularity.is_empty() || !step.is_multiple_of(steps) || dropped {
            return;
        }
        let count = |layer: &Vec<u64>| layer.iter().map(|tokens| tokens * steps).collect();
        let layers: Vec<Vec<u64>> = self.popularity.iter().map(count).collect();
        for engine in &mut self.engines {
            let sample = Sample {
                epoch: engine.running_epoch.unwrap_or(0),
                step,
                steps: STEPS_PER_SAMPLE,
                spare: 0.1,
                layers: layers.clone(),
            };
            engine.samples.push((now + SAMPLE_DELAY, sample));
            let excess = engine.samples.len().saturating_sub(MAX_PENDING_SAMPLES);
            engine.samples.drain(..excess);
        }
    }

    /// Runs the next step if every rank can run it.
    fn step(&mut self, now: Duration) -> bool {
        let next = |engine: &Engine| {
            let &(step, epoch) = engine.granted_steps.front()?;
            let can_run = engine.stalled_until <= now && engine.loaded.contains(&epoch);
            can_run.then_some(step)
        };
        let Some(step) = self.engines.first().and_then(next) else {
            return false;
        };
        if self.engines.iter().any(|engine| next(engine) != Some(step)) {
            return false;
        }
        for (seat, engine) in (0..).zip(&mut self.engines) {
            let (_, epoch) = engine.granted_steps.pop_front().expect("checked above");
            engine.last_step = step;
            engine.running_epoch = Some(epoch);
            self.history.push(Entry { step, seat, epoch });
        }
        self.sample(now, step);
        true
    }
}

impl Engine {
    /// Adds granted steps. Steps that were granted before but haven't run get the new order's map:
    /// an engine that doesn't check fences follows the latest order.
    fn grant(&mut self, spans: &[Span]) {
        let steps = spans.iter().flat_map(|span| {
            let steps = span.from.max(self.last_step + 1)..=span.to;
            steps.map(|step| (step, span.epoch))
        });
        for (step, epoch) in steps {
            let last_known = self
                .granted_steps
                .back()
                .map_or(self.last_step, |&(step, _)| step);
            let listed = self
                .granted_steps
                .iter_mut()
                .find(|listed| listed.0 == step);
            match listed {
                Some(listed) => listed.1 = epoch,
                None if step == last_known + 1 || last_known == 0 => {
                    self.granted_steps.push_back((step, epoch));
                }
                None => return,
            }
        }
    }

    /// Completes the loads that end by `now`.
    fn load(&mut self, now: Duration) {
        let completed: Vec<u64> = self
            .loading
            .iter()
            .filter(|&(_, &ready)| ready <= now)
            .map(|(&epoch, _)| epoch)
            .collect();
        for epoch in completed {
            self.loading.remove(&epoch);
            self.loaded.insert(epoch);
            self.events.push(Event::Staged { epoch });
        }
    }
}
