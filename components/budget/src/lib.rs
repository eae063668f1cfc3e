//! budget.
