//! Metrics, exported in the Prometheus text format. Histograms use hdrhistogram.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write as _,
    rc::Rc,
    time::Duration,
};

use hdrhistogram::Histogram as HdrHistogram;

/// Longest time that a histogram distinguishes, in microseconds (one hour).
const MAX_TRACKABLE_US: u64 = 3_600_000_000;

/// Precision of recorded times; two digits keep the error below 1 % at about
/// 13 KB per histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Upper bounds of the exported buckets, in microseconds.
const BUCKET_BOUNDS_US: [u64; 16] = [
    100, 250, 500, 1_000, 2_500, 5_000, 10_000, 25_000, 50_000, 100_000, 250_000, 500_000,
    1_000_000, 2_500_000, 10_000_000, 60_000_000,
];

/// A monotonically increasing counter.
#[derive(Debug, Clone, Default)]
pub struct Counter(Rc<Cell<u64>>);

impl Counter {
    /// Increments the counter by one.
    ///
    /// ```
    /// let counter = verbenaspool_transport::metrics::Counter::default();
    /// counter.increment();
    /// assert_eq!(counter.value(), 1);
    /// ```
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds to the counter.
    ///
    /// ```
    /// let counter = verbenaspool_transport::metrics::Counter::default();
    /// counter.add(3);
    /// assert_eq!(counter.value(), 3);
    /// ```
    pub fn add(&self, increment: u64) {
        self.0.set(self.0.get() + increment);
    }

    /// Sets the counter to a count that is maintained elsewhere.
    ///
    /// ```
    /// let counter = verbenaspool_transport::metrics::Counter::default();
    /// counter.set(9);
    /// assert_eq!(counter.value(), 9);
    /// ```
    pub fn set(&self, value: u64) {
        self.0.set(value);
    }

    /// The current count.
    ///
    /// ```
    /// assert_eq!(verbenaspool_transport::metrics::Counter::default().value(), 0);
    /// ```
    #[must_use]
    pub fn value(&self) -> u64 {
        self.0.get()
    }
}

/// A value that can go up and down.
#[derive(Debug, Clone, Default)]
pub struct Gauge(Rc<Cell<f64>>);

impl Gauge {
    /// Sets the value.
    ///
    /// ```
    /// let gauge = verbenaspool_transport::metrics::Gauge::default();
    /// gauge.set(0.5);
    /// assert!(gauge.value() > 0.4);
    /// ```
    pub fn set(&self, value: f64) {
        self.0.set(value);
    }

    /// The current value.
    ///
    /// ```
    /// assert!(verbenaspool_transport::metrics::Gauge::default().value() < 0.1);
    /// ```
    #[must_use]
    pub fn value(&self) -> f64 {
        self.0.get()
    }
}

/// A distribution of times.
#[derive(Debug, Clone)]
pub struct Histogram(Rc<RefCell<Distribution>>);

#[derive(Debug)]
struct Distribution {
    recorded: HdrHistogram<u32>,
    sum_us: u64,
}

impl Default for Histogram {
    fn default() -> Self {
        let recorded = HdrHistogram::new_with_bounds(1, MAX_TRACKABLE_US, SIGNIFICANT_DIGITS);
        let recorded = recorded.expect("the constant bounds are valid");
        Self(Rc::new(RefCell::new(Distribution {
            recorded,
            sum_us: 0,
        })))
    }
}

impl Histogram {
    /// Records a time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let histogram = verbenaspool_transport::metrics::Histogram::default();
    /// histogram.record(Duration::from_millis(3));
    /// assert_eq!(histogram.quantile(0.5).as_millis(), 3);
    /// ```
    pub fn record(&self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(MAX_TRACKABLE_US);
        let mut distribution = self.0.borrow_mut();
        distribution
            .recorded
            .saturating_record(us.clamp(1, MAX_TRACKABLE_US));
        distribution.sum_us += us;
    }

    /// The time that the given fraction of recorded times don't exceed.
    ///
    /// ```
    /// let histogram = verbenaspool_transport::metrics::Histogram::default();
    /// assert!(histogram.quantile(0.99).is_zero());
    /// ```
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.0.borrow().recorded.value_at_quantile(quantile))
    }

    /// Cumulative counts for [`BUCKET_BOUNDS_US`], computed in one pass.
    fn cumulative(&self) -> [u64; BUCKET_BOUNDS_US.len()] {
        let distribution = self.0.borrow();
        let mut counts = [0; BUCKET_BOUNDS_US.len()];
        for value in distribution.recorded.iter_recorded() {
            let bucket =
                BUCKET_BOUNDS_US.partition_point(|bound| *bound < value.value_iterated_to());
            if let Some(count) = counts.get_mut(bucket) {
                *count += value.count_since_last_iteration();
            }
        }
        let mut sum = 0;
        counts.map(|count| {
            sum += count;
            sum
        })
    }
}

/// A metric's labels in the text format, encoded once.
type Labels = String;

/// All metrics with the same name.
#[derive(Debug)]
enum Family {
    Counter(BTreeMap<Labels, Counter>),
    Gauge(BTreeMap<Labels, Gauge>),
    Histogram(BTreeMap<Labels, Histogram>),
}

/// The metrics of a process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Registry(Rc<RefCell<BTreeMap<&'static str, (&'static str, Family)>>>);

/// Encodes labels for the text format, without the braces.
fn encode_labels(pairs: &[(&str, &str)]) -> Labels {
    let mut text = String::new();
    for (name, value) in pairs {
        if !text.is_empty() {
            text.push(',');
        }
        let value = value.replace('\\', "\\\\").replace('"', "\\\"");
        let value = value.replace('\n', "\\n");
        // Writing to a string can't fail.
        let _ = write!(text, "{name}=\"{value}\"");
    }
    text
}

impl Registry {
    /// Returns the counter with this name and labels, creating it on first use.
    ///
    /// # Panics
    /// The name already belongs to another type of metric, which is a bug.
    ///
    /// ```
    /// use verbenaspool_transport::metrics::Registry;
    ///
    /// let metrics = Registry::default();
    /// let counter = metrics.counter("requests_total", "Requests.", &[("service", "jobs")]);
    /// counter.increment();
    /// assert!(metrics.text().contains("requests_total{service=\"jobs\"} 1\n"));
    /// ```
    #[must_use]
    pub fn counter(
        &self,
        name: &'static str,
        help: &'static str,
        pairs: &[(&str, &str)],
    ) -> Counter {
        let mut families = self.0.borrow_mut();
        let new = || (help, Family::Counter(BTreeMap::new()));
        match &mut families.entry(name).or_insert_with(new).1 {
            Family::Counter(counters) => counters.entry(encode_labels(pairs)).or_default().clone(),
            _ => panic!("{name} is not a counter"),
        }
    }

    /// Returns the gauge with this name and labels, creating it on first use.
    ///
    /// # Panics
    /// The name already belongs to another type of metric, which is a bug.
    ///
    /// ```
    /// let metrics = verbenaspool_transport::metrics::Registry::default();
    /// metrics.gauge("open", "Open connections.", &[]).set(2.0);
    /// assert!(metrics.text().contains("\nopen 2\n"));
    /// ```
    #[must_use]
    pub fn gauge(&self, name: &'static str, help: &'static str, pairs: &[(&str, &str)]) -> Gauge {
        let mut families = self.0.borrow_mut();
        let new = || (help, Family::Gauge(BTreeMap::new()));
        match &mut families.entry(name).or_insert_with(new).1 {
            Family::Gauge(gauges) => gauges.entry(encode_labels(pairs)).or_default().clone(),
            _ => panic!("{name} is not a gauge"),
        }
    }

    /// Returns the histogram with this name and labels, creating it on first use.
    /// The name must end in `_seconds`, the unit of the exported values.
    ///
    /// # Panics
    /// The name already belongs to another type of metric, which is a bug.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let metrics = verbenaspool_transport::metrics::Registry::default();
    /// let histogram = metrics.histogram("wait_seconds", "Waits.", &[]);
    /// histogram.record(Duration::from_millis(2));
    /// assert!(metrics.text().contains("wait_seconds_bucket{le=\"0.0025\"} 1\n"));
    /// ```
    #[must_use]
    pub fn histogram(
        &self,
        name: &'static str,
        help: &'static str,
        pairs: &[(&str, &str)],
    ) -> Histogram {
        let mut families = self.0.borrow_mut();
        let new = || (help, Family::Histogram(BTreeMap::new()));
        match &mut families.entry(name).or_insert_with(new).1 {
            Family::Histogram(series) => series.entry(encode_labels(pairs)).or_default().clone(),
            _ => panic!("{name} is not a histogram"),
        }
    }

    /// Exports all metrics in the Prometheus text format.
    ///
    /// ```
    /// assert_eq!(verbenaspool_transport::metrics::Registry::default().text(), "");
    /// ```
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, (help, family)) in self.0.borrow().iter() {
            let kind = match family {
                Family::Counter(_) => "counter",
                Family::Gauge(_) => "gauge",
                Family::Histogram(_) => "histogram",
            };
            let _ = writeln!(text, "# HELP {name} {help}\n# TYPE {name} {kind}");
            match family {
                Family::Counter(counters) => counters.iter().for_each(|(labels, counter)| {
                    write_sample(&mut text, name, labels, &counter.value());
                }),
                Family::Gauge(gauges) => gauges.iter().for_each(|(labels, gauge)| {
                    write_sample(&mut text, name, labels, &gauge.value());
                }),
                Family::Histogram(series) => series.iter().for_each(|(labels, histogram)| {
                    write_histogram(&mut text, name, labels, histogram);
                }),
            }
        }
        text
    }
}

fn write_sample(text: &mut String, name: &str, labels: &str, value: &dyn std::fmt::Display) {
    let _ = if labels.is_empty() {
        writeln!(text, "{name} {value}")
    } else {
        writeln!(text, "{name}{{{labels}}} {value}")
    };
}

/// Writes the samples of one histogram.
fn write_histogram(text: &mut String, name: &str, labels: &str, histogram: &Histogram) {
    let bucket = format!("{name}_bucket");
    let comma = if labels.is_empty() { "" } else { "," };
    for (bound, count) in BUCKET_BOUNDS_US.iter().zip(histogram.cumulative()) {
        let seconds = seconds(*bound);
        write_sample(
            text,
            &bucket,
            &format!("{labels}{comma}le=\"{seconds}\""),
            &count,
        );
    }
    let distribution = histogram.0.borrow();
    let count = distribution.recorded.len();
    write_sample(
        text,
        &bucket,
        &format!("{labels}{comma}le=\"+Inf\""),
        &count,
    );
    write_sample(
        text,
        &format!("{name}_sum"),
        labels,
        &seconds(distribution.sum_us),
    );
    write_sample(text, &format!("{name}_count"), labels, &count);
}

/// Converts microseconds to seconds.
fn seconds(us: u64) -> f64 {
    Duration::from_micros(us).as_secs_f64()
}
