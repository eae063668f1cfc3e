//! Incarnation of a router, different for each start of a process with the same name.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Incarnation of a router, different for each start of a process with the same name.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
