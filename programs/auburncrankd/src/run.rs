//! Runs the daemon until a signal shuts it down.

use std::process::ExitCode;

use router::RouterProcess;
use telemetry::set_up_logs;
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
};

use crate::cli::DaemonSettings;

/// Runs the daemon until it is shut down; returns its exit code.
pub(crate) fn run_daemon(settings: DaemonSettings) -> ExitCode {
    if let Err(error) = set_up_logs(settings.log_level, settings.log_format) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("cannot create the runtime that waits for signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let process = match RouterProcess::start(settings.router) {
        Ok(process) => process,
        Err(error) => {
            log::error!("router not started: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(serve_until_signal(process))
}

async fn serve_until_signal(process: RouterProcess) -> ExitCode {
    let (mut terminate, mut interrupt) =
        match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
            (Ok(terminate), Ok(interrupt)) => (terminate, interrupt),
            (Err(error), _) | (_, Err(error)) => {
                log::error!("cannot listen for signals: {error}");
                return ExitCode::FAILURE;
            }
        };
    wait_for_signal(&mut terminate, &mut interrupt).await;
    let counter = process.counter();
    tokio::select! {
        result = process.shut_down() => match result {
            Ok(()) => {
                log::info!("router ended gracefully");
                ExitCode::SUCCESS
            }
            Err(error) => {
                log::error!("router ended: {error}");
                ExitCode::FAILURE
            }
        },
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            log::error!("second signal: {} requests are cut off", counter.requests_in_progress());
            ExitCode::FAILURE
        }
    }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
