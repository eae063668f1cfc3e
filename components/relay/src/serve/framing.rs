//! Checks on the framing of requests, and removal of hop-by-hop headers.

use errors::{Error, ErrorKind};
use http::{
    Extensions, HeaderMap, HeaderName, Version,
    header::{
        CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    response,
};

/// Hop-by-hop headers: they apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers, including those that the `connection` header names.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Bytes of a header line in addition to name and value: colon, space and line end.
const LINE_OVERHEAD_BYTES: usize = 4;

/// Returns the head of an endpoint's answer for the caller, without hop-by-hop headers and
/// without a length; this router frames the answer itself.
pub(super) fn response_head_for_caller(mut head: response::Parts) -> response::Parts {
    remove_hop_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    head.version = Version::HTTP_11;
    head.extensions = Extensions::new();
    head
}

/// Checks that the length of the body is unambiguous. If a request has both `content-length` and a
/// chunked body, the HTTP library reads the chunks and closes the connection after the answer
/// (RFC 9112, section 6.3); this router frames requests to endpoints itself.
///
/// # Errors
/// Returns an error if the length is given more than once, or the transfer encoding is unknown.
/// The library refuses most such requests itself.
pub(super) fn check_framing(headers: &HeaderMap) -> Result<(), Error> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_known = match (encodings.next(), encodings.next()) {
        (None, _) => true,
        (Some(only), None) => only.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    if lengths > 1 || !is_known {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "the length of the request body is ambiguous",
        ));
    }
    Ok(())
}

/// Returns the approximate length of a request head on the wire, in bytes.
pub(super) fn head_bytes(head: &http::request::Parts) -> usize {
    let headers = head.headers.iter();
    let lines: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES).sum();
    lines + head.uri.path_and_query().map_or(0, |it| it.as_str().len())
}
