//! Which orders engines need: desired state (configuration) against reported state.
//!
//! A new version is loaded beside the old one, on one endpoint first, then one failure
//! domain at a time; it is halted where an endpoint fails to load it. This crate decides
//! only; it has no network code and reads no clock.

mod desired;
mod endpoint_order;
mod halt;
mod observed;
mod order_result;
mod rollout;
mod rollout_status;

pub use self::{
    desired::ModelTarget,
    endpoint_order::EndpointOrder,
    halt::{Halt, HaltReason},
    observed::{EndpointReport, TargetState},
    order_result::OrderResult,
    rollout::{LOAD_TIMEOUT, ORDER_REPEAT, Rollout},
    rollout_status::{Leftover, RolloutProgress, RolloutStatus},
};
