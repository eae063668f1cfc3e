//! Cautions: effects of a plan that operators should review before they confirm it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Kind of a caution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CautionKind {
    /// A deposit leaves a budget without available tokens, or an account is removed whose
    /// budget still holds unspent or granted tokens.
    BudgetInUse,
    /// An endpoint with requests in progress is removed or taken out of service.
    EndpointBusy,
    /// A model that accounts use has no endpoint in service that may load it.
    ModelWithoutEndpoint,
    /// A service that has actions has no endpoint in service.
    ServiceWithoutEndpoint,
    /// An API key is removed; requests that use it are refused afterwards.
    KeyRemoved,
    /// A non-idempotent action becomes idempotent, so one request may run it more than once.
    ActionRepeatable,
    /// An operator is removed, or gets another role or key.
    OperatorChanged,
    /// A resolution states a fact that the fleet cannot verify.
    Resolution,
}

/// An effect of a plan that operators should review before they confirm it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caution {
    /// Kind of the effect.
    pub kind: CautionKind,
    /// Path of the affected entry, such as `endpoints.engine-1`.
    pub path: String,
    /// Description of the effect.
    pub message: String,
}

impl Caution {
    pub(crate) fn new(kind: CautionKind, path: String, message: impl Into<String>) -> Caution {
        Caution { kind, path, message: message.into() }
    }
}

impl fmt::Display for Caution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
