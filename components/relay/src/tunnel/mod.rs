//! Connections to endpoints through another router.
//!
//! A tunnel carries the bytes of one connection to one endpoint. The router at its far end opens the
//! connection and copies bytes; every decision on the requests stays with the router that opened the
//! tunnel.

mod client;
mod message;
mod server;

pub(crate) use self::{
    client::{TunnelError, open_tunnel},
    server::{TunnelServer, serve_tunnels},
};
