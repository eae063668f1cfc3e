//! Limits on what one router sends.

mod retry_window;

pub use self::retry_window::{RetryLimits, RetryWindow};
