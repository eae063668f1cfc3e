//! All kinds of errors.

use serde::{Deserialize, Serialize};

/// Kind of an error. [`entry_of`](crate::entry_of) maps each kind to its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed: invalid JSON, or a missing or invalid field.
    BadRequest,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The headers are longer than the limit.
    HeadersTooLarge,
    /// The content type is not the expected one.
    UnsupportedMediaType,
    /// The caller did not send the whole request in time.
    SlowSender,
    /// The API key is missing or wrong.
    Unauthorized,
    /// The operator's role does not permit the call.
    RoleMissing,
    /// There is no such resource, or the caller may not see it.
    NotFound,
    /// The resource does not support the HTTP method.
    MethodNotAllowed,
    /// The client account has no access to a model of this name.
    UnknownModel,
    /// The client account has no access to an action of this name.
    UnknownAction,
    /// The request id was used before for a request with different content.
    RequestIdReused,
    /// The prepaid budget is spent.
    BudgetExhausted,
    /// The unspent tokens of the budget are reserved or held elsewhere at the moment.
    BudgetShort,
    /// The deadline cannot be met under the current load.
    Overloaded,
    /// The client account has reached its limit of queued requests.
    QueueFull,
    /// The deadline passed before any attempt was sent.
    DeadlineBeforeRun,
    /// No endpoint that may serve the request is reachable.
    NoEndpoint,
    /// The model is being loaded.
    ModelLoading,
    /// The router is shutting down; the caller should use another address.
    RouterLeaving,
    /// The platform's table is unreachable and the request needs it.
    StoreUnavailable,
    /// The content has crashed endpoints before and is no longer run.
    Quarantined,
    /// The endpoint refused the request as invalid.
    EndpointRejected,
    /// The attempts of an idempotent request failed.
    AttemptsFailed,
    /// A non-idempotent request was sent and its outcome is unknown.
    OutcomeUnknown,
    /// The deadline passed while an attempt was running.
    DeadlineWhileRunning,
    /// The bill could not be stored durably, so the end of the answer is withheld.
    BillNotDurable,
    /// The configuration or intent has faults.
    InvalidConfig,
    /// The configuration has changed since the plan was made, in a way that conflicts with it.
    StalePlan,
    /// The plan was not confirmed in time.
    PlanExpired,
    /// An internal error of the router.
    Internal,
}
