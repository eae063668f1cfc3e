//! Reads request bodies.

use std::sync::Arc;

use errors::{Error, ErrorKind, Result};
use inbound::{BodyBook, BodyError, BodyLimits, HeldBody, RequestInProgress};
use viz::Request;

use crate::HttpLimits;

/// Reads the bodies of all requests within the limits. Clones share their state.
#[derive(Clone)]
pub(crate) struct BodyReader {
    limits: HttpLimits,
    /// Memory of all bodies.
    book: BodyBook,
}

impl BodyReader {
    /// Creates the reader of a process.
    pub(crate) fn new(limits: HttpLimits) -> BodyReader {
        let book = BodyBook::new(BodyLimits::for_memory(Some(limits.memory_max_bytes)));
        BodyReader { limits, book }
    }

    /// Updates the metrics of the bodies.
    pub(super) fn report(&self) {
        self.book.report();
    }

    /// Reads the complete body of a request whose caller is known.
    ///
    /// # Errors
    /// `BodyTooLarge`, `SlowSender`, `Overloaded` if there is no memory for it, or `BadRequest` if the
    /// connection failed.
    pub(crate) async fn read(&self, req: &mut Request) -> Result<HeldBody> {
        self.read_up_to(req, self.limits.body_max_bytes).await
    }

    /// Reads the complete body of a request that has a limit of its own.
    ///
    /// # Errors
    /// Like [`read`](Self::read).
    pub(crate) async fn read_up_to(
        &self,
        req: &mut Request,
        body_max_bytes: usize,
    ) -> Result<HeldBody> {
        let body_timeout = self.limits.body_timeout;
        let progress = req.extensions().get::<Arc<RequestInProgress>>().cloned();
        if let Some(progress) = &progress {
            progress.accept();
        }
        let body = std::mem::take(req.body_mut());
        let read = inbound::read_body(body, body_max_bytes, &self.book);
        let read = tokio::time::timeout(body_timeout, read).await.map_err(|_| {
            let message = format!("the request body was not received within {body_timeout:?}");
            Error::new(ErrorKind::SlowSender, message)
        })?;
        if let Some(progress) = &progress {
            progress.serve();
        }
        read.map_err(|error| match error {
            BodyError::TooLarge => {
                let message = format!("the request body is larger than {body_max_bytes} bytes");
                Error::new(ErrorKind::BodyTooLarge, message)
            }
            BodyError::Malformed(_) => Error::new(
                ErrorKind::BadRequest,
                "the connection failed before the request body was complete",
            ),
            BodyError::Lost(_) => Error::new(ErrorKind::Overloaded, error.to_string()),
        })
    }
}
