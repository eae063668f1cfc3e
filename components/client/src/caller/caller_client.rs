//! The caller.

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

/// Header of answers that come from the fleet itself, with the error's code; an answer
/// of an endpoint never has it.
pub const ERROR_HEADER: &str = "x-auburncrank-error";

/// Longest time of a call for the list of addresses.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before a retry where the answer does not say how long.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a caller has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallerError {
    /// The fleet refused the request, and no retry can change it.
    #[error("{}: {}", .0.code, .0.message)]
    Refused(ErrorDetail),
    /// No answer arrived in time; the last refusal, if there was one.
    #[error("no answer in time{}", last_refusal(.0.as_ref()))]
    TimedOut(Option<ErrorDetail>),
    /// The key cannot be sent in a header.
    #[error("the API key has characters that a header cannot carry")]
    BadKey,
}

fn last_refusal(detail: Option<&ErrorDetail>) -> String {
    detail.map_or_else(String::new, |it| format!("; last refusal: {}: {}", it.code, it.message))
}

/// How one try ended.
enum Try {
    Answered(CallerAnswer),
    Refused(ErrorDetail),
    /// The connection failed or the answer broke off.
    Broken,
}

/// A caller of the fleet.
#[derive(Debug)]
pub struct Caller {
    /// HTTP client.
    http: HttpClient,
    /// Key of the client account.
    key: ApiKey,
    /// Known addresses.
    book: Mutex<AddressBook>,
    /// Query of the call for addresses, which names the caller's failure domain.
    addresses_path: String,
}

impl Caller {
    /// Creates a caller that asks `seeds` for the addresses of the fleet, and prefers
    /// those in `failure_domain`.
    pub fn new(seeds: Vec<SocketAddr>, key: ApiKey, failure_domain: Option<&str>) -> Caller {
        let addresses_path = match failure_domain {
            Some(name) => format!("/v1/addresses?failure_domain={name}"),
            None => "/v1/addresses".to_owned(),
        };
        Caller {
            http: HttpClient::new(Connections::Pooled),
            key,
            book: Mutex::new(AddressBook::new(seeds)),
            addresses_path,
        }
    }

    /// Sends a request until it is answered whole; `on_text` gets the text of a streamed
    /// answer as it arrives, each part once.
    ///
    /// # Errors
    /// Where the fleet refuses the request for good or the time is over.
    pub async fn send(
        &self,
        call: &CallerRequest,
        mut on_text: impl FnMut(&str),
    ) -> Result<CallerAnswer, CallerError> {
        let headers = self.headers(call)?;
        let deadline = Instant::now() + call.timeout;
        let mut shown = 0;
        let mut last_refusal = None;
        for tries in 1.. {
            self.refresh_addresses().await;
            let attempt = self.try_once(call, &headers, &mut shown, &mut on_text);
            let ended = tokio::time::timeout_at(deadline, attempt).await;
            let pause = match ended {
                Err(_) => break,
                Ok(Try::Answered(answer)) => return Ok(CallerAnswer { tries, ..answer }),
                Ok(Try::Refused(detail)) if !detail.may_retry_same_id => {
                    return Err(CallerError::Refused(detail));
                }
                Ok(Try::Refused(detail)) => {
                    let pause = detail.retry_after_ms.map_or(RETRY_PAUSE, Duration::from_millis);
                    last_refusal = Some(detail);
                    pause
                }
                Ok(Try::Broken) => RETRY_PAUSE,
            };
            self.lock().skip();
            if Instant::now() + pause >= deadline {
                break;
            }
            tokio::time::sleep(pause).await;
        }
        Err(CallerError::TimedOut(last_refusal))
    }

    /// Asks for the list of addresses where the known one is too old.
    pub async fn refresh_addresses(&self) {
        let (is_stale, sources) = {
            let book = self.lock();
            (book.is_stale(Instant::now()), book.sources())
        };
        if !is_stale {
            return;
        }
        for source in sources {
            if let Some(list) = self.fetch_addresses(source).await {
                self.lock().update(&list, Instant::now());
                return;
            }
        }
    }

    async fn fetch_addresses(&self, source: SocketAddr) -> Option<AddressList> {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let path = &self.addresses_path;
        let res = self
            .http
            .call(source, Method::GET, path, headers, body, ADDRESSES_TIMEOUT)
            .await
            .ok()?;
        let list: AddressList = serde_json::from_slice(res.body()).ok()?;
        (!list.addresses.is_empty()).then_some(list)
    }

    async fn try_once(
        &self,
        call: &CallerRequest,
        headers: &HeaderMap,
        shown: &mut usize,
        on_text: &mut impl FnMut(&str),
    ) -> Try {
        let Some(address) = self.lock().current() else { return Try::Broken };
        let body = call.body.clone();
        let sent = self.http.send(address, Method::POST, &call.path, headers.clone(), body);
        let Ok(res) = sent.await else { return Try::Broken };
        if call.is_stream && res.status() == StatusCode::OK {
            read_stream(res, shown, on_text).await
        } else {
            read_whole(res).await
        }
    }

    fn headers(&self, call: &CallerRequest) -> Result<HeaderMap, CallerError> {
        let value = |text: &str| HeaderValue::from_str(text).map_err(|_| CallerError::BadKey);
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, value(&format!("Bearer {}", self.key.expose()))?);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("idempotency-key", value(call.id.as_str())?);
        Ok(headers)
    }

    fn lock(&self) -> MutexGuard<'_, AddressBook> {
        self.book.lock().expect("no holder of the lock panics")
    }
}

/// Reads a streamed answer. A later try gets the same text from its start, of which
/// `shown` bytes were passed on already.
async fn read_stream(
    mut res: Response<Incoming>,
    shown: &mut usize,
    on_text: &mut impl FnMut(&str),
) -> Try {
    let mut answer = StreamAnswer::default();
    let mut received = 0;
    while let Some(frame) = res.body_mut().frame().await {
        let Ok(frame) = frame else { return Try::Broken };
        let Some(data) = frame.data_ref() else { continue };
        let Some(added) = answer.push(data) else { return Try::Broken };
        let start = shown.saturating_sub(received).min(added.len());
        received += added.len();
        if let Some(text) = added.get(start..).filter(|text| !text.is_empty()) {
            on_text(text);
            *shown = received;
        }
    }
    match answer.finish() {
        Some(Ok((body, usage))) => Try::Answered(CallerAnswer {
            status: StatusCode::OK.as_u16(),
            body,
            billed_tokens: usage.map(|usage| usage.billed_tokens().0),
            tries: 0,
        }),
        Some(Err(detail)) => Try::Refused(detail),
        None => Try::Broken,
    }
}

async fn read_whole(res: Response<Incoming>) -> Try {
    let status = res.status();
    let is_refusal = res.headers().contains_key(ERROR_HEADER);
    let Ok(body) = res.into_body().collect().await else { return Try::Broken };
    let body = body.to_bytes();
    if is_refusal {
        return match serde_json::from_slice::<ErrorAnswer>(&body) {
            Ok(answer) => Try::Refused(answer.error),
            Err(_) => Try::Broken,
        };
    }
    let completion = serde_json::from_slice::<ChatCompletion>(&body).ok();
    let billed_tokens = completion.map(|completion| completion.usage.billed_tokens().0);
    Try::Answered(CallerAnswer { status: status.as_u16(), body, billed_tokens, tries: 0 })
}
