//! Effects of a plan that need care.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Kind of an effect that needs care.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CautionKind {
    /// A budget has less than what is already spent or granted, or is given up.
    BudgetInUse,
    /// An endpoint with work in progress is removed or leaves.
    EndpointBusy,
    /// A model that accounts use has no endpoint that can load it.
    ModelWithoutEndpoint,
    /// A service whose actions accounts use has no endpoint.
    ServiceWithoutEndpoint,
    /// A key is removed; its holders are refused from then on.
    KeyRemoved,
    /// A non-idempotent action becomes idempotent: it may run more than once.
    ActionRepeatable,
    /// An operator is removed or changes role.
    OperatorChanged,
    /// An operator's word replaces what the fleet cannot know.
    Resolution,
}

/// An effect of a plan that needs care.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caution {
    /// Kind.
    pub kind: CautionKind,
    /// Path of what it concerns.
    pub path: String,
    /// The effect, in words.
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
