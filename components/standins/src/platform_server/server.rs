//! HTTP interface of the platform's services.

use std::{io, net::SocketAddr, time::Duration};

use client::{
    CommitRequest, HostsResponse, LoadEstimate, ReadRequest, ReadResponse, ScanRequest,
    ScanResponse,
};
use platform::{CommitOutcome, Key, Table, WeightId};
use viz::{IntoResponse, Request, RequestExt, Response, ResponseExt, Result, Router, StatusCode};

use super::PlatformState;
use crate::ServerHandle;

/// A running server of the platform's services. Dropping it closes all connections.
#[derive(Debug)]
pub struct PlatformServer {
    http: ServerHandle,
    state: PlatformState,
}

impl PlatformServer {
    /// Starts the server with `state`. With port 0, the system picks a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, state: PlatformState) -> io::Result<PlatformServer> {
        let http = ServerHandle::start(address, routes(&state)).await?;
        Ok(PlatformServer { http, state })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the state, through which tests change and inspect the services.
    pub fn state(&self) -> &PlatformState {
        &self.state
    }
}

fn routes(state: &PlatformState) -> Router {
    let (read, scan, commit) = (state.clone(), state.clone(), state.clone());
    let (put, get, delete) = (state.clone(), state.clone(), state.clone());
    let (hosts, weights) = (state.clone(), state.clone());
    Router::new()
        .post("/table/read", move |req| serve_read(read.clone(), req))
        .post("/table/scan", move |req| serve_scan(scan.clone(), req))
        .post("/table/commit", move |req| serve_commit(commit.clone(), req))
        .put("/objects/*", move |req| put_object(put.clone(), req))
        .get("/objects/*", move |req| get_object(get.clone(), req))
        .delete("/objects/*", move |req| delete_object(delete.clone(), req))
        .post("/hosts", move |_: Request| serve_hosts(hosts.clone()))
        .post("/weights/estimate", move |req| serve_estimate(weights.clone(), req))
}

async fn serve_read(state: PlatformState, mut req: Request) -> Result<Response> {
    let read: ReadRequest = req.json().await?;
    let result = state.table().read(&read.keys).await;
    Ok(Response::json(ReadResponse { result })?)
}

async fn serve_scan(state: PlatformState, mut req: Request) -> Result<Response> {
    let scan: ScanRequest = req.json().await?;
    let result = state.table().scan(&scan.prefix, scan.after.as_ref()).await;
    Ok(Response::json(ScanResponse { result })?)
}

async fn serve_commit(state: PlatformState, mut req: Request) -> Result<Response> {
    let commit: CommitRequest = req.json().await?;
    match state.table().commit(&commit.commit).await {
        // An error status without a body keeps the commit's outcome from the client.
        CommitOutcome::Unknown => Ok(StatusCode::BAD_GATEWAY.into_response()),
        outcome => Ok(Response::json(outcome)?),
    }
}

async fn serve_hosts(state: PlatformState) -> Result<Response> {
    Ok(Response::json(HostsResponse { result: Ok(state.hosts()) })?)
}

async fn serve_estimate(state: PlatformState, mut req: Request) -> Result<Response> {
    let weights: WeightId = req.json().await?;
    let millis = |it: Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
    let result = state.load_time(&weights).map(|load_time| load_time.map(millis));
    Ok(Response::json(LoadEstimate { result })?)
}

async fn put_object(state: PlatformState, mut req: Request) -> Result<Response> {
    let content = req.bytes().await?;
    with_object(&state, &req, |key| {
        state.put_object(key, content);
        StatusCode::NO_CONTENT.into_response()
    })
}

async fn get_object(state: PlatformState, req: Request) -> Result<Response> {
    with_object(&state, &req, |key| match state.object(&key) {
        Some(content) => Response::binary(content),
        None => StatusCode::NOT_FOUND.into_response(),
    })
}

async fn delete_object(state: PlatformState, req: Request) -> Result<Response> {
    with_object(&state, &req, |key| {
        state.delete_object(&key);
        StatusCode::NO_CONTENT.into_response()
    })
}

fn with_object(
    state: &PlatformState,
    req: &Request,
    serve: impl FnOnce(Key) -> Response,
) -> Result<Response> {
    if state.objects_down() {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    match Key::new(req.path().trim_start_matches("/objects/")) {
        Ok(key) => Ok(serve(key)),
        Err(error) => Ok((StatusCode::BAD_REQUEST, error.to_string()).into_response()),
    }
}
