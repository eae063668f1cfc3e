//! The membership of a simulated fleet.

use std::{net::SocketAddr, sync::Arc};

use membership::{Member, MemberState, MembershipView};
use protocol::PeerBody;
use router::peers::{PeerHandler, Peers};
use types::{ConfigVersion, FailureDomain, Incarnation, RouterId, RouterName};

/// The membership of a simulated fleet, all of it alive. Carries no messages.
pub(super) struct FleetPeers {
    /// The view of one of its routers.
    view: Arc<MembershipView>,
}

impl FleetPeers {
    /// Creates the membership of `routers` routers as router `local` sees it.
    pub(super) fn new(routers: usize, local: usize) -> FleetPeers {
        let others = (0..routers).filter(|&number| number != local).map(member);
        let view = MembershipView { local: member(local), others: others.collect() };
        FleetPeers { view: Arc::new(view) }
    }
}

impl Peers for FleetPeers {
    fn view(&self) -> Arc<MembershipView> {
        self.view.clone()
    }

    fn send(&self, _to: &RouterName, _body: PeerBody) {}

    fn subscribe(&self, _handler: Arc<dyn PeerHandler>) {}

    fn leave(&self) {}
}

fn member(number: usize) -> Member {
    let name = RouterName::new(&format!("router-{number}")).expect("a name");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: RouterId::new(name, Incarnation(1)),
        failure_domain: FailureDomain::new("zlin").expect("a name"),
        caller_address: address,
        peer_address: address,
        state: MemberState::Alive,
        load: 0,
        config_version: ConfigVersion(0),
    }
}
