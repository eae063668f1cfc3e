//! Decides on the orders to engines by comparing the desired state (configuration) with the
//! reported state.
//!
//! A new version is loaded in addition to the old one, on one endpoint first and then one
//! failure domain at a time. Its rollout is halted if an endpoint fails to load it. This crate
//! contains decision logic only: it does no network I/O and never reads the clock.

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
    rollout::{LOAD_TIMEOUT, ORDER_REPEAT_INTERVAL, Rollout},
    rollout_status::{Leftover, RolloutProgress, RolloutStatus},
};
