//! Command line: settings, help text and choice of the command.

use std::{env, process::ExitCode};

use settings::{ProgramSpec, SettingFaults, SettingSpec, parse_args};

use crate::{
    cmd::COMMANDS,
    context::CommandContext,
    exit::{CommandError, EXIT_CODES},
};

const SPEC: ProgramSpec = ProgramSpec {
    name: "auburncrank",
    about: "Administers an auburncrank fleet, and sends requests to it as a caller.",
    arguments: "COMMAND [ARGUMENTS]",
    details: "A command that changes something creates a plan and shows it. Nothing takes effect \
        until the\nplan is confirmed: at the prompt, with --yes, or with 'confirm PLAN'.",
    settings: &[
        SettingSpec {
            flag: "router",
            env: "AUBURNCRANK_ROUTER",
            value: "IP:PORT,...",
            default: Some("127.0.0.1:8080"),
            help: "Addresses of routers; one reachable router is enough.",
        },
        SettingSpec {
            flag: "key",
            env: "AUBURNCRANK_KEY",
            value: "KEY",
            default: None,
            help: "API key of the operator, or of the client account for 'send'.",
        },
        SettingSpec {
            flag: "json",
            env: "AUBURNCRANK_JSON",
            value: "",
            default: None,
            help: "Prints results as JSON.",
        },
        SettingSpec {
            flag: "yes",
            env: "AUBURNCRANK_YES",
            value: "",
            default: None,
            help: "Confirms the plan without asking, unless the plan has cautions.",
        },
        SettingSpec {
            flag: "confirm",
            env: "AUBURNCRANK_CONFIRM",
            value: "PLAN",
            default: None,
            help: "Confirms this existing plan instead of creating a new one.",
        },
        SettingSpec {
            flag: "id",
            env: "AUBURNCRANK_ID",
            value: "ID",
            default: None,
            help: "Id of the deposit or of the request; repeats with the same id are counted once.",
        },
        SettingSpec {
            flag: "router-ended",
            env: "AUBURNCRANK_ROUTER_ENDED",
            value: "",
            default: None,
            help: "For 'in-doubt settle': states that the router that recorded the call has ended.",
        },
        SettingSpec {
            flag: "after",
            env: "AUBURNCRANK_AFTER",
            value: "ENTRY",
            default: None,
            help: "Continues a list after this entry.",
        },
        SettingSpec {
            flag: "max-tokens",
            env: "AUBURNCRANK_MAX_TOKENS",
            value: "TOKENS",
            default: Some("256"),
            help: "Maximum length of the answer to 'send chat', in tokens.",
        },
        SettingSpec {
            flag: "stream",
            env: "AUBURNCRANK_STREAM",
            value: "",
            default: None,
            help: "Streams the answer to 'send chat' and prints it as it arrives.",
        },
        SettingSpec {
            flag: "timeout",
            env: "AUBURNCRANK_TIMEOUT",
            value: "DURATION",
            default: Some("30s"),
            help: "Maximum duration of a call, including its retries.",
        },
    ],
};

/// Parses the command line, runs the command and returns its exit code.
pub(crate) fn run() -> ExitCode {
    let parsed = match parse_args(&SPEC, env::args_os().skip(1), |name| env::var(name).ok()) {
        Ok(parsed) => parsed,
        Err(faults) => return report(&CommandError::Usage(faults.to_string())),
    };
    if parsed.help {
        print!("{}", help());
        return ExitCode::SUCCESS;
    }
    let mut arguments = parsed.arguments;
    if arguments.is_empty() {
        return report(&CommandError::Usage("missing command; see --help".to_owned()));
    }
    let name = arguments.remove(0);
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        let message = format!("'{name}' is not a command; see --help");
        return report(&CommandError::Usage(message));
    };
    let mut faults = SettingFaults::default();
    let cx = CommandContext::from_settings(&parsed.values, arguments, &mut faults);
    if !faults.0.is_empty() {
        return report(&CommandError::Usage(faults.to_string()));
    }
    if parsed.check {
        println!("The settings are valid.");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return report(&CommandError::Refused(error.to_string())),
    };
    match runtime.block_on((command.run)(cx)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

fn report(error: &CommandError) -> ExitCode {
    eprintln!("{error}");
    error.exit_code()
}

/// Returns the text of `--help`.
fn help() -> String {
    let mut text = format!("{}\nCommands:\n", SPEC.help());
    for command in COMMANDS {
        for usage in command.usage {
            text.push_str(&format!("  {usage}\n"));
        }
        text.push_str(&format!("        {}\n", command.about));
    }
    text.push_str(&format!("\n{EXIT_CODES}\n"));
    text
}

#[cfg(test)]
#[path = "cli_tests.rs"]
mod tests;
