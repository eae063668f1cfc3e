//! Callers that repeat their requests until they get an answer.

use std::sync::Arc;

use history::{CallId, Event};
use tokio::task::JoinHandle;
use types::{RequestId, RequestKey};

use super::{World, account};

/// Number of callers.
const CALLER_COUNT: u64 = 6;

/// Number of distinct requests; several callers send the same ones.
const REQUEST_COUNT: u64 = 30;

/// Number of requests that each caller sends.
const REQUESTS_PER_CALLER: u64 = 8;

/// Maximum number of calls for one request before the caller gives up.
const CALLS_MAX: u64 = 5;

/// Starts the callers.
pub(super) fn start(world: &Arc<World>) -> Vec<JoinHandle<()>> {
    let start = |caller| tokio::spawn(run_caller(world.clone(), caller));
    (0..CALLER_COUNT).map(start).collect()
}

async fn run_caller(world: Arc<World>, caller: u64) {
    for n in 0..REQUESTS_PER_CALLER {
        tokio::time::sleep(world.draw_time(1..700)).await;
        let number = world.draw(0..REQUEST_COUNT);
        // Even numbers are non-idempotent requests, which must not run twice.
        let is_idempotent = number % 2 == 1;
        let id = RequestId::new(&format!("request-{number}")).unwrap();
        let request = RequestKey::new(account(), id);
        for attempt in 0..CALLS_MAX {
            let call = CallId((caller * REQUESTS_PER_CALLER + n) * CALLS_MAX + attempt);
            if make_call(&world, call, &request, is_idempotent).await {
                break;
            }
            tokio::time::sleep(world.draw_time(10..500)).await;
        }
    }
}

/// Makes one call. Returns whether it got a complete answer.
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
    let timeout = world.draw_time(50..7_000);
    let serve = router.serve(world, call, request, is_idempotent);
    match tokio::time::timeout(timeout, serve).await {
        Ok(Ok(answer)) => {
            world.push(Event::Answer { call, answer });
            true
        }
        Ok(Err(error)) => {
            let ran = world.mutation.reported(&error);
            world.push(Event::Refusal { call, ran });
            false
        }
        // The caller times out and disconnects; its request continues.
        Err(_) => false,
    }
}
