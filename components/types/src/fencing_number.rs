//! Fencing number of a lease, increased for each new holder.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fencing number of a lease, increased for each new holder.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
