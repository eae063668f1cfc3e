//! Parameters of calls.

use std::str::FromStr;

use errors::{Error, ErrorKind, Result};
use viz::{Request, RequestExt};

/// Returns the part `name` of the path.
///
/// # Errors
/// `NotFound` where it is malformed: no such resource can exist.
pub(super) fn path_param<T: FromStr>(req: &Request, name: &str) -> Result<T> {
    let text: Option<String> = req.param(name).ok();
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| Error::new(ErrorKind::NotFound, "there is no such resource"))
}

/// Returns the parameter `name` of the query, if it is given.
///
/// # Errors
/// `BadRequest` where it is malformed.
pub(super) fn query_param<T: FromStr>(req: &Request, name: &str) -> Result<Option<T>> {
    let pairs = req.uri().query().unwrap_or_default().split('&');
    let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    let Some((_, text)) = value else { return Ok(None) };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(Error::new(ErrorKind::BadRequest, format!("{name}: cannot be read"))),
    }
}
