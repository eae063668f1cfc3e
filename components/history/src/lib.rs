//! Histories of concurrent runs, and what must hold of each.
//!
//! A history is filled in the order of events by callers, endpoints and the table, or
//! afterwards from endpoint logs and table rows. [`check`] says what it violates.

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
