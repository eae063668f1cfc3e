//! The endpoint: runs whatever it gets and logs it.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use history::{Event, History};
use rand::Rng as _;
use types::RequestKey;
use utils::{Rng, seeded_rng};

/// The endpoint.
pub(super) struct Endpoint {
    /// Where runs are logged.
    history: Arc<Mutex<History>>,
    /// State.
    state: Mutex<State>,
}

struct State {
    /// Runs so far.
    runs: u64,
    /// Share of answers that are lost.
    loss: f64,
    /// Random choices.
    rng: Rng,
}

impl Endpoint {
    pub(super) fn new(history: Arc<Mutex<History>>, seed: u64) -> Endpoint {
        let state = State { runs: 0, loss: 0.0, rng: seeded_rng(!seed) };
        Endpoint { history, state: Mutex::new(state) }
    }

    /// Sets the share of answers that are lost from now on.
    pub(super) fn set_loss(&self, loss: f64) {
        self.state.lock().unwrap().loss = loss;
    }

    /// Runs a request; `None` where its answer is lost. The call arrives late.
    pub(super) async fn call(&self, request: &RequestKey) -> Option<String> {
        tokio::time::sleep(self.draw_time(1, 50)).await;
        let (answer, is_lost) = {
            let mut state = self.state.lock().unwrap();
            state.runs += 1;
            let loss = state.loss;
            (format!("run {} of {request}", state.runs), state.rng.random_bool(loss))
        };
        let run = Event::Run { request: request.clone(), answer: answer.clone() };
        self.history.lock().unwrap().push(run);
        tokio::time::sleep(self.draw_time(1, 1_000)).await;
        (!is_lost).then_some(answer)
    }

    fn draw_time(&self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.state.lock().unwrap().rng.random_range(from..to))
    }
}
