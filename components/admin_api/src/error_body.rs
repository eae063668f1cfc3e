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

/// The error inside of an [`AdminErrorBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminErrorDetail {
    /// The error as every interface gives it.
    #[serde(flatten)]
    pub detail: ErrorDetail,
    /// All faults of the intent, each with its path.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// What has changed since a stale plan was made, in words.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differences: Vec<String>,
}
