//! Non-idempotent actions run at most once if answers are lost, routers are killed, or two
//! routers get the same request. Uses the loopback network.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use requests::{Holder, Resolution, list_open, resolve};
use scene::{Scene, two_account_spec};
use serde_json::{Value, json};
use standins::{ServiceState, TableFaults};
use types::{OperatorName, RouterName, ServiceName};

const PATH: &str = "/v1/actions/order-repair";

async fn start_scene(routers: usize) -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(routers);
    spec.accounts.truncate(1);
    Scene::start(spec).await.unwrap()
}

fn portal(scene: &Scene) -> &ServiceState {
    scene.service(&ServiceName::new("portal").unwrap())
}

fn router_names(scene: &Scene) -> Vec<RouterName> {
    scene.routers.iter().map(|(name, _)| name.clone()).collect()
}

/// Calls the action at the router with this index.
async fn order(scene: &Scene, index: usize, id: &str) -> Response<Bytes> {
    let address = scene.routers.caller_addresses()[index];
    let body = json!({ "barrel": 17 });
    scene.call(address, "cooperative", PATH, id, &body).await.unwrap()
}

/// Returns the error code and the `ran` field of an error response.
fn error_of(res: &Response<Bytes>) -> (String, String) {
    let body: Value = serde_json::from_slice(res.body()).unwrap();
    let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    (text("code"), text("ran"))
}

fn outcome_unknown() -> (String, String) {
    ("outcome_unknown".to_owned(), "unknown".to_owned())
}

async fn wait_for_run(scene: &Scene) {
    while portal(scene).runs().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn order_with_a_lost_answer_stays_unknown_at_every_router_and_runs_once() {
    let scene = start_scene(2).await;
    portal(&scene).set_loses_answers(true);
    assert_eq!(error_of(&order(&scene, 0, "order-1").await), outcome_unknown());
    portal(&scene).set_loses_answers(false);
    for index in [1, 0, 1] {
        assert_eq!(error_of(&order(&scene, index, "order-1").await), outcome_unknown());
    }
    assert_eq!(portal(&scene).runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_of_a_router_killed_before_the_answer_is_not_sent_again() {
    let mut scene = start_scene(2).await;
    portal(&scene).set_delay(Duration::from_secs(2));
    let address = scene.routers.caller_addresses()[0];
    let first = {
        let body = json!({ "barrel": 17 });
        let call = scene.call(address, "cooperative", PATH, "order-2", &body);
        tokio::select! {
            res = call => panic!("the answer came before the kill: {res:?}"),
            () = wait_for_run(&scene) => router_names(&scene)[0].clone(),
        }
    };
    scene.routers.kill(&first).unwrap();
    portal(&scene).set_delay(Duration::ZERO);
    for _ in 0..3 {
        assert_eq!(error_of(&order(&scene, 0, "order-2").await), outcome_unknown());
    }
    assert_eq!(portal(&scene).runs().len(), 1);

    // An operator records that the call did not run, so that a retry may run it.
    let rows = scene.platform().table().inspect(requests::INTENT_PREFIX);
    let open = list_open(&rows);
    assert_eq!(open.len(), 1);
    let operator = OperatorName::new("admin").unwrap();
    let commit = resolve(&open[0].row, Resolution::DidNotRun, Holder::Ended, &operator).unwrap();
    scene.platform().table().commit_directly(&commit);
    assert_eq!(order(&scene, 0, "order-2").await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_routers_with_one_id_send_it_once() {
    let scene = start_scene(2).await;
    portal(&scene).set_delay(Duration::from_millis(20));
    for n in 0..10 {
        let id = format!("race-{n}");
        let (a, b) = tokio::join!(order(&scene, 0, &id), order(&scene, 1, &id));
        assert!(a.status().is_success() || b.status().is_success(), "{a:?} {b:?}");
        for res in [a, b].iter().filter(|res| !res.status().is_success()) {
            assert_eq!(error_of(res).1, "unknown");
        }
    }
    assert_eq!(portal(&scene).runs().len(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_runs_once_although_the_table_loses_answers() {
    let scene = start_scene(2).await;
    let faults = TableFaults { lost_answers: 0.5, ..TableFaults::default() };
    scene.platform().table().set_faults(faults);
    for n in 0..10 {
        let id = format!("order-{n}");
        // If the commit of the reservation was lost, the order did not run, and is retried.
        while !order(&scene, n % 2, &id).await.status().is_success() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(order(&scene, (n + 1) % 2, &id).await.status(), 200);
    }
    assert_eq!(portal(&scene).runs().len(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_to_a_dead_endpoint_is_not_run_and_may_be_sent_again() {
    let scene = start_scene(1).await;
    let endpoints: Vec<_> = scene.config().endpoints.keys().cloned().collect();
    let services = &scene.config().services[&ServiceName::new("portal").unwrap()].endpoints;
    for name in endpoints.iter().filter(|name| services.contains(*name)) {
        scene.kill_service_endpoint(name).await;
    }
    for _ in 0..3 {
        let res = order(&scene, 0, "order-3").await;
        assert_eq!(error_of(&res).1, "never", "{res:?}");
    }
    assert!(portal(&scene).runs().is_empty());
}
