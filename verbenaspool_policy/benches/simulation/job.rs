//! The requests of a simulation.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

use super::engine::WORK_PER_SECOND;

/// The work of a prompt token, relative to that of a generated token.
pub const PREFILL_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone)]
pub struct Job {
    pub arrival: Duration,
    pub deadline: Duration,
    pub entry: usize,
    pub customer: usize,
    pub prompt_tokens: u32,
    /// The hash of the prompt's prefix, and its tokens, which need no work if the prefix
    /// is cached.
    pub prefix: Option<(u64, u32)>,
    pub answer_tokens: u32,
    pub max_tokens: u32,
}

impl Job {
    /// The work of the request, with its prefix cached or not.
    pub fn work(&self, cached: bool) -> f64 {
        let cached_tokens = self
            .prefix
            .filter(|_| cached)
            .map_or(0, |(_, tokens)| tokens);
        (PREFILL_WEIGHT * f64::from(self.prompt_tokens - cached_tokens)
            + f64::from(self.answer_tokens))
        .max(1.0)
    }
}

/// The distribution of prompts and answers in a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Answers of about 100 tokens, exponentially distributed.
    Exponential,
    /// Answers of about 25 tokens; one in a hundred is 100 times as long.
    LongTail,
    /// Long prompts, most of which have the same prefix.
    SharedPrefix,
}

/// Returns an exponentially distributed number.
pub fn exponential(random: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

impl Mix {
    /// Returns a request that arrives at time 0, with its deadline relative to that. The
    /// caller sets the times and the entry.
    pub fn job(self, random: &mut SmallRng, customer: usize, fixed_max_tokens: bool) -> Job {
        let (prompt, prefix, tokens) = match self {
            Self::Exponential => (
                exponential(random, 300.0),
                None,
                exponential(random, 100.0).clamp(5.0, 800.0),
            ),
            Self::LongTail => {
                let length_factor = if random.random_bool(0.01) { 100.0 } else { 1.0 };
                (
                    100.0,
                    None,
                    exponential(random, 25.0).clamp(5.0, 50.0) * length_factor,
                )
            }
            Self::SharedPrefix => {
                let shared = random.random_bool(0.8);
                let hash = if shared {
                    1
                } else {
                    random.random_range(2..202)
                };
                (
                    2_000.0,
                    Some((hash, 1_800)),
                    exponential(random, 50.0).clamp(5.0, 400.0),
                )
            }
        };
        let tokens = tokens as u32;
        let overstatement = random.random_range(1.0..3.0);
        // Every third customer always requests the maximum.
        let max_tokens = match self {
            Self::Exponential if fixed_max_tokens && customer % 3 == 1 => 800,
            _ => (f64::from(tokens) * overstatement) as u32 + 1,
        };
        let mut job = Job {
            arrival: Duration::ZERO,
            deadline: Duration::ZERO,
            entry: 0,
            customer,
            prompt_tokens: prompt as u32,
            prefix,
            answer_tokens: tokens,
            max_tokens,
        };
        let slack = random.random_range(2.0..6.0) + 3.0 * job.work(false) / WORK_PER_SECOND;
        job.deadline = Duration::from_secs_f64(slack);
        job
    }
}
