//! Limits on the requests that one router sends to endpoints.

mod retry_window;

pub use self::retry_window::{RetryLimits, RetryWindow};
