//! A stand-in for the engines of a group: ranks that advance in lock-step,
//! within the steps that they were granted.
//!
//! It runs on the time it is told, so tests play hours in milliseconds. A step
//! starts when every rank is there, was granted that step and holds the
//! weights of the map that it believes the step runs on. As in an engine's
//! collective calls, nobody compares those maps: that they agree is what the
//! group's protocol is for, and what the recorded history is checked for.

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

/// Fixed properties of the group.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How many ranks the group has.
    pub ranks: u16,
    /// How long a step takes.
    pub step_time: Duration,
    /// Whether the engines refuse orders with an old fence.
    pub checks_fences: bool,
    /// The size of one expert's weights in bytes.
    pub expert_bytes: u64,
}

/// One rank's engine.
#[derive(Debug, Default)]
struct Engine {
    /// The start of the engine.
    incarnation: u64,
    /// The highest fence seen.
    fence: u64,
    /// The last step run.
    last_step: u64,
    /// The epoch of that step.
    running_epoch: Option<u64>,
    /// The steps to run, with their epochs.
    granted_steps: VecDeque<(u64, u64)>,
    /// The maps whose weights are loaded.
    loaded: BTreeSet<u64>,
    /// The maps known.
    maps: BTreeMap<u64, Map>,
    /// The maps that are being loaded, and when that ends.
    loading: BTreeMap<u64, Duration>,
    /// Until when it does nothing.
    stalled_until: Duration,
    /// What its agent hasn't been told yet.
    events: Vec<Event>,
    /// Samples, and when they are told.
    samples: Vec<(Duration, Sample)>,
}

/// The steps of one sample.
const STEPS_PER_SAMPLE: u32 = 100;
/// Every so many samples one is lost.
const DROPPED_SAMPLE_INTERVAL: u64 = 7;
/// How late samples are told.
const SAMPLE_DELAY: Duration = Duration::from_millis(500);
/// How many samples are kept for an agent that doesn't ask.
const MAX_PENDING_SAMPLES: usize = 16;

/// The engines of a group.
#[derive(Debug)]
pub struct Group {
    /// Fixed properties.
    settings: Settings,
    /// The ranks.
    engines: Vec<Engine>,
    /// Where weights come from.
    store: Store,
    /// When the step that runs ends.
    step_ends_at: Duration,
    /// What was run.
    history: Vec<Entry>,
    /// How long the group stood because steps hadn't been granted.
    idle_time: Duration,
    /// The tokens of each expert in a step, by layer.
    popularity: Vec<Vec<u64>>,
}

impl Group {
    /// A group that has run nothing.
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

    /// Sets how many tokens each expert of each layer gets in a step.
    pub fn set_popularity(&mut self, popularity: Vec<Vec<u64>>) {
        self.popularity = popularity;
    }

    /// The samples that a rank's engine tells by now, once.
    pub fn samples(&mut self, now: Duration, seat: u16) -> Vec<Sample> {
        let samples = &mut self.engines[usize::from(seat)].samples;
        let due_samples = samples.extract_if(.., |(due, _)| *due <= now);
        due_samples.map(|(_, sample)| sample).collect()
    }

    /// What was run, in order.
    #[must_use]
    pub fn history(&self) -> &[Entry] {
        &self.history
    }

    /// How long the group stood because steps hadn't been granted.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.idle_time
    }

    /// Where weights come from.
    pub fn store(&mut self) -> &mut Store {
        &mut self.store
    }

    /// The last step that a rank has run.
    #[must_use]
    pub fn last_step(&self, seat: u16) -> u64 {
        self.engines[usize::from(seat)].last_step
    }

    /// Has a rank do nothing until then.
    pub fn stall(&mut self, seat: u16, until: Duration) {
        self.engines[usize::from(seat)].stalled_until = until;
    }

    /// Restarts a rank's engine, which loses everything.
    pub fn restart(&mut self, seat: u16) {
        let engine = &mut self.engines[usize::from(seat)];
        *engine = Engine {
            incarnation: engine.incarnation + 1,
            ..Engine::default()
        };
    }

    /// What a rank has to tell its agent.
    pub fn events(&mut self, seat: u16) -> Vec<Event> {
        std::mem::take(&mut self.engines[usize::from(seat)].events)
    }

    /// Where a rank stands. The ticket is repeated; 0 where nobody asked.
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

    /// A rank's engine is read under a fence, which it refuses lower ones from
    /// then on if it checks them. It is answered in any case: that is how an
    /// agent learns that its fence is old.
    pub fn read(&mut self, seat: u16, fence: u64, ticket: u64) -> Snapshot {
        let engine = &mut self.engines[usize::from(seat)];
        engine.fence = engine.fence.max(fence);
        self.state(seat, ticket)
    }

    /// A rank's engine gets an order, and returns whether it took it. What else
    /// it has to say comes as events.
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

    /// A rank starts to load what a map needs.
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

    /// Lets time pass up to `now`: loads end, steps run.
    pub fn advance(&mut self, now: Duration) {
        for engine in &mut self.engines {
            engine.load(now);
        }
        // A step counts as run from its start, which needs the grant; counted
        // at its end, a grant that came too late for its start would pass.
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

    /// Counts the tokens of the steps up to this one, now and then.
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

    /// Runs the next step, if every rank can.
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
            let (_, epoch) = engine.granted_steps.pop_front().expect("seen above");
            engine.last_step = step;
            engine.running_epoch = Some(epoch);
            self.history.push(Entry { step, seat, epoch });
        }
        self.sample(now, step);
        true
    }
}

impl Engine {
    /// Takes up steps. Those that haven't run get the new order's map: an
    /// engine that doesn't check fences obeys whoever spoke last.
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

    /// Ends the loads that are through by now.
    fn load(&mut self, now: Duration) {
        let loaded: Vec<u64> = self
            .loading
            .iter()
            .filter(|&(_, &ready)| ready <= now)
            .map(|(&epoch, _)| epoch)
            .collect();
        for epoch in loaded {
            self.loading.remove(&epoch);
            self.loaded.insert(epoch);
            self.events.push(Event::Staged { epoch });
        }
    }
}
