//! A simulated router: the production request registry and accounting, and a fake request path.

use std::{sync::Arc, time::Duration};

use budget::Bill;
use bytes::Bytes;
use config::ShortagePolicy;
use errors::{Error, ErrorKind, Ran, Result};
use history::{CallId, Event};
use platform::Table;
use router::{
    Clock,
    accounting::{Accounting, GrantAccounting, Reservation, ReserveRequest},
    answer::{AnswerEnd, AnswerHead, AnswerLog, KeptAnswer},
    registry::{Begin, BeginRequest, FleetRegistry, IntentPermit, RequestRegistry},
};
use tokio::runtime::Handle;
use types::{RequestKey, RouterId};
use utils::{Digest, seeded_rng};

use super::{Mutation, PRICE, World};
use crate::fakes::{Fleet, Gate, GatedTable, read_answer, router};

/// Timeout of each request.
const TIMEOUT: Duration = Duration::from_secs(6);

/// Fraction of non-idempotent calls whose endpoint refuses the connection.
const CONNECTION_REFUSED_SHARE: f64 = 0.2;

/// Simulated router.
pub(super) struct SimRouter {
    /// Identity of the router.
    id: RouterId,
    /// Gate of the router's process.
    pub(super) gate: Gate,
    /// Deduplicates requests by their request id.
    registry: Arc<FleetRegistry>,
    /// Reserves tokens and records bills.
    accounting: GrantAccounting,
    /// Clock that deadlines are measured against.
    clock: Clock,
}

impl Mutation {
    /// Returns whether the request ran, as reported to the caller.
    pub(super) fn reported(self, error: &Error) -> Ran {
        if self == Mutation::ReportsNotRun { Ran::Never } else { error.ran() }
    }
}

impl SimRouter {
    /// Starts the simulated router process of the fleet member `name`.
    pub(super) fn start(fleet: &mut Fleet, name: &str, seed: u64) -> SimRouter {
        let gate = Gate::new();
        let table: Arc<dyn Table> =
            Arc::new(GatedTable { table: fleet.table.clone(), gate: gate.clone() });
        let registry = fleet.start_registry(name, table.clone());
        let accounting = GrantAccounting::start(
            &Handle::current(),
            fleet.clock,
            table,
            fleet.peers_of(name),
            seeded_rng(seed),
        );
        SimRouter { id: router(name), gate, registry, accounting, clock: fleet.clock }
    }

    /// Serves one call of a caller.
    pub(super) async fn serve(
        self: Arc<SimRouter>,
        world: &Arc<World>,
        call: CallId,
        request: &RequestKey,
        is_idempotent: bool,
    ) -> Result<String> {
        self.gate.pass().await;
        world.push(Event::Arrival { call });
        let begin = BeginRequest {
            key: request.clone(),
            fingerprint: Digest::from_content(request.id.as_str().as_bytes()),
            idempotent: is_idempotent,
            deadline: self.clock.now() + TIMEOUT,
        };
        let log = match self.registry.begin(&begin).await? {
            Begin::Join(log) => log,
            Begin::Run(log) => {
                tokio::spawn(self.clone().run(world.clone(), begin, log.clone()));
                log
            }
        };
        match read_answer(&log).await {
            Err(_)
                if world.mutation == Mutation::PassesIncompleteAnswers
                    && !log.body().is_empty() =>
            {
                Ok(String::from_utf8_lossy(&log.body()).into_owned())
            }
            answer => answer,
        }
    }

    /// Runs a request to completion.
    async fn run(
        self: Arc<SimRouter>,
        world: Arc<World>,
        begin: BeginRequest,
        log: Arc<AnswerLog>,
    ) {
        let result = self.run_paid(&world, &begin, &log).await;
        self.gate.pass().await;
        match self.registry.end(&begin.key, result).await {
            Ok(answer) => log.finish(answer.end.clone()),
            Err(error) => log.fail(error),
        }
    }

    async fn run_paid(
        &self,
        world: &World,
        begin: &BeginRequest,
        log: &AnswerLog,
    ) -> Result<Arc<KeptAnswer>> {
        let reservation = self
            .accounting
            .reserve(&ReserveRequest {
                account: begin.key.account.clone(),
                tokens: PRICE,
                shortage: ShortagePolicy { max_wait: Duration::from_secs(1) },
                deadline: begin.deadline,
            })
            .await?;
        let mut permit = None;
        match self.send(world, begin, log, &mut permit).await {
            Ok(answer) => self.settle(world, begin, log, reservation, permit, answer).await,
            Err(error) => {
                self.accounting.release(reservation);
                Err(error)
            }
        }
    }

    /// Sends the call; a non-idempotent one only after its intent row is recorded.
    async fn send(
        &self,
        world: &World,
        begin: &BeginRequest,
        log: &AnswerLog,
        permit: &mut Option<IntentPermit>,
    ) -> Result<String> {
        let needs_permit = !begin.idempotent && world.mutation != Mutation::SendsWithoutIntent;
        if needs_permit {
            let recorded =
                self.registry.record_intent(&begin.key, &begin.fingerprint, begin.deadline).await?;
            if world.chance(CONNECTION_REFUSED_SHARE)
                || self.clock.time_left_until(begin.deadline).is_zero()
            {
                self.registry.withdraw_intent(recorded).await?;
                return Err(Error::new(ErrorKind::NoEndpoint, "connection refused"));
            }
            *permit = Some(recorded);
        }
        self.gate.pass().await;
        let answer = world.endpoint.call(&begin.key).await;
        self.gate.pass().await;
        let kind = match begin.idempotent {
            true => ErrorKind::AttemptsFailed,
            false => ErrorKind::OutcomeUnknown,
        };
        match answer {
            Some(answer) => Ok(answer),
            None => {
                // Part of the answer arrived before the connection failed.
                if begin.idempotent {
                    log.start(head());
                    log.push(Bytes::from_static(b"run "));
                }
                Err(Error::new(kind, "the answer was lost"))
            }
        }
    }

    async fn settle(
        &self,
        world: &World,
        begin: &BeginRequest,
        log: &AnswerLog,
        reservation: Reservation,
        permit: Option<IntentPermit>,
        answer: String,
    ) -> Result<Arc<KeptAnswer>> {
        let (first, rest) = answer.split_at(answer.len() / 2);
        if begin.idempotent {
            log.start(head());
            log.push(Bytes::copy_from_slice(first.as_bytes()));
        }
        let body = Bytes::copy_from_slice(answer.as_bytes());
        let kept = KeptAnswer { head: head(), body, end: AnswerEnd::default() };
        let intent_commit = permit.map(|permit| self.registry.settle_intent(&permit, &kept));
        let bill = Bill { request: begin.key.clone(), tokens: PRICE, router: self.id.clone() };
        if world.mutation == Mutation::AnswersWithoutBill {
            self.accounting.release(reservation);
        } else {
            let intent_commit = intent_commit.unwrap_or_default();
            self.accounting.settle(reservation, bill, intent_commit, begin.deadline).await?;
        }
        match begin.idempotent {
            true => log.push(Bytes::copy_from_slice(rest.as_bytes())),
            false => {
                log.start(head());
                log.push(kept.body.clone());
            }
        }
        Ok(Arc::new(kept))
    }
}

fn head() -> AnswerHead {
    AnswerHead { status: 200, content_type: "text/plain".into() }
}
