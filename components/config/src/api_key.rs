//! API keys in clear text, as callers send them.

use std::fmt;

use types::NameError;
use utils::Digest;

use crate::KeyHash;

/// Minimum length of an API key, in bytes. Keys are random, so an unsalted digest is a
/// sufficient hash.
pub const API_KEY_MIN_BYTES: usize = 24;

/// An API key in clear text. Its `Debug` form omits the key, so that it is never logged.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from the text that a caller sent.
    pub fn new(text: &str) -> ApiKey {
        ApiKey(text.to_owned())
    }

    /// Returns the hash that the configuration stores instead of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::from_digest(Digest::from_content(self.0.as_bytes()))
    }

    /// Returns the key in clear text, to send it or to show it once.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Checks that the key is long enough to be stored.
    ///
    /// # Errors
    /// [`NameError::Empty`] if it has fewer than [`API_KEY_MIN_BYTES`] bytes.
    pub fn check_length(&self) -> Result<(), NameError> {
        if self.0.len() < API_KEY_MIN_BYTES { Err(NameError::Empty) } else { Ok(()) }
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
