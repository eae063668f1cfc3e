//! A simulated endpoint that runs every request and records it in the history.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use history::{Event, History};
use rand::Rng as _;
use types::RequestKey;
use utils::{Rng, seeded_rng};

/// Simulated endpoint.
pub(super) struct Endpoint {
    /// History that runs are recorded in.
    history: Arc<Mutex<History>>,
    /// Run counter and faults.
    state: Mutex<State>,
}

struct State {
    /// Number of runs so far.
    runs: u64,
    /// Fraction of answers that are lost.
    loss: f64,
    /// Draws delays and lost answers.
    rng: Rng,
}

impl Endpoint {
    pub(super) fn new(history: Arc<Mutex<History>>, seed: u64) -> Endpoint {
        let state = State { runs: 0, loss: 0.0, rng: seeded_rng(!seed) };
        Endpoint { history, state: Mutex::new(state) }
    }

    /// Sets the fraction of answers that are lost from now on.
    pub(super) fn set_loss(&self, loss: f64) {
        self.state.lock().unwrap().loss = loss;
    }

    /// Runs a request after a network delay. Returns `None` if its answer is lost.
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
