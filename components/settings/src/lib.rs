//! settings.
