//! membership.
