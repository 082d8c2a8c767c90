//! Compares rebalancing policies under drifting popularity: `cargo bench
//! --bench rebalance`. `-- --json` prints one JSON object per line, and names
//! of cases restrict the run to these.
//!
//! Time is simulated. Each interval of 200 steps ends with a sample, which
//! arrives one interval late; every seventh sample is lost. Skew is measured on
//! single steps, whose tokens are drawn at random around the current
//! popularity.

use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use verbenaspool_policy::rebalancer::{
    HOST_LINK_BYTES_PER_SECOND, Rebalancer, history::History, packing::pack, sample::Sample, skew,
};
use verbenaspool_state::{
    expert_map::{Layer, Map, Shape},
    rebalancing::Rebalancing,
};

/// Duration of a step without skew.
const STEP_DURATION: Duration = Duration::from_millis(25);
/// Steps per interval.
const STEPS_PER_INTERVAL: u32 = 200;
/// Intervals per run: 20 minutes.
const INTERVALS_PER_RUN: u32 = 240;
/// Steps per interval on which skew is measured.
const MEASURED_STEPS_PER_INTERVAL: usize = 4;
/// Layers that have experts.
const LAYERS: u16 = 4;
/// Size of one expert's weights: three matrices of 7168 by 2048 bytes.
const EXPERT_BYTES: u64 = 44_040_192;
/// Fraction of the host links that steps leave idle.
const SPARE_LINK_FRACTION: f64 = 0.02;
/// Tokens per rank and step, multiplied by the 8 experts that each token is
/// routed to.
const EXPERT_TOKENS_PER_RANK: f64 = 512.0 * 8.0;

/// How popularity develops over a run.
#[derive(Debug, Clone, Copy)]
enum Drift {
    /// One set of experts slowly gives way to another.
    Season,
    /// One set of experts gives way to another at once.
    Festival,
    /// Popularity oscillates between two sets of experts.
    Oscillation,
    /// One expert of each layer becomes hot.
    Hot,
    /// All experts are equally popular.
    Uniform,
}

/// The policies compared.
#[derive(Debug, Clone, Copy)]
enum Policy {
    Skew,
    Cost,
    Static,
    EveryInterval,
    GreedyLastSample,
}

/// Results of one run.
#[derive(Debug, Default)]
struct Outcome {
    skews: Vec<f64>,
    moves: u64,
    bytes: u64,
    delayed_tokens: f64,
    stall: Duration,
    decision_ns: Vec<u128>,
}

/// Popularity of the experts over a run.
struct Workload {
    drift: Drift,
    initial: Vec<Vec<f64>>,
    target: Vec<Vec<f64>>,
    tokens_per_step: f64,
}

impl Workload {
    fn new(drift: Drift, shape: Shape, rng: &mut SmallRng) -> Self {
        let mut draw = || -> Vec<Vec<f64>> {
            let layer = |rng: &mut SmallRng| -> Vec<f64> {
                let weights = (0..shape.experts).map(|_| match drift {
                    Drift::Uniform => 1.0,
                    _ => (0.8 * standard_normal(rng)).exp(),
                });
                let weights: Vec<f64> = weights.collect();
                let sum: f64 = weights.iter().sum();
                weights.iter().map(|weight| weight / sum).collect()
            };
            (0..shape.layers).map(|_| layer(rng)).collect()
        };
        let (initial, mut target) = (draw(), draw());
        if let Drift::Hot = drift {
            target.clone_from(&initial);
            for layer in &mut target {
                for part in layer.iter_mut() {
                    *part *= 0.9;
                }
                layer[3] += 0.1;
            }
        }
        let tokens_per_step = EXPERT_TOKENS_PER_RANK * f64::from(shape.ranks);
        Self {
            drift,
            initial,
            target,
            tokens_per_step,
        }
    }

    /// Tokens of each expert per step, at a time from 0 to 1 of the run.
    fn loads_at(&self, time: f64) -> Vec<Vec<f64>> {
        let target_share = match self.drift {
            Drift::Season => time,
            Drift::Festival => f64::from(time > 0.33),
            Drift::Oscillation => 0.5 - 0.5 * (time * 10.0 * std::f64::consts::TAU).cos(),
            Drift::Hot => f64::from(time > 0.25),
            Drift::Uniform => 0.0,
        };
        let mix = |(a, b): (&f64, &f64)| {
            self.tokens_per_step * (a * (1.0 - target_share) + b * target_share)
        };
        let layer = |(a, b): (&Vec<f64>, &Vec<f64>)| a.iter().zip(b).map(mix).collect();
        self.initial.iter().zip(&self.target).map(layer).collect()
    }
}

/// Draws a number from the standard normal distribution.
fn standard_normal(rng: &mut SmallRng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    (-2.0 * a.ln()).sqrt() * (b * std::f64::consts::TAU).cos()
}

/// Draws token counts over a number of steps around their means.
fn sample_counts(loads: &[Vec<f64>], steps: f64, rng: &mut SmallRng) -> Vec<Vec<f64>> {
    let count = |&mean: &f64, rng: &mut SmallRng| {
        let mean = mean * steps;
        (mean + mean.sqrt() * standard_normal(rng)).max(0.0)
    };
    let layer =
        |layer: &Vec<f64>, rng: &mut SmallRng| layer.iter().map(|m| count(m, rng)).collect();
    loads.iter().map(|loads| layer(loads, rng)).collect()
}

fn settings(policy: Policy) -> Rebalancing {
    match policy {
        Policy::Cost => Rebalancing {
            skew: 1.0,
            cost: 2.0,
            most_delay: 0.0,
            ..Rebalancing::default()
        },
        _ => Rebalancing {
            skew: 2.0,
            cost: 1.0,
            ..Rebalancing::default()
        },
    }
}

/// A change whose experts are being loaded.
struct Staging {
    layers: Vec<Layer>,
    seconds_left: f64,
    slowdown: f64,
}

/// Simulates one run.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
// Counts and bytes are far below 2^52, and drawn counts aren't negative.
fn run(drift: Drift, policy: Policy, shape: Shape) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(7);
    let workload = Workload::new(drift, shape, &mut rng);
    let settings = settings(policy);
    let mut rebalancer = Rebalancer::new(settings.clone(), shape, EXPERT_BYTES);
    let mut history = History::default();
    // All policies start from the map packed for the initial popularity.
    let layers = workload
        .loads_at(0.0)
        .iter()
        .map(|loads| pack(loads, shape))
        .collect();
    let mut map = Map { epoch: 1, layers };
    let mut staging: Option<Staging> = None;
    let mut outcome = Outcome::default();
    let mut delayed_sample: Option<Sample> = None;
    for interval in 1..=INTERVALS_PER_RUN {
        let true_loads = workload.loads_at(f64::from(interval) / f64::from(INTERVALS_PER_RUN));
        for _ in 0..MEASURED_STEPS_PER_INTERVAL {
            let step = sample_counts(&true_loads, 1.0, &mut rng);
            outcome.skews.push(skew(&map.layers, &step, shape));
        }
        let counts = sample_counts(&true_loads, f64::from(STEPS_PER_INTERVAL), &mut rng);
        let count = |layer: &Vec<f64>| layer.iter().map(|&count| count as u64).collect();
        let sample = Sample {
            epoch: map.epoch,
            step: u64::from(interval * STEPS_PER_INTERVAL),
            steps: STEPS_PER_INTERVAL,
            spare: SPARE_LINK_FRACTION,
            layers: counts.iter().map(count).collect(),
        };
        let arrived = delayed_sample.replace(sample).filter(|_| interval % 7 != 0);
        if let Some(sample) = &arrived {
            let _ = rebalancer.observe(sample);
            history.add(sample);
        }
        let seconds = STEP_DURATION.as_secs_f64() * f64::from(STEPS_PER_INTERVAL);
        if let Some(change) = &mut staging {
            let loading = change.seconds_left.min(seconds);
            let lost = loading * change.slowdown;
            outcome.delayed_tokens += lost / STEP_DURATION.as_secs_f64() * workload.tokens_per_step;
            outcome.stall += Duration::from_secs_f64(lost);
            change.seconds_left -= loading;
        }
        if let Some(change) = staging.take_if(|change| change.seconds_left <= 0.0) {
            map.layers = change.layers;
            map.epoch += 1;
        }
        if staging.is_some() || history.is_empty() {
            continue;
        }
        let now = Duration::from_secs_f64(f64::from(interval) * seconds);
        let start = Instant::now();
        let next = match policy {
            Policy::Static => None,
            Policy::Skew | Policy::Cost => {
                let plan = rebalancer.decide(now, &map);
                plan.map(|plan| (plan.layers, plan.bytes_per_second as f64))
            }
            Policy::EveryInterval => {
                let pack = |loads: &Vec<f64>| pack(loads, shape);
                let layers = history.expected_loads().iter().map(pack).collect();
                Some((layers, settings.bytes_a_second as f64))
            }
            Policy::GreedyLastSample => arrived.map(|sample| {
                let loads = |layer: &Vec<u64>| layer.iter().map(|&n| n as f64).collect();
                let loads: Vec<Vec<f64>> = sample.layers.iter().map(loads).collect();
                let layers = loads.iter().map(|loads| pack(loads, shape)).collect();
                (layers, settings.bytes_a_second as f64)
            }),
        };
        outcome.decision_ns.push(start.elapsed().as_nanos());
        if let Some((layers, rate)) = next {
            let new = Map {
                epoch: map.epoch,
                layers,
            };
            let moves = |rank| new.added(Some(&map), rank).len() as u64;
            let moves: Vec<u64> = (0..shape.ranks).map(moves).collect();
            let most = moves.iter().max().copied().unwrap_or(0);
            outcome.moves += moves.iter().sum::<u64>();
            outcome.bytes += moves.iter().sum::<u64>() * EXPERT_BYTES;
            staging = Some(Staging {
                layers: new.layers,
                seconds_left: (most * EXPERT_BYTES) as f64 / rate,
                slowdown: (rate / HOST_LINK_BYTES_PER_SECOND - SPARE_LINK_FRACTION).max(0.0),
            });
        }
    }
    outcome
}

/// The value below which a fraction of the values lies.
fn quantile<T: Copy + PartialOrd>(values: &mut [T], fraction: f64) -> T {
    values.sort_by(|a, b| a.partial_cmp(b).expect("values are never NaN"));
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    // An index of a short list.
    let index = ((values.len() - 1) as f64 * fraction) as usize;
    values[index]
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let json = arguments.iter().any(|argument| argument == "--json");
    // Arguments other than options select the cases to run.
    let selected: Vec<_> = arguments.iter().filter(|a| !a.starts_with("--")).collect();
    let drifts = [
        Drift::Season,
        Drift::Festival,
        Drift::Oscillation,
        Drift::Hot,
        Drift::Uniform,
    ];
    let policies = [
        (Policy::Skew, "verbenaspool-skew"),
        (Policy::Cost, "verbenaspool-cost"),
        (Policy::Static, "static"),
        (Policy::EveryInterval, "every-interval"),
        (Policy::GreedyLastSample, "greedy-last-sample"),
    ];
    for (ranks, experts, slots) in [(8, 64, 10), (128, 256, 3)] {
        let shape = Shape {
            ranks,
            experts,
            layers: LAYERS,
            slots,
        };
        for drift in drifts {
            let case = format!("{drift:?}-{ranks}").to_lowercase();
            if !selected.is_empty() && !selected.contains(&&case) {
                continue;
            }
            for (policy, name) in policies {
                print_outcome(json, &case, name, run(drift, policy, shape));
            }
        }
    }
}

#[allow(clippy::cast_precision_loss)] // A mean of a short list.
fn print_outcome(json: bool, case: &str, policy: &str, mut outcome: Outcome) {
    let mean = outcome.skews.iter().sum::<f64>() / outcome.skews.len() as f64;
    let p50 = quantile(&mut outcome.skews, 0.5);
    let p99 = quantile(&mut outcome.skews, 0.99);
    let ns = quantile(&mut outcome.decision_ns, 0.99);
    let stall = outcome.stall.as_secs_f64() * 1e3;
    let (moves, bytes, delayed) = (outcome.moves, outcome.bytes, outcome.delayed_tokens);
    if json {
        println!(
            "{{\"case\":\"{case}\",\"policy\":\"{policy}\",\"skew_mean\":{mean:.4},\
             \"skew_p50\":{p50:.4},\"skew_p99\":{p99:.4},\"moves\":{moves},\
             \"bytes_moved\":{bytes},\"tokens_delayed\":{delayed:.0},\
             \"stall_ms\":{stall:.1},\"ns_per_decision\":{ns}}}"
        );
    } else {
        let gigabytes = bytes as f64 / 1e9;
        println!(
            "{case:15} {policy:18} skew mean {mean:.3} p50 {p50:.3} p99 {p99:.3}  \
             {moves:6} moves {gigabytes:8.1} GB  {delayed:10.0} tokens delayed  \
             stall {stall:7.0} ms  {:8.3} ms a decision",
            ns as f64 / 1e6
        );
    }
}
