//! Load forecast from recent samples.

use std::collections::VecDeque;

use super::sample::Sample;

/// Number of samples kept. At one sample every few seconds this covers several
/// minutes, long enough to contain a full oscillation.
const MAX_SAMPLES: usize = 36;

/// Weight of a sample relative to the next newer one: the fast decay is for
/// load that shifts, where only the newest samples matter, the slow one for
/// load that oscillates, where all do.
const DECAY_FACTORS: [f64; 2] = [0.5, 0.95];

/// How many samples ahead forecasts are evaluated: about the shortest time that
/// a map is in use before the next change.
const FORECAST_HORIZON: usize = 12;

/// Weight below which an older sample is disregarded.
const MIN_WEIGHT: f64 = 0.02;

/// The slow decay is chosen if its forecast error is below this fraction of the
/// fast one's. After a sudden shift both errors are similar, and the fast decay
/// is needed.
const SLOW_DECAY_ERROR_RATIO: f64 = 0.8;

/// Number of past forecasts that are evaluated.
const MAX_FORECASTS: usize = 8;

/// The loads of one sample, in tokens per step by layer and expert.
type Loads = Vec<Vec<f64>>;

/// The recent samples of a group.
#[derive(Debug, Default)]
pub struct History {
    /// The loads, newest first.
    samples: VecDeque<Loads>,
    /// The decay chosen when the newest sample arrived.
    decay: f64,
}

impl History {
    /// Adds a sample and chooses the decay anew.
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

    /// The number of samples in the history.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether the history has no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// The expected load of each layer's experts, in tokens per step.
    ///
    /// The decay of the weights is the one whose past forecasts came closer to
    /// the samples that followed.
    #[must_use]
    pub fn expected_loads(&self) -> Vec<Vec<f64>> {
        self.weighted_loads(self.decay, 0)
    }

    /// Returns the slow decay if its forecasts were clearly better, else the
    /// fast one.
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
        let [fast, slow] = DECAY_FACTORS;
        let slow_is_better = error(slow) < SLOW_DECAY_ERROR_RATIO * error(fast);
        if slow_is_better { slow } else { fast }
    }

    /// The weighted mean of the samples from index `age` on, where each older
    /// sample has `decay` times the weight of the next newer one.
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

    /// The weighted mean of a metric that is evaluated on each sample by
    /// itself.
    #[must_use]
    pub fn weighted_mean(&self, metric: impl Fn(&[Vec<f64>]) -> f64) -> f64 {
        let (mut sum, mut total) = (0.0, 0.0);
        for (weight, sample) in self.weighted_samples() {
            sum += weight * metric(sample);
            total += weight;
        }
        sum / total
    }

    /// The samples with their weights, newest first.
    fn weighted_samples(&self) -> impl Iterator<Item = (f64, &Loads)> {
        let decay = self.decay;
        let weights = std::iter::successors(Some(1.0), move |weight| Some(weight * decay));
        let samples = weights.zip(&self.samples);
        samples.take_while(|(weight, _)| *weight > MIN_WEIGHT)
    }
}

/// Sum of the absolute differences of two loads.
fn distance(a: &Loads, b: &Loads) -> f64 {
    let pairs = a.iter().flatten().zip(b.iter().flatten());
    pairs.map(|(a, b)| (a - b).abs()).sum()
}
