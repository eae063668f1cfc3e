//! Runs the relay until a signal ends it.

use std::{
    io,
    path::Path,
    process::ExitCode,
    time::{Duration, SystemTime},
};

use platform_adapter::{PlatformSettings, connect};
use relay::RelayProcess;
use telemetry::{set_up_metrics, set_up_queued_logs};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::cli::ProgramSettings;

/// Time between two looks whether the settings file has changed; the system has no way to
/// be told on these hosts.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Signals that the process handles.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes the signals over from the system, which ends a process at each of them.
    ///
    /// # Errors
    /// Where the system refuses.
    pub(crate) fn take_over() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Creates the runtime of the process.
///
/// # Errors
/// Where the system refuses.
pub(crate) fn new_runtime() -> io::Result<Runtime> {
    // A host has a part of one core: more threads would only switch more often.
    Builder::new_current_thread().enable_all().build()
}

/// Runs the relay; returns its exit code.
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
    let started = RelayProcess::start(settings.platform.relay.clone(), dependencies, metrics).await;
    let process = match started {
        Ok(process) => process,
        Err(error) => {
            log::error!("router not started: {error}");
            return ExitCode::FAILURE;
        }
    };
    wait_for_end(&mut signals, &settings.path, &process).await;
    process.shut_down().await;
    ExitCode::SUCCESS
}

/// Waits for the signal to end; reads the settings anew at each hang-up, and where the file
/// has changed without one.
async fn wait_for_end(signals: &mut Signals, path: &Path, process: &RelayProcess) {
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

/// Returns when a file was last modified; `None` where the system does not tell, which
/// reads as "not changed" until it does.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

fn reload(path: &Path, process: &RelayProcess) {
    match PlatformSettings::read(path) {
        Ok(settings) => process.reload(&settings.relay),
        Err(error) => log::error!("settings not reloaded: {error}"),
    }
}
