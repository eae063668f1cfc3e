//! Runs the relay until a signal ends it.

use std::{
    path::Path,
    process::ExitCode,
    time::{Duration, SystemTime},
};

use platform_adapter::{PlatformSettings, connect};
use relay::RelayProcess;
use telemetry::{set_up_metrics, set_up_queued_logs};
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
};

use crate::cli::ProgramSettings;

/// Time between two looks whether the settings file has changed; the system has no way to
/// be told on these hosts.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the relay; returns its exit code.
pub(crate) fn run_relay(settings: ProgramSettings) -> ExitCode {
    if let Err(error) = set_up_queued_logs(settings.log_level, settings.log_format) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    // A host has a part of one core: more threads would only switch more often.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = runtime.block_on(serve(settings));
    telemetry::flush_queued_logs();
    code
}

async fn serve(settings: ProgramSettings) -> ExitCode {
    let kinds = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()];
    let [terminate, interrupt, hangup] = kinds.map(signal);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (terminate, interrupt, hangup)
    else {
        log::error!("signals are not available");
        return ExitCode::FAILURE;
    };
    let surroundings = connect(&settings.platform);
    let metrics = set_up_metrics();
    let started = RelayProcess::start(settings.platform.relay.clone(), surroundings, metrics).await;
    let process = match started {
        Ok(process) => process,
        Err(error) => {
            log::error!("router not started: {error}");
            return ExitCode::FAILURE;
        }
    };
    wait_for_end(&mut terminate, &mut interrupt, &mut hangup, &settings.path, &process).await;
    process.shut_down().await;
    ExitCode::SUCCESS
}

/// Waits for the signal to end; reads the settings anew at each hang-up, and where the file
/// has changed without one.
async fn wait_for_end(
    terminate: &mut Signal,
    interrupt: &mut Signal,
    hangup: &mut Signal,
    path: &Path,
    process: &RelayProcess,
) {
    let mut known = modified_at(path);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => {}
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
