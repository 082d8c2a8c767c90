//! What the recent samples say about the load to come.

use std::collections::VecDeque;

use super::sample::Sample;

/// How many samples are kept. With one each few seconds they reach back some
/// minutes: long enough to see an oscillation whole.
const MAX_SAMPLES: usize = 36;

/// The parts by which a sample counts less than the one after it: once for load
/// that moves on, where only the newest count, and once for load that swings to
/// and fro, where all do.
const DECAYS: [f64; 2] = [0.5, 0.95];

/// How many samples ahead a forecast is judged: about as many as a map lasts at
/// least before the next change.
const FORECAST_HORIZON: usize = 12;

/// The weight below which an older sample no longer counts.
const MIN_WEIGHT: f64 = 0.02;

/// The part of the fast fade's error below which the slow one is clearly better.
/// After a sudden shift both are about as wrong, and the fast one is needed.
const SLOW_DECAY_ERROR_RATIO: f64 = 0.8;

/// How many forecasts are judged.
const MAX_FORECASTS: usize = 8;

/// The loads of one sample: tokens a step, by layer and expert.
type Loads = Vec<Vec<f64>>;

/// The recent samples.
#[derive(Debug, Default)]
pub struct History {
    /// The loads, newest first.
    samples: VecDeque<Loads>,
    /// The fade that was found best with the newest sample.
    decay: f64,
}

impl History {
    /// Takes in a sample.
    pub fn add(&mut self, sample: &Sample) {
        let steps = f64::from(sample.steps);
        #[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
        let load = |&count: &u64| count as f64 / steps;
        let layer = |layer: &Vec<u64>| layer.iter().map(load).collect();
        self.samples
            .push_front(sample.layers.iter().map(layer).collect());
        self.samples.truncate(MAX_SAMPLES);
        self.decay = self.choose_decay();
    }

    /// How many samples are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// The expected load of each layer's experts.
    ///
    /// Whether the newest samples or all tell most about the load to come is
    /// found by what either would have forecast for the samples since.
    #[must_use]
    pub fn expected_loads(&self) -> Vec<Vec<f64>> {
        self.weighted_loads(self.decay, 0)
    }

    /// The slow fade where its forecasts were clearly better, else the fast one.
    fn choose_decay(&self) -> f64 {
        let error = |decay: f64| -> f64 {
            let forecasts = self.samples.iter().take(MAX_FORECASTS).enumerate();
            let forecasts =
                forecasts.take_while(|(age, _)| age + FORECAST_HORIZON + 1 < self.samples.len());
            let error = |(age, sample)| {
                distance(&self.weighted_loads(decay, age + FORECAST_HORIZON), sample)
            };
            forecasts.map(error).sum()
        };
        let [fast, slow] = DECAYS;
        let slow_is_better = error(slow) < SLOW_DECAY_ERROR_RATIO * error(fast);
        if slow_is_better { slow } else { fast }
    }

    /// The mean of the samples from one of this age on, each older one counting
    /// less by the fade.
    fn weighted_loads(&self, decay: f64, age: usize) -> Vec<Vec<f64>> {
        let weights = std::iter::successors(Some(1.0), |weight| Some(weight * decay));
        let mut samples = weights.zip(self.samples.iter().skip(age));
        let Some((mut total, newest)) = samples.next() else {
            return Vec::new();
        };
        let mut sums = newest.clone();
        for (weight, sample) in samples.take_while(|(weight, _)| *weight > MIN_WEIGHT) {
            total += weight;
            for (sums, loads) in sums.iter_mut().zip(sample) {
                for (sum, load) in sums.iter_mut().zip(loads) {
                    *sum += weight * load;
                }
            }
        }
        for sum in sums.iter_mut().flatten() {
            *sum /= total;
        }
        sums
    }

    /// The weighted mean of what `judge` says about each sample.
    #[must_use]
    pub fn weighted_mean(&self, metric: impl Fn(&[Vec<f64>]) -> f64) -> f64 {
        let (mut sum, mut total) = (0.0, 0.0);
        for (weight, sample) in self.weighted_samples() {
            sum += weight * metric(sample);
            total += weight;
        }
        sum / total
    }

    /// The samples with their weights.
    fn weighted_samples(&self) -> impl Iterator<Item = (f64, &Loads)> {
        let decay = self.decay;
        let weights = std::iter::successors(Some(1.0), move |weight| Some(weight * decay));
        let samples = weights.zip(&self.samples);
        samples.take_while(|(weight, _)| *weight > MIN_WEIGHT)
    }
}

/// How far two loads are apart.
fn distance(a: &Loads, b: &Loads) -> f64 {
    let pairs = a.iter().flatten().zip(b.iter().flatten());
    pairs.map(|(a, b)| (a - b).abs()).sum()
}
