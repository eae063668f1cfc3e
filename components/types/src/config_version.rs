//! Version of the configuration, increased by one with each accepted plan that changes it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of the configuration, increased by one with each accepted plan that changes it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
