//! Errors of commands and their exit codes.

use std::process::ExitCode;

use client::{AdminClientError, CallerError};
use errors::ErrorKind;
use thiserror::Error;

/// Error of a command. Each kind has its exit code.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The fleet refused the call.
    #[error("{0}")]
    Refused(String),
    /// The command line has faults.
    #[error("{0}")]
    Usage(String),
    /// The plan was made and not confirmed.
    #[error("{0}")]
    NotConfirmed(String),
    /// The plan is stale or expired.
    #[error("{0}")]
    Stale(String),
    /// No answer arrived in time.
    #[error("{0}")]
    NoAnswer(String),
    /// The intent has faults.
    #[error("{0}")]
    Invalid(String),
}

/// Text about exit codes for `--help`.
pub(crate) const EXIT_CODES: &str = "Exit codes:
  0  done
  1  the fleet refused the call
  2  faults in the command line
  3  a plan was made and not confirmed; nothing has changed
  4  the plan is stale or expired; nothing has changed: make it anew
  5  no answer in time; a repeated 'confirm' tells what has become of a plan
  6  the intent has faults; nothing has changed";

impl CommandError {
    /// Returns the exit code.
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
                let advice = "check --router and that a router runs there, then try again";
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
                CommandError::Refused(format!("{text}\ngive it with --key or AUBURNCRANK_KEY"))
            }
            _ => CommandError::Refused(text),
        }
    }
}

impl From<CallerError> for CommandError {
    fn from(error: CallerError) -> CommandError {
        match error {
            CallerError::TimedOut(_) => CommandError::NoAnswer(format!(
                "{error}\nsend it again with the same --id to get its answer"
            )),
            CallerError::Refused(_) | CallerError::BadKey => {
                CommandError::Refused(error.to_string())
            }
        }
    }
}
