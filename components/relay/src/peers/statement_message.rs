//! What an endpoint says about itself, in the status messages between routers.

use std::{sync::Arc, time::Duration};

use prost::Message;

use crate::endpoints::{BrittleReport, RateReport, StatementReport};

/// What an endpoint says about itself.
#[derive(Clone, PartialEq, Message)]
pub struct StatementMessage {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// Its latest statement about its rate limit.
    #[prost(message, optional, tag = "3")]
    pub rate: Option<RateMessage>,
    /// Whether it is shutting down.
    #[prost(bool, tag = "4")]
    pub is_leaving: bool,
    /// Its latest statement about whether it is brittle.
    #[prost(message, optional, tag = "5")]
    pub brittleness: Option<BrittleMessage>,
}

/// Rate limit that an endpoint states.
#[derive(Clone, PartialEq, Message)]
pub struct RateMessage {
    /// Requests per second from all routers together; absent if the endpoint no longer states a
    /// limit.
    #[prost(double, optional, tag = "1")]
    pub per_s: Option<f64>,
    /// Time since an answer with this statement arrived, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Whether an endpoint states that it is brittle.
#[derive(Clone, PartialEq, Message)]
pub struct BrittleMessage {
    /// Number of refusals within a second that it survives; absent if it is no longer brittle.
    #[prost(uint32, optional, tag = "1")]
    pub refusals_max: Option<u32>,
    /// Time since an answer with this statement arrived, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Time since it refused a request, in milliseconds; absent if it did not do so recently.
    #[prost(uint32, optional, tag = "3")]
    pub refusal_age_ms: Option<u32>,
    /// Time since it first stated that it is brittle, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub begin_age_ms: u32,
}

/// Rounds up, so that a report never gets younger when it is passed on.
fn to_age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

fn from_age_ms(age_ms: u32) -> Duration {
    Duration::from_millis(u64::from(age_ms))
}

impl StatementMessage {
    /// Creates a message from a report.
    pub fn from_report(report: &StatementReport) -> StatementMessage {
        let rate = report.rate.map(|it| RateMessage { per_s: it.per_s, age_ms: to_age_ms(it.age) });
        let brittleness = report.brittleness.map(|it| BrittleMessage {
            refusals_max: it.refusals_max,
            age_ms: to_age_ms(it.age),
            refusal_age_ms: it.refusal_age.map(to_age_ms),
            begin_age_ms: to_age_ms(it.begin_age),
        });
        StatementMessage {
            endpoint: report.endpoint.to_string(),
            started_at_ms: report.started_at_ms,
            rate,
            is_leaving: report.is_leaving,
            brittleness,
        }
    }

    /// Converts the message to a report; `None` if the limit is not a valid rate.
    pub fn to_report(&self) -> Option<StatementReport> {
        let rate = self
            .rate
            .as_ref()
            .map(|it| RateReport { per_s: it.per_s, age: from_age_ms(it.age_ms) });
        let per_s = rate.and_then(|it| it.per_s);
        if per_s.is_some_and(|it| !it.is_finite() || it < 0.0) {
            return None;
        }
        Some(StatementReport {
            endpoint: Arc::from(self.endpoint.as_str()),
            started_at_ms: self.started_at_ms,
            rate,
            is_leaving: self.is_leaving,
            brittleness: self.brittleness.as_ref().map(|it| BrittleReport {
                refusals_max: it.refusals_max,
                age: from_age_ms(it.age_ms),
                refusal_age: it.refusal_age_ms.map(from_age_ms),
                begin_age: from_age_ms(it.begin_age_ms),
            }),
        })
    }
}
