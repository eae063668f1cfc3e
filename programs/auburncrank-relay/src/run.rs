//! Runs the relay until a signal shuts it down.

use std::{
    io,
    path::Path,
    process::ExitCode,
    time::{Duration, SystemTime},
};

use platform_adapter::{PlatformSettings, connect};
use relay::{RelayProcess, RelaySockets};
use telemetry::{set_up_metrics, set_up_queued_logs};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::cli::ProgramSettings;

/// Interval at which the settings file is checked for changes; the hosts cannot notify the
/// process of a change.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Signals that the process handles.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers. Without them, each of these signals ends the process.
    ///
    /// # Errors
    /// If the system refuses to install a handler.
    pub(crate) fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Creates the single-threaded runtime of the process.
///
/// # Errors
/// If the system refuses to create a runtime.
pub(crate) fn new_runtime() -> io::Result<Runtime> {
    // A host has a fraction of one core: more threads would only add context switches.
    Builder::new_current_thread().enable_all().build()
}

/// Runs the relay until it has shut down; returns the exit code of the process.
pub(crate) fn run_relay(
    runtime: &Runtime,
    signals: Signals,
    settings: ProgramSettings,
) -> ExitCode {
    if let Err(error) = set_up_queued_logs(settings.log_level, settings.log_format) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let code = runtime.block_on(serve(signals, settings));
    telemetry::flush_queued_logs();
    code
}

async fn serve(mut signals: Signals, settings: ProgramSettings) -> ExitCode {
    let dependencies = connect(&settings.platform);
    let metrics = set_up_metrics();
    let mut relay = settings.platform.relay;
    let sockets = match RelaySockets::bind(&mut relay).await {
        Ok(sockets) => sockets,
        Err(error) => {
            log::error!("router not started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let process = RelayProcess::start(relay, sockets, dependencies, metrics);
    wait_for_shutdown_signal(&mut signals, &settings.path, &process).await;
    process.shut_down().await;
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT. Reloads the settings at each SIGHUP and whenever the file has
/// changed.
async fn wait_for_shutdown_signal(signals: &mut Signals, path: &Path, process: &RelayProcess) {
    let mut known = modified_at(path);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => {}
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => {
                if modified_at(path) == known {
                    continue;
                }
            }
        }
        known = modified_at(path);
        reload(path, process);
    }
}

/// Returns when a file was last modified; `None` if the system does not report it. Two unknown
/// times count as "not changed".
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

fn reload(path: &Path, process: &RelayProcess) {
    match PlatformSettings::read(path) {
        Ok(settings) => process.reload(&settings.relay),
        Err(error) => log::error!("settings not reloaded: {error}"),
    }
}
