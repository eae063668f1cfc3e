//! Runs the demo: starts the scene, the callers and the faults, and collects the result.

use std::process::ExitCode;

use scene::{Scene, SceneError, two_account_spec};
use telemetry::{LogFormat, set_up_logs};
use tokio::{runtime::Builder, task::JoinSet};

use crate::{
    cli::DemoSettings,
    fault_script::inject_faults,
    load::start_callers,
    report::{CallerCounts, DemoResult},
    serve::serve,
};

/// Number of finished callers between two progress lines.
const PROGRESS_STEP_CALLERS: usize = 12;

/// Runs the demo; returns its exit code.
pub(crate) fn run_demo(settings: &DemoSettings) -> ExitCode {
    if let Err(error) = set_up_logs(settings.log_level, LogFormat::Text) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let runtime = match Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot create the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_scene(settings)) {
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(result)) => {
            result.print();
            if result.all_checks_pass() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_scene(settings: &DemoSettings) -> Result<Option<DemoResult>, SceneError> {
    eprintln!("starting stand-ins and three routers");
    let mut scene = Scene::start(two_account_spec(settings.seed)).await?;
    if settings.serve {
        serve(&scene).await;
        scene.routers.shut_down_all().await?;
        return Ok(None);
    }
    eprintln!("sending requests of both client accounts");
    let callers = start_callers(&scene, settings.seed);
    let (counts, faults) = tokio::join!(sum_counts(callers), inject_faults(&mut scene.routers));
    let mut cut_off_shutdowns = faults?;
    eprintln!("all callers have finished; draining the remaining routers");
    if let Err(error) = scene.routers.shut_down_all().await {
        eprintln!("{error}");
        cut_off_shutdowns += 1;
    }
    Ok(Some(DemoResult { callers: counts, tally: scene.tally(), cut_off_shutdowns }))
}

async fn sum_counts(mut callers: JoinSet<CallerCounts>) -> CallerCounts {
    let total = callers.len();
    let mut sum = CallerCounts::default();
    while let Some(counts) = callers.join_next().await {
        sum.add(&counts.unwrap_or_default());
        let finished = total - callers.len();
        if finished.is_multiple_of(PROGRESS_STEP_CALLERS) {
            eprintln!("{finished} of {total} callers have finished");
        }
    }
    sum
}
