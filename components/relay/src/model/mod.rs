//! Data types of the relay: desired state, routes, endpoint entries and request heads.

mod desired_state;
mod endpoint_entry;
mod request_head;
mod route;

pub use self::{
    desired_state::{Account, CallerLimits, ColdStart, DesiredState, ServiceSpec},
    endpoint_entry::{EndpointEntry, EndpointPhase},
    request_head::{PromptPart, RequestHead, TokenDemand},
    route::{RetryPolicy, Route, RouteTarget},
};
