//! Hashes of API keys.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use subtle::ConstantTimeEq;
use utils::Digest;

/// Hash of an API key. [`matches`](KeyHash::matches) compares in constant time.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde_as(as = "DisplayFromStr")] Digest);

impl KeyHash {
    /// Creates the hash from the digest of a key.
    pub fn from_digest(digest: Digest) -> KeyHash {
        KeyHash(digest)
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

#[cfg(test)]
#[path = "key_hash_tests.rs"]
mod tests;
