//! Amounts of model tokens, the unit of budgets.

use std::{fmt, iter::Sum};

use serde::{Deserialize, Serialize};

/// Amount of model tokens, the unit of budgets, grants and bills.
///
/// `Add` is not implemented, so that no amount overflows silently: callers choose between
/// checked and saturating arithmetic.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0);

    /// Returns the sum, or `None` if it overflows.
    pub fn checked_add(self, other: Tokens) -> Option<Tokens> {
        self.0.checked_add(other.0).map(Tokens)
    }

    /// Returns the difference, or `None` if `other` is larger.
    pub fn checked_sub(self, other: Tokens) -> Option<Tokens> {
        self.0.checked_sub(other.0).map(Tokens)
    }

    /// Returns the sum, or the maximum amount if it overflows.
    pub fn saturating_add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Tokens>>(iter: I) -> Tokens {
        iter.fold(Tokens::ZERO, Tokens::saturating_add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
