//! HTTP serving: accepts callers' requests, forwards them to endpoints and returns the answers.

mod beginning;
mod body;
mod connection;
mod connections;
mod continuation;
mod dialing;
mod exchange;
mod forwarding;
mod framing;
mod handler;
mod idle_timer;
mod placing;
mod plain;
mod replacement;
mod request_body;
mod run;
mod server;
mod side_calls;
mod socket_options;
mod stream_run;
mod suspicion;
mod tokens;
mod waiting;

pub use self::framing::remove_hop_headers;

pub(crate) use self::{
    connection::{ConnectError, CountedStream},
    connections::{ConnectionNeed, EndpointConnections},
    server::{accept_stream, bind, serve_auxiliary_api, serve_callers},
    side_calls::AuxiliaryApi,
    socket_options::{set_endpoint_socket_options, set_tunnel_socket_options},
    waiting::WaitingRequests,
};
