//! Load of an endpoint: delayed reports of the total, corrected by this router's own
//! requests, which it knows exactly.

use std::{collections::VecDeque, time::Duration};

use engine_api::LoadReport;
use types::Timestamp;

/// Time for which changes of the load that this router puts on an endpoint are kept.
const HISTORY_DURATION: Duration = Duration::from_secs(2);

/// Weight of a new report in the moving average of other routers' load. It is small because
/// a report is older than the time that most prompts take, and all routers see the same
/// one: following single reports would send all routers to the same endpoint.
const OTHER_LOAD_WEIGHT: f64 = 0.02;

/// Weight of a new step time in the moving average.
const STEP_TIME_WEIGHT: f64 = 0.3;

/// Assumed step time of an engine that has not reported one.
const DEFAULT_STEP: Duration = Duration::from_millis(8);

/// Load that this router puts on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct OwnLoad {
    /// Requests in progress.
    requests: u32,
    /// Prompt tokens of requests whose first token has not arrived.
    prompt_tokens: u64,
}

/// Load of an endpoint as estimated by this router.
#[derive(Debug, Default)]
pub(crate) struct LoadView {
    /// Current load that this router puts on the endpoint.
    own: OwnLoad,
    /// The same after each recent change, oldest first.
    history: VecDeque<(Timestamp, OwnLoad)>,
    /// Mean requests of other routers, derived from the reports.
    other_requests: f64,
    /// Mean prompt tokens of other routers' requests whose first token has not arrived.
    other_prompt_tokens: f64,
    /// Largest batch in requests; zero if the endpoint reports none.
    pub(crate) max_batch: u32,
    /// Mean step time in seconds; zero before the first report.
    step_s: f64,
    /// When the last report arrived.
    pub(crate) reported_at: Option<Timestamp>,
}

impl LoadView {
    /// Adds a request of this router with `prompt_tokens` still to be processed.
    pub(crate) fn add(&mut self, prompt_tokens: u64, now: Timestamp) {
        self.own.requests += 1;
        self.own.prompt_tokens += prompt_tokens;
        self.record(now);
    }

    /// Removes the prompt of a request of this router, which is processed or given up.
    pub(crate) fn end_prompt(&mut self, prompt_tokens: u64, now: Timestamp) {
        self.own.prompt_tokens = self.own.prompt_tokens.saturating_sub(prompt_tokens);
        self.record(now);
    }

    /// Removes a request of this router.
    pub(crate) fn remove(&mut self, now: Timestamp) {
        self.own.requests = self.own.requests.saturating_sub(1);
        self.record(now);
    }

    /// Applies a report that shows the load as it was `lag` ago.
    pub(crate) fn apply_report(&mut self, report: &LoadReport, lag: Duration, now: Timestamp) {
        let own_then = self.own_load_at(now - lag);
        let reported = report.running.saturating_add(report.waiting);
        let requests = f64::from(reported.saturating_sub(own_then.requests));
        let tokens = report.pending_prompt_tokens.saturating_sub(own_then.prompt_tokens) as f64;
        let weight = if self.reported_at.is_some() { OTHER_LOAD_WEIGHT } else { 1.0 };
        self.other_requests += (requests - self.other_requests) * weight;
        self.other_prompt_tokens += (tokens - self.other_prompt_tokens) * weight;
        self.max_batch = report.max_batch;
        if report.step_us > 0 {
            let step_s = report.step_us as f64 / 1e6;
            let is_first = self.step_s == 0.0;
            let weight = if is_first { 1.0 } else { STEP_TIME_WEIGHT };
            self.step_s += (step_s - self.step_s) * weight;
        }
        self.reported_at = Some(now);
    }

    /// Resets the load of other routers to zero, after a failure of the endpoint.
    pub(crate) fn reset_other_load(&mut self) {
        self.other_requests = 0.0;
        self.other_prompt_tokens = 0.0;
    }

    /// Returns the requests of this router in progress.
    pub(crate) fn own_requests(&self) -> u32 {
        self.own.requests
    }

    /// Returns the mean number of requests of other routers, rounded.
    pub(crate) fn other_requests(&self) -> u32 {
        round(self.other_requests)
    }

    /// Returns the estimated requests in progress, summed over all routers.
    pub(crate) fn requests(&self) -> u32 {
        self.own.requests.saturating_add(self.other_requests())
    }

    /// Returns the estimated prompt tokens still to be processed, summed over all routers.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.own.prompt_tokens.saturating_add(u64::from(round(self.other_prompt_tokens)))
    }

    /// Returns the mean step time in seconds, or [`DEFAULT_STEP`] before the first report
    /// of one.
    pub(crate) fn step_s(&self) -> f64 {
        if self.step_s > 0.0 { self.step_s } else { DEFAULT_STEP.as_secs_f64() }
    }

    fn record(&mut self, now: Timestamp) {
        self.history.push_back((now, self.own));
        while self.history.get(1).is_some_and(|(at, _)| now.since(*at) > HISTORY_DURATION) {
            self.history.pop_front();
        }
    }

    fn own_load_at(&self, at: Timestamp) -> OwnLoad {
        let before = self.history.iter().rev().find(|(changed, _)| *changed <= at);
        before.map_or_else(OwnLoad::default, |&(_, own)| own)
    }
}

/// Rounds a non-negative number.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round(number: f64) -> u32 {
    number.round() as u32
}

#[cfg(test)]
#[path = "load_view_tests.rs"]
mod tests;
