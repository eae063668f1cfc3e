//! The HTTP interface: requests of callers, health and metrics.

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
    addresses::{ADDRESS_LIST_MAX_AGE, LEAVE_PROPAGATION_TIME},
    auth::bearer_key,
    body::BodyReader,
    routes::HttpContext,
    server::HttpServer,
};
