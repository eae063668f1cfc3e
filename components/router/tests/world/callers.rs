//! Callers: they send requests again and again until they get an answer.

use std::sync::Arc;

use history::{CallId, Event};
use tokio::task::JoinHandle;
use types::{RequestId, RequestKey};

use super::{World, account};

/// Callers.
const CALLERS: u64 = 6;

/// Requests of all callers; several callers send the same ones.
const REQUESTS: u64 = 30;

/// Requests that each caller sends.
const REQUESTS_EACH: u64 = 8;

/// Calls that a caller makes for one request before it gives up.
const CALLS_MAX: u64 = 5;

/// Starts the callers.
pub(super) fn start(world: &Arc<World>) -> Vec<JoinHandle<()>> {
    let start = |caller| tokio::spawn(run_caller(world.clone(), caller));
    (0..CALLERS).map(start).collect()
}

async fn run_caller(world: Arc<World>, caller: u64) {
    for n in 0..REQUESTS_EACH {
        tokio::time::sleep(world.draw_time(1..700)).await;
        let number = world.draw(0..REQUESTS);
        // Even numbers are orders, which must not run twice.
        let is_idempotent = number % 2 == 1;
        let id = RequestId::new(&format!("request-{number}")).unwrap();
        let request = RequestKey::new(account(), id);
        for attempt in 0..CALLS_MAX {
            let call = CallId((caller * REQUESTS_EACH + n) * CALLS_MAX + attempt);
            if make_call(&world, call, &request, is_idempotent).await {
                break;
            }
            tokio::time::sleep(world.draw_time(10..500)).await;
        }
    }
}

/// Makes one call; true where it got a whole answer.
async fn make_call(
    world: &Arc<World>,
    call: CallId,
    request: &RequestKey,
    is_idempotent: bool,
) -> bool {
    let routers: Vec<_> = world.routers.lock().unwrap().values().cloned().collect();
    let index = usize::try_from(world.draw(0..routers.len() as u64)).unwrap();
    let router = routers[index].clone();
    world.push(Event::Call { call, request: request.clone(), is_idempotent });
    let patience = world.draw_time(50..7_000);
    let serve = router.serve(world, call, request, is_idempotent);
    match tokio::time::timeout(patience, serve).await {
        Ok(Ok(answer)) => {
            world.push(Event::Answer { call, answer });
            true
        }
        Ok(Err(error)) => {
            let ran = world.mutation.reported(&error);
            world.push(Event::Refusal { call, ran });
            false
        }
        // The caller leaves; its request goes on.
        Err(_) => false,
    }
}
