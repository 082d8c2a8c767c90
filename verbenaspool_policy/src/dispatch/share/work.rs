//! The work of a request, from the token counts that its caller announces.

use std::{collections::BTreeMap, rc::Rc};

use verbenaspool_state::engine::Engine;

/// Prompt tokens that an engine reads in a millisecond: 60 to 75.
const PROMPT_TOKENS_PER_MS: f64 = 67.0;

/// The prompt and output tokens of a request with a work of 1. All entries must use the same
/// unit, so it isn't a mean of what one of them has seen.
const UNIT_TOKENS: [u32; 2] = [1_000, 80];

/// The range of the work that a caller can announce. Without an upper bound, one request with an
/// absurd count would raise the share level for all customers.
const ANNOUNCED_WORK_RANGE: [f64; 2] = [0.05, 50.0];

/// The weight of the newest request in a route's mean.
const NEWEST_WEIGHT: f64 = 0.02;

/// The most routes whose means are kept. A deployment has a few.
const MAX_ROUTES: usize = 256;

/// The engine time that a request takes from others, in milliseconds. An output token takes the
/// additional time of its step, and with all slots in use an equal part of the rest.
fn engine_ms(engine: &Engine, [prompt, output]: [u32; 2]) -> f64 {
    let step_ms = engine.step_time.as_secs_f64() * 1e3 / f64::from(engine.slots.max(1));
    let token_ms = step_ms + engine.step_time_per_request.as_secs_f64() * 1e3;
    f64::from(prompt) / PROMPT_TOKENS_PER_MS + f64::from(output) * token_ms
}

/// The mean work of each route's requests that announce their tokens.
#[derive(Debug, Default)]
pub struct RouteMeans(BTreeMap<Rc<str>, f64>);

impl RouteMeans {
    /// The work of a request of a route. Without an engine it is 1, and without announced tokens
    /// the mean of the route.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::share::work::RouteMeans;
    /// use verbenaspool_state::engine::Engine;
    ///
    /// let engine = Engine {
    ///     slots: 10,
    ///     steps_per_pass: 4,
    ///     step_time: Duration::from_millis(5),
    ///     step_time_per_request: Duration::from_millis(1),
    ///     experts: None,
    /// };
    /// let (mut means, route) = (RouteMeans::default(), "chat".into());
    /// assert_eq!(means.work(Some(&engine), &route, None), 1.0);
    /// let large = means.work(Some(&engine), &route, Some([4_000, 320]));
    /// assert!((large - 4.0).abs() < 1e-9);
    /// assert_eq!(means.work(Some(&engine), &route, None), large);
    /// assert_eq!(means.work(None, &route, Some([4_000, 320])), 1.0);
    /// ```
    pub fn work(
        &mut self,
        engine: Option<&Engine>,
        route: &Rc<str>,
        tokens: Option<[u32; 2]>,
    ) -> f64 {
        let Some(engine) = engine else {
            return 1.0;
        };
        let Some(tokens) = tokens else {
            return self.0.get(route).copied().unwrap_or(1.0);
        };
        let unit_ms = engine_ms(engine, UNIT_TOKENS).max(f64::MIN_POSITIVE);
        let [min, max] = ANNOUNCED_WORK_RANGE;
        let work = (engine_ms(engine, tokens) / unit_ms).clamp(min, max);
        if let Some(mean) = self.0.get_mut(route) {
            *mean += (work - *mean) * NEWEST_WEIGHT;
        } else if self.0.len() < MAX_ROUTES {
            self.0.insert(route.clone(), work);
        }
        work
    }
}
