//! Setup of the Prometheus metrics recorder.

use std::{sync::OnceLock, time::Duration};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::{FIRST_TOKEN_SECONDS, REQUEST_SECONDS};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: &[f64] =
    &[0.005, 0.01, 0.026, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0];

/// Handle that renders the metrics of this process.
#[derive(Clone)]
pub struct MetricsHandle {
    /// Handle of the Prometheus exporter.
    inner: PrometheusHandle,
}

impl MetricsHandle {
    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.inner.run_upkeep();
        self.inner.render()
    }
}

/// Installs the metrics recorder of this process. Later calls return the same handle.
///
/// # Panics
/// If another metrics recorder is already installed.
pub fn set_up_metrics() -> MetricsHandle {
    static HANDLE: OnceLock<MetricsHandle> = OnceLock::new();
    HANDLE.get_or_init(install_recorder).clone()
}

fn install_recorder() -> MetricsHandle {
    let builder = [FIRST_TOKEN_SECONDS, REQUEST_SECONDS].iter().fold(
        PrometheusBuilder::new().upkeep_timeout(Duration::from_secs(5)),
        |builder, name| {
            builder
                .set_buckets_for_metric(Matcher::Full((*name).to_owned()), BUCKET_BOUNDS_SECONDS)
                .expect("the list of buckets is not empty")
        },
    );
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).expect("no other metrics recorder is installed");
    MetricsHandle { inner: handle }
}
