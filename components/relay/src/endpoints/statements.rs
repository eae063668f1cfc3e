//! What the endpoints say about themselves in answers: rate limits, pauses, that they are leaving
//! and that they are brittle. All but pauses are reported to other routers; a pause is asked of
//! one router.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{
    book::EndpointRegistry,
    brittleness::BrittleStatement,
    pause::{PAUSE_MAX, Pause},
    rate_limit::{RATE_MAX_PER_S, RateReport, RateStatement, StatedRate, share_of},
};
use crate::units::millis;

/// What an answer says about the endpoint that gave it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statements {
    /// Rate of requests that it accepts.
    pub rate: RateStatement,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this router.
    pub pause: Option<Duration>,
    /// Whether it falls over if it has to refuse too many requests.
    pub brittleness: BrittleStatement,
    /// Whether a statement is malformed and was left out.
    pub has_malformed: bool,
}

/// What routers report to each other about one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct StatementReport {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Its latest statement about its rate limit, if there was one recently.
    pub rate: Option<RateReport>,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Its latest statement about whether it is brittle, if it is or was so recently.
    pub brittleness: Option<BrittleReport>,
}

/// An endpoint's latest statement about whether it is brittle, as routers report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrittleReport {
    /// Number of refusals within a second that it survives; `None` if it is no longer brittle.
    pub refusals_max: Option<u32>,
    /// Time since an answer with this statement arrived.
    pub age: Duration,
    /// Time since it first stated that it is brittle.
    pub begin_age: Duration,
    /// Time since it refused a request, if it did so recently.
    pub refusal_age: Option<Duration>,
}

impl EndpointRegistry {
    /// Records what the answer to a request that was sent at `sent_at` says about the endpoint.
    /// Returns whether a rate limit began, changed or ended.
    ///
    /// Answers on different connections may overtake each other. An answer without a rate limit or
    /// a pause therefore ends one only if its request was sent after it was stated.
    pub fn record_statements(
        &mut self,
        id: &str,
        statements: &Statements,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let pause = statements.pause.filter(|it| *it <= PAUSE_MAX);
        let rate = match statements.rate {
            RateStatement::PerSecond(per_s) if per_s > RATE_MAX_PER_S => RateStatement::Unknown,
            rate => rate,
        };
        if statements.has_malformed || pause != statements.pause || rate != statements.rate {
            self.count_malformed(id);
        }
        if statements.is_leaving {
            self.mark_leaving(id);
        }
        self.record_pause(id, pause, sent_at, now);
        self.record_brittleness(id, statements.brittleness, sent_at, now);
        match rate {
            RateStatement::PerSecond(per_s) => self.restate_rate(id, Some(per_s), now, now),
            RateStatement::Unlimited => {
                let rate = self.endpoints.get(id).and_then(|it| it.rate);
                let is_newer = rate.is_some_and(|it| it.stated_at() < sent_at);
                is_newer && self.restate_rate(id, None, now, now)
            }
            RateStatement::Unknown => false,
        }
    }

    /// Applies what another router reports. Reports that are older than what is known, and those
    /// about another process of the endpoint, are ignored. Returns whether a rate limit began,
    /// changed or ended.
    pub fn apply_report(&mut self, report: &StatementReport, now: Timestamp) -> bool {
        let Some(endpoint) = self.endpoints.get(&report.endpoint) else { return false };
        if endpoint.entry.started_at_ms != report.started_at_ms {
            return false;
        }
        let known = endpoint.rate;
        if report.is_leaving {
            self.mark_leaving(&report.endpoint);
        }
        if let Some(brittleness) = report.brittleness {
            self.apply_brittle_report(&report.endpoint, brittleness, now);
        }
        let Some(rate) = report.rate else { return false };
        let stated_at = now - rate.age;
        let is_newer = known.is_none_or(|it| it.stated_at() < stated_at);
        is_newer && self.restate_rate(&report.endpoint, rate.per_s, stated_at, now)
    }

    fn count_malformed(&mut self, id: &str) {
        metrics::counter!(telemetry::MALFORMED_STATEMENTS_TOTAL).increment(1);
        if !self.has_malformed_statement {
            self.has_malformed_statement = true;
            log::warn!(endpoint = id; "malformed statement in an answer ignored; later ones are only counted");
        }
    }

    fn mark_leaving(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && !endpoint.is_leaving
        {
            endpoint.is_leaving = true;
            log::info!(endpoint = id; "endpoint states that it is leaving");
        }
    }

    fn record_pause(
        &mut self,
        id: &str,
        asked: Option<Duration>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        match asked.filter(|it| !it.is_zero()) {
            Some(time) => {
                log::info!(endpoint = id, pause_ms = millis(time); "endpoint asks for a pause");
                metrics::counter!(telemetry::ENDPOINT_PAUSES_TOTAL).increment(1);
                endpoint.pause = Some(Pause::new(time, endpoint.pause, now));
            }
            None => endpoint.pause = endpoint.pause.filter(|it| it.asked_at >= sent_at),
        }
    }

    fn restate_rate(
        &mut self,
        id: &str,
        per_s: Option<f64>,
        stated_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        let before = endpoint.limit_per_s();
        match (&mut endpoint.rate, per_s) {
            (Some(rate), _) => rate.restate(per_s, stated_at),
            (None, Some(per_s)) => endpoint.rate = Some(StatedRate::new(per_s, stated_at, now)),
            (None, None) => {}
        }
        match per_s {
            _ if before == per_s => return false,
            Some(per_s) => log::info!(endpoint = id, per_s; "endpoint states a rate limit"),
            None => log::info!(endpoint = id; "endpoint no longer states a rate limit"),
        }
        true
    }

    /// Recomputes this router's share of each rate limit, and the owners of brittle endpoints.
    /// `routers` are all that take part in both.
    pub fn update_rate_shares(&mut self, own: &str, routers: &[Arc<str>], now: Timestamp) {
        self.set_sharers(routers, now);
        for (id, endpoint) in &mut self.endpoints {
            if let Some(rate) = &mut endpoint.rate
                && let Some(per_s) = rate.per_s()
            {
                rate.set_share(share_of(id, per_s, own, routers), now);
            }
        }
    }

    /// Returns what other routers are told about the endpoints.
    pub fn reports(&self, now: Timestamp) -> Vec<StatementReport> {
        let reports = self.endpoints.iter().filter_map(|(id, it)| {
            let rate = it.rate.filter(|it| it.is_reported(now));
            let rate =
                rate.map(|it| RateReport { per_s: it.per_s(), age: now.since(it.stated_at()) });
            let report = StatementReport {
                endpoint: id.clone(),
                started_at_ms: it.entry.started_at_ms,
                rate,
                is_leaving: it.is_leaving,
                brittleness: it.brittle_report(now),
            };
            let has_content =
                report.rate.is_some() || report.is_leaving || report.brittleness.is_some();
            has_content.then_some(report)
        });
        reports.collect()
    }

    /// Returns the number of endpoints that state a rate limit.
    pub fn rate_limit_count(&self) -> usize {
        self.endpoints.values().filter(|it| it.limit_per_s().is_some()).count()
    }

    /// Records that a request was placed on an endpoint: counts it in this router's share of a
    /// rate limit, or as a test whether a pause is over.
    pub(super) fn record_sent(&mut self, id: &str, now: Timestamp) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Some(pause) = &mut endpoint.pause {
            pause.record_test(now);
        }
        if let Some(rate) = &mut endpoint.rate
            && rate.per_s().is_some()
        {
            rate.take(now);
            metrics::counter!(telemetry::LIMITED_REQUESTS_TOTAL).increment(1);
        }
    }

    /// Drops ended rate limits that are no longer reported.
    pub(super) fn forget_ended_rates(&mut self, now: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.rate = endpoint.rate.filter(|it| it.is_reported(now));
        }
    }
}
