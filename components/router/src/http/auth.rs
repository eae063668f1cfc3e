//! Authentication of callers.

use config::{Account, ApiKey, Config};
use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, header::AUTHORIZATION};
use types::AccountName;

use super::{HttpContext, request_head::check_header_size};

/// Returns the client account that the request's API key belongs to.
///
/// # Errors
/// `Unauthorized`, with the same message for a missing and an invalid key.
fn authenticate<'a>(
    cfg: &'a Config,
    headers: &HeaderMap,
) -> Result<(&'a AccountName, &'a Account)> {
    let key = bearer_key(headers);
    key.and_then(|key| cfg.find_account(&key)).ok_or_else(|| {
        Error::new(
            ErrorKind::Unauthorized,
            "missing or invalid API key in the Authorization header",
        )
    })
}

/// Authenticates the caller and checks that the request may be processed, before its body
/// is read.
///
/// # Errors
/// `Unauthorized`, `HeadersTooLarge`, or `RouterLeaving` if the router no longer accepts new
/// requests.
pub(super) fn admit_caller<'a>(
    cx: &HttpContext,
    cfg: &'a Config,
    headers: &HeaderMap,
) -> Result<(&'a AccountName, &'a Account)> {
    let caller = authenticate(cfg, headers)?;
    check_header_size(headers)?;
    if cx.is_draining() {
        return Err(Error::new(
            ErrorKind::RouterLeaving,
            "the router is shutting down; send the request to another router",
        ));
    }
    Ok(caller)
}

/// Returns the API key of an `Authorization: Bearer` header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<ApiKey> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(ApiKey::new)
}
