//! Collection of the measured values of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use types::{Priority, Timestamp};

use super::{router_policy::PolicyName, scenario::Scenario};

/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of one scenario under one policy.
#[derive(Debug, Serialize)]
pub(super) struct RoutingRow {
    /// Name of the scenario.
    scenario: &'static str,
    /// Name of the policy.
    policy: &'static str,
    /// Median time from the caller's first attempt to the first token, in milliseconds.
    ttft_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    ttft_p95_ms: f64,
    /// 95th percentile of the time between two tokens, in milliseconds.
    itl_p95_ms: f64,
    /// Ratio of the tokens of requests completed in time to the tokens that the engines can
    /// generate.
    goodput_ratio: f64,
    /// 95th percentile of the time to the first token of urgent requests, in milliseconds.
    urgent_ttft_p95_ms: f64,
    /// Ratio of the prompt blocks found in the engines' caches to all prompt blocks.
    cache_hit_ratio: f64,
    /// Tokens received in callers' attempts that failed or timed out.
    wasted_tokens: u64,
    /// Requests that callers first sent in the measured time.
    requests: u64,
    /// Requests completed in the measured time.
    completed: u64,
    /// Callers' attempts that were refused.
    refused_attempts: u64,
    /// Callers' attempts that reached their deadline.
    timed_out_attempts: u64,
    /// Crashes of engines.
    crashes: u64,
}

/// Collects the measurements of a run, from the end of the warm-up to the end of the run.
#[derive(Debug)]
pub(super) struct Measurement {
    /// Start of the measured time.
    start: Timestamp,
    /// End of the measured time.
    end: Timestamp,
    /// Times to the first token, in microseconds.
    first_token: Histogram<u64>,
    /// Times to the first token of urgent requests, in microseconds.
    urgent_first_token: Histogram<u64>,
    /// Times between tokens, in microseconds.
    between_tokens: Histogram<u64>,
    /// Tokens of requests completed in time.
    good_tokens: u64,
    /// This and the following fields are counters of [`RoutingRow`].
    pub(super) wasted_tokens: u64,
    pub(super) requests: u64,
    completed: u64,
    pub(super) refused_attempts: u64,
    pub(super) timed_out_attempts: u64,
    pub(super) crashes: u64,
}

impl Measurement {
    pub(super) fn new(start: Timestamp, end: Timestamp) -> Measurement {
        let histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is valid");
        Measurement {
            start,
            end,
            first_token: histogram(),
            urgent_first_token: histogram(),
            between_tokens: histogram(),
            good_tokens: 0,
            wasted_tokens: 0,
            requests: 0,
            completed: 0,
            refused_attempts: 0,
            timed_out_attempts: 0,
            crashes: 0,
        }
    }

    /// Reports whether `at` is in the measured time.
    pub(super) fn includes(&self, at: Timestamp) -> bool {
        self.start <= at && at < self.end
    }

    pub(super) fn on_first_token(&mut self, priority: Priority, latency: Duration, at: Timestamp) {
        if !self.includes(at) {
            return;
        }
        record(&mut self.first_token, latency);
        if priority == Priority::Urgent {
            record(&mut self.urgent_first_token, latency);
        }
    }

    pub(super) fn on_next_token(&mut self, gap: Duration, at: Timestamp) {
        if self.includes(at) {
            record(&mut self.between_tokens, gap);
        }
    }

    pub(super) fn on_completed(&mut self, tokens: u64, at: Timestamp) {
        if self.includes(at) {
            self.good_tokens += tokens;
            self.completed += 1;
        }
    }

    pub(super) fn into_row(
        self,
        scenario: &Scenario,
        policy: PolicyName,
        capacity_tokens_per_s: f64,
        cache_counts: (u64, u64),
    ) -> RoutingRow {
        let measured_s = self.end.since(self.start).as_secs_f64();
        let (seen, hit) = cache_counts;
        RoutingRow {
            scenario: scenario.name,
            policy: policy.label(),
            ttft_p50_ms: millis(&self.first_token, 0.50),
            ttft_p95_ms: millis(&self.first_token, 0.95),
            itl_p95_ms: millis(&self.between_tokens, 0.95),
            goodput_ratio: round(self.good_tokens as f64 / (capacity_tokens_per_s * measured_s)),
            urgent_ttft_p95_ms: millis(&self.urgent_first_token, 0.95),
            cache_hit_ratio: round(hit as f64 / seen.max(1) as f64),
            wasted_tokens: self.wasted_tokens,
            requests: self.requests,
            completed: self.completed,
            refused_attempts: self.refused_attempts,
            timed_out_attempts: self.timed_out_attempts,
            crashes: self.crashes,
        }
    }
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    histogram.record(micros.max(1)).expect("the histogram resizes itself");
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    round(histogram.value_at_quantile(quantile) as f64 / 1e3)
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
