//! Writes of commits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Key;

/// One write of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// New value as JSON text, or `None` to delete the row.
    pub value: Option<Arc<str>>,
}

impl Write {
    /// Creates a write that stores `value` under `key`.
    ///
    /// # Panics
    /// If `value` cannot be serialised to JSON; all row types of this project can.
    pub fn put<T: Serialize>(key: Key, value: &T) -> Write {
        let text = serde_json::to_string(value).expect("row types can be serialised to JSON");
        Write { key, value: Some(text.into()) }
    }

    /// Creates a write that deletes the row of `key`.
    pub fn delete(key: Key) -> Write {
        Write { key, value: None }
    }
}
