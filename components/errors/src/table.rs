//! The table from error kind to answer.

use std::time::Duration;

use crate::{ErrorKind, Ran};

/// Answer to callers for an error kind, and its label in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorEntry {
    /// HTTP status code.
    pub status: u16,
    /// Stable code for programs, also used as a metric label.
    pub code: &'static str,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Whether a request with the same id may be sent again.
    pub may_retry_same_id: bool,
    /// Mean delay before a retry; the answer contains it with jitter. Zero if a retry cannot
    /// help.
    pub retry_delay: Duration,
}

const NO_RETRY: Duration = Duration::ZERO;
const SHORT_DELAY: Duration = Duration::from_millis(200);
const MEDIUM_DELAY: Duration = Duration::from_secs(2);
const LONG_DELAY: Duration = Duration::from_secs(30);

/// Returns the answer for errors of `kind`.
pub const fn entry_of(kind: ErrorKind) -> ErrorEntry {
    use ErrorKind::*;
    use Ran::*;
    match kind {
        BadRequest => entry(400, "bad_request", Never, false, NO_RETRY),
        BodyTooLarge => entry(413, "body_too_large", Never, false, NO_RETRY),
        HeadersTooLarge => entry(431, "headers_too_large", Never, false, NO_RETRY),
        UnsupportedMediaType => entry(415, "unsupported_media_type", Never, false, NO_RETRY),
        SlowSender => entry(408, "slow_sender", Never, true, SHORT_DELAY),
        Unauthorized => entry(401, "unauthorized", Never, false, NO_RETRY),
        RoleMissing => entry(403, "role_missing", Never, false, NO_RETRY),
        NotFound => entry(404, "not_found", Never, false, NO_RETRY),
        MethodNotAllowed => entry(405, "method_not_allowed", Never, false, NO_RETRY),
        UnknownModel => entry(404, "unknown_model", Never, false, NO_RETRY),
        UnknownAction => entry(404, "unknown_action", Never, false, NO_RETRY),
        RequestIdReused => entry(409, "request_id_reused", Never, false, NO_RETRY),
        BudgetExhausted => entry(402, "budget_exhausted", Never, true, LONG_DELAY),
        BudgetShort => entry(429, "budget_short", Never, true, MEDIUM_DELAY),
        Overloaded => entry(429, "overloaded", Never, true, MEDIUM_DELAY),
        QueueFull => entry(429, "queue_full", Never, true, MEDIUM_DELAY),
        DeadlineBeforeRun => entry(504, "deadline_before_run", Never, true, MEDIUM_DELAY),
        NoEndpoint => entry(503, "no_endpoint", Never, true, MEDIUM_DELAY),
        ModelLoading => entry(503, "model_loading", Never, true, MEDIUM_DELAY),
        RouterLeaving => entry(503, "router_leaving", Never, true, SHORT_DELAY),
        StoreUnavailable => entry(503, "store_unavailable", Never, true, MEDIUM_DELAY),
        Quarantined => entry(422, "quarantined", NoFurther, false, NO_RETRY),
        EndpointRejected => entry(422, "endpoint_rejected", NoFurther, false, NO_RETRY),
        AttemptsFailed => entry(502, "attempts_failed", Unknown, true, SHORT_DELAY),
        OutcomeUnknown => entry(502, "outcome_unknown", Unknown, true, LONG_DELAY),
        DeadlineWhileRunning => entry(504, "deadline_while_running", Unknown, true, SHORT_DELAY),
        BillNotDurable => entry(503, "bill_not_durable", Unknown, true, MEDIUM_DELAY),
        InvalidConfig => entry(422, "invalid_config", Never, false, NO_RETRY),
        StalePlan => entry(409, "stale_plan", Never, false, NO_RETRY),
        PlanExpired => entry(410, "plan_expired", Never, false, NO_RETRY),
        Internal => entry(500, "internal", Unknown, true, MEDIUM_DELAY),
    }
}

const fn entry(
    status: u16,
    code: &'static str,
    ran: Ran,
    may_retry_same_id: bool,
    retry_delay: Duration,
) -> ErrorEntry {
    ErrorEntry { status, code, ran, may_retry_same_id, retry_delay }
}

impl ErrorKind {
    /// All kinds, in the order of the enum.
    pub const ALL: &'static [ErrorKind] = {
        use ErrorKind::*;
        &[
            BadRequest,
            BodyTooLarge,
            HeadersTooLarge,
            UnsupportedMediaType,
            SlowSender,
            Unauthorized,
            RoleMissing,
            NotFound,
            MethodNotAllowed,
            UnknownModel,
            UnknownAction,
            RequestIdReused,
            BudgetExhausted,
            BudgetShort,
            Overloaded,
            QueueFull,
            DeadlineBeforeRun,
            NoEndpoint,
            ModelLoading,
            RouterLeaving,
            StoreUnavailable,
            Quarantined,
            EndpointRejected,
            AttemptsFailed,
            OutcomeUnknown,
            DeadlineWhileRunning,
            BillNotDurable,
            InvalidConfig,
            StalePlan,
            PlanExpired,
            Internal,
        ]
    };

    /// Returns the answer for errors of this kind.
    pub const fn entry(self) -> ErrorEntry {
        entry_of(self)
    }

    /// Returns the stable code of this kind.
    pub const fn code(self) -> &'static str {
        entry_of(self).code
    }

    /// Returns the kind with this stable code.
    pub fn from_code(code: &str) -> Option<ErrorKind> {
        ErrorKind::ALL.iter().copied().find(|kind| kind.code() == code)
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
