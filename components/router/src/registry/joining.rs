//! Joins a request to the attempt of another router, or to the answer that it stored.

use errors::{Error, ErrorKind, Result};
use requests::{Attempt, Claim, ClaimDecision, StoredAnswer};

use super::{
    Begin, BeginRequest,
    entries::{Entry, id_reused},
    fleet::FleetRegistry,
    home::HomeReply,
    relay::Fetch,
    stored::{count_joined, write_stored},
};

/// Maximum number of claims that one call of `begin` makes before it fails.
const CLAIMS_PER_BEGIN_MAX: usize = 4;

impl FleetRegistry {
    /// Claims a request at its home router; joins its attempt if another router runs or has
    /// run it.
    pub(super) async fn claim_or_join(&self, req: &BeginRequest, entry: &Entry) -> Result<Begin> {
        let intent = self.read_intent(req).await;
        let mut given_up = None;
        for _ in 0..CLAIMS_PER_BEGIN_MAX {
            let claim = Claim {
                key: req.key.clone(),
                fingerprint: req.fingerprint,
                attempt: entry.attempt.clone(),
                given_up: given_up.take(),
            };
            let (attempt, found) = match self.home.claim(&claim).await {
                None => return self.admit(req, entry, HomeReply::Unreachable, intent),
                Some(ClaimDecision::Granted { is_first }) => {
                    return self.admit(req, entry, HomeReply::Granted { is_first }, intent);
                }
                Some(ClaimDecision::Reused) => return Err(id_reused()),
                Some(ClaimDecision::RunsAt(attempt)) => {
                    let found = self.join_remote(req, entry, &attempt).await;
                    (attempt, found)
                }
                Some(ClaimDecision::Kept { attempt, object }) => {
                    let found = self.join_from_object(req, entry, &attempt, &object).await;
                    (attempt, found)
                }
            };
            if let Some(begin) = found {
                return Ok(begin);
            }
            given_up = Some(attempt);
        }
        Err(Error::new(
            ErrorKind::AttemptsFailed,
            "the answer could not be read from the routers that ran the request; send it again",
        ))
    }

    /// Joins the attempt of another router; `None` if that router is unreachable or does not
    /// know the attempt.
    async fn join_remote(
        &self,
        req: &BeginRequest,
        entry: &Entry,
        attempt: &Attempt,
    ) -> Option<Begin> {
        let fetch =
            Fetch { key: req.key.clone(), fingerprint: req.fingerprint, attempt: attempt.clone() };
        let first = self.relay.fetch(&fetch, 0, false).await?;
        count_joined("other_router");
        self.entries.update(&req.key, |it| it.is_remote = true);
        let (this, log, own) =
            (self.weak_self.upgrade()?, entry.log.clone(), entry.attempt.clone());
        tokio::spawn(async move {
            let result = this.relay.copy(&fetch, first, &log).await;
            match result {
                Ok(end) => {
                    this.entries.keep(&fetch.key, log.body().len());
                    log.finish(end);
                }
                Err(error) => {
                    this.entries.remove(&fetch.key, &own);
                    log.fail(error);
                }
            }
        });
        Some(Begin::Join(entry.log.clone()))
    }

    /// Uses the answer that a router stored in the object store before it ended; `None` if it
    /// cannot be read.
    async fn join_from_object(
        &self,
        req: &BeginRequest,
        entry: &Entry,
        attempt: &Attempt,
        object: &str,
    ) -> Option<Begin> {
        let item = self.kept.load(object, &req.key, attempt).await?;
        if item.fingerprint != req.fingerprint {
            return None;
        }
        count_joined("object_store");
        self.entries.update(&req.key, |it| it.is_remote = true);
        Some(self.join_stored(req, entry, &item.answer))
    }

    pub(super) fn join_stored(
        &self,
        req: &BeginRequest,
        entry: &Entry,
        answer: &StoredAnswer,
    ) -> Begin {
        let bytes = write_stored(answer, &entry.log);
        self.entries.keep(&req.key, bytes);
        Begin::Join(entry.log.clone())
    }
}
