//! Tokens that this router has asked others for.

use std::time::Duration;

use rand::Rng as _;
use types::Timestamp;
use utils::{HashMap, Rng};

/// Time for which an answer to a request is taken; later ones are so rare that their tokens
/// may be lost.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Requests for tokens that are not answered yet. Each answer is taken once, so that a
/// datagram that arrives twice brings its tokens once.
#[derive(Debug, Default)]
pub struct Loans {
    /// Times of the requests by their number.
    open: HashMap<u64, Timestamp>,
}

impl Loans {
    /// Draws the number of a request to one lender.
    pub fn begin(&mut self, now: Timestamp, rng: &mut Rng) -> u64 {
        self.open.retain(|_, at| now.since(*at) < ANSWER_TIME);
        let number = rng.random();
        self.open.insert(number, now);
        number
    }

    /// Takes the answer to a request; false where it was taken before or never asked for.
    pub fn take(&mut self, number: u64) -> bool {
        self.open.remove(&number).is_some()
    }
}
