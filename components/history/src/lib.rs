//! Consistency checks of histories of concurrent requests.
//!
//! A history is recorded in the order of its events by callers, endpoints and the table, or
//! assembled afterwards from endpoint logs and table rows. [`check()`] returns the guarantees
//! that it violates.

mod at_most_once;
mod check;
mod event;
mod violation;

pub use self::{
    at_most_once::is_linearizable,
    check::check,
    event::{CallId, Event, History},
    violation::Violation,
};
