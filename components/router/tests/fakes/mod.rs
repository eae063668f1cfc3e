//! A simulated network between the request registries of a few routers, with Tokio time
//! paused.

#![allow(clippy::unwrap_used, dead_code, unused_imports)]

mod gate;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use membership::{Member, MemberState, MembershipView};
use platform::Table;
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

pub(crate) use self::gate::{Gate, GatedTable, ProcessState};

/// Delivery delay of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// The routers of a test, their network and their platform.
pub(crate) struct Fleet {
    /// The platform's table.
    pub(crate) table: MemoryTable,
    /// The platform's object store.
    pub(crate) objects: MemoryObjects,
    /// Network between the routers.
    net: Arc<Net>,
    /// Registries by router name; a killed router has none.
    registries: BTreeMap<RouterName, Arc<FleetRegistry>>,
    /// Clock that all routers share.
    pub(crate) clock: Clock,
}

/// Simulated network between the routers.
pub(crate) struct Net {
    /// Handlers, members and faults.
    state: Mutex<NetState>,
    /// Runtime that delivers the messages.
    runtime: Handle,
}

struct NetState {
    /// Message handlers by router.
    handlers: BTreeMap<RouterName, Vec<Arc<dyn PeerHandler>>>,
    /// Members by name.
    members: BTreeMap<RouterName, Member>,
    /// Number of membership changes so far.
    member_changes: u64,
    /// Pairs of routers that cannot reach each other.
    partitioned_pairs: Vec<(RouterName, RouterName)>,
    /// Fraction of messages that are lost.
    loss: f64,
    /// Fraction of messages that are delivered twice.
    duplication: f64,
    /// Selects the lost and duplicated messages.
    rng: Rng,
}

/// The peer interface of one router on the simulated network.
struct FakePeers {
    /// Identity of this router.
    local: RouterId,
    /// Network between the routers.
    net: Weak<Net>,
    /// Cached membership view and the number of membership changes that it includes.
    view: Mutex<(u64, Arc<MembershipView>)>,
}

impl Fleet {
    /// Starts the routers `names` and waits for the window in which a request id that its home
    /// router does not know may belong to an earlier attempt.
    pub(crate) async fn start(names: &[&str]) -> Fleet {
        let mut fleet = Fleet::new(1);
        for name in names {
            fleet.add_member(name);
        }
        for name in names {
            let table = Arc::new(fleet.table.clone());
            fleet.start_registry(name, table);
        }
        tokio::time::sleep(requests::EARLIER_ATTEMPT_WINDOW).await;
        fleet
    }

    /// Creates a fleet without routers; `seed` determines which messages and answers are lost.
    pub(crate) fn new(seed: u64) -> Fleet {
        let state = NetState {
            handlers: BTreeMap::new(),
            members: BTreeMap::new(),
            member_changes: 1,
            partitioned_pairs: Vec::new(),
            loss: 0.0,
            duplication: 0.0,
            rng: seeded_rng(seed),
        };
        Fleet {
            table: MemoryTable::new(CallLimits::new(2_000, 500), seed),
            objects: MemoryObjects::default(),
            net: Arc::new(Net { state: Mutex::new(state), runtime: Handle::current() }),
            registries: BTreeMap::new(),
            clock: Clock::new(),
        }
    }

    /// Adds a router to the membership.
    pub(crate) fn add_member(&self, name: &str) {
        let mut state = self.net.state.lock().unwrap();
        state.members.insert(router(name).name, member(name));
        state.member_changes += 1;
    }

    /// Removes a router from the membership and stops delivering messages to it.
    pub(crate) fn remove_member(&self, name: &str) {
        let name = router(name).name;
        let mut state = self.net.state.lock().unwrap();
        state.handlers.remove(&name);
        state.members.remove(&name);
        state.member_changes += 1;
    }

    /// Returns the peer interface of a router.
    pub(crate) fn peers_of(&self, name: &str) -> Arc<dyn Peers> {
        let view = Mutex::new((0, Arc::new(MembershipView::from_local(member(name)))));
        Arc::new(FakePeers { local: router(name), net: Arc::downgrade(&self.net), view })
    }

    /// Starts the request registry of a member.
    pub(crate) fn start_registry(
        &mut self,
        name: &str,
        table: Arc<dyn Table>,
    ) -> Arc<FleetRegistry> {
        let registry = FleetRegistry::start(RegistryParts {
            router: router(name),
            clock: self.clock,
            table,
            objects: Arc::new(self.objects.clone()),
            peers: self.peers_of(name),
        });
        self.registries.insert(router(name).name, registry.clone());
        registry
    }

    /// Returns the request registry of a router.
    pub(crate) fn registry_of(&self, name: &str) -> Arc<FleetRegistry> {
        self.registries[&router(name).name].clone()
    }

    /// Partitions two routers from each other, or reconnects them.
    pub(crate) fn set_partitioned(&self, a: &str, b: &str, is_partitioned: bool) {
        let pair = (router(a).name, router(b).name);
        let mut state = self.net.state.lock().unwrap();
        state.partitioned_pairs.retain(|it| *it != pair);
        if is_partitioned {
            state.partitioned_pairs.push(pair);
        }
    }

    /// Reconnects all partitioned routers.
    pub(crate) fn clear_partitions(&self) {
        self.net.state.lock().unwrap().partitioned_pairs.clear();
    }

    /// Sets the fractions of messages that are lost and that are delivered twice.
    pub(crate) fn set_faults(&self, loss: f64, duplication: f64) {
        let mut state = self.net.state.lock().unwrap();
        (state.loss, state.duplication) = (loss, duplication);
    }

    /// Kills a router, and waits 2 seconds for the others to react.
    pub(crate) async fn kill(&mut self, name: &str) {
        self.registries.remove(&router(name).name);
        self.remove_member(name);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }

    /// Begins a request at a router.
    pub(crate) async fn begin(&self, at: &str, req: &BeginRequest) -> errors::Result<Begin> {
        self.registry_of(at).begin(req).await
    }

    /// Ends a run with a complete answer.
    pub(crate) async fn finish(&self, at: &str, key: &RequestKey, log: &AnswerLog, body: &str) {
        let head = AnswerHead { status: 200, content_type: "text/plain".into() };
        log.start(head.clone());
        log.push(bytes::Bytes::copy_from_slice(body.as_bytes()));
        let end = AnswerEnd::default();
        let answer = KeptAnswer { head, body: log.body(), end: end.clone() };
        self.registry_of(at).end(key, Ok(Arc::new(answer))).await.unwrap();
        log.finish(end);
    }

    /// Returns the name of a request's home router among the members.
    pub(crate) fn home_of(&self, key: &RequestKey) -> String {
        let state = self.net.state.lock().unwrap();
        requests::find_home(key, state.members.keys()).unwrap().to_string()
    }
}

impl Net {
    fn send(self: &Arc<Net>, from: &RouterId, to: &RouterName, body: PeerBody) {
        let copies = {
            let mut state = self.state.lock().unwrap();
            let is_partitioned = state
                .partitioned_pairs
                .iter()
                .any(|(a, b)| (*a == from.name && b == to) || (a == to && *b == from.name));
            let is_partitioned = is_partitioned || !state.members.contains_key(&from.name);
            let (loss, duplication) = (state.loss, state.duplication);
            match is_partitioned || state.rng.random_bool(loss) {
                true => 0,
                false => 1 + u32::from(state.rng.random_bool(duplication)),
            }
        };
        for copy in 0..copies {
            let (net, from, to, body) = (self.clone(), from.clone(), to.clone(), body.clone());
            self.runtime.spawn(async move {
                tokio::time::sleep(MESSAGE_DELAY * (1 + 50 * copy)).await;
                let handlers = net.state.lock().unwrap().handlers.get(&to).cloned();
                for handler in handlers.unwrap_or_default() {
                    handler.on_message(&from, &body);
                }
            });
        }
    }
}

impl Peers for FakePeers {
    fn view(&self) -> Arc<MembershipView> {
        let mut view = self.view.lock().unwrap();
        if let Some(net) = self.net.upgrade() {
            let state = net.state.lock().unwrap();
            if view.0 != state.member_changes {
                let others = state.members.values().filter(|it| it.id != self.local);
                let others = others.cloned().collect();
                let local = view.1.local.clone();
                *view = (state.member_changes, Arc::new(MembershipView { local, others }));
            }
        }
        view.1.clone()
    }

    fn send(&self, to: &RouterName, body: PeerBody) {
        if let Some(net) = self.net.upgrade() {
            net.send(&self.local, to, body);
        }
    }

    fn subscribe(&self, handler: Arc<dyn PeerHandler>) {
        if let Some(net) = self.net.upgrade() {
            let mut state = net.state.lock().unwrap();
            state.handlers.entry(self.local.name.clone()).or_default().push(handler);
        }
    }

    fn leave(&self) {}
}

/// Creates a request of the test's client account.
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

/// Returns the log of a request that the router must run.
pub(crate) fn expect_run(begin: errors::Result<Begin>) -> Arc<AnswerLog> {
    match begin {
        Ok(Begin::Run(log)) => log,
        other => panic!("expected a run, got {other:?}"),
    }
}

/// Returns the log of a request that is already running or complete.
pub(crate) fn expect_join(begin: errors::Result<Begin>) -> Arc<AnswerLog> {
    match begin {
        Ok(Begin::Join(log)) => log,
        other => panic!("expected a joined run, got {other:?}"),
    }
}

/// Returns the identity of a router.
pub(crate) fn router(name: &str) -> RouterId {
    RouterId::new(RouterName::new(name).unwrap(), Incarnation(1))
}

fn member(name: &str) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member {
        id: router(name),
        failure_domain: FailureDomain::new(&format!("domain-of-{name}")).unwrap(),
        caller_address: address,
        peer_address: address,
        state: MemberState::Alive,
        load: 0,
        config_version: ConfigVersion(1),
    }
}
