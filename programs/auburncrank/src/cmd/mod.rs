//! Commands of the tool. `entries` and `keys_of_account` implement the commands for configuration
//! entries; every other module implements one command.

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

/// Future of a running command.
type CommandFuture = Pin<Box<dyn Future<Output = Result<(), CommandError>>>>;

/// Command of the tool.
pub(crate) struct Command {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Usage lines, without the program's name.
    pub(crate) usage: &'static [&'static str],
    /// Description in the help text, in one sentence.
    pub(crate) about: &'static str,
    /// Runs the command.
    pub(crate) run: fn(CommandContext) -> CommandFuture,
}

/// Creates a [`Command`] from a module that has `USAGE`, `ABOUT` and an async `run`.
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

/// Creates the [`Command`] for a kind of configuration entry.
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

/// All commands, in the order of the help text.
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
        "Manages client accounts and their keys; FILE holds one account as JSON, '-' is standard \
         input."
    ),
    entries_command!(
        "endpoint",
        entries::ENDPOINT_USAGE,
        entries::ENDPOINTS,
        "Manages endpoints; 'leave' takes one out of service and 'return' puts it back."
    ),
    entries_command!(
        "model",
        entries::MODEL_USAGE,
        entries::MODELS,
        "Manages models and their versions."
    ),
    entries_command!(
        "service",
        entries::SERVICE_USAGE,
        entries::SERVICES,
        "Manages plain services, which run actions."
    ),
    entries_command!(
        "action",
        entries::ACTION_USAGE,
        entries::ACTIONS,
        "Manages the actions of services."
    ),
    entries_command!("operator", entries::OPERATOR_USAGE, entries::OPERATORS, "Manages operators."),
    command!("requests", requests),
    command!("quarantine", quarantine),
    command!("in-doubt", in_doubt),
    command!("version", version),
    command!("audit", audit),
    command!("send", send),
    command!("explain", explain),
];
