//! Simulated network between failure detectors.

mod event;
mod network;
mod node;

pub use self::{
    network::{PeerNetwork, StateChange, router_name},
    node::NodeTraffic,
};
