//! Exchange of declarations between routers and their witnesses.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use super::{DeclarationMessage, PeerContent, gossip::encode, lending::serve_deferred_loans};
use crate::{allowance::RouterProcess, context::RelayContext};

/// Returns the name and process number of this router.
fn own_process(cx: &RelayContext) -> RouterProcess {
    RouterProcess { router: cx.settings.name.clone(), process: cx.process }
}

/// Sends the due messages to witnesses: a declaration, or the query of a new process about the
/// previous process.
pub(super) async fn send_due_messages(cx: &RelayContext) {
    let now = cx.now();
    let mut live = cx.lock_roster().live_processes(now);
    // A random order spreads the witnesses over the routers.
    live.shuffle(&mut *cx.lock_rng());
    cx.lock_allowances().choose_witnesses(&live);
    send_declaration(cx).await;
    let query = cx.lock_allowances().witness_query();
    if let Some((witnesses, about)) = query {
        let message = DeclarationMessage::query(&about);
        send_to(cx, &witnesses, &PeerContent::DeclarationQuery(message)).await;
    }
}

/// Declares to the witnesses how many tokens this router will neither spend nor lend, while the
/// store does not accept declarations.
pub(super) async fn send_declaration(cx: &RelayContext) {
    let declaration = cx.lock_allowances().witness_declaration(cx.now());
    if let Some((witnesses, declaration)) = declaration {
        let kept: u64 = declaration.kept.values().sum();
        log::info!(number = declaration.number, last_commit = declaration.last_commit, kept, witnesses = witnesses.len(); "tokens declared to witnesses");
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

/// Stores a declaration of another router and acknowledges it.
pub(super) async fn store_declaration(
    cx: &RelayContext,
    message: DeclarationMessage,
    sender: SocketAddr,
) {
    let declarer = message.declarer();
    if cx.lock_witness_records().store(declarer.clone(), message.to_declaration()) {
        let (kept, returning) = Default::default();
        let ack = DeclarationMessage { kept, returning, ..message };
        let ack = ack.with_witness(&own_process(cx));
        cx.gossip.send(&encode(PeerContent::DeclarationAck(ack)), sender).await;
    } else {
        log::error!(router:% = declarer.router; "declaration of a router not stored: no space for more records");
    }
}

/// Handles the acknowledgment of a declaration. It is ignored if the declaration is not from this
/// process.
pub(super) async fn handle_ack(cx: &RelayContext, message: &DeclarationMessage) {
    if message.declarer() == own_process(cx) {
        let witness = message.answering_witness();
        cx.lock_allowances().on_witness_confirmed(&witness, message.number);
        cx.allowance_changed.notify_waiters();
        serve_deferred_loans(cx).await;
    }
}

/// Answers the query of a new process about the previous process of its router.
pub(super) async fn answer_query(
    cx: &RelayContext,
    message: &DeclarationMessage,
    sender: SocketAddr,
) {
    let about = message.declarer();
    let statement = cx.lock_witness_records().statement(&about);
    log::info!(router:% = about.router, statement:? = statement; "answered a query about the earlier process of a router");
    let answer = DeclarationMessage::reply(&about, &statement).with_witness(&own_process(cx));
    cx.gossip.send(&encode(PeerContent::DeclarationReply(answer)), sender).await;
}

/// Handles a witness's reply to the query of this process.
pub(super) fn handle_reply(cx: &RelayContext, message: &DeclarationMessage) {
    let (witness, about) = (message.answering_witness(), message.declarer());
    cx.lock_allowances().on_witness_statement(&witness, &about, &message.to_statement());
    cx.allowance_wanted.notify_one();
}
