//! The configuration that operators accept: its types and checks.
//!
//! This crate contains decision logic only: it does no network I/O.

mod access;
mod account;
mod action;
mod api_key;
mod apply_intent;
mod caution;
mod change;
mod config;
mod deposit;
mod describe;
mod endpoint;
mod fault;
mod find_cautions;
mod intent;
mod key_hash;
mod model;
mod operator;
mod plan;
mod plan_facts;
mod read_intent;
mod resolution;
mod role;
mod rows;
mod service;
mod shortage_policy;
mod validate;

pub use self::{
    access::ModelAccess,
    account::Account,
    action::Action,
    api_key::{API_KEY_MIN_BYTES, ApiKey},
    caution::{Caution, CautionKind},
    change::{Change, EntryChange, FingerprintChange, combine_changes, diff_configs},
    config::{CONFIG_KEY, Config},
    deposit::Deposit,
    describe::{describe_change, redact_key_hashes},
    endpoint::Endpoint,
    fault::Fault,
    intent::{INTENT_MAX_BYTES, Intent, RemoveIntent, SetIntent},
    key_hash::KeyHash,
    model::Model,
    operator::Operator,
    plan::{PLAN_LIFETIME, PLAN_MAX_ITEMS, Plan, StalePlan},
    plan_facts::{BudgetFacts, PlanFacts},
    resolution::Resolution,
    role::Role,
    rows::{
        AUDIT_PREFIX, AuditRow, CONFIG_CHANGES_PREFIX, CONFIG_HEAD_KEY, ConfigHead, DEPOSIT_PREFIX,
        DepositRow, PLAN_PREFIX, PlanRow, PlanState, SNAPSHOT_INTERVAL, VersionRow,
    },
    service::Service,
    shortage_policy::ShortagePolicy,
};
