//! One endpoint as the router sees it.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::HashMap;

use super::{health::Health, load::Load};
use crate::model::EndpointEntry;

/// Age above which what another router said of its load no longer counts.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_millis(3_000);

/// One endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// Its latest entry.
    pub(super) entry: EndpointEntry,
    /// Load of this router's requests.
    pub(super) own: Load,
    /// Load of other routers' requests, with the time at which they said so.
    pub(super) peers: HashMap<Arc<str>, (Load, Timestamp)>,
    /// Health.
    pub(super) health: Health,
    /// When it is taken to be gone, where its entry vanished while the list was not
    /// reliable.
    pub(super) gone_at: Option<Timestamp>,
}

impl Endpoint {
    /// Creates an endpoint without load.
    pub(super) fn new(entry: EndpointEntry) -> Endpoint {
        Endpoint {
            entry,
            own: Load::default(),
            peers: HashMap::default(),
            health: Health::default(),
            gone_at: None,
        }
    }

    /// Returns the load of all routers.
    pub(super) fn total_load(&self, now: Timestamp) -> Load {
        let mut total = self.own;
        for (load, said_at) in self.peers.values() {
            if now.since(*said_at) <= PEER_LOAD_MAX_AGE {
                total.add(*load);
            }
        }
        total
    }
}
