//! Client of the administration API.

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

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a retry if the answer does not specify one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client of the administration API. Retries are safe because every call of that API is
/// idempotent: a plan takes effect only once it is confirmed, even if it was made twice, and
/// confirming it twice has the effect of confirming it once.
pub struct AdminClient {
    /// HTTP client.
    http: HttpClient,
    /// API key of the operator.
    key: ApiKey,
    /// Addresses of routers, tried in turn. Not empty.
    routers: Vec<SocketAddr>,
    /// Timeout of a call, including all its attempts.
    timeout: Duration,
    /// Called with a description of each failed attempt that is retried.
    on_retry: Box<dyn Fn(&str) + Send + Sync>,
}

impl AdminClient {
    /// Creates a client of the fleet of `routers`, which must not be empty. `timeout` covers all
    /// attempts of a call; `on_retry` is called with a description of each failed attempt that
    /// is retried.
    pub fn new(
        routers: Vec<SocketAddr>,
        key: ApiKey,
        timeout: Duration,
        on_retry: impl Fn(&str) + Send + Sync + 'static,
    ) -> AdminClient {
        let http = HttpClient::new(Connections::OnePerCall);
        AdminClient { http, key, routers, timeout, on_retry: Box::new(on_retry) }
    }

    /// Gets the resource at `path`.
    ///
    /// # Errors
    /// If the fleet refuses the call or does not answer in time.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts `body`, which must be JSON or empty, to `path`.
    ///
    /// # Errors
    /// Same as [`get`](AdminClient::get).
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
        let mut last_error = "no router addresses are given".to_owned();
        for router in self.routers.iter().cycle() {
            let (method, headers) = (method.clone(), headers.clone());
            let time_left = deadline.saturating_duration_since(Instant::now()).min(ATTEMPT_TIMEOUT);
            let call = self.http.call(*router, method, path, headers, body.clone(), time_left);
            let delay = match call.await.map(|res| read_answer(&res)) {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(AdminClientError::Refused(detail))) if may_retry(&detail) => {
                    last_error = format!("{router}: {}", detail.detail.message);
                    detail.detail.retry_after_ms.map_or(RETRY_DELAY, Duration::from_millis)
                }
                Ok(Err(error)) => return Err(error),
                Err(error) => {
                    last_error = format!("{router}: {error}");
                    RETRY_DELAY
                }
            };
            if Instant::now() + delay >= deadline {
                break;
            }
            (self.on_retry)(&last_error);
            tokio::time::sleep(delay).await;
        }
        Err(AdminClientError::NoAnswer(last_error))
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
