//! Authentication of callers.

use config::{Account, ApiKey, Config};
use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, header::AUTHORIZATION};
use types::AccountName;

use super::{HttpContext, request_head::check_size};

/// Finds the client account whose API key the request carries.
///
/// # Errors
/// `Unauthorized`, with the same message for a missing and for a wrong key.
fn authenticate<'a>(
    cfg: &'a Config,
    headers: &HeaderMap,
) -> Result<(&'a AccountName, &'a Account)> {
    let key = bearer_key(headers);
    key.and_then(|key| cfg.find_account(&key))
        .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "a valid API key is needed"))
}

/// Finds the client account of a request that may go on to be read.
///
/// # Errors
/// `Unauthorized`, `HeadersTooLarge`, or `RouterLeaving` where no new requests are taken.
pub(super) fn admit_caller<'a>(
    cx: &HttpContext,
    cfg: &'a Config,
    headers: &HeaderMap,
) -> Result<(&'a AccountName, &'a Account)> {
    let caller = authenticate(cfg, headers)?;
    check_size(headers)?;
    if cx.is_closed() {
        return Err(Error::new(ErrorKind::RouterLeaving, "use another address"));
    }
    Ok(caller)
}

/// Returns the API key of an `Authorization: Bearer` header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<ApiKey> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(ApiKey::new)
}
