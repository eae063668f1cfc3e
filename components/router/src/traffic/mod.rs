//! Runs of requests. A run reserves tokens, chooses endpoints, sends attempts and bills the
//! request; only then do the callers get the end of the answer.

mod action_job;
mod action_run;
mod attempt_error;
mod chat_attempt;
mod chat_job;
mod chat_run;
mod runs;
mod stream_activity;

pub(crate) use self::{action_job::ActionJob, chat_job::ChatJob, runs::Runs};
