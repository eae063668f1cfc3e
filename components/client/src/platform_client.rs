//! Client of the platform's services, which use JSON over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header::CONTENT_TYPE};
use platform::{
    Commit, CommitOutcome, HostEntry, HostList, Key, ObjectStore, PlatformError, Row, Table,
    WeightId, WeightStore,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Connections, HttpClient, ReceiveTimeouts, SendError};

/// Body of `POST /table/read`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys to read.
    pub keys: Vec<Key>,
}

/// Answer to [`ReadRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Rows in the order of the keys; `None` for a key without a row.
    pub result: Result<Vec<Option<Row>>, PlatformError>,
}

/// Body of `POST /table/scan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys to return.
    pub prefix: String,
    /// Key after which the scan starts; `None` starts with the first key.
    pub after: Option<Key>,
}

/// Answer to [`ScanRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanResponse {
    /// Rows with the prefix, in the order of their keys.
    pub result: Result<Vec<Row>, PlatformError>,
}

/// Body of `POST /table/commit`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Preconditions and writes to commit.
    pub commit: Commit,
}

/// Answer to `POST /hosts`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostsResponse {
    /// Hosts with their addresses and states.
    pub result: Result<Vec<HostEntry>, PlatformError>,
}

/// Answer to `POST /weights/estimate`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadEstimate {
    /// Estimated time to load the weights, in milliseconds; `None` if there are no such
    /// weights.
    pub result: Result<Option<u64>, PlatformError>,
}

/// Client of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    /// HTTP client.
    http: HttpClient,
    /// Address of the platform.
    server: SocketAddr,
    /// Longest time until the head of a response, and between two pieces of its body.
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client of the platform at `server`. `timeout` is the longest time until the head
    /// of a response, and between two pieces of its body.
    pub fn new(server: SocketAddr, timeout: Duration) -> PlatformClient {
        PlatformClient { http: HttpClient::new(Connections::Pooled), server, timeout }
    }

    async fn call<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<R, SendError> {
        let body = serde_json::to_vec(body).map_err(|error| {
            SendError::NotSent(format!("body cannot be serialized as JSON: {error}"))
        })?;
        let json = HeaderValue::from_static("application/json");
        let headers = HeaderMap::from_iter([(CONTENT_TYPE, json)]);
        let res = self.receive(Method::POST, path, headers, body.into()).await?;
        serde_json::from_slice(res.body()).map_err(|error| {
            SendError::AnswerLost(format!(
                "malformed body of a response with status {}: {error}",
                res.status()
            ))
        })
    }

    /// Sends a call whose response may be large, such as a whole configuration.
    async fn receive(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Bytes>, SendError> {
        let timeouts = ReceiveTimeouts { head: self.timeout, pause: self.timeout };
        let ignore = |_| {};
        self.http
            .call_while_receiving(self.server, method, path, headers, body, timeouts, &ignore)
            .await
    }

    async fn call_object(
        &self,
        method: Method,
        key: &Key,
        content: Bytes,
    ) -> Result<Response<Bytes>, PlatformError> {
        let path = format!("/objects/{key}");
        self.receive(method, &path, HeaderMap::new(), content)
            .await
            .map_err(|_| PlatformError::Unavailable)
    }
}

#[async_trait]
impl Table for PlatformClient {
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError> {
        let req = ReadRequest { keys: keys.to_vec() };
        let res: Result<ReadResponse, _> = self.call("/table/read", &req).await;
        let rows = res.map_err(|_| PlatformError::Unavailable)?.result?;
        if rows.len() == keys.len() {
            Ok(rows)
        } else {
            Err(PlatformError::Malformed("number of rows differs from number of keys".to_owned()))
        }
    }

    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError> {
        let req = ScanRequest { prefix: prefix.to_owned(), after: after.cloned() };
        let res: Result<ScanResponse, _> = self.call("/table/scan", &req).await;
        res.map_err(|_| PlatformError::Unavailable)?.result
    }

    async fn commit(&self, commit: &Commit) -> CommitOutcome {
        let req = CommitRequest { commit: commit.clone() };
        match self.call("/table/commit", &req).await {
            Ok(outcome) => outcome,
            Err(SendError::NotSent(_)) => CommitOutcome::NotApplied(PlatformError::Unavailable),
            Err(SendError::AnswerLost(_) | SendError::TimedOut) => CommitOutcome::Unknown,
        }
    }
}

#[async_trait]
impl ObjectStore for PlatformClient {
    async fn put(&self, key: &Key, content: Arc<[u8]>) -> Result<(), PlatformError> {
        let res = self.call_object(Method::PUT, key, Bytes::from_owner(content)).await?;
        if res.status().is_success() { Ok(()) } else { Err(PlatformError::Unavailable) }
    }

    async fn get(&self, key: &Key) -> Result<Option<Arc<[u8]>>, PlatformError> {
        let res = self.call_object(Method::GET, key, Bytes::new()).await?;
        match res.status() {
            StatusCode::OK => Ok(Some(res.into_body().to_vec().into())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(PlatformError::Unavailable),
        }
    }

    async fn delete(&self, key: &Key) -> Result<(), PlatformError> {
        let res = self.call_object(Method::DELETE, key, Bytes::new()).await?;
        if res.status().is_success() { Ok(()) } else { Err(PlatformError::Unavailable) }
    }
}

#[async_trait]
impl HostList for PlatformClient {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let res: Result<HostsResponse, _> = self.call("/hosts", &()).await;
        res.map_err(|_| PlatformError::Unavailable)?.result
    }
}

#[async_trait]
impl WeightStore for PlatformClient {
    async fn estimate_load(&self, weights: &WeightId) -> Result<Option<Duration>, PlatformError> {
        let res: Result<LoadEstimate, _> = self.call("/weights/estimate", weights).await;
        let millis = res.map_err(|_| PlatformError::Unavailable)?.result?;
        Ok(millis.map(Duration::from_millis))
    }
}
