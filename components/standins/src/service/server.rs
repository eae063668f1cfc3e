//! HTTP interface of a plain service.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use engine_api::{FENCING_HEADER, REQUEST_ID_HEADER};
use types::FencingNumber;
use utils::HashMap;
use viz::{IntoResponse, Request, RequestExt, Response, ResponseExt, Result, Router, StatusCode};

use super::RunRecord;
use crate::ServerHandle;

/// State of a plain service, with its log, which outlives its servers. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct ServiceState {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Runs, oldest first.
    runs: Vec<RunRecord>,
    /// Duration of a run.
    delay: Duration,
    /// Whether the connection breaks after the run, so that the answer is lost.
    loses_answers: bool,
    /// Whether a call is refused if its fencing number is lower than the highest received for its
    /// request id.
    checks_fencing: bool,
    /// Highest fencing number received for each request id.
    fencing: HashMap<String, FencingNumber>,
}

/// A running server of a plain service. Dropping it kills the server.
#[derive(Debug)]
pub struct ServiceServer {
    http: ServerHandle,
    state: ServiceState,
}

impl ServiceServer {
    /// Starts a server with `state`, which several servers may share. With port 0, the system picks
    /// a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, state: ServiceState) -> io::Result<ServiceServer> {
        let handler_state = state.clone();
        let routes = Router::new().any("/*", move |req| run_action(handler_state.clone(), req));
        let http = ServerHandle::start(address, routes).await?;
        Ok(ServiceServer { http, state })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the state, which stays readable after the server was killed.
    pub fn state(&self) -> &ServiceState {
        &self.state
    }

    /// Kills the server and closes its connections.
    pub fn kill(&self) {
        self.http.kill();
    }

    /// Waits until the killed endpoint refuses connections.
    pub async fn ended(&self) {
        self.http.ended().await;
    }
}

impl ServiceState {
    /// Returns a copy of the log.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Sets the duration of a run.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Sets whether the connection breaks after a run, so that the answer is lost.
    pub fn set_loses_answers(&self, loses_answers: bool) {
        self.lock().loses_answers = loses_answers;
    }

    /// Sets whether a call is refused if its fencing number is lower than the highest received for
    /// its request id.
    pub fn set_checks_fencing(&self, checks_fencing: bool) {
        self.lock().checks_fencing = checks_fencing;
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("the lock is not poisoned")
    }

    /// Reports whether a call may run, and records its fencing number. A call without a fencing
    /// number may always run.
    fn admit(&self, request_id: &str, fencing: Option<FencingNumber>) -> bool {
        let mut shared = self.lock();
        let Some(fencing) = fencing else { return true };
        let checks_fencing = shared.checks_fencing;
        let highest = shared.fencing.entry(request_id.to_owned()).or_default();
        if checks_fencing && fencing < *highest {
            return false;
        }
        *highest = fencing.max(*highest);
        true
    }
}

async fn run_action(state: ServiceState, mut req: Request) -> Result<Response> {
    let header = |name| req.headers().get(name).and_then(|value| value.to_str().ok());
    let request_id = header(REQUEST_ID_HEADER).unwrap_or_default().to_owned();
    let fencing = header(FENCING_HEADER).and_then(|text| text.parse().ok()).map(FencingNumber);
    let path = req.path().to_owned();
    let body = req.bytes().await?.to_vec();
    if !state.admit(&request_id, fencing) {
        return Ok((StatusCode::PRECONDITION_FAILED, "old fencing number").into_response());
    }
    let record = RunRecord { request_id: request_id.clone(), path, body };
    let (delay, loses_answers, number) = {
        let mut shared = state.lock();
        shared.runs.push(record);
        (shared.delay, shared.loses_answers, shared.runs.len())
    };
    tokio::time::sleep(delay).await;
    if loses_answers {
        return Ok(Response::stream(futures::stream::once(async {
            Err::<bytes::Bytes, _>(io::Error::from(io::ErrorKind::ConnectionReset))
        })));
    }
    Ok(Response::json(serde_json::json!({ "request_id": request_id, "run": number }))?)
}
