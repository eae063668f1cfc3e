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

/// What a plain service holds: its log, which outlives its process.
#[derive(Debug, Clone, Default)]
pub struct ServiceState {
    /// State shared with the HTTP interface.
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Runs in order.
    runs: Vec<RunRecord>,
    /// Time of a run.
    delay: Duration,
    /// Whether answers are lost after the run.
    loses_answers: bool,
    /// Whether calls with an old fencing number are refused.
    checks_fencing: bool,
    /// Highest fencing number seen of each request id.
    fencing: HashMap<String, FencingNumber>,
}

/// A running plain service. Dropping it kills the process.
#[derive(Debug)]
pub struct ServiceServer {
    /// HTTP interface.
    http: ServerHandle,
    /// State.
    state: ServiceState,
}

impl ServiceServer {
    /// Starts a service over `state`; several servers may share one.
    ///
    /// # Errors
    /// Where the address cannot be listened on.
    pub async fn start(address: SocketAddr, state: ServiceState) -> io::Result<ServiceServer> {
        let serving = state.clone();
        let router = Router::new().any("/*", move |req| run_action(serving.clone(), req));
        let http = ServerHandle::start(address, router).await?;
        Ok(ServiceServer { http, state })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the state.
    pub fn state(&self) -> &ServiceState {
        &self.state
    }

    /// Kills the process: its connections break.
    pub fn kill(&self) {
        self.http.kill();
    }
}

impl ServiceState {
    /// Returns a copy of the log.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Sets the time of a run.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Sets whether answers are lost after the run.
    pub fn set_loses_answers(&self, loses_answers: bool) {
        self.lock().loses_answers = loses_answers;
    }

    /// Sets whether calls with an old fencing number are refused.
    pub fn set_checks_fencing(&self, checks_fencing: bool) {
        self.lock().checks_fencing = checks_fencing;
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder of the lock panics")
    }

    /// Admits a call by the fencing numbers seen of its request id.
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
