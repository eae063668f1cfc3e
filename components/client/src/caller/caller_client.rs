//! Client that sends the requests of a caller.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use config::ApiKey;
use engine_api::ChatCompletion;
use errors::{ErrorAnswer, ErrorDetail};
use http::{
    HeaderMap, HeaderValue, Method, Response, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::Instant;

use super::{
    AddressList, CallerAnswer, CallerRequest, address_book::AddressBook,
    stream_answer::StreamAnswer,
};
use crate::{Connections, HttpClient};

/// Header with the error code in answers of a router itself. Answers of endpoints never have
/// it.
pub const ERROR_HEADER: &str = "x-auburncrank-error";

/// Timeout of a call for the list of addresses.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a retry if the answer does not specify one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reason why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallerError {
    /// The fleet refused the request, and a retry with the same id is of no use.
    #[error("{}: {}", .0.code, .0.message)]
    Refused(ErrorDetail),
    /// No answer arrived in time. Contains the last refusal, if any.
    #[error("no answer in time{}", last_refusal(.0.as_ref()))]
    TimedOut(Option<ErrorDetail>),
    /// The API key cannot be sent in a header.
    #[error("the API key contains characters that are not allowed in an HTTP header")]
    BadKey,
}

fn last_refusal(detail: Option<&ErrorDetail>) -> String {
    detail.map_or_else(String::new, |it| format!("; last refusal: {}: {}", it.code, it.message))
}

/// Outcome of one attempt.
enum Outcome {
    Answered(CallerAnswer),
    Refused(ErrorDetail),
    /// The connection failed, or the answer is incomplete or malformed.
    Broken,
}

/// Client that sends the requests of one client account.
#[derive(Debug)]
pub struct Caller {
    /// HTTP client.
    http: HttpClient,
    /// API key of the client account.
    key: ApiKey,
    /// Known router addresses.
    addresses: Mutex<AddressBook>,
    /// Path and query of the call for addresses; the query names the caller's failure domain.
    addresses_path: String,
}

impl Caller {
    /// Creates a client that fetches the addresses of the fleet from `seeds`, which must not be
    /// empty, and prefers routers in `failure_domain`.
    pub fn new(seeds: Vec<SocketAddr>, key: ApiKey, failure_domain: Option<&str>) -> Caller {
        let addresses_path = match failure_domain {
            Some(name) => format!("/v1/addresses?failure_domain={name}"),
            None => "/v1/addresses".to_owned(),
        };
        Caller {
            http: HttpClient::new(Connections::Pooled),
            key,
            addresses: Mutex::new(AddressBook::new(seeds)),
            addresses_path,
        }
    }

    /// Sends a request, with retries, until it has the complete answer. `on_text` is called with
    /// the text of a streamed answer as it arrives; no part of the text is passed to it twice.
    ///
    /// # Errors
    /// If the fleet refuses the request and a retry is of no use, or if the time is up.
    pub async fn send(
        &self,
        req: &CallerRequest,
        mut on_text: impl FnMut(&str),
    ) -> Result<CallerAnswer, CallerError> {
        let headers = self.headers(req)?;
        let deadline = Instant::now() + req.timeout;
        let mut delivered_bytes = 0;
        let mut last_refusal = None;
        for tries in 1.. {
            self.refresh_addresses().await;
            let attempt = self.run_attempt(req, &headers, &mut delivered_bytes, &mut on_text);
            let outcome = tokio::time::timeout_at(deadline, attempt).await;
            let delay = match outcome {
                Err(_) => break,
                Ok(Outcome::Answered(answer)) => return Ok(CallerAnswer { tries, ..answer }),
                Ok(Outcome::Refused(detail)) if !detail.may_retry_same_id => {
                    return Err(CallerError::Refused(detail));
                }
                Ok(Outcome::Refused(detail)) => {
                    let delay = detail.retry_after_ms.map_or(RETRY_DELAY, Duration::from_millis);
                    last_refusal = Some(detail);
                    delay
                }
                Ok(Outcome::Broken) => RETRY_DELAY,
            };
            self.lock().record_failure();
            if Instant::now() + delay >= deadline {
                break;
            }
            tokio::time::sleep(delay).await;
        }
        Err(CallerError::TimedOut(last_refusal))
    }

    /// Fetches the list of addresses if the known one has expired or all its addresses have
    /// failed. Keeps the known one if no router answers.
    pub async fn refresh_addresses(&self) {
        let (is_stale, candidates) = {
            let addresses = self.lock();
            (addresses.is_stale(Instant::now()), addresses.candidates())
        };
        if !is_stale {
            return;
        }
        for router in candidates {
            if let Some(list) = self.fetch_addresses(router).await {
                self.lock().update(&list, Instant::now());
                return;
            }
        }
    }

    async fn fetch_addresses(&self, router: SocketAddr) -> Option<AddressList> {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let path = &self.addresses_path;
        let res = self
            .http
            .call(router, Method::GET, path, headers, body, ADDRESSES_TIMEOUT)
            .await
            .ok()?;
        let list: AddressList = serde_json::from_slice(res.body()).ok()?;
        (!list.addresses.is_empty()).then_some(list)
    }

    async fn run_attempt(
        &self,
        req: &CallerRequest,
        headers: &HeaderMap,
        delivered_bytes: &mut usize,
        on_text: &mut impl FnMut(&str),
    ) -> Outcome {
        let Some(address) = self.lock().current() else { return Outcome::Broken };
        let body = req.body.clone();
        let sent = self.http.send(address, Method::POST, &req.path, headers.clone(), body);
        let Ok(res) = sent.await else { return Outcome::Broken };
        if req.is_stream && res.status() == StatusCode::OK {
            read_stream(res, delivered_bytes, on_text).await
        } else {
            read_whole(res).await
        }
    }

    fn headers(&self, req: &CallerRequest) -> Result<HeaderMap, CallerError> {
        let value = |text: &str| HeaderValue::from_str(text).map_err(|_| CallerError::BadKey);
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, value(&format!("Bearer {}", self.key.expose()))?);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("idempotency-key", value(req.id.as_str())?);
        Ok(headers)
    }

    fn lock(&self) -> MutexGuard<'_, AddressBook> {
        self.addresses.lock().expect("the lock is not poisoned")
    }
}

/// Reads a streamed answer. A retry gets the same text again from its start, of which the
/// first `delivered_bytes` were already passed to `on_text`.
async fn read_stream(
    mut res: Response<Incoming>,
    delivered_bytes: &mut usize,
    on_text: &mut impl FnMut(&str),
) -> Outcome {
    let mut answer = StreamAnswer::default();
    let mut received_bytes = 0;
    while let Some(frame) = res.body_mut().frame().await {
        let Ok(frame) = frame else { return Outcome::Broken };
        let Some(data) = frame.data_ref() else { continue };
        let Some(added) = answer.push(data) else { return Outcome::Broken };
        let start = delivered_bytes.saturating_sub(received_bytes).min(added.len());
        received_bytes += added.len();
        if let Some(text) = added.get(start..).filter(|text| !text.is_empty()) {
            on_text(text);
            *delivered_bytes = received_bytes;
        }
    }
    match answer.finish() {
        Some(Ok((body, usage))) => Outcome::Answered(CallerAnswer {
            status: StatusCode::OK.as_u16(),
            body,
            billed_tokens: usage.map(|usage| usage.billed_tokens().0),
            tries: 0,
        }),
        Some(Err(detail)) => Outcome::Refused(detail),
        None => Outcome::Broken,
    }
}

async fn read_whole(res: Response<Incoming>) -> Outcome {
    let status = res.status();
    let is_refusal = res.headers().contains_key(ERROR_HEADER);
    let Ok(body) = res.into_body().collect().await else { return Outcome::Broken };
    let body = body.to_bytes();
    if is_refusal {
        return match serde_json::from_slice::<ErrorAnswer>(&body) {
            Ok(answer) => Outcome::Refused(answer.error),
            Err(_) => Outcome::Broken,
        };
    }
    let completion = serde_json::from_slice::<ChatCompletion>(&body).ok();
    let billed_tokens = completion.map(|completion| completion.usage.billed_tokens().0);
    Outcome::Answered(CallerAnswer { status: status.as_u16(), body, billed_tokens, tries: 0 })
}
