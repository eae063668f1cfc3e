//! What an error says about the execution of the request.

use serde::{Deserialize, Serialize};

/// What an error says about the execution of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// "Not run": no attempt was sent to an endpoint, and none will be.
    Never,
    /// Some attempt may have run in part; no further attempt will be sent.
    NoFurther,
    /// An attempt may have run, and may still be running.
    Unknown,
}
