//! Operators.

use serde::{Deserialize, Serialize};

use crate::{KeyHash, Role};

/// An operator, who may call the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Hash of the operator's API key.
    pub key: KeyHash,
    /// Role, which decides what the operator may do.
    pub role: Role,
}
