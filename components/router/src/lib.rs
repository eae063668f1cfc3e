//! The router: carries requests between callers and endpoints and joins the decisions
//! of the other crates to the network.
//!
//! A request enters in [`http`], runs in [`traffic`], and meets the decisions behind the
//! traits of [`accounting`] (budget and bills), [`registry`] (request ids), [`dispatch`]
//! (endpoints) and [`peers`] (other routers).

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
