//! A service with large answers, for callers that read nothing for one to four seconds and
//! acknowledge nothing meanwhile.

use serde_json::{Value, json};

use crate::support::{Behaviour, StandInEndpoint, StandInStore, endpoint_entry};

/// Size of an answer: more than the receive buffer of a late reader.
pub(crate) const ANSWER_BYTES: usize = 256 * 1_024;
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 16 * 1_024;

const SERVICE: &str = "large";
const ENDPOINTS: usize = 2;

/// Starts the endpoints of the service.
pub(crate) async fn start(store: &StandInStore) -> Vec<StandInEndpoint> {
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let endpoint = StandInEndpoint::start(Behaviour::AnswerLarge(ANSWER_BYTES)).await;
        let mut entry = endpoint_entry(endpoint.address, "ready");
        entry["service"] = json!(SERVICE);
        store.write("servers", &format!("l-{number}"), &entry);
        endpoints.push(endpoint);
    }
    endpoints
}

/// Adds the service and its route.
pub(crate) fn add_service(state: &mut Value) {
    let mut service = state["services"][0].clone();
    service["name"] = json!(SERVICE);
    state["services"].as_array_mut().unwrap().push(service);
    let mut route = state["routes"][0].clone();
    route["name"] = json!(SERVICE);
    route["path_prefix"] = json!("/large/");
    route["service"] = json!(SERVICE);
    state["routes"].as_array_mut().unwrap().push(route);
}
