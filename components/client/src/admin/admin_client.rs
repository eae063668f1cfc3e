//! The administration client.

use std::{net::SocketAddr, time::Duration};

use admin_api::{AdminErrorBody, AdminErrorDetail};
use bytes::Bytes;
use config::ApiKey;
use http::{
    HeaderMap, HeaderValue, Method, Response,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::AdminClientError;
use crate::{Connections, HttpClient};

/// Longest time of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause before a further try where the answer does not say how long.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Client of the administration API. Every call of that API is safe to repeat: a plan
/// that was made twice takes effect only where it is confirmed, and a plan that is
/// confirmed twice takes effect once.
pub struct AdminClient {
    /// HTTP client.
    http: HttpClient,
    /// Operator's key.
    key: ApiKey,
    /// Addresses of routers, tried in turn. Not empty.
    routers: Vec<SocketAddr>,
    /// Longest time of one call with all its tries.
    timeout: Duration,
    /// Gets a line about each try that failed.
    on_retry: Box<dyn Fn(&str) + Send + Sync>,
}

impl AdminClient {
    /// Creates a client of the fleet with these `routers`; `on_retry` gets a line about
    /// each try that failed.
    pub fn new(
        routers: Vec<SocketAddr>,
        key: ApiKey,
        timeout: Duration,
        on_retry: impl Fn(&str) + Send + Sync + 'static,
    ) -> AdminClient {
        let http = HttpClient::new(Connections::OnePerCall);
        AdminClient { http, key, routers, timeout, on_retry: Box::new(on_retry) }
    }

    /// Reads the resource at `path`.
    ///
    /// # Errors
    /// Where the fleet refuses the call or does not answer in time.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts `body`, which is JSON or empty, to `path`.
    ///
    /// # Errors
    /// As [`get`](AdminClient::get).
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Bytes,
    ) -> Result<T, AdminClientError> {
        self.call(Method::POST, path, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, AdminClientError> {
        let headers = self.headers()?;
        let deadline = Instant::now() + self.timeout;
        let mut last = "no router is known".to_owned();
        for router in self.routers.iter().cycle() {
            let (method, headers) = (method.clone(), headers.clone());
            let left = deadline.saturating_duration_since(Instant::now()).min(TRY_TIMEOUT);
            let call = self.http.call(*router, method, path, headers, body.clone(), left);
            let pause = match call.await.map(|res| read_answer(&res)) {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(AdminClientError::Refused(detail))) if may_retry(&detail) => {
                    last = format!("{router}: {}", detail.detail.message);
                    detail.detail.retry_after_ms.map_or(RETRY_PAUSE, Duration::from_millis)
                }
                Ok(Err(error)) => return Err(error),
                Err(error) => {
                    last = format!("{router}: {error}");
                    RETRY_PAUSE
                }
            };
            if Instant::now() + pause >= deadline {
                break;
            }
            (self.on_retry)(&last);
            tokio::time::sleep(pause).await;
        }
        Err(AdminClientError::NoAnswer(last))
    }

    fn headers(&self) -> Result<HeaderMap, AdminClientError> {
        let value = HeaderValue::from_str(&format!("Bearer {}", self.key.expose()));
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, value.map_err(|_| AdminClientError::BadKey)?);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Ok(headers)
    }
}

fn may_retry(detail: &AdminErrorDetail) -> bool {
    detail.detail.may_retry_same_id
}

fn read_answer<T: DeserializeOwned>(res: &Response<Bytes>) -> Result<T, AdminClientError> {
    let bad_answer = |error: serde_json::Error| {
        AdminClientError::BadAnswer(format!("status {}: {error}", res.status()))
    };
    if res.status().is_success() {
        return serde_json::from_slice(res.body()).map_err(bad_answer);
    }
    let body: AdminErrorBody = serde_json::from_slice(res.body()).map_err(bad_answer)?;
    Err(AdminClientError::Refused(Box::new(body.error)))
}
