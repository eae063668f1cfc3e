//! An in-memory network between failure detectors, on simulated time.

mod event;
mod network;
mod node;

pub use self::{
    network::{PeerNetwork, StateChange, router_name},
    node::NodeTraffic,
};
