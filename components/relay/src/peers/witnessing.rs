//! Declarations between a router and its witness.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use super::{DeclarationMessage, PeerContent, gossip::encode, lending::serve_deferred_loans};
use crate::{allowance::RouterProcess, context::RelayContext};

/// Returns this process.
fn own_process(cx: &RelayContext) -> RouterProcess {
    RouterProcess { router: cx.settings.name.clone(), process: cx.process }
}

/// Sends what is due to the witness: a declaration, or the question of a new process.
pub(super) async fn send_due(cx: &RelayContext) {
    let now = cx.now();
    let mut heard = cx.lock_roster().heard_processes(now);
    // Witnesses are spread over the routers.
    heard.shuffle(&mut *cx.lock_rng());
    cx.lock_allowances().choose_witnesses(&heard);
    declare(cx).await;
    let question = cx.lock_allowances().witness_question();
    if let Some((witnesses, about)) = question {
        let message = DeclarationMessage::question(&about);
        send_to(cx, &witnesses, &PeerContent::Question(message)).await;
    }
}

/// Declares to the witness what this router keeps, where the store does not take it.
pub(super) async fn declare(cx: &RelayContext) {
    let declaration = cx.lock_allowances().witness_declaration(cx.now());
    if let Some((witnesses, declaration)) = declaration {
        let message = DeclarationMessage::new(&own_process(cx), &declaration);
        send_to(cx, &witnesses, &PeerContent::Declaration(message)).await;
    }
}

async fn send_to(cx: &RelayContext, witnesses: &[RouterProcess], content: &PeerContent) {
    for witness in witnesses {
        let address = cx.lock_roster().peer_address(&witness.router);
        if let Some(address) = address {
            cx.gossip.send(&encode(content.clone()), address).await;
        }
    }
}

/// Keeps a declaration of another router and confirms it.
pub(super) async fn keep(cx: &RelayContext, message: DeclarationMessage, sender: SocketAddr) {
    let declarer = message.declarer();
    if cx.lock_witness_records().keep(declarer.clone(), message.to_declaration()) {
        let kept = DeclarationMessage { kept: Default::default(), ..message };
        let kept = kept.from_witness(&own_process(cx));
        cx.gossip.send(&encode(PeerContent::DeclarationKept(kept)), sender).await;
    } else {
        log::error!(router:% = declarer.router; "declaration of a router not kept: no room");
    }
}

/// Takes the confirmation of a declaration of this process.
pub(super) async fn confirm(cx: &RelayContext, message: &DeclarationMessage) {
    if message.declarer() == own_process(cx) {
        let witness = message.answering_witness();
        cx.lock_allowances().on_witness_confirmed(&witness, message.number);
        cx.allowance_changed.notify_waiters();
        serve_deferred_loans(cx).await;
    }
}

/// Answers the question of a new process about its predecessor.
pub(super) async fn answer(cx: &RelayContext, message: &DeclarationMessage, sender: SocketAddr) {
    let about = message.declarer();
    let statement = cx.lock_witness_records().statement(&about);
    log::info!(router:% = about.router, statement:? = statement; "statement given about an earlier process");
    let answer = DeclarationMessage::statement(&about, &statement).from_witness(&own_process(cx));
    cx.gossip.send(&encode(PeerContent::Statement(answer)), sender).await;
}

/// Takes the answer to the question of this process.
pub(super) fn take_statement(cx: &RelayContext, message: &DeclarationMessage) {
    let (witness, about) = (message.answering_witness(), message.declarer());
    cx.lock_allowances().on_witness_statement(&witness, &about, &message.to_statement());
    cx.allowance_wanted.notify_one();
}
