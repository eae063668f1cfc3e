//! The task that spreads configurations.

use std::{sync::Arc, time::Duration};

use config::Config;
use protocol::{ConfigAnswer, ConfigKind, ConfigMessage, ConfigRequest, PeerBody};
use rand::seq::IteratorRandom as _;
use tokio::{runtime::Handle, sync::mpsc, time::Instant};
use types::{ConfigVersion, RouterId, RouterName};
use utils::Rng;

use super::{
    exchange::{create_answer, read_answer},
    history::ConfigHistory,
};
use crate::{
    configuration::ConfigHandle,
    peers::{PeerHandler, Peers},
};

/// Interval at which new versions are announced and higher ones requested.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of rounds in which a new version is announced.
const ANNOUNCE_ROUNDS: usize = 4;

/// Number of routers that receive the announcement in each round.
const ANNOUNCE_FANOUT: usize = 3;

/// Time to wait for the answer to a request before the next request is sent.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time since the last confirmation by the table after which the active version counts as
/// unconfirmed.
pub(crate) const CONFIRMATION_MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum number of messages waiting for the task.
const INBOX_MAX_MESSAGES: usize = 256;

/// Starts the task that spreads configurations. It runs until `peers` drops its handler.
pub fn start_config_spread(cfg: ConfigHandle, peers: Arc<dyn Peers>, rng: Rng, control: &Handle) {
    let (inbox, inbox_rx) = mpsc::channel(INBOX_MAX_MESSAGES);
    peers.subscribe(Arc::new(ConfigInbox { inbox }));
    let spreader = Spreader {
        cfg,
        peers,
        history: ConfigHistory::default(),
        announced: ConfigVersion(0),
        rounds_left: 0,
        newer_peer: None,
        request_sent_at: None,
        requests_full: false,
        rng,
    };
    control.spawn(spreader.run(inbox_rx));
}

/// Forwards configuration messages to the task.
struct ConfigInbox {
    inbox: mpsc::Sender<(RouterId, ConfigKind)>,
}

impl PeerHandler for ConfigInbox {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        if let PeerBody::Config(ConfigMessage { kind: Some(kind) }) = body {
            // A full inbox drops the message, which the protocol tolerates like a loss in the
            // network.
            let _ = self.inbox.try_send((from.clone(), kind.clone()));
        }
    }
}

/// Version that is active on another router.
struct PeerVersion {
    /// Announced version.
    version: ConfigVersion,
    /// Router that announced it.
    router: RouterName,
}

/// State of the task.
struct Spreader {
    /// Active configuration.
    cfg: ConfigHandle,
    /// Membership and messages of the other routers.
    peers: Arc<dyn Peers>,
    /// Changes between the recently active versions.
    history: ConfigHistory,
    /// Latest version that was recorded for announcement.
    announced: ConfigVersion,
    /// Remaining rounds of announcements.
    rounds_left: usize,
    /// Highest version that another router has announced since the last request.
    newer_peer: Option<PeerVersion>,
    /// When the last request was sent; `None` once it is answered.
    request_sent_at: Option<Instant>,
    /// Whether the next request asks for the full configuration, because an answer was rejected.
    requests_full: bool,
    /// Selects the routers for announcements and requests.
    rng: Rng,
}

impl Spreader {
    async fn run(mut self, mut inbox: mpsc::Receiver<(RouterId, ConfigKind)>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some((from, kind)) => self.receive(&from, kind),
                    None => return,
                },
                _ = ticks.tick() => {
                    self.announce();
                    self.report();
                }
            }
            self.request_newer_version();
        }
    }

    fn receive(&mut self, from: &RouterId, kind: ConfigKind) {
        match kind {
            ConfigKind::Announce(version) => {
                let version = ConfigVersion(version);
                if self.newer_peer.as_ref().is_none_or(|it| it.version < version) {
                    self.newer_peer = Some(PeerVersion { version, router: from.name.clone() });
                }
            }
            ConfigKind::Request(req) => self.answer(from, ConfigVersion(req.base)),
            ConfigKind::Answer(answer) => self.receive_answer(from, &answer),
        }
    }

    fn answer(&mut self, to: &RouterId, base: ConfigVersion) {
        self.record_version();
        let current = self.cfg.load_full();
        if current.version <= base {
            return;
        }
        match create_answer(&current, base, &self.history) {
            Ok(answer) => self.send(&to.name, ConfigKind::Answer(answer)),
            Err(error) => {
                count_result("not_sent");
                log::warn!("failed to send the configuration to another router: {error}");
            }
        }
    }

    fn receive_answer(&mut self, from: &RouterId, answer: &ConfigAnswer) {
        self.request_sent_at = None;
        let current = self.cfg.load_full();
        if ConfigVersion(answer.version) <= current.version {
            return;
        }
        match read_answer(answer, &current) {
            Ok(cfg) => self.apply_config(cfg),
            Err(error) => {
                self.requests_full = true;
                // The next request goes to a router whose heartbeats show a higher version.
                self.newer_peer = None;
                count_result("rejected");
                log::warn!(from:% = from; "rejected the configuration of another router: {error}");
            }
        }
    }

    fn apply_config(&mut self, cfg: Config) {
        self.requests_full = false;
        if self.cfg.advance(cfg) {
            count_result("taken");
            self.announce();
        }
    }

    /// Sends one round of announcements of the active version, up to [`ANNOUNCE_ROUNDS`] per
    /// version.
    fn announce(&mut self) {
        self.record_version();
        if self.rounds_left == 0 {
            return;
        }
        self.rounds_left -= 1;
        let view = self.peers.view();
        for member in view.others.iter().choose_multiple(&mut self.rng, ANNOUNCE_FANOUT) {
            self.send(&member.id.name, ConfigKind::Announce(self.announced.0));
        }
    }

    /// Records the active version for announcement, if it is new.
    fn record_version(&mut self) {
        let current = self.cfg.load_full();
        if current.version > self.announced {
            self.announced = current.version;
            self.rounds_left = ANNOUNCE_ROUNDS;
            self.history.push(current);
        }
    }

    /// Requests a higher version from a router that has one.
    fn request_newer_version(&mut self) {
        if self.request_sent_at.is_some_and(|sent| sent.elapsed() < REQUEST_TIMEOUT) {
            return;
        }
        let current = self.cfg.version();
        let newer_peer = self.newer_peer.take().filter(|it| it.version > current);
        let Some(router) = newer_peer.map(|it| it.router).or_else(|| self.pick_newer_peer(current))
        else {
            return;
        };
        let base = if self.requests_full { ConfigVersion(0) } else { current };
        self.request_sent_at = Some(Instant::now());
        self.send(&router, ConfigKind::Request(ConfigRequest { base: base.0 }));
    }

    /// Selects a random router whose heartbeats show a higher version than `current`.
    fn pick_newer_peer(&mut self, current: ConfigVersion) -> Option<RouterName> {
        let view = self.peers.view();
        let newer = view.others.iter().filter(|it| it.config_version > current);
        newer.choose(&mut self.rng).map(|it| it.id.name.clone())
    }

    fn report(&self) {
        let is_confirmed = self.cfg.confirmed_age().is_some_and(|age| age < CONFIRMATION_MAX_AGE);
        let value = if is_confirmed { 1.0 } else { 0.0 };
        metrics::gauge!(telemetry::CONFIG_CONFIRMED).set(value);
    }

    fn send(&self, to: &RouterName, kind: ConfigKind) {
        self.peers.send(to, PeerBody::Config(ConfigMessage { kind: Some(kind) }));
    }
}

fn count_result(result: &'static str) {
    metrics::counter!(telemetry::CONFIG_SPREAD_TOTAL, "result" => result).increment(1);
}
