//! Handlers of the administration API, by resource.

mod audit;
mod in_doubt;
mod page;
mod params;
mod plans;
mod serve;
mod state;
mod versions;

pub(super) use self::{
    audit::get_audit,
    in_doubt::{get_in_doubt, get_outcome_unknown},
    plans::{get_plan, post_confirm, post_plan, post_undo},
    serve::serve,
    state::{get_budgets, get_requests, get_state},
    versions::{get_config, get_version_diff, get_versions},
};
