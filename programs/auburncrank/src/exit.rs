//! Errors of commands and the exit codes that they lead to.

use std::process::ExitCode;

use client::{AdminClientError, CallerError};
use errors::ErrorKind;
use thiserror::Error;

/// Error of a command. Each variant has its own exit code.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The fleet refused the call, or the command could not be carried out.
    #[error("{0}")]
    Refused(String),
    /// The command line or a setting is invalid.
    #[error("{0}")]
    Usage(String),
    /// A plan was created but not confirmed.
    #[error("{0}")]
    NotConfirmed(String),
    /// The plan is stale or has expired.
    #[error("{0}")]
    Stale(String),
    /// No answer arrived in time.
    #[error("{0}")]
    NoAnswer(String),
    /// The intent is invalid.
    #[error("{0}")]
    Invalid(String),
}

/// Section of the help text that lists the exit codes.
pub(crate) const EXIT_CODES: &str = "Exit codes:
  0  done
  1  the fleet refused the call
  2  invalid command line or settings
  3  a plan was created but not confirmed; nothing has changed
  4  the plan is stale or expired; nothing has changed; create a new plan
  5  no answer in time; 'confirm' can be repeated and reports the outcome of a plan
  6  the intent is invalid; nothing has changed";

impl CommandError {
    /// Returns the exit code, as listed in [`EXIT_CODES`].
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Refused(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::NotConfirmed(_) => 3,
            CommandError::Stale(_) => 4,
            CommandError::NoAnswer(_) => 5,
            CommandError::Invalid(_) => 6,
        })
    }
}

impl From<AdminClientError> for CommandError {
    fn from(error: AdminClientError) -> CommandError {
        let detail = match error {
            AdminClientError::Refused(detail) => detail,
            AdminClientError::NoAnswer(_) => {
                let advice = "check --router and whether a router is running there, then try again";
                return CommandError::NoAnswer(format!("{error}\n{advice}"));
            }
            AdminClientError::BadAnswer(_) | AdminClientError::BadKey => {
                return CommandError::Refused(error.to_string());
            }
        };
        let mut text = format!("{}: {}", detail.detail.code, detail.detail.message);
        for fault in &detail.faults {
            text.push_str(&format!("\n  {fault}"));
        }
        for line in &detail.differences {
            text.push_str(&format!("\n  {line}"));
        }
        match ErrorKind::from_code(&detail.detail.code) {
            Some(ErrorKind::StalePlan | ErrorKind::PlanExpired) => CommandError::Stale(text),
            Some(ErrorKind::InvalidConfig | ErrorKind::BodyTooLarge) => CommandError::Invalid(text),
            Some(ErrorKind::Unauthorized) => {
                CommandError::Refused(format!("{text}\npass it with --key or AUBURNCRANK_KEY"))
            }
            _ => CommandError::Refused(text),
        }
    }
}

impl From<CallerError> for CommandError {
    fn from(error: CallerError) -> CommandError {
        match error {
            CallerError::TimedOut(_) => CommandError::NoAnswer(format!(
                "{error}\nsend the request again with the same --id to get its answer"
            )),
            CallerError::Refused(_) | CallerError::BadKey => {
                CommandError::Refused(error.to_string())
            }
        }
    }
}
