//! Counters, histograms and gauges of routed calls, in the text form that scrapers read.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use prometheus_client::{
    collector::Collector,
    encoding::{
        DescriptorEncoder, EncodeLabelSet, EncodeMetric,
        text::{encode_eof, encode_registry},
    },
    metrics::{
        counter::ConstCounter,
        family::Family,
        gauge::ConstGauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use thiserror::Error;

use crate::state::counters::Counters;

/// Start of every metric's name.
const PREFIX: &str = "yuccarack";

/// Shortest time that a histogram tells apart, in seconds: a call through two idle daemons.
const BUCKET_FIRST_S: f64 = 0.000_5;

/// Each bucket is as many duration_histogram as long as the one before.
const BUCKET_FACTOR: f64 = 2.0;

/// Buckets; the last one ends at 8 s, beyond the longest wait of a route.
const BUCKETS: u16 = 15;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// `answered`, `target_failed`, `not_run` or `unknown`.
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
    tries: Histogram,
    gauges: Arc<Mutex<Vec<ReadGauge>>>,
    readings: Arc<Mutex<Registry>>,
    histograms: Arc<Mutex<Registry>>,
}

/// A number that is read when metrics are asked for.
struct ReadGauge {
    name: &'static str,
    help: &'static str,
    read: Box<dyn Fn() -> i64 + Send + Sync>,
}

/// Metrics that can't be written.
#[derive(Debug, Error)]
#[error("metrics can't be written: {0}")]
pub struct MetricsError(#[from] std::fmt::Error);

impl Metrics {
    /// Makes metrics that tell `counters` too.
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
        let tries = Histogram::new([1.0, 2.0, 3.0, 4.0, 5.0, 6.0]);
        registry.register("tries", "Gates that a call was offered to.", tries.clone());
        let gauges: Arc<Mutex<Vec<ReadGauge>>> = Arc::default();
        let mut readings = Registry::with_prefix(PREFIX);
        let collector = Readings { counters, gauges: Arc::clone(&gauges) };
        readings.register_collector(Box::new(collector));
        Self {
            calls,
            queue,
            target,
            first_byte,
            tries,
            gauges,
            readings: Arc::new(Mutex::new(readings)),
            histograms: Arc::new(Mutex::new(registry)),
        }
    }

    /// Tells a number that `read` knows, from now on.
    pub fn register_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> i64 + Send + Sync + 'static,
    ) {
        self.gauges.lock().push(ReadGauge { name, help, read: Box::new(read) });
    }

    /// Notes the end of a call.
    pub fn observe_call(&self, end: &'static str, duration: Duration) {
        self.calls.get_or_create(&CallLabels { end }).observe(duration.as_secs_f64());
    }

    /// Notes a wait for a slot.
    pub fn observe_queue_time(&self, time: Duration) {
        self.queue.observe(time.as_secs_f64());
    }

    /// Notes the time that a target duration.
    pub fn observe_target_duration(&self, time: Duration) {
        self.target.observe(time.as_secs_f64());
    }

    /// Notes the time until the head of a target's answer.
    pub fn observe_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Notes to how many gates a call was offered.
    pub fn observe_attempts(&self, tries: usize) {
        self.tries.observe(tries as f64);
    }

    /// All metrics as text: gauges, counters, then the far longer histograms, since some scrapers
    /// keep only the first few KiB.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] when one of them can't be written.
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
