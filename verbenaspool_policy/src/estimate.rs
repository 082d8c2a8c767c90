//! The work of a request before it runs, learned from what answers took.
//!
//! Load: customers who ask for far more tokens than their answers have, each in
//! their own way. Counting requests alone lets one long answer weigh as little
//! as a short one; trusting `max_tokens` refuses work that would have been met.
//! Work is counted in generated tokens; a prompt token weighs a set part of one.

/// Answers that the service's common ratio counts for against a customer's own.
/// Eight own answers outweigh it: enough to damp one odd answer.
const PRIOR_ANSWERS: f32 = 8.0;
/// Answers that a mean remembers. Sixty-four follow a drift of demand within a
/// minute at one answer a second and still average out single answers.
const WINDOW_ANSWERS: f32 = 64.0;
/// The ratio of generated tokens assumed before the first answer.
const INITIAL_ANSWER_RATIO: f32 = 0.5;
/// The ratio of computed prompt tokens assumed before the first answer: no cache.
const INITIAL_PROMPT_RATIO: f32 = 1.0;
/// The least work of any request. Calls of plain services, which have no
/// tokens, count as one unit each.
pub const MIN_WORK: f64 = 1.0;

/// The mean ratio of the tokens that were done to those that were asked for:
/// generated ones to `max_tokens`, or computed ones to the prompt's length, which
/// cached prefixes spare a part of.
#[derive(Debug, Clone, Copy)]
pub struct UsageRatio {
    /// The mean of the ratios seen.
    mean: f32,
    /// The answers behind it, at most [`WINDOW_ANSWERS`].
    sample_count: f32,
}

impl UsageRatio {
    /// The ratio of generated tokens before the first answer.
    #[must_use]
    pub fn for_answers() -> Self {
        Self::new(INITIAL_ANSWER_RATIO)
    }

    /// The ratio of computed prompt tokens before the first answer.
    #[must_use]
    pub fn for_prompts() -> Self {
        Self::new(INITIAL_PROMPT_RATIO)
    }

    /// A ratio that nothing is known about.
    fn new(mean: f32) -> Self {
        Self {
            mean,
            sample_count: 0.0,
        }
    }

    /// Learns from one answer. An answer longer than asked for counts as whole,
    /// so that an absurd count can't grow the estimate without bound.
    #[allow(clippy::cast_precision_loss)] // A ratio needs no more precision.
    pub fn record(&mut self, used: u32, requested: u32) {
        if requested == 0 {
            return;
        }
        let ratio = (used as f32 / requested as f32).min(1.0);
        self.sample_count = (self.sample_count + 1.0).min(WINDOW_ANSWERS);
        self.mean += (ratio - self.mean) / self.sample_count;
    }

    /// The customer's ratio, filled up with the service's while answers are few.
    #[must_use]
    pub fn blended_with(self, service: Self) -> f64 {
        let own = self.mean * self.sample_count;
        f64::from((own + service.mean * PRIOR_ANSWERS) / (self.sample_count + PRIOR_ANSWERS))
    }
}

/// The work of `prompt_tokens` computed and `tokens` generated.
#[must_use]
pub fn work(prefill_weight: f64, prompt_tokens: f64, tokens: f64) -> f64 {
    (prefill_weight * prompt_tokens + tokens).max(MIN_WORK)
}

/// What a customer's requests turn out to be, beside what they say.
#[derive(Debug, Clone, Copy)]
pub struct UsageProfile {
    /// The part of the prompt that is computed.
    prompt: UsageRatio,
    /// The part of `max_tokens` that is generated.
    answer: UsageRatio,
}

impl Default for UsageProfile {
    fn default() -> Self {
        Self {
            prompt: UsageRatio::for_prompts(),
            answer: UsageRatio::for_answers(),
        }
    }
}

impl UsageProfile {
    /// Learns from an answer: what was done, of what was asked for.
    pub fn record(&mut self, used: TokenCounts, requested: TokenCounts) {
        self.prompt
            .record(used.prompt_tokens, requested.prompt_tokens);
        self.answer.record(used.tokens, requested.tokens);
    }

    /// The work to expect of a request, the service's habit filling up the customer's.
    #[must_use]
    pub fn work(&self, service: &Self, requested: TokenCounts, prefill_weight: f64) -> f64 {
        let prompt = self.prompt.blended_with(service.prompt) * f64::from(requested.prompt_tokens);
        let answer = self.answer.blended_with(service.answer) * f64::from(requested.tokens);
        work(prefill_weight, prompt, answer)
    }
}

/// The size of a request or answer in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub tokens: u32,
}

impl TokenCounts {
    /// The work of this size.
    #[must_use]
    pub fn work(self, prefill_weight: f64) -> f64 {
        work(
            prefill_weight,
            self.prompt_tokens.into(),
            self.tokens.into(),
        )
    }

    /// The size, but no more of either than in another.
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
