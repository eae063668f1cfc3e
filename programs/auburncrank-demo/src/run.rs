//! The run of the demo.

use std::process::ExitCode;

use scene::{Scene, SceneError, two_account_spec};
use telemetry::{LogFormat, set_up_logs};
use tokio::{runtime::Builder, task::JoinSet};

use crate::{
    cli::DemoSettings,
    fault_script::run_faults,
    load::start_callers,
    report::{CallerCounts, DemoResult},
    serve::serve,
};

/// Callers after which progress is printed.
const PROGRESS_STEP: usize = 12;

/// Runs the demo; returns its exit code.
pub(crate) fn run_demo(settings: &DemoSettings) -> ExitCode {
    if let Err(error) = set_up_logs(settings.log_level, LogFormat::Text) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let runtime = match Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_scene(settings)) {
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(result)) => {
            result.print();
            if result.is_sound() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
    eprintln!("sending requests of both users");
    let callers = start_callers(&scene, settings.seed);
    let (counts, faults) = tokio::join!(collect(callers), run_faults(&mut scene.routers));
    let mut cut_off_shutdowns = faults?;
    eprintln!("all callers have ended; draining the other routers");
    if let Err(error) = scene.routers.shut_down_all().await {
        eprintln!("{error}");
        cut_off_shutdowns += 1;
    }
    Ok(Some(DemoResult { callers: counts, tally: scene.tally(), cut_off_shutdowns }))
}

async fn collect(mut callers: JoinSet<CallerCounts>) -> CallerCounts {
    let total = callers.len();
    let mut sum = CallerCounts::default();
    while let Some(counts) = callers.join_next().await {
        sum.add(&counts.unwrap_or_default());
        let ended = total - callers.len();
        if ended.is_multiple_of(PROGRESS_STEP) {
            eprintln!("{ended} of {total} callers have ended");
        }
    }
    sum
}
