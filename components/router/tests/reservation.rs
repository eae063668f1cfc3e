//! The reservation of a running request shrinks once its prompt tokens are known.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use config::ShortagePolicy;
use scene::{Scene, two_account_spec};
use serde_json::{Value, json};
use types::Tokens;

const ACCOUNT: &str = "cooperative";
const CHAT_PATH: &str = "/v1/chat/completions";

/// Longest wait for the first request to start; far longer than it takes.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a request whose prompt has 1,200 bytes, which the engine counts as 300 tokens.
fn long_prompt(tokens: u64) -> Value {
    let mark = format!("[tokens={tokens}]");
    let text = format!("{mark}{}", "x".repeat(1_200 - mark.len()));
    json!({
        "model": "assessment", "max_tokens": 400,
        "messages": [{ "role": "user", "content": text }],
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn second_request_fits_once_the_first_has_shrunk_its_reservation() {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(1);
    spec.accounts.truncate(1);
    spec.accounts[0].shortage = ShortagePolicy { max_wait: Duration::ZERO };
    // Two full reservations of 1,608 tokens do not fit into the budget. One fits alongside
    // a reservation that has shrunk to 700 tokens.
    spec.accounts[0].deposit = Tokens(2_400);
    let scene = Scene::start(spec).await.unwrap();
    let router = scene.routers.caller_addresses()[0];
    let (long, short) = (long_prompt(350), long_prompt(3));
    let first = scene.call(router, ACCOUNT, CHAT_PATH, "first", &long);
    let second = async {
        let started = async {
            while scene.tally().generated_tokens < 5 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(START_TIMEOUT, started)
            .await
            .expect("the first request runs within the timeout");
        scene.call(router, ACCOUNT, CHAT_PATH, "second", &short).await
    };
    let (first, second) = tokio::join!(first, second);
    let (first, second) = (first.unwrap(), second.unwrap());
    assert_eq!(first.status(), 200, "{:?}", first.body());
    assert_eq!(second.status(), 200, "{:?}", second.body());
    assert_eq!(scene.tally().overspent_tokens, 0);
}
