//! Conversion between the registry's types and the messages between routers.

use engine_api::Usage;
use errors::{Error, ErrorKind, Ran};
use protocol::{
    AnswerEndBody, AnswerHeadMessage, AttemptRef, ClaimMessage, DecisionBody, EndKind,
    EndedMessage, FailedEnd, HandoverRef, KeptRef, PeerBody, RequestRef, RequestsBody,
    RequestsMessage, WholeEnd,
};
use requests::{Attempt, Claim, ClaimDecision, EndState, HandoverEntry};
use types::{Incarnation, RequestKey, RouterId};
use utils::Digest;

use crate::answer::{AnswerEnd, AnswerHead};

/// Wraps a registry message for [`Peers::send`](crate::peers::Peers::send).
pub(super) fn wrap(body: RequestsBody) -> PeerBody {
    PeerBody::Requests(RequestsMessage { body: Some(body) })
}

pub(super) fn encode_request(key: &RequestKey, fingerprint: &Digest) -> RequestRef {
    RequestRef {
        account: key.account.to_string(),
        id: key.id.to_string(),
        fingerprint: fingerprint.to_string(),
    }
}

pub(super) fn decode_request(req: Option<&RequestRef>) -> Option<(RequestKey, Digest)> {
    let req = req?;
    let key = RequestKey::new(req.account.parse().ok()?, req.id.parse().ok()?);
    Some((key, Digest::from_hex(&req.fingerprint)?))
}

pub(super) fn encode_attempt(attempt: &Attempt) -> AttemptRef {
    AttemptRef {
        router: attempt.router.name.to_string(),
        incarnation: attempt.router.incarnation.0,
        number: attempt.number,
    }
}

pub(super) fn decode_attempt(attempt: Option<&AttemptRef>) -> Option<Attempt> {
    let attempt = attempt?;
    let router = RouterId::new(attempt.router.parse().ok()?, Incarnation(attempt.incarnation));
    Some(Attempt::new(router, attempt.number))
}

pub(super) fn encode_claim(call: u64, claim: &Claim) -> ClaimMessage {
    ClaimMessage {
        call,
        request: Some(encode_request(&claim.key, &claim.fingerprint)),
        attempt: Some(encode_attempt(&claim.attempt)),
        given_up: claim.given_up.as_ref().map(encode_attempt),
    }
}

pub(super) fn decode_claim(message: &ClaimMessage) -> Option<Claim> {
    let (key, fingerprint) = decode_request(message.request.as_ref())?;
    let attempt = decode_attempt(message.attempt.as_ref())?;
    let given_up = decode_attempt(message.given_up.as_ref());
    Some(Claim { key, fingerprint, attempt, given_up })
}

pub(super) fn encode_decision(decision: &ClaimDecision) -> DecisionBody {
    match decision {
        ClaimDecision::Granted { is_first } => DecisionBody::Granted(*is_first),
        ClaimDecision::RunsAt(attempt) => DecisionBody::RunsAt(encode_attempt(attempt)),
        ClaimDecision::Kept { attempt, object } => DecisionBody::Kept(KeptRef {
            attempt: Some(encode_attempt(attempt)),
            object: object.clone(),
        }),
        ClaimDecision::Reused => DecisionBody::Reused(true),
    }
}

pub(super) fn decode_decision(decision: Option<&DecisionBody>) -> Option<ClaimDecision> {
    Some(match decision? {
        DecisionBody::Granted(is_first) => ClaimDecision::Granted { is_first: *is_first },
        DecisionBody::RunsAt(attempt) => ClaimDecision::RunsAt(decode_attempt(Some(attempt))?),
        DecisionBody::Kept(kept) => ClaimDecision::Kept {
            attempt: decode_attempt(kept.attempt.as_ref())?,
            object: kept.object.clone(),
        },
        DecisionBody::Reused(_) => ClaimDecision::Reused,
    })
}

pub(super) fn encode_ended(
    key: &RequestKey,
    fingerprint: &Digest,
    attempt: &Attempt,
    state: &EndState,
) -> EndedMessage {
    let (kind, object) = match state {
        EndState::Kept { object } => (EndKind::Kept, object.clone()),
        EndState::NotRun => (EndKind::NotRun, None),
        EndState::MayHaveRun => (EndKind::MayHaveRun, None),
        EndState::IdReused => (EndKind::IdReused, None),
    };
    EndedMessage {
        request: Some(encode_request(key, fingerprint)),
        attempt: Some(encode_attempt(attempt)),
        kind: kind.into(),
        object: object.unwrap_or_default(),
    }
}

/// Returns how the attempt of `message` ended. An unknown kind, sent by a newer version, is
/// read as "may have run".
pub(super) fn decode_end_state(message: &EndedMessage) -> EndState {
    match message.kind() {
        EndKind::Kept => EndState::Kept { object: non_empty(&message.object) },
        EndKind::NotRun => EndState::NotRun,
        EndKind::MayHaveRun | EndKind::Unspecified => EndState::MayHaveRun,
        EndKind::IdReused => EndState::IdReused,
    }
}

pub(super) fn encode_handover_entry(entry: &HandoverEntry) -> HandoverRef {
    HandoverRef {
        request: Some(encode_request(&entry.key, &entry.fingerprint)),
        attempt: entry.attempt.as_ref().map(encode_attempt),
        object: entry.object.clone().unwrap_or_default(),
        has_earlier: entry.has_earlier,
    }
}

pub(super) fn decode_handover_entry(entry: &HandoverRef) -> Option<HandoverEntry> {
    let (key, fingerprint) = decode_request(entry.request.as_ref())?;
    Some(HandoverEntry {
        key,
        fingerprint,
        attempt: decode_attempt(entry.attempt.as_ref()),
        object: non_empty(&entry.object),
        has_earlier: entry.has_earlier,
    })
}

pub(super) fn encode_head(head: &AnswerHead) -> AnswerHeadMessage {
    AnswerHeadMessage { status: head.status.into(), content_type: head.content_type.to_string() }
}

pub(super) fn decode_head(head: &AnswerHeadMessage) -> AnswerHead {
    AnswerHead {
        status: u16::try_from(head.status).unwrap_or(502),
        content_type: head.content_type.as_str().into(),
    }
}

pub(super) fn encode_end(end: &Result<AnswerEnd, Error>) -> AnswerEndBody {
    match end {
        Ok(end) => AnswerEndBody::Whole(WholeEnd {
            finish_reason: end.finish_reason.as_ref().map(ToString::to_string),
            prompt_tokens: end.usage.prompt_tokens,
            completion_tokens: end.usage.completion_tokens,
        }),
        Err(error) => AnswerEndBody::Failed(FailedEnd {
            code: error.kind().code().to_owned(),
            message: error.message().to_owned(),
            did_not_run: error.ran() == Ran::Never,
        }),
    }
}

pub(super) fn decode_end(end: &AnswerEndBody) -> Result<AnswerEnd, Error> {
    match end {
        AnswerEndBody::Whole(end) => Ok(AnswerEnd {
            finish_reason: end.finish_reason.as_deref().map(Into::into),
            usage: Usage::new(end.prompt_tokens, end.completion_tokens),
        }),
        AnswerEndBody::Failed(failed) => {
            let kind = ErrorKind::from_code(&failed.code).unwrap_or(ErrorKind::AttemptsFailed);
            let error = Error::new(kind, failed.message.as_str());
            Err(if failed.did_not_run { error } else { error.after_earlier_attempt() })
        }
    }
}

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}
