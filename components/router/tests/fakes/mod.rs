//! A small network between the registries of a few routers, on paused time.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use membership::{Member, MemberState, MembershipView};
use protocol::PeerBody;
use rand::Rng as _;
use router::{
    Clock,
    answer::{AnswerEnd, AnswerEvent, AnswerHead, AnswerLog, KeptAnswer},
    peers::{PeerHandler, Peers},
    registry::{Begin, BeginRequest, FleetRegistry, RegistryParts, RequestRegistry},
};
use standins::{CallLimits, MemoryObjects, MemoryTable};
use tokio::runtime::Handle;
use types::{
    AccountName, ConfigVersion, FailureDomain, Incarnation, RequestId, RequestKey, RouterId,
    RouterName,
};
use utils::{Digest, Rng, seeded_rng};

/// Time that a message is on its way.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// The routers of a test and what connects them.
pub(crate) struct Fleet {
    /// The platform's table.
    pub(crate) table: MemoryTable,
    /// The platform's object store.
    pub(crate) objects: MemoryObjects,
    /// Network.
    net: Arc<Net>,
    /// Registries by name; a killed router has none.
    registries: BTreeMap<RouterName, Arc<FleetRegistry>>,
    /// Clock.
    pub(crate) clock: Clock,
}

/// The network between the routers.
pub(crate) struct Net {
    /// State.
    state: Mutex<NetState>,
    /// Runtime.
    runtime: Handle,
}

struct NetState {
    /// Handlers by router.
    handlers: BTreeMap<RouterName, Arc<dyn PeerHandler>>,
    /// Members.
    members: BTreeMap<RouterName, Member>,
    /// Pairs that cannot reach each other.
    cut: Vec<(RouterName, RouterName)>,
    /// Share of messages that are lost.
    loss: f64,
    /// Share of messages that come twice.
    doubled: f64,
    /// Decides which.
    rng: Rng,
}

/// The network as one router sees it.
struct FakePeers {
    /// Identity of the router.
    local: RouterId,
    /// Network.
    net: Weak<Net>,
}

impl Fleet {
    /// Starts the routers `names`, long enough ago that their homes know all ids.
    pub(crate) async fn start(names: &[&str]) -> Fleet {
        let state = NetState {
            handlers: BTreeMap::new(),
            members: names.iter().map(|name| (router(name).name, member(name))).collect(),
            cut: Vec::new(),
            loss: 0.0,
            doubled: 0.0,
            rng: seeded_rng(1),
        };
        let net = Arc::new(Net { state: Mutex::new(state), runtime: Handle::current() });
        let mut fleet = Fleet {
            table: MemoryTable::new(CallLimits::new(2_000, 500), 1),
            objects: MemoryObjects::default(),
            net,
            registries: BTreeMap::new(),
            clock: Clock::new(),
        };
        for name in names {
            let id = router(name);
            let peers = FakePeers { local: id.clone(), net: Arc::downgrade(&fleet.net) };
            let registry = FleetRegistry::start(RegistryParts {
                router: id.clone(),
                clock: fleet.clock,
                table: Arc::new(fleet.table.clone()),
                objects: Arc::new(fleet.objects.clone()),
                peers: Arc::new(peers),
            });
            fleet.registries.insert(id.name, registry);
        }
        tokio::time::sleep(requests::EARLIER_ATTEMPT_WINDOW).await;
        fleet
    }

    /// Returns the registry of a router.
    pub(crate) fn at(&self, name: &str) -> Arc<FleetRegistry> {
        self.registries[&router(name).name].clone()
    }

    /// Cuts two routers off from each other, or joins them again.
    pub(crate) fn set_cut(&self, a: &str, b: &str, is_cut: bool) {
        let pair = (router(a).name, router(b).name);
        let mut state = self.net.state.lock().unwrap();
        state.cut.retain(|it| *it != pair);
        if is_cut {
            state.cut.push(pair);
        }
    }

    /// Sets the shares of messages that are lost and that come twice.
    pub(crate) fn set_faults(&self, loss: f64, doubled: f64) {
        let mut state = self.net.state.lock().unwrap();
        (state.loss, state.doubled) = (loss, doubled);
    }

    /// Kills a router; the others notice.
    pub(crate) async fn kill(&mut self, name: &str) {
        let name = router(name).name;
        self.registries.remove(&name);
        {
            let mut state = self.net.state.lock().unwrap();
            state.handlers.remove(&name);
            state.members.remove(&name);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }

    /// Begins a request at a router.
    pub(crate) async fn begin(&self, at: &str, req: &BeginRequest) -> errors::Result<Begin> {
        self.at(at).begin(req).await
    }

    /// Ends a run with a whole answer.
    pub(crate) async fn finish(&self, at: &str, key: &RequestKey, log: &AnswerLog, body: &str) {
        let head = AnswerHead { status: 200, content_type: "text/plain".into() };
        log.start(head.clone());
        log.push(bytes::Bytes::copy_from_slice(body.as_bytes()));
        let end = AnswerEnd::default();
        let answer = KeptAnswer { head, body: log.body(), end: end.clone() };
        self.at(at).end(key, Ok(Arc::new(answer))).await.unwrap();
        log.finish(end);
    }

    /// Returns the name of the home router of a request among the members.
    pub(crate) fn home_of(&self, key: &RequestKey) -> String {
        let state = self.net.state.lock().unwrap();
        requests::find_home(key, state.members.keys()).unwrap().to_string()
    }
}

impl Net {
    fn send(self: &Arc<Net>, from: &RouterId, to: &RouterName, body: PeerBody) {
        let copies = {
            let mut state = self.state.lock().unwrap();
            let is_cut = state
                .cut
                .iter()
                .any(|(a, b)| (*a == from.name && b == to) || (a == to && *b == from.name));
            let (loss, doubled) = (state.loss, state.doubled);
            match is_cut || state.rng.random_bool(loss) {
                true => 0,
                false => 1 + u32::from(state.rng.random_bool(doubled)),
            }
        };
        for copy in 0..copies {
            let (net, from, to, body) = (self.clone(), from.clone(), to.clone(), body.clone());
            self.runtime.spawn(async move {
                tokio::time::sleep(MESSAGE_DELAY * (1 + 50 * copy)).await;
                let handler = net.state.lock().unwrap().handlers.get(&to).cloned();
                if let Some(handler) = handler {
                    handler.on_message(&from, &body);
                }
            });
        }
    }
}

impl Peers for FakePeers {
    fn view(&self) -> Arc<MembershipView> {
        let members = match self.net.upgrade() {
            Some(net) => net.state.lock().unwrap().members.clone(),
            None => BTreeMap::new(),
        };
        let local = member(self.local.name.as_str());
        let others = members.into_values().filter(|it| it.id != self.local).collect();
        Arc::new(MembershipView { local, others })
    }

    fn send(&self, to: &RouterName, body: PeerBody) {
        if let Some(net) = self.net.upgrade() {
            net.send(&self.local, to, body);
        }
    }

    fn subscribe(&self, handler: Arc<dyn PeerHandler>) {
        if let Some(net) = self.net.upgrade() {
            net.state.lock().unwrap().handlers.insert(self.local.name.clone(), handler);
        }
    }

    fn leave(&self) {}
}

/// Returns a request of the test's account.
pub(crate) fn request(fleet: &Fleet, id: &str, is_idempotent: bool) -> BeginRequest {
    let account = AccountName::new("cooperative").unwrap();
    BeginRequest {
        key: RequestKey::new(account, RequestId::new(id).unwrap()),
        fingerprint: Digest::from_content(b"two barrels"),
        idempotent: is_idempotent,
        deadline: fleet.clock.now() + Duration::from_secs(5),
    }
}

/// Reads an answer to its end.
pub(crate) async fn read_answer(log: &Arc<AnswerLog>) -> errors::Result<String> {
    let mut reader = log.reader();
    let mut body = Vec::new();
    while let Some(event) = reader.next().await {
        match event {
            AnswerEvent::Head(_) => {}
            AnswerEvent::Part(part) => body.extend_from_slice(&part),
            AnswerEvent::End(_) => break,
            AnswerEvent::Failed(error) => return Err(error),
        }
    }
    Ok(String::from_utf8(body).unwrap())
}

/// Returns the log of a request that is to run here.
pub(crate) fn expect_run(begin: errors::Result<Begin>) -> Arc<AnswerLog> {
    match begin {
        Ok(Begin::Run(log)) => log,
        other => panic!("expected a run, got {other:?}"),
    }
}

/// Returns the log of a request that runs elsewhere or has run.
pub(crate) fn expect_join(begin: errors::Result<Begin>) -> Arc<AnswerLog> {
    match begin {
        Ok(Begin::Join(log)) => log,
        other => panic!("expected a joined run, got {other:?}"),
    }
}

fn router(name: &str) -> RouterId {
    RouterId::new(RouterName::new(name).unwrap(), Incarnation(1))
}

fn member(name: &str) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member {
        id: router(name),
        failure_domain: FailureDomain::new("zlin").unwrap(),
        caller_address: address,
        peer_address: address,
        state: MemberState::Alive,
        load: 0,
        config_version: ConfigVersion(1),
    }
}
