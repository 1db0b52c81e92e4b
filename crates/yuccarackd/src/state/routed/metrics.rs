//! Counters, histograms and gauges of routed calls in the OpenMetrics text format.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use prometheus_client::{
    collector::Collector,
    encoding::{
        DescriptorEncoder, EncodeLabelSet, EncodeMetric,
        text::{encode_eof, encode_registry},
    },
    metrics::{
        MetricType,
        counter::ConstCounter,
        family::Family,
        gauge::ConstGauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use thiserror::Error;

use crate::state::counters::Counters;

/// Prefix of every metric.
const PREFIX: &str = "yuccarack";

/// Upper bound of the first bucket, in seconds: the duration of a call through two idle daemons.
const BUCKET_FIRST_S: f64 = 0.000_5;

/// Ratio between the bounds of consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;

/// Number of buckets. The last one ends at 8 s, beyond the longest wait that a route allows.
const BUCKETS: u16 = 15;

/// Labels of the call histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// How the call ended at its entry: `answered`, `target_failed`, `not_run` or `unknown`. These
    /// are not the values of [`Outcome`](crate::protocol::refusal::Outcome).
    pub end: &'static str,
}

type LabelledDurations = Family<CallLabels, Histogram, fn() -> Histogram>;

/// The metrics of one daemon; clones share them.
#[derive(Clone)]
pub struct Metrics {
    calls: LabelledDurations,
    queue: Histogram,
    target: Histogram,
    first_byte: Histogram,
    attempts: Histogram,
    gauges: Arc<Mutex<Vec<ReadGauge>>>,
    labelled: Arc<Mutex<Vec<LabelledGauge>>>,
    readings: Arc<Mutex<Registry>>,
    histograms: Arc<Mutex<Registry>>,
}

/// A gauge whose value is read on each scrape.
struct ReadGauge {
    name: &'static str,
    help: &'static str,
    read: Box<dyn Fn() -> i64 + Send + Sync>,
}

/// A gauge with one label, whose values are read on each scrape.
struct LabelledGauge {
    name: &'static str,
    help: &'static str,
    label: &'static str,
    read: Box<dyn Fn() -> Vec<(String, i64)> + Send + Sync>,
}

/// Error while encoding the metrics.
#[derive(Debug, Error)]
#[error("encoding the metrics failed: {0}")]
pub struct MetricsError(#[from] std::fmt::Error);

impl Metrics {
    /// Creates the metrics, which include `counters`.
    pub fn new(counters: Counters) -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let calls =
            LabelledDurations::new_with_constructor(duration_histogram as fn() -> Histogram);
        registry.register("call_seconds", "Time of a call at its entry.", calls.clone());
        let queue = duration_histogram();
        registry.register("queue_seconds", "Wait for a slot at the gate.", queue.clone());
        let target = duration_histogram();
        let help = "Time from handing over until the whole answer.";
        registry.register("target_seconds", help, target.clone());
        let first_byte = duration_histogram();
        let help = "Time from handing over until the head of the answer.";
        registry.register("target_first_byte_seconds", help, first_byte.clone());
        let attempts = Histogram::new([1.0, 2.0, 3.0, 4.0, 5.0, 6.0]);
        registry.register("tries", "Gates that a call was offered to.", attempts.clone());
        let gauges: Arc<Mutex<Vec<ReadGauge>>> = Arc::default();
        let mut readings = Registry::with_prefix(PREFIX);
        let labelled: Arc<Mutex<Vec<LabelledGauge>>> = Arc::default();
        let (gauges_read, labelled_read) = (Arc::clone(&gauges), Arc::clone(&labelled));
        let collector = Readings { counters, gauges: gauges_read, labelled: labelled_read };
        readings.register_collector(Box::new(collector));
        Self {
            calls,
            queue,
            target,
            first_byte,
            attempts,
            gauges,
            labelled,
            readings: Arc::new(Mutex::new(readings)),
            histograms: Arc::new(Mutex::new(registry)),
        }
    }

    /// Registers a gauge whose value is the result of `read` at each scrape.
    pub fn register_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> i64 + Send + Sync + 'static,
    ) {
        self.gauges.lock().push(ReadGauge { name, help, read: Box::new(read) });
    }

    /// Registers a gauge with the values of `read` by the label's value at each scrape. It is left out
    /// without values.
    pub fn register_labelled_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        label: &'static str,
        read: impl Fn() -> Vec<(String, i64)> + Send + Sync + 'static,
    ) {
        self.labelled.lock().push(LabelledGauge { name, help, label, read: Box::new(read) });
    }

    /// Records the outcome and the duration of a call.
    pub fn observe_call(&self, end: &'static str, duration: Duration) {
        self.calls.get_or_create(&CallLabels { end }).observe(duration.as_secs_f64());
    }

    /// Records the wait for a slot.
    pub fn observe_queue_time(&self, time: Duration) {
        self.queue.observe(time.as_secs_f64());
    }

    /// Records the time from dispatch to a target until its full response.
    pub fn observe_target_duration(&self, time: Duration) {
        self.target.observe(time.as_secs_f64());
    }

    /// Records the time from dispatch to a target until its response head.
    pub fn observe_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Records the number of gates to which a call was offered.
    pub fn observe_attempts(&self, attempts: usize) {
        self.attempts.observe(attempts as f64);
    }

    /// Encodes all metrics as text: gauges, counters, then the far longer histograms, since some
    /// scrapers read only the first few KiB.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError`] if a metric can't be encoded.
    pub fn encode(&self) -> Result<String, MetricsError> {
        let mut text = String::new();
        encode_registry(&mut text, &self.readings.lock())?;
        encode_registry(&mut text, &self.histograms.lock())?;
        encode_eof(&mut text)?;
        Ok(text)
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_FIRST_S, BUCKET_FACTOR, BUCKETS))
}

struct Readings {
    counters: Counters,
    gauges: Arc<Mutex<Vec<ReadGauge>>>,
    labelled: Arc<Mutex<Vec<LabelledGauge>>>,
}

impl std::fmt::Debug for Readings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Readings").finish_non_exhaustive()
    }
}

impl Collector for Readings {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        for gauge in self.gauges.lock().iter() {
            let value = ConstGauge::new((gauge.read)());
            let metric =
                encoder.encode_descriptor(gauge.name, gauge.help, None, value.metric_type())?;
            value.encode(metric)?;
        }
        for gauge in self.labelled.lock().iter() {
            let values = (gauge.read)();
            if values.is_empty() {
                continue;
            }
            let mut family =
                encoder.encode_descriptor(gauge.name, gauge.help, None, MetricType::Gauge)?;
            for (value_of_label, value) in values {
                let labels = [(gauge.label, value_of_label)];
                ConstGauge::new(value).encode(family.encode_family(&labels)?)?;
            }
        }
        for (name, count) in self.counters.snapshot() {
            let counter = ConstCounter::new(count);
            let name = name.replace('.', "_");
            let help = "See the operators' page.";
            let metric = encoder.encode_descriptor(&name, help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}
