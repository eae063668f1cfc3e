//! Error answers.

use config::Fault;
use errors::ErrorDetail;
use serde::{Deserialize, Serialize};

/// Body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminErrorBody {
    /// The error.
    pub error: AdminErrorDetail,
}

/// Error in an [`AdminErrorBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminErrorDetail {
    /// Fields that error answers of all interfaces have.
    #[serde(flatten)]
    pub detail: ErrorDetail,
    /// All faults of the submitted intent, each with its path.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// For a stale plan, descriptions of the changes since it was made that conflict with it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differences: Vec<String>,
}
