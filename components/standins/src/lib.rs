//! Stand-ins of the outside systems: the platform's services, model engines and plain
//! services. Each keeps a log that checks read; none is meant for production.

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
    table::{Bucket, CallLimits, MemoryTable, TableCounts, TableFaults, TableState},
};
