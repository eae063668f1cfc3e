//! Tells other routers of draws of tokens, so that these are known if the store comes back from an
//! older copy. Only needed with a store that states eras.

use std::{net::SocketAddr, sync::Arc};

use rand::seq::SliceRandom;

use super::{DrawAckMessage, DrawNoticeMessage, PeerContent, gossip::encode};
use crate::{allowance::DrawNotice, context::RelayContext};

/// Maximum number of routers that are told of a draw at once. More than have to confirm it, since
/// messages may be lost.
const NOTICE_FAN_OUT: usize = 4;

/// Sends the notice of the draws that others have to know of, and makes the tokens usable whose draws
/// are known to enough of them.
pub(crate) async fn announce_draws(cx: &RelayContext) {
    release_draws(cx);
    let notice = cx.lock_allowances().draw_notice();
    if let Some(notice) = notice {
        send_notice(cx, &notice, NOTICE_FAN_OUT).await;
    }
}

/// Tells all other routers that this process ends and what it knows.
pub(crate) async fn announce_end(cx: &RelayContext) {
    let notice = cx.lock_allowances().final_notice();
    if let Some(notice) = notice {
        send_notice(cx, &notice, usize::MAX).await;
    }
}

async fn send_notice(cx: &RelayContext, notice: &DrawNotice, count: usize) {
    let mut targets = cx.lock_roster().draw_witnesses(cx.now()).live;
    // A random order spreads the notices over the routers.
    targets.shuffle(&mut *cx.lock_rng());
    let datagram = encode(PeerContent::DrawNotice(DrawNoticeMessage::new(notice)));
    for target in targets.into_iter().take(count) {
        cx.gossip.send(&datagram, target).await;
    }
}

fn release_draws(cx: &RelayContext) {
    let witnesses = cx.lock_roster().draw_witnesses(cx.now());
    let is_released = cx.lock_allowances().release_draws(witnesses.known, witnesses.live.len());
    if is_released {
        cx.allowance_changed.notify_waiters();
    }
}

/// Keeps what another router tells of its draws, and confirms that.
pub(super) async fn handle_notice(
    cx: &RelayContext,
    message: &DrawNoticeMessage,
    sender: SocketAddr,
) {
    if !cx.lock_allowances().apply_draw_notice(&message.to_notice(), cx.now()) {
        log::info!(router = message.router.as_str(), era = message.era; "notice of a draw in another era of the store ignored");
        return;
    }
    let ack = DrawAckMessage {
        router: cx.settings.name.to_string(),
        process: message.process,
        number: message.number,
        era: message.era,
    };
    cx.gossip.send(&encode(PeerContent::DrawAck(ack)), sender).await;
}

/// Handles the confirmation that another router knows of this router's draws.
pub(super) fn handle_ack(cx: &RelayContext, message: &DrawAckMessage) {
    if message.process != cx.process {
        return;
    }
    let router = Arc::from(message.router.as_str());
    cx.lock_allowances().on_draw_confirmed(&router, message.number, message.era);
    release_draws(cx);
}
