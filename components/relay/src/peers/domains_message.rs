//! Failure domains that are emptied, in the status messages between routers.

use std::sync::Arc;

use prost::Message;

use crate::domains::DomainsView;

/// The emptied failure domains at one moment of the store. The lists have the same length, and each
/// domain has the same index in both.
#[derive(Clone, PartialEq, Message)]
pub struct DomainsMessage {
    /// Era of the store; zero if it states none.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Revision of the store.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Names of the emptied domains.
    #[prost(string, repeated, tag = "3")]
    pub domains: Vec<String>,
    /// Revisions of the rows by which they were emptied.
    #[prost(uint64, repeated, tag = "4")]
    pub revisions: Vec<u64>,
}

impl DomainsMessage {
    /// Creates a message from a view.
    pub fn from_view(view: &DomainsView) -> DomainsMessage {
        DomainsMessage {
            era: view.era,
            revision: view.revision,
            domains: view.emptied.keys().map(ToString::to_string).collect(),
            revisions: view.emptied.values().copied().collect(),
        }
    }

    /// Converts the message to a view; `None` if the lists differ in length.
    pub fn to_view(&self) -> Option<DomainsView> {
        let domains = self.domains.iter().map(|it| Arc::from(it.as_str()));
        (self.domains.len() == self.revisions.len()).then(|| DomainsView {
            era: self.era,
            revision: self.revision,
            emptied: domains.zip(self.revisions.iter().copied()).collect(),
        })
    }
}
