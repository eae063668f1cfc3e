//! Messages about request ids: who runs a request, kept answers.

use prost::Message;

/// Messages about request ids: who runs a request, kept answers.
#[derive(Clone, PartialEq, Message)]
pub struct RequestsMessage {}
