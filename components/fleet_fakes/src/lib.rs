//! Small fakes around the ledgers of several routers: a table and messages with delay,
//! loss and reachability, on simulated time.
//!
//! Tests and studies share them. One seed gives one run.

mod carried;
mod faults;
mod fleet;
mod router;

pub use self::{
    faults::{DelayRange, FleetFaults},
    fleet::{Fleet, Step},
    router::RouterState,
};
