//! Callers of the demo, which send random requests.

use std::{sync::Arc, time::Duration};

use client::{Caller, CallerError};
use errors::ErrorKind;
use rand::Rng as _;
use scene::Scene;
use tokio::task::JoinSet;
use types::{AccountName, FailureDomain};
use utils::seeded_rng;

use crate::{
    demo_request::{COOPERATIVE_KINDS, DemoRequest, RequestKind, UNIFORM_MAKER_KINDS},
    report::CallerCounts,
};

/// Number of callers for each client account and failure domain.
const CALLERS_PER_DOMAIN: usize = 8;

/// Number of requests that each caller sends.
const REQUESTS_PER_CALLER: usize = 12;

/// Maximum pause of a caller before each request.
const PAUSE_MAX: Duration = Duration::from_millis(1_500);

/// Error code of calls whose outcome is unknown.
const OUTCOME_UNKNOWN_CODE: &str = ErrorKind::OutcomeUnknown.code();

const FAILURE_DOMAINS: [&str; 3] = ["zlin", "kromeriz", "vsetin"];

/// Starts the callers; the set yields the counts of each caller when it has finished.
pub(crate) fn start_callers(scene: &Scene, seed: u64) -> JoinSet<CallerCounts> {
    let accounts = [("cooperative", COOPERATIVE_KINDS), ("uniform-maker", UNIFORM_MAKER_KINDS)];
    let mut callers = JoinSet::new();
    for (account, kinds) in accounts {
        for domain in FAILURE_DOMAINS {
            let account_name = AccountName::new(account).expect("valid account name");
            let failure_domain = FailureDomain::new(domain).expect("valid failure domain");
            let caller = Arc::new(scene.caller(&account_name, &failure_domain));
            for number in 0..CALLERS_PER_DOMAIN {
                let label = format!("{account}-{domain}-{number}");
                let seed = utils::stable_hash(&[&seed.to_le_bytes(), label.as_bytes()]);
                callers.spawn(run_caller(caller.clone(), account, kinds, label, seed));
            }
        }
    }
    callers
}

async fn run_caller(
    caller: Arc<Caller>,
    account: &'static str,
    kinds: &'static [RequestKind],
    label: String,
    seed: u64,
) -> CallerCounts {
    let mut rng = seeded_rng(seed);
    let mut counts = CallerCounts::default();
    for number in 0..REQUESTS_PER_CALLER {
        tokio::time::sleep(PAUSE_MAX.mul_f64(rng.random())).await;
        let kind = kinds[rng.random_range(0..kinds.len())];
        let req = DemoRequest::new(account, &format!("{label}-{number}"), kind, &mut rng);
        counts.requests += 1;
        match caller.send(&req.caller_request, |_| {}).await {
            Ok(answer) => {
                counts.answered += 1;
                counts.retries += u64::from(answer.tries - 1);
                counts.incomplete_answers += u64::from(!req.is_complete_answer(&answer.body));
            }
            Err(CallerError::Refused(detail)) => {
                counts.refused += 1;
                log::warn!(
                    request_id:% = req.caller_request.id, code = detail.code.as_str();
                    "fleet refused the request"
                );
            }
            Err(CallerError::TimedOut(Some(detail))) if detail.code == OUTCOME_UNKNOWN_CODE => {
                counts.outcome_unknown += 1;
                log::warn!(
                    request_id:% = req.caller_request.id;
                    "outcome of the request is unknown"
                );
            }
            Err(error) => {
                counts.unanswered += 1;
                log::warn!(
                    request_id:% = req.caller_request.id;
                    "request was not answered: {error}"
                );
            }
        }
    }
    counts
}
