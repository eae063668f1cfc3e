//! routing.
