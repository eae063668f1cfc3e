//! Runs of requests: reserve tokens, choose an endpoint, send attempts, bill, and then release
//! the end of the answer to the callers.

mod action_job;
mod action_run;
mod attempt_error;
mod chat_attempt;
mod chat_job;
mod chat_run;
mod runs;

pub(crate) use self::{action_job::ActionJob, chat_job::ChatJob, runs::Runs};
