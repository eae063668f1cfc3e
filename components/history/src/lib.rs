//! history.
