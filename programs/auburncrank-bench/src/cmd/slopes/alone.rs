//! Peer network of a fleet with a single router.

use std::sync::Arc;

use membership::{Member, MemberState, MembershipView};
use protocol::PeerBody;
use router::peers::{PeerHandler, Peers};
use types::{ConfigVersion, FailureDomain, Incarnation, RouterId, RouterName};

/// Peer network of the only router of a fleet: messages to peers are dropped.
#[derive(Debug)]
pub(super) struct NoPeers {
    /// Membership view that holds only the local router.
    view: Arc<MembershipView>,
}

impl NoPeers {
    /// Creates the peer network of `router-1`.
    pub(super) fn new() -> NoPeers {
        let name = RouterName::new("router-1").expect("a valid name");
        let address = ([127, 0, 0, 1], 1).into();
        let local = Member {
            id: RouterId::new(name, Incarnation(1)),
            failure_domain: FailureDomain::new("zlin").expect("a valid name"),
            caller_address: address,
            peer_address: address,
            state: MemberState::Alive,
            load: 0,
            config_version: ConfigVersion(1),
        };
        NoPeers { view: Arc::new(MembershipView::from_local(local)) }
    }
}

impl Peers for NoPeers {
    fn view(&self) -> Arc<MembershipView> {
        self.view.clone()
    }

    fn send(&self, _to: &RouterName, _body: PeerBody) {}

    fn subscribe(&self, _handler: Arc<dyn PeerHandler>) {}

    fn leave(&self) {}
}
