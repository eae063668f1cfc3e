//! Content digests, and hashes that are the same on every router.

use std::fmt;

use sha2::Digest as _;

/// SHA-256 digest of some content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn from_content(bytes: &[u8]) -> Digest {
        Digest(sha2::Sha256::digest(bytes).into())
    }

    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Digest> {
        let mut buf = [0; 32];
        hex::decode_to_slice(text, &mut buf).ok()?;
        Some(Digest(buf))
    }

    /// Creates a digest from its 32 bytes; returns `None` for any other length.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digest> {
        bytes.try_into().ok().map(Digest)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl std::str::FromStr for Digest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Digest, Self::Err> {
        Digest::from_hex(text).ok_or("expected 64 hexadecimal digits")
    }
}

/// Hashes `parts` to the same 64-bit value on every router and in every version.
///
/// Each part is preceded by its length, so that ("ab", "c") and ("a", "bc") differ.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let out = hasher.finalize();
    out.iter().take(8).fold(0, |acc, &byte| (acc << 8) | u64::from(byte))
}

#[cfg(test)]
#[path = "digest_tests.rs"]
mod tests;
