//! Messages and membership of the other routers over TCP.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwap;
use inbound::ConnectionBook;
use membership::{Detector, DetectorSettings, Member, MemberState, MembershipView};
use protocol::PeerBody;
use tokio::{
    runtime::Handle,
    sync::{Notify, mpsc},
};
use types::RouterName;

use super::{
    PeerHandler, Peers,
    inbound::{report_connections, run_listener},
    limits::{INBOX_MAX_MESSAGES, OUTBOX_MAX_MESSAGES},
    send_queue::count_dropped,
    service::PeerService,
};
use crate::{Clock, configuration::ConfigHandle};

/// Settings and dependencies of [`PeerNetwork`].
pub(crate) struct PeerNetworkSettings {
    /// Member entry of this router.
    pub(crate) local: Member,
    /// Peer addresses of some routers, used to join the membership.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Settings of the failure detector.
    pub(crate) detector: DetectorSettings,
    /// Listener on the peer address, in non-blocking mode.
    pub(crate) listener: TcpListener,
    /// Inbound connections of other routers.
    pub(crate) inbound: ConnectionBook,
    /// Clock of the failure detector.
    pub(crate) clock: Clock,
    /// Active configuration, whose version the heartbeats carry.
    pub(crate) cfg: ConfigHandle,
}

/// Peer network over TCP, with a failure detector on the control thread.
pub(crate) struct PeerNetwork {
    /// State shared with the task on the control thread.
    shared: Arc<PeersShared>,
    /// Queue of messages to send.
    outbox: mpsc::Sender<OutboxMessage>,
}

/// Message that a subsystem sends to another router.
pub(super) struct OutboxMessage {
    /// Receiving router.
    pub(super) to: RouterName,
    /// Content of the message.
    pub(super) body: PeerBody,
}

/// State that [`PeerNetwork`] shares with its task on the control thread.
pub(super) struct PeersShared {
    /// Current membership view.
    pub(super) view: ArcSwap<MembershipView>,
    /// Message handlers of the subsystems.
    pub(super) handlers: RwLock<Vec<Arc<dyn PeerHandler>>>,
    /// Whether this router is leaving. Never reset to false.
    pub(super) is_leaving: AtomicBool,
    /// Wakes the task when the router starts to leave.
    pub(super) leave_requested: Notify,
    /// Number of requests in progress on this router.
    pub(super) load: AtomicU32,
    /// Likely peer addresses from the host list; each read of the list replaces all of them.
    pub(super) hints: ArcSwap<Vec<SocketAddr>>,
}

impl PeersShared {
    /// Publishes `view`, with this router marked as leaving if it is shutting down.
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
    /// If the listener cannot be registered with the runtime.
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
            leave_requested: Notify::new(),
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
        control.spawn(report_connections(settings.inbound.clone()));
        control.spawn(run_listener(listener, settings.inbound, inbox));
        control.spawn(service.run(inbox_rx, outbox_rx));
        Ok(PeerNetwork { shared, outbox })
    }

    /// Sets the number of requests in progress, which the heartbeats carry.
    pub(crate) fn set_load(&self, load: usize) {
        self.shared.load.store(u32::try_from(load).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    /// Replaces the likely peer addresses from the host list.
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
        self.shared.leave_requested.notify_one();
    }
}
