//! The HTTP interface: callers, health and metrics.

mod action;
mod addresses;
mod auth;
mod body;
mod chat;
mod health;
mod request_head;
mod respond;
mod routes;
mod server;

pub(crate) use self::{
    addresses::{KEEP_ADDRESSES, LEAVE_SPREAD},
    auth::bearer_key,
    body::read_body,
    routes::HttpContext,
    server::HttpServer,
};
