//! Reads the bodies of requests.

use std::fmt::Display;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

use super::{BodyBook, BodyLoss, HeldBody};

/// Error when a body is read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than its limit.
    #[error("the request body exceeds the limit")]
    TooLarge,
    /// The body is malformed, or its connection broke.
    #[error("failed to read the request body: {0}")]
    Malformed(String),
    /// The body is not held any longer.
    #[error("{0}")]
    Lost(#[from] BodyLoss),
}

/// Reads a body of at most `max_bytes` that counts in `book`.
///
/// # Errors
/// Returns an error if the body is longer, malformed, or given up.
pub async fn read_body<B>(body: B, max_bytes: usize, book: &BodyBook) -> Result<HeldBody, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let read = read_counted(body, max_bytes, book).await;
    if let Err(BodyError::Lost(loss)) = &read {
        book.count_lost(*loss);
    }
    read
}

async fn read_counted<B>(
    mut body: B,
    max_bytes: usize,
    book: &BodyBook,
) -> Result<HeldBody, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let announced = announced_length(&body, max_bytes)?;
    let Some(first) = next_part(&mut body).await? else { return Ok(HeldBody::empty()) };
    if announced == Some(first.len()) {
        return Ok(book.hold(first)?);
    }
    let arriving = book.begin();
    let expected_max = announced.unwrap_or(max_bytes);
    let mut part = first;
    let mut length = 0;
    loop {
        length += part.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        arriving.push(&part, expected_max)?;
        drop(part);
        let next = tokio::select! {
            next = next_part(&mut body) => next?,
            loss = arriving.given_up() => return Err(loss.into()),
        };
        match next {
            Some(next) => part = next,
            None => return Ok(arriving.finish()?),
        }
    }
}

/// Reads a body of at most `max_bytes` without holding it.
///
/// # Errors
/// Returns an error if the body is longer or malformed.
pub async fn discard_body<B>(mut body: B, max_bytes: usize) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    announced_length(&body, max_bytes)?;
    let mut length = 0;
    while let Some(part) = next_part(&mut body).await? {
        length += part.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(())
}

/// Returns the length that is announced for a body, if one is.
fn announced_length<B: Body>(body: &B, max_bytes: usize) -> Result<Option<usize>, BodyError> {
    let Some(announced) = body.size_hint().exact() else { return Ok(None) };
    match usize::try_from(announced) {
        Ok(announced) if announced <= max_bytes => Ok(Some(announced)),
        _ => Err(BodyError::TooLarge),
    }
}

/// Returns the next part of a body that is not empty; `None` at its end.
async fn next_part<B>(body: &mut B) -> Result<Option<Bytes>, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Malformed(error.to_string()))?;
        if let Ok(data) = frame.into_data()
            && !data.is_empty()
        {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
