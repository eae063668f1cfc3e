//! Authentication of callers.

use config::{Account, ApiKey, Config};
use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, header::AUTHORIZATION};
use types::AccountName;

/// Finds the client account whose API key the request carries.
///
/// # Errors
/// `Unauthorized`, with the same message for a missing and for a wrong key.
pub(super) fn authenticate<'a>(
    cfg: &'a Config,
    headers: &HeaderMap,
) -> Result<(&'a AccountName, &'a Account)> {
    let key = bearer_key(headers);
    key.and_then(|key| cfg.find_account(&key))
        .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "a valid API key is needed"))
}

/// Returns the API key of an `Authorization: Bearer` header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<ApiKey> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(ApiKey::new)
}
