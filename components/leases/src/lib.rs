//! Leases in the platform's table, with fencing numbers.
//!
//! Exactly one row holds each lease. Its holder counts a heartbeat up in it; others take
//! it over, with the next fencing number, once they have seen the same heartbeat for
//! longer than the lease lasts, by their own clock. No two clocks are compared. This
//! crate decides only; it has no network code and reads no clock.

mod lease_keeper;
mod lease_row;
mod lease_settings;

pub use self::{
    lease_keeper::LeaseContender,
    lease_row::{LeaseRow, lease_key},
    lease_settings::LeaseSettings,
};
