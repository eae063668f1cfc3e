//! The administration API: intents, plans, confirmation, versions and state.

mod accept;
mod access;
mod admin_error;
mod budget_rows;
mod context;
mod handlers;
mod make_plan;
mod plan_facts;
mod plan_rows;
mod resolver;
mod respond;
mod routes;
mod table_resolver;

pub use self::{
    accept::confirm_plan,
    admin_error::AdminError,
    make_plan::{BusyEndpoints, make_plan, make_undo_plan},
    resolver::{NoResolver, Resolver},
};
pub(crate) use self::{context::AdminContext, routes::admin_routes, table_resolver::TableResolver};
