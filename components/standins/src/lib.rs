//! Stand-ins for the external systems in tests, the demo and the experiment tool: the platform's
//! services, model engines, plain services and the network between routers.
//!
//! Each keeps a log that checks can read. None is meant for production.

pub mod engine;
mod http;
mod objects;
mod peer_network;
mod platform_server;
mod service;
mod table;

pub use self::{
    http::ServerHandle,
    objects::MemoryObjects,
    peer_network::{NodeTraffic, PeerNetwork, StateChange, router_name},
    platform_server::{PlatformServer, PlatformState},
    service::{RunRecord, ServiceServer, ServiceState},
    table::{CallLimits, MemoryTable, RateLimiter, TableCounts, TableFaults, TableState},
};
