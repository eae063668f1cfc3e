//! Background tasks that synchronize the relay with the platform's store.

mod allowance_task;
mod backoff;
mod begun_streams;
mod config_watch;
mod endpoint_watch;
mod member_rows;
mod named_versions;
mod verdict_rows;
mod version_rows;

pub(crate) use self::{
    allowance_task::{return_allowances, run_allowances},
    begun_streams::run_begun_streams,
    config_watch::watch_config,
    endpoint_watch::watch_endpoints,
    member_rows::{remove_member_row, run_member_rows},
    named_versions::run_named_versions,
    verdict_rows::run_verdict_rows,
    version_rows::run_version_rows,
};
