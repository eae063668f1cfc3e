//! The configuration that operators accept: its types and checks.
//!
//! This crate decides only; it has no network code.

mod access;
mod account;
mod action;
mod api_key;
mod config;
mod endpoint;
mod key_hash;
mod model;
mod operator;
mod role;
mod service;
mod shortage_policy;

pub use self::{
    access::ModelAccess,
    account::Account,
    action::Action,
    api_key::{API_KEY_MIN_BYTES, ApiKey},
    config::{CONFIG_KEY, Config},
    endpoint::Endpoint,
    key_hash::KeyHash,
    model::Model,
    operator::Operator,
    role::Role,
    service::Service,
    shortage_policy::ShortagePolicy,
};
