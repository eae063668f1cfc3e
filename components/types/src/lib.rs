//! Names, ids and units that the other crates share.

mod account_name;
mod action_name;
mod adapter_name;
mod config_version;
mod deposit_id;
mod endpoint_name;
mod failure_domain;
mod fencing_number;
mod incarnation;
mod model_name;
mod model_version;
mod name;
mod operator_name;
mod plan_id;
mod priority;
mod request_id;
mod request_key;
mod router_id;
mod router_name;
mod service_name;
mod timestamp;
mod tokens;
mod unix_millis;

pub use self::{
    account_name::AccountName,
    action_name::ActionName,
    adapter_name::AdapterName,
    config_version::ConfigVersion,
    deposit_id::DepositId,
    endpoint_name::EndpointName,
    failure_domain::FailureDomain,
    fencing_number::FencingNumber,
    incarnation::Incarnation,
    model_name::ModelName,
    model_version::ModelVersion,
    name::{NAME_MAX_BYTES, NameError},
    operator_name::OperatorName,
    plan_id::PlanId,
    priority::Priority,
    request_id::{REQUEST_ID_MAX_BYTES, RequestId, RequestIdError},
    request_key::RequestKey,
    router_id::RouterId,
    router_name::RouterName,
    service_name::ServiceName,
    timestamp::Timestamp,
    tokens::Tokens,
    unix_millis::UnixMillis,
};
