//! Messages of the failure detector.

use prost::Message;

/// Messages of the failure detector.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipMessage {}
