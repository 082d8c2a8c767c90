//! The work of a request before it runs, learned from what answers took.
//!
//! Load: customers who ask for far more tokens than their answers have, each in
//! their own way. Counting requests alone lets one long answer weigh as little
//! as a short one; trusting `max_tokens` refuses work that would have been met.
//! Work is counted in generated tokens; a prompt token weighs a set part of one.

/// Answers that the service's common ratio counts for against a customer's own.
/// Eight own answers outweigh it: enough to damp one odd answer.
const PRIOR: f32 = 8.0;
/// Answers that a mean remembers. Sixty-four follow a drift of demand within a
/// minute at one answer a second and still average out single answers.
const MEMORY: f32 = 64.0;
/// The ratio assumed before the first answer: half of what was asked for.
const FIRST: f32 = 0.5;
/// The least work of any request. Calls of plain services, which have no
/// tokens, count as one unit each.
pub const LEAST: f64 = 1.0;

/// The mean ratio of generated tokens to `max_tokens`.
#[derive(Debug, Clone, Copy)]
pub struct Ratio {
    /// The mean of the ratios seen.
    mean: f32,
    /// The answers behind it, at most [`MEMORY`].
    count: f32,
}

impl Default for Ratio {
    fn default() -> Self {
        Self {
            mean: FIRST,
            count: 0.0,
        }
    }
}

impl Ratio {
    /// Learns from one answer. An answer longer than asked for counts as whole,
    /// so that an absurd count can't grow the estimate without bound.
    ///
    /// ```
    /// use verbenaspool_policy::estimate::Ratio;
    ///
    /// let (mut own, service) = (Ratio::default(), Ratio::default());
    /// (0..64).for_each(|_| own.learn(10, 1000));
    /// assert!(own.within(&service) < 0.1);
    /// ```
    #[allow(clippy::cast_precision_loss)] // A ratio needs no more precision.
    pub fn learn(&mut self, tokens: u32, max_tokens: u32) {
        if max_tokens == 0 {
            return;
        }
        let ratio = (tokens as f32 / max_tokens as f32).min(1.0);
        self.count = (self.count + 1.0).min(MEMORY);
        self.mean += (ratio - self.mean) / self.count;
    }

    /// The customer's ratio, filled up with the service's while answers are few.
    #[must_use]
    pub fn within(&self, service: &Self) -> f64 {
        let own = self.mean * self.count;
        f64::from((own + service.mean * PRIOR) / (self.count + PRIOR))
    }
}

/// The work of `prompt_tokens` computed and `tokens` generated.
///
/// ```
/// assert_eq!(verbenaspool_policy::estimate::work(0.1, 200, 100.0), 120.0);
/// ```
#[must_use]
pub fn work(prefill_weight: f64, prompt_tokens: u32, tokens: f64) -> f64 {
    (prefill_weight * f64::from(prompt_tokens) + tokens).max(LEAST)
}
