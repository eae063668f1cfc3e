//! Request ids shared by router processes over the loopback network: a request runs once and
//! gets one answer, whichever router a retry reaches.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use scene::{Scene, two_account_spec};
use serde_json::json;

async fn start_scene() -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(3);
    spec.accounts.truncate(1);
    let scene = Scene::start(spec).await.unwrap();
    let knows_others = || {
        let views = scene.routers.iter().map(|(_, router)| router.context().peers.view());
        views.into_iter().all(|view| view.others.len() == 2)
    };
    while !knows_others() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    scene
}

async fn call(scene: &Scene, router: usize, id: &str) -> Response<Bytes> {
    let address = scene.routers.caller_addresses()[router];
    let body = json!({
        "model": "assessment", "max_tokens": 200,
        "messages": [{ "role": "user", "content": "Which staves? [tokens=60]" }],
    });
    scene.call(address, "cooperative", "/v1/chat/completions", id, &body).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_at_all_routers_get_the_answer_of_one_run() {
    let scene = start_scene().await;
    for n in 0..6 {
        let id = format!("barrel-{n}");
        let (a, b, c) =
            tokio::join!(call(&scene, 0, &id), call(&scene, 1, &id), call(&scene, 2, &id));
        assert_eq!((a.status(), a.body()), (b.status(), b.body()));
        assert_eq!((a.status(), a.body()), (c.status(), c.body()));
        assert_eq!(a.status(), 200, "{a:?}");
    }
    let tally = scene.tally();
    assert_eq!((tally.generated_tokens, tally.bills), (6 * 60, 6));
}

#[tokio::test(flavor = "multi_thread")]
async fn id_reused_with_other_content_is_refused_at_another_router() {
    let scene = start_scene().await;
    assert_eq!(call(&scene, 0, "barrel-1").await.status(), 200);
    let address = scene.routers.caller_addresses()[1];
    let body = json!({
        "model": "assessment", "max_tokens": 200,
        "messages": [{ "role": "user", "content": "Which hoops? [tokens=5]" }],
    });
    let path = "/v1/chat/completions";
    let res = scene.call(address, "cooperative", path, "barrel-1", &body).await.unwrap();
    let text = String::from_utf8_lossy(res.body()).into_owned();
    assert!(text.contains("request_id_reused"), "{text}");
}
