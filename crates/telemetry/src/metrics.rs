//! Metrics: counters and the latency histogram in the Prometheus text format.

use std::fmt;
use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{Counter, Counters, Error, Result};

/// The metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    latency_ms: Histogram<f64>,
    // Instruments are exported only until their provider is dropped.
    provider: SdkMeterProvider,
}

/// The labels of a request in the latency histogram.
///
/// Each label takes few values. Beyond 2,000 combinations of values, the metrics library
/// counts all others under one combination that it marks as overflow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Labels<'a> {
    /// The route or request class; [`Labels::NONE`] if none matched.
    pub route: &'a str,
    /// The service; [`Labels::NONE`] if none was found.
    pub upstream: &'a str,
    /// The outcome for the caller: `served`, `late`, `failed`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// The reason why no server answered; [`Labels::NONE`] if one did.
    pub reason: &'static str,
}

impl Labels<'_> {
    /// The value of a label that does not apply.
    pub const NONE: &'static str = "none";
}

/// The bucket bounds of the latency histogram.
///
/// They are powers of two around the latency targets that documents set.
const LATENCY_BOUNDS_MS: [f64; 14] =
    [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0, 512.0, 1_024.0, 2_048.0, 8_192.0];

impl Metrics {
    /// Creates metrics that export the given counters.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be set up.
    pub fn new(counters: &Arc<Counters>) -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(Error::report)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("verbenadrift");
        for (counter, name, description) in Counter::all() {
            let counters = Arc::clone(counters);
            meter
                .u64_observable_counter(name)
                .with_description(description)
                .with_callback(move |observer| observer.observe(counters.get(counter), &[]))
                .build();
        }
        let latency_ms = meter
            .f64_histogram("verbena_latency")
            .with_unit("ms")
            .with_description("time from a request's arrival to the head of its answer")
            .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
            .build();
        Ok(Self { registry, latency_ms, provider })
    }

    /// Exports a value that goes up and down.
    pub fn observe(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.provider
            .meter("verbenadrift")
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Records the latency of a request in milliseconds.
    pub fn record_latency(&self, latency_ms: f64, labels: &Labels<'_>) {
        let labels = [
            KeyValue::new("route", labels.route.to_owned()),
            KeyValue::new("upstream", labels.upstream.to_owned()),
            KeyValue::new("outcome", labels.outcome),
            KeyValue::new("reason", labels.reason),
        ];
        self.latency_ms.record(latency_ms, &labels);
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = Vec::new();
        // Encoding into a vector fails only for invalid metrics, which would be a bug.
        if TextEncoder::new().encode(&self.registry.gather(), &mut text).is_err() {
            text.clear();
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
