//! The task that runs the failure detector and dispatches messages.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use membership::{Action, Detector, MemberState, MembershipView, Message};
use protocol::{Envelope, MembershipMessage, PeerBody};
use tokio::sync::mpsc;
use types::{RouterId, Timestamp};
use utils::Rng;

use super::{
    links::Links,
    network::{OutboxMessage, PeersShared},
    send_queue::count_dropped,
};
use crate::{Clock, configuration::ConfigHandle};

/// Minimum interval between two publications of the membership view.
const PUBLISH_PERIOD: Duration = Duration::from_millis(100);

/// The task that runs the failure detector and dispatches messages.
pub(super) struct PeerService {
    /// Identity of this router.
    id: RouterId,
    /// Peer addresses from the settings, used to join the membership.
    seeds: Vec<SocketAddr>,
    /// Failure detector, which also decides what to send.
    detector: Detector,
    /// Outbound connections.
    links: Links,
    /// State shared with the other threads.
    shared: Arc<PeersShared>,
    /// Active configuration, whose version the heartbeats carry.
    cfg: ConfigHandle,
    /// Clock of the failure detector.
    clock: Clock,
    /// Random number generator of the failure detector.
    rng: Rng,
    /// Earliest time of the next publication of the view.
    next_publish: Timestamp,
    /// Addresses from the host list that the detector already has.
    hints: Arc<Vec<SocketAddr>>,
}

impl PeerService {
    /// Creates the state of the task.
    pub(super) fn new(
        id: RouterId,
        seeds: Vec<SocketAddr>,
        detector: Detector,
        shared: Arc<PeersShared>,
        cfg: ConfigHandle,
        clock: Clock,
    ) -> PeerService {
        PeerService {
            id,
            seeds,
            detector,
            links: Links::default(),
            hints: shared.hints.load_full(),
            shared,
            cfg,
            clock,
            rng: utils::new_rng(),
            next_publish: Timestamp::ZERO,
        }
    }

    /// Runs until the process ends.
    pub(super) async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Envelope>,
        mut outbox: mpsc::Receiver<OutboxMessage>,
    ) {
        let shared = self.shared.clone();
        loop {
            let clock = self.clock;
            let wakeup = self.detector.next_wakeup();
            tokio::select! {
                Some(envelope) = inbox.recv() => self.receive(&envelope),
                Some(message) = outbox.recv() => self.send(message),
                () = shared.leave_requested.notified() => self.leave(),
                () = clock.sleep_until(wakeup) => self.wake_up(),
            }
            self.publish();
        }
    }

    fn wake_up(&mut self) {
        let load = self.shared.load.load(Ordering::Relaxed);
        self.detector.set_load_and_config_version(load, self.cfg.version());
        self.apply_hints();
        let actions = self.detector.on_wakeup(self.clock.now(), &mut self.rng);
        self.execute(actions);
    }

    fn leave(&mut self) {
        let actions = self.detector.leave(&mut self.rng, self.clock.now());
        self.execute(actions);
    }

    fn receive(&mut self, envelope: &Envelope) {
        let (Ok(from), Some(body)) = (envelope.sender(), &envelope.body) else {
            metrics::counter!(telemetry::PEER_MESSAGES_MALFORMED_TOTAL).increment(1);
            return;
        };
        if from == self.id {
            return;
        }
        if let PeerBody::Membership(message) = body {
            self.receive_membership(message);
        }
        let handlers = self.shared.handlers.read().unwrap_or_else(PoisonError::into_inner).clone();
        for handler in handlers {
            handler.on_message(&from, body);
        }
    }

    fn receive_membership(&mut self, message: &MembershipMessage) {
        match Message::try_from(message) {
            Ok(message) => {
                let now = self.clock.now();
                let actions = self.detector.on_message(message, now, &mut self.rng);
                self.execute(actions);
            }
            Err(error) => {
                metrics::counter!(telemetry::PEER_MESSAGES_MALFORMED_TOTAL).increment(1);
                log::warn!("failed to decode a membership message of another router: {error}");
            }
        }
    }

    fn send(&mut self, message: OutboxMessage) {
        let view = self.shared.view.load();
        let Some(member) = view.find(&message.to) else {
            count_dropped("unknown_member", 1);
            return;
        };
        self.links.send(member.peer_address, Envelope::new(&self.id, message.body));
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let body = PeerBody::Membership(MembershipMessage::from(&*message));
                    self.links.send(to, Envelope::new(&self.id, body));
                }
                Action::MemberChanged { id, state } => report_change(&id, state),
            }
        }
    }

    fn apply_hints(&mut self) {
        let hints = self.shared.hints.load_full();
        if Arc::ptr_eq(&hints, &self.hints) {
            return;
        }
        self.detector.set_contacts(self.seeds.iter().chain(hints.iter()).copied().collect());
        self.hints = hints;
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        if now < self.next_publish || !self.detector.take_changed() {
            return;
        }
        self.next_publish = now + PUBLISH_PERIOD;
        let view = self.detector.view();
        report_members(&view);
        let is_superseded = if self.detector.is_superseded() { 1.0 } else { 0.0 };
        metrics::gauge!(telemetry::ROUTER_SUPERSEDED).set(is_superseded);
        self.shared.publish(view);
    }
}

fn report_change(id: &RouterId, state: MemberState) {
    let label = state_label(state);
    metrics::counter!(telemetry::MEMBER_CHANGES_TOTAL, "state" => label).increment(1);
    log::info!(member:% = id; "member is {label}");
}

fn state_label(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn report_members(view: &MembershipView) {
    for state in [MemberState::Alive, MemberState::Suspect, MemberState::Leaving] {
        let count = view.members().filter(|it| it.state == state).count();
        metrics::gauge!(telemetry::MEMBERS, "state" => state_label(state)).set(count as f64);
    }
}
