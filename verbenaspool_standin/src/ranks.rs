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
    pub step: Duration,
    /// Whether the engines refuse orders with an old fence.
    pub checked: bool,
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
    done: u64,
    /// The epoch of that step.
    running: Option<u64>,
    /// The steps to run, with their epochs.
    steps: VecDeque<(u64, u64)>,
    /// The maps whose weights are loaded.
    held: BTreeSet<u64>,
    /// The maps known.
    maps: BTreeMap<u64, Map>,
    /// The maps that are being loaded, and when that ends.
    loading: BTreeMap<u64, Duration>,
    /// Until when it does nothing.
    stalled: Duration,
    /// What its agent hasn't been told yet.
    events: Vec<Event>,
    /// Samples, and when they are told.
    samples: Vec<(Duration, Sample)>,
}

/// The steps of one sample.
const SAMPLED: u32 = 100;
/// Every so many samples one is lost.
const GAP: u64 = 7;
/// How late samples are told.
const LAG: Duration = Duration::from_millis(500);
/// How many samples are kept for an agent that doesn't ask.
const KEPT: usize = 16;

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
    free: Duration,
    /// What was run.
    history: Vec<Entry>,
    /// How long the group stood because steps hadn't been granted.
    waited: Duration,
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
    /// let step = Duration::from_millis(25);
    /// let settings = Settings { ranks: 1, step, checked: true, expert_bytes: 1 };
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
            free: Duration::ZERO,
            history: Vec::new(),
            waited: Duration::ZERO,
            popularity: Vec::new(),
        }
    }

    /// Sets how many tokens each expert of each layer gets in a step.
    pub fn drift(&mut self, popularity: Vec<Vec<u64>>) {
        self.popularity = popularity;
    }

    /// The samples that a rank's engine tells by now, once.
    pub fn samples(&mut self, now: Duration, seat: u16) -> Vec<Sample> {
        let samples = &mut self.engines[usize::from(seat)].samples;
        let told = samples.extract_if(.., |(due, _)| *due <= now);
        told.map(|(_, sample)| sample).collect()
    }

    /// What was run, in order.
    #[must_use]
    pub fn history(&self) -> &[Entry] {
        &self.history
    }

    /// How long the group stood because steps hadn't been granted.
    #[must_use]
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Where weights come from.
    pub fn store(&mut self) -> &mut Store {
        &mut self.store
    }

    /// The last step that a rank has run.
    #[must_use]
    pub fn done(&self, seat: u16) -> u64 {
        self.engines[usize::from(seat)].done
    }

    /// Has a rank do nothing until then.
    pub fn stall(&mut self, seat: u16, until: Duration) {
        self.engines[usize::from(seat)].stalled = until;
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
        for &(step, epoch) in &engine.steps {
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
            fence: self.settings.checked.then_some(engine.fence),
            done: engine.done,
            running: engine.running,
            spans,
            loaded: engine.held.iter().copied().collect(),
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
        let ignores = !self.settings.checked;
        if let Action::Read { ticket } = action {
            let state = self.read(seat, fence, ticket);
            let engine = &mut self.engines[usize::from(seat)];
            engine.events.push(Event::State(state));
            return true;
        }
        let engine = &mut self.engines[usize::from(seat)];
        if fence < engine.fence && !ignores {
            return false;
        }
        engine.fence = engine.fence.max(fence);
        match action {
            Action::Read { .. } => {}
            Action::Grant { spans } => engine.grant(&spans),
            Action::Replace { spans } => {
                engine.steps.clear();
                engine.grant(&spans);
            }
            Action::Stage { map, rate } => self.stage(now, seat, map, rate),
            Action::Drop { epoch } => {
                engine.held.remove(&epoch);
                engine.maps.remove(&epoch);
                engine.loading.remove(&epoch);
            }
        }
        true
    }

    /// A rank starts to load what a map needs.
    fn stage(&mut self, now: Duration, seat: u16, map: Map, rate: u64) {
        let engine = &mut self.engines[usize::from(seat)];
        let epoch = map.epoch;
        if engine.held.contains(&epoch) {
            engine.events.push(Event::Staged { epoch });
            return;
        }
        if engine.loading.contains_key(&epoch) {
            return;
        }
        let before = engine.held.last().and_then(|epoch| engine.maps.get(epoch));
        let experts = map.added(before, seat).len() as u64;
        let bytes = experts * self.settings.expert_bytes;
        match self.store.load(now, bytes) {
            Ok(ready) => {
                let millis = (bytes * 1_000).checked_div(rate).unwrap_or(0);
                let ready = ready.max(now + Duration::from_millis(millis));
                engine.maps.insert(epoch, map);
                engine.loading.insert(epoch, ready);
            }
            Err(refused) => {
                let reason = refused.to_string();
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
        while self.free <= now && self.step(now) {
            self.free += self.settings.step;
        }
        let idle = now.saturating_sub(self.free);
        self.free += idle;
        let able = self.engines.iter().all(|engine| engine.stalled <= now);
        if able && !self.history.is_empty() {
            self.waited += idle;
        }
    }

    /// Counts the tokens of the steps up to this one, now and then.
    fn sample(&mut self, now: Duration, step: u64) {
        let steps = u64::from(SAMPLED);
        let lost = (step / steps).is_multiple_of(GAP);
        if self.popularity.is_empty() || !step.is_multiple_of(steps) || lost {
            return;
        }
        let count = |layer: &Vec<u64>| layer.iter().map(|tokens| tokens * steps).collect();
        let layers: Vec<Vec<u64>> = self.popularity.iter().map(count).collect();
        for engine in &mut self.engines {
            let sample = Sample {
                epoch: engine.running.unwrap_or(0),
                step,
                steps: SAMPLED,
                spare: 0.1,
                layers: layers.clone(),
            };
            engine.samples.push((now + LAG, sample));
            let over = engine.samples.len().saturating_sub(KEPT);
            engine.samples.drain(..over);
        }
    }

    /// Runs the next step, if every rank can.
    fn step(&mut self, now: Duration) -> bool {
        let next = |engine: &Engine| {
            let &(step, epoch) = engine.steps.front()?;
            let able = engine.stalled <= now && engine.held.contains(&epoch);
            able.then_some(step)
        };
        let Some(step) = self.engines.first().and_then(next) else {
            return false;
        };
        if self.engines.iter().any(|engine| next(engine) != Some(step)) {
            return false;
        }
        for (seat, engine) in (0..).zip(&mut self.engines) {
            let (_, epoch) = engine.steps.pop_front().expect("seen above");
            engine.done = step;
            engine.running = Some(epoch);
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
            let steps = span.from.max(self.done + 1)..=span.to;
            steps.map(|step| (step, span.epoch))
        });
        for (step, epoch) in steps {
            let top = self.steps.back().map_or(self.done, |&(step, _)| step);
            let listed = self.steps.iter_mut().find(|listed| listed.0 == step);
            match listed {
                Some(listed) => listed.1 = epoch,
                None if step == top + 1 || top == 0 => self.steps.push_back((step, epoch)),
                None => return,
            }
        }
    }

    /// Ends the loads that are through by now.
    fn load(&mut self, now: Duration) {
        let through: Vec<u64> = self
            .loading
            .iter()
            .filter(|&(_, &ready)| ready <= now)
            .map(|(&epoch, _)| epoch)
            .collect();
        for epoch in through {
            self.loading.remove(&epoch);
            self.held.insert(epoch);
            self.events.push(Event::Staged { epoch });
        }
    }
}
