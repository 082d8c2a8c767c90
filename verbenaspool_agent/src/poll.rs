//! The upstream's state, polled at intervals.

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

/// Number of cache events kept for entries that request reports at long intervals. An
/// event takes 24 bytes. An entry that missed more than these is told to reset.
const MAX_EVENTS: usize = 4_096;

/// Maximum number of events in one report, about 4 KB. An entry requests a report about
/// once a second; a new entry needs several reports to catch up.
const MAX_EVENTS_PER_REPORT: usize = 64;

/// Maximum size of the engine's state in bytes.
const MAX_STATE_BYTES: usize = 1024 * 1024;

/// The last known state of the engine.
#[derive(Debug, Default)]
pub(crate) struct View {
    running: u32,
    queued: u32,
    tokens: u64,
    events: VecDeque<Event>,
    /// Number of the last event received.
    last_event: u64,
    /// Events up to this number are no longer kept.
    dropped_through: u64,
}

impl View {
    pub(crate) fn queued(&self) -> u32 {
        self.queued
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Updates the view with the engine's state.
    pub(crate) fn update(&mut self, state: State) {
        self.running = state.running;
        self.queued = state.queued;
        self.tokens = state.tokens;
        // A restarted engine counts from 1 again, and its cache is empty.
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

    /// The events after a number, up to the maximum of one report.
    ///
    /// An event that the engine lost causes no reset. If the addition of a prefix was lost,
    /// entries don't know that it is cached; if the removal was lost, they send one request
    /// that brings the prefix back. A reset would cost far more.
    pub(crate) fn events_since(&self, number: u64) -> Cache {
        // A number from before the engine's restart is above the last event.
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

/// Polls the state of the engine for as long as the event loop runs.
pub(crate) async fn run(shared: Rc<Shared>, path: String) {
    let interval = std::time::Duration::from_millis(shared.settings.upstream.poll_ms);
    let mut reachable = true;
    loop {
        let fetch = Box::pin(fetch_state(&shared, &path));
        let state = match select(fetch, shared.clock.sleep(interval)).await {
            Either::Left((state, _)) => state,
            Either::Right(_) => {
                Err("the engine did not answer within the poll interval".to_owned())
            }
        };
        match state {
            Ok(state) => {
                shared.engine.borrow_mut().update(state);
                reachable = true;
            }
            Err(reason) if reachable => {
                warn!(shared.log, "can't read the engine's state"; "reason" => reason);
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
