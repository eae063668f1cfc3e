//! A router without others.

use std::sync::Arc;

use arc_swap::ArcSwap;
use membership::{Member, MemberState, MembershipView};
use protocol::PeerBody;
use types::RouterName;

use super::{PeerHandler, Peers};

/// A router that knows no other.
pub struct AloneRouter {
    /// This router.
    view: ArcSwap<MembershipView>,
}

impl AloneRouter {
    /// Creates the membership of `local` alone.
    pub fn new(local: Member) -> AloneRouter {
        AloneRouter { view: ArcSwap::from_pointee(MembershipView::from_local(local)) }
    }
}

impl Peers for AloneRouter {
    fn view(&self) -> Arc<MembershipView> {
        self.view.load_full()
    }

    fn send(&self, _to: &RouterName, _body: PeerBody) {}

    fn subscribe(&self, _handler: Arc<dyn PeerHandler>) {}

    fn leave(&self) {
        let mut view = MembershipView::clone(&self.view.load());
        view.local.state = MemberState::Leaving;
        self.view.store(Arc::new(view));
    }
}
