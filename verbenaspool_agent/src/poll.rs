//! What the agent knows of its upstream, asked for at intervals.

use std::{collections::VecDeque, rc::Rc};

use bytes::Buf;
use futures_util::future::{Either, select};
use http::Request;
use http_body_util::{BodyExt, Limited};
use slog::warn;

use verbenaspool_protocol::{
    engine::State,
    report::{Cache, Event},
};
use verbenaspool_transport::http::body::Body;

use crate::shared::Shared;

/// How many cache events are kept for entries that ask slowly. A seat in this
/// list is 24 bytes, and an entry that missed more starts afresh.
const MAX_EVENTS: usize = 4_096;

/// The most events in one report, some 4 KB. An entry asks an agent about once
/// a second; a new one that must catch up takes several reports for it.
const MAX_EVENTS_PER_REPORT: usize = 64;

/// The largest state that is read, in bytes.
const MAX_STATE_BYTES: usize = 1024 * 1024;

/// What the agent knows of its engine.
#[derive(Debug, Default)]
pub(crate) struct View {
    running: u32,
    queued: u32,
    tokens: u64,
    events: VecDeque<Event>,
    /// The number of the last event heard.
    last_event: u64,
    /// Up to here events are no longer kept.
    dropped_through: u64,
}

impl View {
    pub(crate) fn queued(&self) -> u32 {
        self.queued
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Takes the engine's word in.
    pub(crate) fn update(&mut self, state: State) {
        self.running = state.running;
        self.queued = state.queued;
        self.tokens = state.tokens;
        // An engine that starts again counts from 1: what was held is gone.
        if state.last < self.last_event {
            self.events.clear();
            self.last_event = 0;
            self.dropped_through = 0;
        }
        for event in state.events {
            self.push_event(event);
        }
    }

    fn push_event(&mut self, event: Event) {
        if event.number <= self.last_event {
            return;
        }
        self.last_event = event.number;
        self.events.push_back(event);
        while self.events.len() > MAX_EVENTS {
            self.dropped_through = self
                .events
                .pop_front()
                .map_or(self.dropped_through, |old| old.number);
        }
    }

    /// The events behind a number, as many as one report carries.
    ///
    /// An event that the engine lost makes no fresh start: a prefix whose
    /// coming was lost is missed, and one whose going was lost draws a request
    /// that brings it back. Forgetting all the others would cost far more.
    pub(crate) fn events_since(&self, number: u64) -> Cache {
        // A number from before the engine's restart is above all that is known.
        let reset = number < self.dropped_through || number > self.last_event;
        let from = if reset { self.dropped_through } else { number };
        let start = self.events.partition_point(|event| event.number <= from);
        let events: Vec<Event> = self
            .events
            .range(start..)
            .take(MAX_EVENTS_PER_REPORT)
            .copied()
            .collect();
        Cache {
            reset,
            last: events.last().map_or(from, |event| event.number),
            events,
        }
    }
}

/// Asks the engine for its state at intervals, for as long as the loop runs.
pub(crate) async fn run(shared: Rc<Shared>, path: String) {
    let interval = std::time::Duration::from_millis(shared.settings.upstream.poll_ms);
    let mut reachable = true;
    loop {
        let fetch = Box::pin(fetch_state(&shared, &path));
        let state = match select(fetch, shared.clock.sleep(interval)).await {
            Either::Left((state, _)) => state,
            Either::Right(_) => Err("the engine took too long".to_owned()),
        };
        match state {
            Ok(state) => {
                shared.engine.borrow_mut().update(state);
                reachable = true;
            }
            Err(reason) if reachable => {
                warn!(shared.log, "Poll: The engine's state can't be read."; "reason" => reason);
                reachable = false;
            }
            Err(_) => {}
        }
        shared.clock.sleep(interval).await;
    }
}

async fn fetch_state(shared: &Shared, path: &str) -> Result<State, String> {
    let since = shared.engine.borrow().last_event;
    let request = Request::get(format!("{path}?since={since}"))
        .header(http::header::HOST, shared.upstream().to_string())
        .body(Body::empty())
        .map_err(|error| error.to_string())?;
    let response = shared
        .client
        .send(shared.upstream(), request)
        .await
        .map_err(|error| error.to_string())?;
    let body = Limited::new(response.into_body(), MAX_STATE_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    serde_json::from_reader(body.aggregate().reader()).map_err(|error| error.to_string())
}
