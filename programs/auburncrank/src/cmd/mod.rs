//! The commands, one module each.

mod apply;
mod audit;
mod budget;
mod confirm;
mod entries;
mod explain;
mod in_doubt;
mod key;
mod keys_of_account;
mod plan;
mod quarantine;
mod requests;
mod send;
mod status;
mod version;

use std::{future::Future, pin::Pin};

use crate::{context::CommandContext, exit::CommandError};

/// What a command returns.
type CommandFuture = Pin<Box<dyn Future<Output = Result<(), CommandError>>>>;

/// A command.
pub(crate) struct Command {
    /// Name.
    pub(crate) name: &'static str,
    /// Forms of its arguments, after the program's name.
    pub(crate) usage: &'static [&'static str],
    /// What it does, in one sentence.
    pub(crate) about: &'static str,
    /// Runs it.
    pub(crate) run: fn(CommandContext) -> CommandFuture,
}

/// Creates a [`Command`] from a module with `USAGE`, `ABOUT` and an async `run`.
macro_rules! command {
    ($name:literal, $module:ident) => {
        Command {
            name: $name,
            usage: $module::USAGE,
            about: $module::ABOUT,
            run: |cx| Box::pin(async move { $module::run(&cx).await }),
        }
    };
}

/// Creates the [`Command`] of a kind of configured entries.
macro_rules! entries_command {
    ($name:literal, $usage:expr, $kind:expr, $about:literal) => {
        Command {
            name: $name,
            usage: $usage,
            about: $about,
            run: |cx| Box::pin(async move { entries::run(&cx, &$kind).await }),
        }
    };
}

/// All commands.
pub(crate) const COMMANDS: &[Command] = &[
    command!("key", key),
    command!("apply", apply),
    command!("plan", plan),
    command!("confirm", confirm),
    command!("status", status),
    command!("budget", budget),
    entries_command!(
        "account",
        entries::ACCOUNT_USAGE,
        entries::ACCOUNTS,
        "Client accounts and their keys; FILE holds one account as JSON, '-' is standard input."
    ),
    entries_command!(
        "endpoint",
        entries::ENDPOINT_USAGE,
        entries::ENDPOINTS,
        "Endpoints; 'leave' takes one out of service and 'return' puts it back."
    ),
    entries_command!("model", entries::MODEL_USAGE, entries::MODELS, "Models and their versions."),
    entries_command!("service", entries::SERVICE_USAGE, entries::SERVICES, "Plain services."),
    entries_command!("action", entries::ACTION_USAGE, entries::ACTIONS, "Actions of services."),
    entries_command!("operator", entries::OPERATOR_USAGE, entries::OPERATORS, "Operators."),
    command!("requests", requests),
    command!("quarantine", quarantine),
    command!("in-doubt", in_doubt),
    command!("version", version),
    command!("audit", audit),
    command!("send", send),
    command!("explain", explain),
];
