//! A running engine process.

use std::{io, net::SocketAddr};

use tokio::{task::AbortHandle, time::Instant};
use types::{ModelName, ModelVersion};

use super::{EngineSettings, EngineState, handlers::routes};
use crate::ServerHandle;

/// A running engine process. Dropping it kills the process.
#[derive(Debug)]
pub struct EngineServer {
    http: ServerHandle,
    state: EngineState,
    /// Aborts the task that performs the steps.
    driver: AbortHandle,
}

impl EngineServer {
    /// Starts an engine with `models` loaded. With port 0, the system picks a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        settings: EngineSettings,
        models: &[(ModelName, ModelVersion)],
    ) -> io::Result<EngineServer> {
        EngineServer::start_with(address, EngineState::new(settings, models)).await
    }

    /// Starts a new process with the settings, models and log of an earlier one. The rest of the
    /// earlier state is lost.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn restart(address: SocketAddr, state: &EngineState) -> io::Result<EngineServer> {
        EngineServer::start_with(address, state.restarted()).await
    }

    async fn start_with(address: SocketAddr, state: EngineState) -> io::Result<EngineServer> {
        let http = ServerHandle::start(address, routes(&state)).await?;
        let (driver_state, http_task) = (state.clone(), http.abort_handle());
        let driver = tokio::spawn(async move {
            drive(driver_state).await;
            // The engine has crashed. Aborting the HTTP server closes its connections.
            http_task.abort();
        });
        let driver = driver.abort_handle();
        Ok(EngineServer { http, state, driver })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the engine's state, which stays readable after the process was killed.
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Kills the process: closes its connections and ends all jobs.
    pub fn kill(&self) {
        self.http.kill();
        self.driver.abort();
        self.state.lock().jobs.clear();
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Performs steps until the engine crashes.
async fn drive(state: EngineState) {
    let mut last_report = Instant::now();
    loop {
        let step = state.lock().core.step();
        let Some(step) = step else {
            state.lock().record_report(0);
            let pause = state.lock().settings.report_lag;
            let _ = tokio::time::timeout(pause, state.work.notified()).await;
            continue;
        };
        tokio::time::sleep(step.duration).await;
        let mut shared = state.lock();
        if !shared.apply(&step.events) {
            return;
        }
        if last_report.elapsed() > shared.settings.report_lag / 4 {
            last_report = Instant::now();
            let step_us = u64::try_from(step.duration.as_micros()).unwrap_or(u64::MAX);
            shared.record_report(step_us);
        }
    }
}
