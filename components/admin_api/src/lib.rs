//! Wire format of the administration API.

mod audit_list;
mod budget_list;
mod confirmation;
mod error_body;
mod in_doubt_list;
mod plan_view;
mod request_list;
mod state_view;
mod version_list;

pub use self::{
    audit_list::AuditList,
    budget_list::{BudgetList, BudgetView},
    confirmation::Confirmation,
    error_body::{AdminErrorBody, AdminErrorDetail},
    in_doubt_list::{InDoubtGrant, InDoubtList, OutcomeUnknownList, UnresolvedCall},
    plan_view::{PlanStatus, PlanView},
    request_list::{RequestList, RunningRequest},
    state_view::{
        ControllerView, CrashingContent, EndpointView, LocalState, RouterView, StateView,
    },
    version_list::{VersionDiff, VersionList, VersionView},
};
