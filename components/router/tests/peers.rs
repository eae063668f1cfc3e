//! Routers discover each other over loopback connections, detect crashed and leaving routers,
//! and deliver messages.

#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use client::{Connections, HttpClient};
use http::{HeaderMap, Method};
use membership::MemberState;
use protocol::{BudgetMessage, PeerBody};
use router::{HttpLimits, RouterProcess, RouterSettings, peers::PeerHandler};
use types::{FailureDomain, RouterId, RouterName};

/// Timeout for expected changes, far longer than they take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(name: &str, seeds: Vec<SocketAddr>) -> RouterProcess {
    RouterProcess::start(RouterSettings {
        name: RouterName::new(name).unwrap(),
        failure_domain: FailureDomain::new("zlin").unwrap(),
        caller_address: any_port(),
        peer_address: any_port(),
        seeds,
        bootstrap_operator_key: None,
        // Nothing listens on the platform address: membership works without the platform.
        platform_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        platform_timeout: Duration::from_secs(1),
        http_limits: HttpLimits::default(),
        stream_idle_timeout: Duration::from_secs(30),
        drain_timeout: Duration::from_secs(4),
        traffic_threads: 1,
    })
    .unwrap()
}

fn start_three() -> [RouterProcess; 3] {
    let first = start("zlin-1", Vec::new());
    let second = start("zlin-2", vec![first.peer_address()]);
    let third = start("zlin-3", vec![second.peer_address()]);
    [first, second, third]
}

async fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let wait = async {
        while !is_done() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok(), "{what}");
}

async fn wait_for_members(routers: &[&RouterProcess], count: usize) {
    let members = |it: &RouterProcess| it.context().peers.view().members().count();
    wait_until("the views did not reach the expected number of members", || {
        routers.iter().all(|it| members(it) == count)
    })
    .await;
}

async fn addresses(router: &RouterProcess) -> String {
    let http = HttpClient::new(Connections::OnePerCall);
    let address = router.caller_address();
    let (headers, body) = (HeaderMap::new(), Bytes::new());
    let res = http.call(address, Method::GET, "/v1/addresses", headers, body, WAIT_TIMEOUT);
    String::from_utf8(res.await.unwrap().body().to_vec()).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_find_each_other_and_notice_a_crash() {
    let [first, second, third] = start_three();
    wait_for_members(&[&first, &second, &third], 3).await;
    let crashed = third.caller_address().to_string();
    drop(third);
    wait_for_members(&[&first, &second], 2).await;
    assert!(!addresses(&first).await.contains(&crashed));

    // A new process with the same name replaces the dead one.
    let third = start("zlin-3", vec![second.peer_address()]);
    wait_for_members(&[&first, &second, &third], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_router_is_removed_from_addresses_while_it_serves() {
    let [first, second, third] = start_three();
    wait_for_members(&[&first, &second, &third], 3).await;
    let left = third.caller_address().to_string();
    third.context().peers.leave();
    assert!(!addresses(&third).await.contains(&left));
    let name = RouterName::new("zlin-3").unwrap();
    let state = |it: &RouterProcess| it.context().peers.view().find(&name).map(|it| it.state);
    wait_until("the other routers did not see the router as leaving", || {
        [&first, &second].iter().all(|it| state(it) == Some(MemberState::Leaving))
    })
    .await;
    assert!(!addresses(&first).await.contains(&left));
    third.shut_down().await.unwrap();
    wait_for_members(&[&first, &second], 2).await;
}

/// Records the senders of received budget messages.
#[derive(Default)]
struct Senders(Mutex<Vec<RouterId>>);

impl PeerHandler for Senders {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        if matches!(body, PeerBody::Budget(_)) {
            self.0.lock().unwrap().push(from.clone());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_of_subsystems_reach_their_handlers() {
    let [first, second, third] = start_three();
    wait_for_members(&[&first, &second, &third], 3).await;
    let senders = Arc::new(Senders::default());
    third.context().peers.subscribe(senders.clone());
    let to = RouterName::new("zlin-3").unwrap();
    for router in [&first, &second] {
        router.context().peers.send(&to, PeerBody::Budget(BudgetMessage::default()));
    }
    wait_until("not all messages arrived", || senders.0.lock().unwrap().len() == 2).await;
    let mut names: Vec<_> =
        senders.0.lock().unwrap().iter().map(|it| it.name.to_string()).collect();
    names.sort();
    assert_eq!(names, ["zlin-1", "zlin-2"]);
}
