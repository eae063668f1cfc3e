//! requests.
