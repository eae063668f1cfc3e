//! Simulation of the ledgers of several routers on simulated time: a table, messages between the
//! routers, delays, losses and partitions.
//!
//! Tests and the experiment tool share it. The same seed gives the same run.

mod faults;
mod fleet;
mod router;
mod scheduled_event;

pub use self::{
    faults::{DelayRange, FleetFaults},
    fleet::{Fleet, Step},
    router::RouterState,
};
