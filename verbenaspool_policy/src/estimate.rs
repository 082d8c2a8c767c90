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
/// The ratio of generated tokens assumed before the first answer.
const HALF: f32 = 0.5;
/// The ratio of computed prompt tokens assumed before the first answer: no cache.
const WHOLE: f32 = 1.0;
/// The least work of any request. Calls of plain services, which have no
/// tokens, count as one unit each.
pub const LEAST: f64 = 1.0;

/// The mean ratio of the tokens that were done to those that were asked for:
/// generated ones to `max_tokens`, or computed ones to the prompt's length, which
/// cached prefixes spare a part of.
#[derive(Debug, Clone, Copy)]
pub struct Ratio {
    /// The mean of the ratios seen.
    mean: f32,
    /// The answers behind it, at most [`MEMORY`].
    count: f32,
}

impl Ratio {
    /// The ratio of generated tokens before the first answer.
    #[must_use]
    pub fn of_answers() -> Self {
        Self::new(HALF)
    }

    /// The ratio of computed prompt tokens before the first answer.
    #[must_use]
    pub fn of_prompts() -> Self {
        Self::new(WHOLE)
    }

    /// A ratio that nothing is known about.
    fn new(mean: f32) -> Self {
        Self { mean, count: 0.0 }
    }

    /// Learns from one answer. An answer longer than asked for counts as whole,
    /// so that an absurd count can't grow the estimate without bound.
    #[allow(clippy::cast_precision_loss)] // A ratio needs no more precision.
    pub fn learn(&mut self, done: u32, asked: u32) {
        if asked == 0 {
            return;
        }
        let ratio = (done as f32 / asked as f32).min(1.0);
        self.count = (self.count + 1.0).min(MEMORY);
        self.mean += (ratio - self.mean) / self.count;
    }

    /// The customer's ratio, filled up with the service's while answers are few.
    #[must_use]
    pub fn within(self, service: Self) -> f64 {
        let own = self.mean * self.count;
        f64::from((own + service.mean * PRIOR) / (self.count + PRIOR))
    }
}

/// The work of `prompt_tokens` computed and `tokens` generated.
#[must_use]
pub fn work(prefill_weight: f64, prompt_tokens: f64, tokens: f64) -> f64 {
    (prefill_weight * prompt_tokens + tokens).max(LEAST)
}

/// What a customer's requests turn out to be, beside what they say.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// The part of the prompt that is computed.
    prompts: Ratio,
    /// The part of `max_tokens` that is generated.
    answers: Ratio,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            prompts: Ratio::of_prompts(),
            answers: Ratio::of_answers(),
        }
    }
}

impl Profile {
    /// Learns from an answer: what was done, of what was asked for.
    pub fn learn(&mut self, done: Size, asked: Size) {
        self.prompts.learn(done.prompt_tokens, asked.prompt_tokens);
        self.answers.learn(done.tokens, asked.tokens);
    }

    /// The work to expect of a request, the service's habit filling up the customer's.
    #[must_use]
    pub fn work(&self, service: &Self, asked: Size, prefill_weight: f64) -> f64 {
        let prompt = self.prompts.within(service.prompts) * f64::from(asked.prompt_tokens);
        let answer = self.answers.within(service.answers) * f64::from(asked.tokens);
        work(prefill_weight, prompt, answer)
    }
}

/// The size of a request or answer in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub tokens: u32,
}

impl Size {
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
    pub fn within(self, most: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.min(most.prompt_tokens),
            tokens: self.tokens.min(most.tokens),
        }
    }
}

#[cfg(test)]
mod tests;
