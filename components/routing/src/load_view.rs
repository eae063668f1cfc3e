//! The load of an endpoint: a lagging report corrected by own work.

use std::{collections::VecDeque, time::Duration};

use engine_api::LoadReport;
use types::Timestamp;

/// Time for which changes of own work are remembered.
const HISTORY: Duration = Duration::from_secs(2);

/// Weight of a new report in the mean load of other routers. A single report is older
/// than most prompts take, and all routers see the same one: whoever follows it goes
/// where all others go.
const OTHERS_WEIGHT: f64 = 0.02;

/// Weight of a new step time in the mean.
const STEP_WEIGHT: f64 = 0.3;

/// Step time of an engine that has reported none.
const DEFAULT_STEP: Duration = Duration::from_millis(8);

/// Own work on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct OwnWork {
    /// Requests in progress.
    requests: u32,
    /// Prompt tokens of requests without a first token.
    prompt_tokens: u64,
}

/// The load of an endpoint as far as a router can tell.
#[derive(Debug, Default)]
pub(crate) struct LoadView {
    /// Own work now.
    own: OwnWork,
    /// Own work after each change, oldest first.
    history: VecDeque<(Timestamp, OwnWork)>,
    /// Mean requests of other routers, from the reports.
    other_requests: f64,
    /// Mean prompt tokens of other routers' requests without a first token.
    other_prompt_tokens: f64,
    /// Largest batch; zero where the endpoint reports none.
    pub(crate) max_batch: u32,
    /// Mean step time in seconds; zero before the first report.
    step_s: f64,
    /// When the last report arrived.
    pub(crate) reported_at: Option<Timestamp>,
}

impl LoadView {
    /// Adds own work.
    pub(crate) fn add(&mut self, prompt_tokens: u64, now: Timestamp) {
        self.own.requests += 1;
        self.own.prompt_tokens += prompt_tokens;
        self.record(now);
    }

    /// Notes that the prompt of an own request is processed.
    pub(crate) fn end_prompt(&mut self, prompt_tokens: u64, now: Timestamp) {
        self.own.prompt_tokens = self.own.prompt_tokens.saturating_sub(prompt_tokens);
        self.record(now);
    }

    /// Removes own work.
    pub(crate) fn remove(&mut self, now: Timestamp) {
        self.own.requests = self.own.requests.saturating_sub(1);
        self.record(now);
    }

    /// Takes a report that gives the load as it was `lag` ago.
    pub(crate) fn apply_report(&mut self, report: &LoadReport, lag: Duration, now: Timestamp) {
        let own_then = self.own_at(now - lag);
        let reported = report.running.saturating_add(report.waiting);
        let requests = f64::from(reported.saturating_sub(own_then.requests));
        let tokens = report.pending_prompt_tokens.saturating_sub(own_then.prompt_tokens) as f64;
        let weight = if self.reported_at.is_some() { OTHERS_WEIGHT } else { 1.0 };
        self.other_requests += (requests - self.other_requests) * weight;
        self.other_prompt_tokens += (tokens - self.other_prompt_tokens) * weight;
        self.max_batch = report.max_batch;
        if report.step_us > 0 {
            let step_s = report.step_us as f64 / 1e6;
            let is_first = self.step_s == 0.0;
            let weight = if is_first { 1.0 } else { STEP_WEIGHT };
            self.step_s += (step_s - self.step_s) * weight;
        }
        self.reported_at = Some(now);
    }

    /// Forgets the work of other routers, after the endpoint was lost.
    pub(crate) fn forget_others(&mut self) {
        self.other_requests = 0.0;
        self.other_prompt_tokens = 0.0;
    }

    /// Returns own requests in progress.
    pub(crate) fn own_requests(&self) -> u32 {
        self.own.requests
    }

    /// Returns the mean requests of other routers, rounded.
    pub(crate) fn other_requests(&self) -> u32 {
        round(self.other_requests)
    }

    /// Returns the estimated requests in progress, of all routers.
    pub(crate) fn requests(&self) -> u32 {
        self.own.requests.saturating_add(self.other_requests())
    }

    /// Returns the estimated prompt tokens that are still to be processed.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.own.prompt_tokens.saturating_add(u64::from(round(self.other_prompt_tokens)))
    }

    /// Returns the mean step time, in seconds.
    pub(crate) fn step_s(&self) -> f64 {
        if self.step_s > 0.0 { self.step_s } else { DEFAULT_STEP.as_secs_f64() }
    }

    fn record(&mut self, now: Timestamp) {
        self.history.push_back((now, self.own));
        while self.history.get(1).is_some_and(|(at, _)| now.since(*at) > HISTORY) {
            self.history.pop_front();
        }
    }

    fn own_at(&self, at: Timestamp) -> OwnWork {
        let before = self.history.iter().rev().find(|(changed, _)| *changed <= at);
        before.map_or_else(OwnWork::default, |&(_, own)| own)
    }
}

/// Rounds a number that is not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round(number: f64) -> u32 {
    number.round() as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn own_work_since_the_reported_moment_is_added() {
        let lag = Duration::from_millis(500);
        let mut view = LoadView::default();
        view.add(100, Timestamp::from_millis(0));
        view.add(300, Timestamp::from_millis(800));
        let report = LoadReport {
            running: 4,
            max_batch: 16,
            pending_prompt_tokens: 150,
            ..LoadReport::default()
        };
        view.apply_report(&report, lag, Timestamp::from_millis(1_000));
        // Of the four reported requests one was own, so three are of others.
        assert_eq!((view.requests(), view.prompt_tokens()), (5, 450));
        view.remove(Timestamp::from_millis(1_100));
        assert_eq!(view.requests(), 4);
    }
}
