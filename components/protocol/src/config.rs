//! Messages that spread accepted configurations.

use prost::Message;

/// Messages that spread accepted configurations.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigMessage {}
