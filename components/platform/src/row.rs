//! Rows of the table.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::Key;

/// Revision of a row. The table assigns a higher one with each write of the row.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One row, as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Revision of its last write.
    pub revision: Revision,
    /// Value, as JSON text.
    pub value: Arc<str>,
}

/// Error for a row whose value this version of the program cannot decode.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("row {key} cannot be read: {message}")]
pub struct RowError {
    /// Key of the row.
    pub key: Key,
    /// Description of the decoding error.
    pub message: String,
}

impl Row {
    /// Decodes the value as a `T`.
    ///
    /// # Errors
    /// If the value is corrupt or was written by a newer version of the program.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, RowError> {
        serde_json::from_str(&self.value)
            .map_err(|error| RowError { key: self.key.clone(), message: error.to_string() })
    }
}
