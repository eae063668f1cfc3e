//! The router: forwards requests from callers to endpoints, and connects the decision logic
//! of the other crates to the network.
//!
//! A request enters in `http` and runs in `traffic`, which calls the traits of
//! [`accounting`] (budgets and bills), [`registry`] (request ids), [`dispatch`] (endpoint
//! selection) and [`peers`] (the other routers).

pub mod accounting;
pub mod admin;
pub mod answer;
mod clock;
pub mod configuration;
mod context;
mod control_jobs;
mod daemon;
pub mod dispatch;
mod http;
pub mod peers;
pub mod registry;
mod traffic;

pub use self::{
    clock::Clock,
    context::RouterContext,
    daemon::{HttpLimits, RequestCounter, RouterProcess, RouterSettings, StartError},
};
