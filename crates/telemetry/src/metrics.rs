//! Metrics in the Prometheus text format.

use std::fmt;
use std::sync::Arc;

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{Counter, Counters, Error, Result};

/// The metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    latency_ms: Histogram<f64>,
    // Instruments are exported only while their provider lives.
    _provider: SdkMeterProvider,
}

const LATENCY_BOUNDS_MS: [f64; 12] =
    [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 512.0, 2_048.0, 8_192.0];

impl Metrics {
    /// Creates metrics that show some counters.
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
        for (counter, name, meaning) in Counter::all() {
            let counters = Arc::clone(counters);
            meter
                .u64_observable_counter(name)
                .with_description(meaning)
                .with_callback(move |observer| observer.observe(counters.get(counter), &[]))
                .build();
        }
        let latency_ms = meter
            .f64_histogram("verbena_latency")
            .with_unit("ms")
            .with_description("time from a request's arrival to the head of its answer")
            .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
            .build();
        Ok(Self { registry, latency_ms, _provider: provider })
    }

    /// Records the time that a request took.
    pub fn record_latency(&self, latency_ms: f64) {
        self.latency_ms.record(latency_ms, &[]);
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = Vec::new();
        // Writing into a vector fails only on metrics that are not valid, which is a bug.
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
