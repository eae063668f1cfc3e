//! Jobs that a single router runs for the whole fleet, protected by a lease in the table.

mod candidates;
mod controller;
mod controller_status;
mod lease_holder;
mod order_sender;
mod report_poller;

pub(crate) use self::{
    controller::{ControllerContext, start_controller},
    controller_status::{ControllerHandle, ControllerStatus},
};
