//! Path and query parameters.

use std::str::FromStr;

use errors::{Error, ErrorKind, Result};
use viz::{Request, RequestExt};

/// Returns the path parameter `name`.
///
/// # Errors
/// `NotFound` if it is malformed, because no such resource can exist.
pub(super) fn path_param<T: FromStr>(req: &Request, name: &str) -> Result<T> {
    let text: Option<String> = req.param(name).ok();
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| Error::new(ErrorKind::NotFound, "no such resource"))
}

/// Returns the query parameter `name`, if present.
///
/// # Errors
/// `BadRequest` if it is malformed.
pub(super) fn query_param<T: FromStr>(req: &Request, name: &str) -> Result<Option<T>> {
    let pairs = req.uri().query().unwrap_or_default().split('&');
    let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    let Some((_, text)) = value else { return Ok(None) };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(Error::new(ErrorKind::BadRequest, format!("{name}: invalid value"))),
    }
}
