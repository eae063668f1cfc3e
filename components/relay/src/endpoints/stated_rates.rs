//! Rate limits that the endpoints state: heard in answers, reported by other routers, and shared
//! with them.

use std::sync::Arc;

use types::Timestamp;

use super::{
    book::EndpointRegistry,
    rate_limit::{RateReport, RateStatement, StatedRate, share_of},
};

impl EndpointRegistry {
    /// Records what an answer to a request that was sent at `sent_at` says about the rate of
    /// requests that the endpoint accepts. Returns whether the limit began, changed or ended.
    ///
    /// An answer without a statement ends a limit only if its request was sent after the limit was
    /// stated: answers on different connections may overtake each other.
    pub fn record_rate(
        &mut self,
        id: &str,
        statement: RateStatement,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        match statement {
            RateStatement::PerSecond(per_s) => self.restate_rate(id, Some(per_s), now, now),
            RateStatement::Unlimited => {
                let rate = self.endpoints.get(id).and_then(|it| it.rate);
                let is_newer = rate.is_some_and(|it| it.stated_at() < sent_at);
                is_newer && self.restate_rate(id, None, now, now)
            }
            RateStatement::Malformed => {
                metrics::counter!(telemetry::MALFORMED_STATEMENTS_TOTAL).increment(1);
                if !self.has_malformed_statement {
                    self.has_malformed_statement = true;
                    log::warn!(endpoint = id; "malformed rate limit in an answer ignored; later ones are only counted");
                }
                false
            }
        }
    }

    /// Applies what another router reports about an endpoint's limit. Reports that are older than
    /// what is known, and those about another process of the endpoint, are ignored. Returns
    /// whether the limit began, changed or ended.
    pub fn apply_rate_report(&mut self, report: &RateReport, now: Timestamp) -> bool {
        let Some(endpoint) = self.endpoints.get(&report.endpoint) else { return false };
        let stated_at = now - report.age;
        let is_newer = endpoint.rate.is_none_or(|it| it.stated_at() < stated_at);
        let is_same = endpoint.entry.started_at_ms == report.started_at_ms;
        is_newer && is_same && self.restate_rate(&report.endpoint, report.per_s, stated_at, now)
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

    /// Recomputes this router's share of each limit. `routers` are all that share limits.
    pub fn update_rate_shares(&mut self, own: &str, routers: &[Arc<str>], now: Timestamp) {
        for (id, endpoint) in &mut self.endpoints {
            if let Some(rate) = &mut endpoint.rate
                && let Some(per_s) = rate.per_s()
            {
                rate.set_share(share_of(id, per_s, own, routers), now);
            }
        }
    }

    /// Returns what other routers are told about limits.
    pub fn rate_reports(&self, now: Timestamp) -> Vec<RateReport> {
        let reports = self.endpoints.iter().filter_map(|(id, it)| {
            let rate = it.rate.filter(|it| it.is_reported(now))?;
            Some(RateReport {
                endpoint: id.clone(),
                started_at_ms: it.entry.started_at_ms,
                per_s: rate.per_s(),
                age: now.since(rate.stated_at()),
            })
        });
        reports.collect()
    }

    /// Returns the number of endpoints that state a rate limit.
    pub fn rate_limit_count(&self) -> usize {
        self.endpoints.values().filter(|it| it.limit_per_s().is_some()).count()
    }

    /// Counts a request that was placed on an endpoint in this router's share of its limit.
    pub(super) fn take_from_share(&mut self, id: &str, now: Timestamp) {
        let endpoint = self.endpoints.get_mut(id);
        if let Some(rate) = endpoint.and_then(|it| it.rate.as_mut())
            && rate.per_s().is_some()
        {
            rate.take(now);
            metrics::counter!(telemetry::LIMITED_REQUESTS_TOTAL).increment(1);
        }
    }

    /// Drops ended limits that are no longer reported.
    pub(super) fn forget_ended_rates(&mut self, now: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.rate = endpoint.rate.filter(|it| it.is_reported(now));
        }
    }
}
