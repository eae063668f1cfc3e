//! The envelope of every message between routers.

use prost::{Message, Oneof};
use types::{Incarnation, NameError, RouterId, RouterName};

use crate::{BudgetMessage, ConfigMessage, MembershipMessage, RequestsMessage, RoutingMessage};

/// One message between routers, with the identity of its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sending router.
    #[prost(string, tag = "1")]
    pub from_name: String,
    /// Incarnation of the sending router.
    #[prost(uint64, tag = "2")]
    pub from_incarnation: u64,
    /// Message of one of the subsystems; absent where a newer version sent another.
    #[prost(oneof = "PeerBody", tags = "3, 4, 5, 6, 7")]
    pub body: Option<PeerBody>,
}

/// Message of one of the subsystems.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Failure detector.
    #[prost(message, tag = "3")]
    Membership(MembershipMessage),
    /// Budgets.
    #[prost(message, tag = "4")]
    Budget(BudgetMessage),
    /// Request ids.
    #[prost(message, tag = "5")]
    Requests(RequestsMessage),
    /// Configuration.
    #[prost(message, tag = "6")]
    Config(ConfigMessage),
    /// Choice of endpoints.
    #[prost(message, tag = "7")]
    Routing(RoutingMessage),
}

impl Envelope {
    /// Creates an envelope from router `from`.
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
    /// Where the sender's name is not a router name.
    pub fn sender(&self) -> Result<RouterId, NameError> {
        let name = RouterName::new(&self.from_name)?;
        Ok(RouterId::new(name, Incarnation(self.from_incarnation)))
    }
}
