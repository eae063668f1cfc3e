//! The closed list of error kinds.

use serde::{Deserialize, Serialize};

/// Kind of an error. [`entry_of`](crate::entry_of) maps each to its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed: bad JSON, a missing or absurd field.
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
    /// The operator's key lacks the role.
    RoleMissing,
    /// There is no such resource, or the caller may not see it.
    NotFound,
    /// The resource has no such method.
    MethodNotAllowed,
    /// The client account has no such model.
    UnknownModel,
    /// The client account has no such action.
    UnknownAction,
    /// The request id was used before with other content.
    RequestIdReused,
    /// The prepaid budget is spent.
    BudgetExhausted,
    /// The unspent rest of the budget is reserved or held elsewhere for now.
    BudgetShort,
    /// The deadline cannot be met under the present load.
    Overloaded,
    /// The client account has as many requests queued as it may.
    QueueFull,
    /// The deadline passed before any attempt was sent.
    DeadlineBeforeRun,
    /// No endpoint that may serve the request is reachable.
    NoEndpoint,
    /// The model is being loaded.
    ModelLoading,
    /// The router is leaving; another address serves the request.
    RouterLeaving,
    /// The platform's table is away and the request needs it.
    StoreUnavailable,
    /// The content crashed endpoints before; it is not run any more.
    Quarantined,
    /// The endpoint refused the request as invalid.
    EndpointRejected,
    /// The attempts of an idempotent request failed.
    AttemptsFailed,
    /// A non-idempotent request was sent and its outcome is not known.
    OutcomeUnknown,
    /// The deadline passed while an attempt was running.
    DeadlineWhileRunning,
    /// The bill could not be made durable, so the end of the answer is withheld.
    BillNotDurable,
    /// The configuration or intent has faults.
    InvalidConfig,
    /// The plan was made against a base that has changed since.
    StalePlan,
    /// The plan was not confirmed in time.
    PlanExpired,
    /// A fault inside the router.
    Internal,
}
