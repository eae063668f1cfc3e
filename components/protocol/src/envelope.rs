//! The envelope of all messages between routers.

use prost::{Message, Oneof};
use types::{Incarnation, NameError, RouterId, RouterName};

use crate::{BudgetMessage, ConfigMessage, MembershipMessage, RequestsMessage, RoutingMessage};

/// A message between routers with the identity of its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sending router.
    #[prost(string, tag = "1")]
    pub from_name: String,
    /// Incarnation of the sending router.
    #[prost(uint64, tag = "2")]
    pub from_incarnation: u64,
    /// The message; `None` if a newer version sent one of a subsystem unknown to this version.
    #[prost(oneof = "PeerBody", tags = "3, 4, 5, 6, 7")]
    pub body: Option<PeerBody>,
}

/// Message of a subsystem.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Message of the failure detector.
    #[prost(message, tag = "3")]
    Membership(MembershipMessage),
    /// Message about budgets.
    #[prost(message, tag = "4")]
    Budget(BudgetMessage),
    /// Message about request ids.
    #[prost(message, tag = "5")]
    Requests(RequestsMessage),
    /// Message of the configuration exchange.
    #[prost(message, tag = "6")]
    Config(ConfigMessage),
    /// Message about request contents that crash endpoints.
    #[prost(message, tag = "7")]
    Routing(RoutingMessage),
}

impl Envelope {
    /// Creates an envelope for a message sent by `from`.
    pub fn new(from: &RouterId, body: PeerBody) -> Envelope {
        Envelope {
            from_name: from.name.to_string(),
            from_incarnation: from.incarnation.0,
            body: Some(body),
        }
    }

    /// Returns the identity of the sender.
    ///
    /// # Errors
    /// If the sender's name is not a valid router name.
    pub fn sender(&self) -> Result<RouterId, NameError> {
        let name = RouterName::new(&self.from_name)?;
        Ok(RouterId::new(name, Incarnation(self.from_incarnation)))
    }
}
