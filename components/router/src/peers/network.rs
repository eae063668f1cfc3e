//! The other routers over TCP.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwap;
use membership::{Detector, DetectorSettings, Member, MemberState, MembershipView};
use protocol::PeerBody;
use tokio::{
    runtime::Handle,
    sync::{Notify, mpsc},
};
use types::RouterName;

use super::{
    PeerHandler, Peers,
    inbound::run_listener,
    limits::{INBOX_MAX_MESSAGES, OUTBOX_MAX_MESSAGES},
    send_queue::count_dropped,
    service::PeerService,
};
use crate::{Clock, configuration::ConfigHandle};

/// What [`PeerNetwork`] needs to start.
pub(crate) struct PeerNetworkSettings {
    /// This router.
    pub(crate) local: Member,
    /// Peer addresses of some other routers.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Settings of the failure detector.
    pub(crate) detector: DetectorSettings,
    /// Listener at the peer address; does not block.
    pub(crate) listener: TcpListener,
    /// Clock.
    pub(crate) clock: Clock,
    /// Configuration in force, whose version the others are told.
    pub(crate) cfg: ConfigHandle,
}

/// The other routers over TCP, with a failure detector on the control thread.
pub(crate) struct PeerNetwork {
    /// What it shares with its task on the control thread.
    shared: Arc<PeersShared>,
    /// Messages to send.
    outbox: mpsc::Sender<OutboxMessage>,
}

/// Message that a subsystem hands over.
pub(super) struct OutboxMessage {
    /// Receiver.
    pub(super) to: RouterName,
    /// The message.
    pub(super) body: PeerBody,
}

/// What [`PeerNetwork`] shares with its task on the control thread.
pub(super) struct PeersShared {
    /// Present membership.
    pub(super) view: ArcSwap<MembershipView>,
    /// Handlers of messages.
    pub(super) handlers: RwLock<Vec<Arc<dyn PeerHandler>>>,
    /// Whether this router is leaving. Never reset.
    pub(super) is_leaving: AtomicBool,
    /// Wakes the task when the router begins to leave.
    pub(super) left: Notify,
    /// Requests in progress on this router.
    pub(super) load: AtomicU32,
    /// Peer addresses from the host list; replaced as a whole.
    pub(super) hints: ArcSwap<Vec<SocketAddr>>,
}

impl PeersShared {
    /// Publishes `view`, with this router leaving if it is.
    pub(super) fn publish(&self, mut view: MembershipView) {
        if self.is_leaving.load(Ordering::SeqCst) {
            view.local.state = MemberState::Leaving;
        }
        self.view.store(Arc::new(view));
    }
}

impl PeerNetwork {
    /// Starts the tasks on the control thread.
    ///
    /// # Errors
    /// Where the runtime does not take over the listener.
    pub(crate) fn start(
        settings: PeerNetworkSettings,
        control: &Handle,
    ) -> std::io::Result<PeerNetwork> {
        let _guard = control.enter();
        let listener = tokio::net::TcpListener::from_std(settings.listener)?;
        let (inbox, inbox_rx) = mpsc::channel(INBOX_MAX_MESSAGES);
        let (outbox, outbox_rx) = mpsc::channel(OUTBOX_MAX_MESSAGES);
        let shared = Arc::new(PeersShared {
            view: ArcSwap::from_pointee(MembershipView::from_local(settings.local.clone())),
            handlers: RwLock::default(),
            is_leaving: AtomicBool::new(false),
            left: Notify::new(),
            load: AtomicU32::new(0),
            hints: ArcSwap::default(),
        });
        let clock = settings.clock;
        let detector =
            Detector::new(settings.detector, &settings.local, settings.seeds.clone(), clock.now());
        let service = PeerService::new(
            settings.local.id,
            settings.seeds,
            detector,
            shared.clone(),
            settings.cfg,
            clock,
        );
        control.spawn(run_listener(listener, inbox));
        control.spawn(service.run(inbox_rx, outbox_rx));
        Ok(PeerNetwork { shared, outbox })
    }

    /// Sets the requests in progress, which the others are told.
    pub(crate) fn set_load(&self, load: usize) {
        self.shared.load.store(u32::try_from(load).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    /// Replaces the peer addresses at which the host list makes routers likely.
    pub(crate) fn set_hints(&self, hints: Vec<SocketAddr>) {
        self.shared.hints.store(Arc::new(hints));
    }
}

impl Peers for PeerNetwork {
    fn view(&self) -> Arc<MembershipView> {
        self.shared.view.load_full()
    }

    fn send(&self, to: &RouterName, body: PeerBody) {
        let message = OutboxMessage { to: to.clone(), body };
        if self.outbox.try_send(message).is_err() {
            count_dropped("outbox_full", 1);
        }
    }

    fn subscribe(&self, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self.shared.handlers.write().unwrap_or_else(PoisonError::into_inner);
        handlers.push(handler);
    }

    fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
        self.shared.view.rcu(|view| {
            let mut view = MembershipView::clone(view);
            view.local.state = MemberState::Leaving;
            view
        });
        self.shared.left.notify_one();
    }
}
