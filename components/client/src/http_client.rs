//! HTTP client that distinguishes calls that were not sent from calls whose answer was lost.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::SendError;

/// Maximum length of a response body that is read whole, in bytes.
pub const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether a client reuses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connections {
    /// Reuses connections. If the server closes a connection while a call is being sent on
    /// it, the outcome of the call is unknown.
    Pooled,
    /// Opens a connection for each call, so that a failed connection means that the call
    /// was not sent. For calls that must not run twice.
    OnePerCall,
}

/// How long a call waits while its response arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiveTimeouts {
    /// Maximum time until the head of the response has arrived.
    pub head: Duration,
    /// Maximum time between two pieces of the body.
    pub pause: Duration,
}

/// HTTP client. Never retries a call by itself.
#[derive(Debug, Clone)]
pub struct HttpClient {
    /// Client of the hyper library.
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that reuses connections or not, as specified by `connections`.
    pub fn new(connections: Connections) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(IDLE_TIMEOUT);
        if connections == Connections::OnePerCall {
            builder.pool_max_idle_per_host(0);
        }
        HttpClient { inner: builder.build(connector) }
    }

    /// Sends a call and returns the head of the response, with its body as a stream.
    ///
    /// # Errors
    /// If no response head arrived.
    pub async fn send(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, SendError> {
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = format!("http://{server}{path}")
            .parse()
            .map_err(|error| SendError::NotSent(format!("invalid URL: {error}")))?;
        *req.headers_mut() = headers;
        self.inner.request(req).await.map_err(|error| {
            if error.is_connect() {
                SendError::NotSent(error.to_string())
            } else {
                SendError::AnswerLost(error.to_string())
            }
        })
    }

    /// Sends a call and returns the complete response.
    ///
    /// # Errors
    /// If no complete response of at most [`RESPONSE_MAX_BYTES`] arrived within `timeout`.
    pub async fn call(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let exchange = async {
            let res = self.send(server, method, path, headers, body).await?;
            let (head, body) = res.into_parts();
            let body = Limited::new(body, RESPONSE_MAX_BYTES)
                .collect()
                .await
                .map_err(|error| SendError::AnswerLost(error.to_string()))?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(SendError::TimedOut))
    }

    /// Sends a call and returns the complete response, however long it takes, as long as it
    /// keeps arriving. Calls `on_data` with the length of each piece of the body.
    ///
    /// For bodies whose length has no tight bound: a timeout for the whole call would discard
    /// what has arrived over a slow link, and a repeated call would fail in the same way.
    ///
    /// # Errors
    /// If the head did not arrive within `timeouts.head`, no piece of the body arrived for
    /// `timeouts.pause`, or the body is longer than [`RESPONSE_MAX_BYTES`].
    #[allow(clippy::too_many_arguments, reason = "the parts of a request are separate values")]
    pub async fn call_while_receiving(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeouts: ReceiveTimeouts,
        on_data: &(dyn Fn(usize) + Sync),
    ) -> Result<Response<Bytes>, SendError> {
        let res = timeout(timeouts.head, self.send(server, method, path, headers, body));
        let (head, body) = res.await.map_err(|_| SendError::TimedOut)??.into_parts();
        let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut received = BytesMut::with_capacity(expected.min(RESPONSE_MAX_BYTES));
        let mut body = Limited::new(body, RESPONSE_MAX_BYTES);
        loop {
            let frame = timeout(timeouts.pause, body.frame());
            let Some(frame) = frame.await.map_err(|_| SendError::TimedOut)? else { break };
            let frame = frame.map_err(|error| SendError::AnswerLost(error.to_string()))?;
            if let Ok(piece) = frame.into_data() {
                on_data(piece.len());
                received.extend_from_slice(&piece);
            }
        }
        Ok(Response::from_parts(head, received.freeze()))
    }

    /// Posts `body` as JSON and parses the response as JSON, regardless of its status.
    ///
    /// # Errors
    /// Same as [`call`](HttpClient::call); a response that is not valid JSON is
    /// reported as [`SendError::AnswerLost`].
    pub async fn call_json<B: Serialize, R: DeserializeOwned>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<R, SendError> {
        let body = serde_json::to_vec(body).map_err(|error| {
            SendError::NotSent(format!("body cannot be serialized as JSON: {error}"))
        })?;
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        let res = self.call(server, Method::POST, path, headers, body.into(), timeout).await?;
        serde_json::from_slice(res.body()).map_err(|error| {
            SendError::AnswerLost(format!(
                "malformed body of a response with status {}: {error}",
                res.status()
            ))
        })
    }
}
