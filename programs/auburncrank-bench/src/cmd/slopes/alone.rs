//! A router without others.

use std::sync::Arc;

use membership::{Member, MemberState, MembershipView};
use protocol::PeerBody;
use router::peers::{PeerHandler, Peers};
use types::{ConfigVersion, FailureDomain, Incarnation, RouterId, RouterName};

/// A router that knows no other.
#[derive(Debug)]
pub(super) struct Alone {
    /// This router alone.
    view: Arc<MembershipView>,
}

impl Alone {
    /// Creates the router.
    pub(super) fn new() -> Alone {
        let name = RouterName::new("router-1").expect("a name");
        let address = ([127, 0, 0, 1], 1).into();
        let local = Member {
            id: RouterId::new(name, Incarnation(1)),
            failure_domain: FailureDomain::new("zlin").expect("a name"),
            caller_address: address,
            peer_address: address,
            state: MemberState::Alive,
            load: 0,
            config_version: ConfigVersion(1),
        };
        Alone { view: Arc::new(MembershipView::from_local(local)) }
    }
}

impl Peers for Alone {
    fn view(&self) -> Arc<MembershipView> {
        self.view.clone()
    }

    fn send(&self, _to: &RouterName, _body: PeerBody) {}

    fn subscribe(&self, _handler: Arc<dyn PeerHandler>) {}

    fn leave(&self) {}
}
