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

/// Time between two looks at the versions.
const TICK: Duration = Duration::from_millis(100);

/// Rounds in which a new version is announced.
const ANNOUNCE_ROUNDS: usize = 4;

/// Routers that are told in each round.
const ANNOUNCE_FANOUT: usize = 3;

/// Time for the answer to a request, before another router is asked.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time since the last confirmation by the table from which on the version in force
/// counts as not confirmed.
pub(crate) const CONFIRMED_SPAN: Duration = Duration::from_secs(60);

/// Most messages that wait for the task.
const INBOX_MESSAGES: usize = 256;

/// Starts the task that spreads configurations; it runs as long as `peers` delivers.
pub fn start_config_spread(cfg: ConfigHandle, peers: Arc<dyn Peers>, rng: Rng, control: &Handle) {
    let (inbox, inbox_rx) = mpsc::channel(INBOX_MESSAGES);
    peers.subscribe(Arc::new(ConfigInbox { inbox }));
    let spreader = Spreader {
        cfg,
        peers,
        history: ConfigHistory::default(),
        announced: ConfigVersion(0),
        rounds_left: 0,
        heard: None,
        request: None,
        asks_whole: false,
        rng,
    };
    control.spawn(spreader.run(inbox_rx));
}

/// Passes messages to the task.
struct ConfigInbox {
    inbox: mpsc::Sender<(RouterId, ConfigKind)>,
}

impl PeerHandler for ConfigInbox {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        if let PeerBody::Config(ConfigMessage { kind: Some(kind) }) = body {
            // A full inbox loses messages as the network does.
            let _ = self.inbox.try_send((from.clone(), kind.clone()));
        }
    }
}

/// A version that another router has in force.
struct Heard {
    /// The version.
    version: ConfigVersion,
    /// The router.
    router: RouterName,
}

/// State of the task.
struct Spreader {
    /// Configuration in force.
    cfg: ConfigHandle,
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// Changes between the versions that were in force lately.
    history: ConfigHistory,
    /// Latest version that is or was announced.
    announced: ConfigVersion,
    /// Rounds of announcements that are left.
    rounds_left: usize,
    /// Highest version that was announced by another.
    heard: Option<Heard>,
    /// When the last request was sent, while its answer may come.
    request: Option<Instant>,
    /// Whether the next request is for the whole, since changes did not fit.
    asks_whole: bool,
    /// Random numbers.
    rng: Rng,
}

impl Spreader {
    async fn run(mut self, mut inbox: mpsc::Receiver<(RouterId, ConfigKind)>) {
        let mut ticks = tokio::time::interval(TICK);
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
            self.request_higher();
        }
    }

    fn receive(&mut self, from: &RouterId, kind: ConfigKind) {
        match kind {
            ConfigKind::Announce(version) => {
                let version = ConfigVersion(version);
                if self.heard.as_ref().is_none_or(|it| it.version < version) {
                    self.heard = Some(Heard { version, router: from.name.clone() });
                }
            }
            ConfigKind::Request(req) => self.answer(from, ConfigVersion(req.base)),
            ConfigKind::Answer(answer) => self.take(from, &answer),
        }
    }

    fn answer(&mut self, to: &RouterId, base: ConfigVersion) {
        self.note_version();
        let current = self.cfg.load_full();
        if current.version <= base {
            return;
        }
        match create_answer(&current, base, &self.history) {
            Ok(answer) => self.send(&to.name, ConfigKind::Answer(answer)),
            Err(error) => {
                count("not_sent");
                log::warn!("configuration not passed on: {error}");
            }
        }
    }

    fn take(&mut self, from: &RouterId, answer: &ConfigAnswer) {
        self.request = None;
        let current = self.cfg.load_full();
        if ConfigVersion(answer.version) <= current.version {
            return;
        }
        match read_answer(answer, &current) {
            Ok(cfg) => self.take_config(cfg),
            Err(error) => {
                self.asks_whole = true;
                // The next request goes to whichever router the heartbeats name.
                self.heard = None;
                count("rejected");
                log::warn!(from:% = from; "configuration of another router not taken: {error}");
            }
        }
    }

    fn take_config(&mut self, cfg: Config) {
        self.asks_whole = false;
        if self.cfg.advance(cfg) {
            count("taken");
            self.announce();
        }
    }

    /// Announces a new version in some rounds.
    fn announce(&mut self) {
        self.note_version();
        if self.rounds_left == 0 {
            return;
        }
        self.rounds_left -= 1;
        let view = self.peers.view();
        for member in view.others.iter().choose_multiple(&mut self.rng, ANNOUNCE_FANOUT) {
            self.send(&member.id.name, ConfigKind::Announce(self.announced.0));
        }
    }

    /// Notes the version in force, where it is a new one.
    fn note_version(&mut self) {
        let current = self.cfg.load_full();
        if current.version > self.announced {
            self.announced = current.version;
            self.rounds_left = ANNOUNCE_ROUNDS;
            self.history.push(current);
        }
    }

    /// Asks a router that has a higher version for it.
    fn request_higher(&mut self) {
        if self.request.is_some_and(|sent| sent.elapsed() < REQUEST_TIMEOUT) {
            return;
        }
        let current = self.cfg.version();
        let heard = self.heard.take().filter(|it| it.version > current);
        let Some(router) = heard.map(|it| it.router).or_else(|| self.find_ahead(current)) else {
            return;
        };
        let base = if self.asks_whole { ConfigVersion(0) } else { current };
        self.request = Some(Instant::now());
        self.send(&router, ConfigKind::Request(ConfigRequest { base: base.0 }));
    }

    /// Draws a router whose heartbeats show a higher version than `current`.
    fn find_ahead(&mut self, current: ConfigVersion) -> Option<RouterName> {
        let view = self.peers.view();
        let ahead = view.others.iter().filter(|it| it.config_version > current);
        ahead.choose(&mut self.rng).map(|it| it.id.name.clone())
    }

    fn report(&self) {
        let is_confirmed = self.cfg.confirmed_age().is_some_and(|age| age < CONFIRMED_SPAN);
        let value = if is_confirmed { 1.0 } else { 0.0 };
        metrics::gauge!(telemetry::CONFIG_CONFIRMED).set(value);
    }

    fn send(&self, to: &RouterName, kind: ConfigKind) {
        self.peers.send(to, PeerBody::Config(ConfigMessage { kind: Some(kind) }));
    }
}

fn count(result: &'static str) {
    metrics::counter!(telemetry::CONFIG_SPREAD_TOTAL, "result" => result).increment(1);
}
