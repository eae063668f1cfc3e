//! Execution state that an error reports for its request.

use serde::{Deserialize, Serialize};

/// Execution state that an error reports for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// "Not run": no attempt was sent to an endpoint, and none will be.
    Never,
    /// An attempt may have run partially; no further attempt will be sent.
    NoFurther,
    /// An attempt may have run, and may still be running.
    Unknown,
}
