//! Estimates the work of a request before it runs from past answers.
//!
//! Customers ask for far more tokens than their answers have, each to a different
//! degree. Counting requests would give a long answer the weight of a short one;
//! trusting `max_tokens` would reject requests that could be served. Work is counted in
//! generated tokens; a prompt token weighs a configured fraction of one.

/// The weight of the service's ratio against a customer's own, in answers. Eight
/// answers of the customer outweigh it: enough to damp a single outlier.
const PRIOR_ANSWERS: f32 = 8.0;
/// Answers over which a mean is taken. 64 follow a change of demand within a minute at
/// one answer per second and still average out single answers.
const WINDOW_ANSWERS: f32 = 64.0;
/// The ratio of generated tokens to `max_tokens` assumed before the first answer.
const INITIAL_ANSWER_RATIO: f32 = 0.5;
/// The ratio of computed prompt tokens assumed before the first answer: nothing is
/// cached.
const INITIAL_PROMPT_RATIO: f32 = 1.0;
/// The least work of a request. Requests to plain services, which have no tokens, count
/// as one unit each.
pub const MIN_WORK: f64 = 1.0;

/// The mean ratio of used to requested tokens: generated tokens to `max_tokens`, or
/// computed prompt tokens to the prompt's length, which cached prefixes reduce.
#[derive(Debug, Clone, Copy)]
pub struct Ratio {
    /// The mean of the observed ratios.
    mean: f32,
    /// The number of answers in the mean, at most [`WINDOW_ANSWERS`].
    sample_count: f32,
}

impl Ratio {
    /// The ratio of generated tokens, before the first answer.
    #[must_use]
    pub fn for_answers() -> Self {
        Self::new(INITIAL_ANSWER_RATIO)
    }

    /// The ratio of computed prompt tokens, before the first answer.
    #[must_use]
    pub fn for_prompts() -> Self {
        Self::new(INITIAL_PROMPT_RATIO)
    }

    /// A ratio without answers.
    fn new(mean: f32) -> Self {
        Self {
            mean,
            sample_count: 0.0,
        }
    }

    /// Records one answer. A ratio above 1 counts as 1, so that an implausible token
    /// count can't grow the estimate without bound.
    #[allow(clippy::cast_precision_loss)] // A ratio needs no more precision.
    pub fn record(&mut self, used: u32, requested: u32) {
        if requested == 0 {
            return;
        }
        let ratio = (used as f32 / requested as f32).min(1.0);
        self.sample_count = (self.sample_count + 1.0).min(WINDOW_ANSWERS);
        self.mean += (ratio - self.mean) / self.sample_count;
    }

    /// The customer's ratio, weighted with the service's while the customer has few
    /// answers.
    #[must_use]
    pub fn blended_with(self, service: Self) -> f64 {
        let own = self.mean * self.sample_count;
        f64::from((own + service.mean * PRIOR_ANSWERS) / (self.sample_count + PRIOR_ANSWERS))
    }
}

/// The work of computing `prompt_tokens` and generating `tokens`.
#[must_use]
pub fn work(prefill_weight: f64, prompt_tokens: f64, tokens: f64) -> f64 {
    (prefill_weight * prompt_tokens + tokens).max(MIN_WORK)
}

/// How many of the requested tokens are used.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// The fraction of prompt tokens that is computed.
    prompt: Ratio,
    /// The fraction of `max_tokens` that is generated.
    answer: Ratio,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            prompt: Ratio::for_prompts(),
            answer: Ratio::for_answers(),
        }
    }
}

impl Profile {
    /// Records the used tokens of an answer and those requested.
    pub fn record(&mut self, used: Size, requested: Size) {
        self.prompt
            .record(used.prompt_tokens, requested.prompt_tokens);
        self.answer.record(used.tokens, requested.tokens);
    }

    /// Estimates the work of a request from the customer's usage, weighted with the
    /// service's.
    #[must_use]
    pub fn work(&self, service: &Self, requested: Size, prefill_weight: f64) -> f64 {
        let prompt = self.prompt.blended_with(service.prompt) * f64::from(requested.prompt_tokens);
        let answer = self.answer.blended_with(service.answer) * f64::from(requested.tokens);
        work(prefill_weight, prompt, answer)
    }
}

/// Token counts of a request or an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    pub prompt_tokens: u32,
    /// Tokens of the answer; for a request, the most it may have.
    pub tokens: u32,
}

impl Size {
    /// The work of these tokens.
    #[must_use]
    pub fn work(self, prefill_weight: f64) -> f64 {
        work(
            prefill_weight,
            self.prompt_tokens.into(),
            self.tokens.into(),
        )
    }

    /// These counts, each capped at that of `max`.
    #[must_use]
    pub fn capped_at(self, max: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.min(max.prompt_tokens),
            tokens: self.tokens.min(max.tokens),
        }
    }
}

#[cfg(test)]
mod tests;
