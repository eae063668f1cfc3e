//! Leases with fencing numbers, stored in the platform's table.
//!
//! Each lease is stored in exactly one row. The holder increments a heartbeat counter in the row.
//! Another process takes over the lease, with the next fencing number, once it has seen the same
//! heartbeat for longer than the duration of the lease, measured on its own clock. Clocks of
//! different processes are never compared. This crate contains decision logic only: it does no I/O
//! and never reads the clock.

mod lease_contender;
mod lease_row;
mod lease_settings;

pub use self::{
    lease_contender::LeaseContender,
    lease_row::{LeaseRow, lease_key},
    lease_settings::LeaseSettings,
};
