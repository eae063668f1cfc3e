//! Keys of table rows.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a key, in bytes.
pub const KEY_MAX_BYTES: usize = 512;

/// Key of a table row: parts joined by `/`, such as `budget/school-12`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

/// Error for a text that is not a valid key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a key has 1 to {KEY_MAX_BYTES} bytes and no control characters")]
pub struct KeyError;

impl Key {
    /// Creates a key, or returns an error if `text` is not a valid key.
    pub fn new(text: &str) -> Result<Key, KeyError> {
        let is_valid =
            !text.is_empty() && text.len() <= KEY_MAX_BYTES && !text.chars().any(char::is_control);
        if is_valid { Ok(Key(text.into())) } else { Err(KeyError) }
    }

    /// Creates a key from parts that are names or ids and therefore already validated: no longer than
    /// a key, and without control characters. The key itself is not checked.
    pub fn from_parts(parts: &[&str]) -> Key {
        Key(parts.join("/").into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Key, KeyError> {
        Key::new(&text)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.0.to_string()
    }
}
