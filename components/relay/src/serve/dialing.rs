//! Opens connections to endpoints: directly, or through another router if this one is cut off.

use std::{io, pin::pin, sync::Arc, time::Duration};

use futures::future::{Either, select};
use types::Timestamp;

use super::{
    connection::{ConnectError, Connection},
    connections::ConnectionNeed,
};
use crate::{
    context::RelayContext,
    endpoints::Placement,
    reach::{Path, PeerCandidate, choose_peer},
    tunnel::{TunnelError, open_tunnel},
};

/// Time without a direct connection after which other routers are asked, too; many times what a
/// connection usually takes.
const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(150);

/// Timeout for opening a connection by any path. It leaves time for a direct connection that fails
/// and for at least one other router.
const ANY_PATH_TIMEOUT: Duration = Duration::from_millis(550);

/// Maximum number of other routers that are asked for a connection for one attempt.
const PEERS_ASKED_MAX: usize = 3;

/// The same if the result shows whether an endpoint's process has ended. It is higher since a wrong
/// result would count as a crash, and the routers that are asked first may be cut off, too.
const CRASH_CHECK_PEERS_MAX: usize = 5;

/// What other routers know about an endpoint that this one does not reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerVerdict {
    /// Its address refuses their connections.
    Refused,
    /// It does not answer them.
    Unreachable,
    /// None could tell.
    Unknown,
}

/// Returns a connection to the endpoint of `placement`: a kept one if there is one and `may_reuse` is
/// set, else a new one if fewer than the maximum are open.
///
/// # Errors
/// Returns an error if none could be opened, neither directly nor through another router.
pub(super) async fn acquire(
    cx: Arc<RelayContext>,
    placement: Placement,
    need: ConnectionNeed,
    may_reuse: bool,
) -> Result<Connection, ConnectError> {
    let (cx, placement) = (&cx, &placement);
    let path = path_to(cx, placement);
    if let Path::ThroughPeer { is_trial_due: true } = path {
        tokio::spawn(try_direct(cx.clone(), placement.clone(), need));
    }
    // A tunnel is not used for longer than needed, nor through a router that is leaving.
    let is_peer_usable =
        |peer: &str| path != Path::Direct && cx.lock_roster().is_ready(peer, cx.now());
    if may_reuse
        && !need.is_for_large_request
        && let Some(kept) = cx.connections.take_idle(&placement.endpoint, is_peer_usable)
    {
        return Ok(kept);
    }
    let opened = async {
        match path {
            Path::Direct => connect_by_any_path(cx, placement, need).await,
            Path::ThroughPeer { .. } => connect_through_peers_first(cx, placement, need).await,
        }
    };
    let opened = tokio::time::timeout(ANY_PATH_TIMEOUT, opened).await;
    let connection = opened.unwrap_or(Err(ConnectError::TimedOut))?;
    cx.lock_endpoints().record_reached(&placement.endpoint);
    Ok(connection)
}

/// Connects through other routers, and directly only if none of them could tell.
async fn connect_through_peers_first(
    cx: &RelayContext,
    placement: &Placement,
    need: ConnectionNeed,
) -> Result<Connection, ConnectError> {
    match connect_through_peers(cx, placement, need, PEERS_ASKED_MAX).await {
        Ok(connection) => Ok(connection),
        Err(PeerVerdict::Refused) => {
            Err(ConnectError::Failed(io::ErrorKind::ConnectionRefused.into()))
        }
        Err(PeerVerdict::Unreachable) => Err(ConnectError::TimedOut),
        Err(PeerVerdict::Unknown) => connect_directly(cx, placement, need).await,
    }
}

/// Waits until `deadline` for a connection to `endpoint`. If none is open by then, `opening` goes on
/// without the request, so that the router learns whether a path leads to the endpoint, and the
/// connection is kept for others.
pub(super) async fn wait_until(
    cx: &Arc<RelayContext>,
    endpoint: &Arc<str>,
    opening: impl Future<Output = Result<Connection, ConnectError>> + Send + 'static,
    deadline: Timestamp,
) -> Option<Result<Connection, ConnectError>> {
    let mut opening = Box::pin(opening);
    let opened = tokio::time::timeout_at(cx.instant(deadline), &mut opening).await;
    if opened.is_err() {
        let (cx, endpoint) = (cx.clone(), endpoint.clone());
        tokio::spawn(async move {
            match opening.await {
                Ok(connection) => cx.connections.release(connection),
                Err(ConnectError::TooMany) => {}
                Err(_) => cx.lock_endpoints().record_unreachable(&endpoint, cx.now()),
            }
        });
    }
    opened.ok()
}

fn path_to(cx: &RelayContext, placement: &Placement) -> Path {
    let now = cx.now();
    cx.lock_paths().path(&placement.service, &placement.endpoint, now, &mut cx.lock_rng())
}

/// Connects directly, and asks other routers if that fails or takes long.
async fn connect_by_any_path(
    cx: &RelayContext,
    placement: &Placement,
    need: ConnectionNeed,
) -> Result<Connection, ConnectError> {
    let mut direct = pin!(connect_directly(cx, placement, need));
    let early = tokio::time::timeout(PEER_FALLBACK_DELAY, &mut direct).await;
    let through_peers = connect_through_peers(cx, placement, need, PEERS_ASKED_MAX);
    match early {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error @ (ConnectError::TooMany | ConnectError::Unusable(_)))) => Err(error),
        Ok(Err(error)) => through_peers.await.map_err(|_| error),
        Err(_) => match select(direct, pin!(through_peers)).await {
            Either::Left((Ok(connection), _)) | Either::Right((Ok(connection), _)) => {
                Ok(connection)
            }
            Either::Left((Err(error), through_peers)) => through_peers.await.map_err(|_| error),
            Either::Right((Err(_), direct)) => direct.await,
        },
    }
}

async fn connect_directly(
    cx: &RelayContext,
    placement: &Placement,
    need: ConnectionNeed,
) -> Result<Connection, ConnectError> {
    let connection = cx.connections.connect(&placement.endpoint, placement.address, need).await?;
    let was_cut_off =
        cx.lock_paths().record_direct(&placement.service, &placement.endpoint, cx.now());
    if was_cut_off {
        log::info!(service:% = placement.service, endpoint:% = placement.endpoint; "router connects to the endpoints of a service itself again");
        cx.gossip.send_status(cx, false).await;
    }
    Ok(connection)
}

/// Finds out whether a direct connection to an endpoint can be opened again.
async fn try_direct(cx: Arc<RelayContext>, placement: Placement, need: ConnectionNeed) {
    if let Ok(connection) = connect_directly(&cx, &placement, need).await {
        cx.connections.release(connection);
    }
}

/// Connects through one of at most `peers_max` other routers, which are asked one after the other.
///
/// # Errors
/// Returns what the other routers found if none of them reached the endpoint.
async fn connect_through_peers(
    cx: &RelayContext,
    placement: &Placement,
    need: ConnectionNeed,
    peers_max: usize,
) -> Result<Connection, PeerVerdict> {
    let mut asked: Vec<PeerCandidate> = Vec::new();
    let mut verdict = PeerVerdict::Unknown;
    while asked.len() < peers_max {
        let Some(peer) = next_peer(cx, placement, &asked) else { break };
        let opened = open_tunnel(peer.address, placement).await;
        let outcome = opened.as_ref().err().map_or("opened", outcome_label);
        metrics::counter!(telemetry::TUNNELS_ASKED_TOTAL, "outcome" => outcome).increment(1);
        match opened {
            Ok(stream) => {
                record_blocked(cx, placement, &peer.name).await;
                let connected = cx
                    .connections
                    .connect_through(&peer.name, &placement.endpoint, stream, need.max)
                    .await;
                return connected.map_err(|_| PeerVerdict::Unknown);
            }
            Err(TunnelError::EndpointRefused) => verdict = PeerVerdict::Refused,
            Err(TunnelError::EndpointUnreachable) if verdict == PeerVerdict::Unknown => {
                verdict = PeerVerdict::Unreachable;
            }
            Err(TunnelError::EndpointUnreachable) => {}
            Err(error) => {
                log::debug!(router:% = peer.name, endpoint:% = placement.endpoint; "tunnel not opened: {error}");
                let now = cx.now();
                cx.lock_paths().avoid_peer(&peer.name, &placement.service, now);
            }
        }
        asked.push(peer);
    }
    Err(verdict)
}

fn next_peer(
    cx: &RelayContext,
    placement: &Placement,
    asked: &[PeerCandidate],
) -> Option<PeerCandidate> {
    let now = cx.now();
    let members: Vec<PeerCandidate> = {
        let roster = cx.lock_roster();
        let live = roster.members(now).filter(|(it, is_live)| *is_live && it.is_ready);
        live.map(|(it, _)| PeerCandidate {
            name: it.name.clone(),
            address: it.peer_address,
            failure_domain: it.failure_domain.clone(),
            tunnels: cx.connections.tunnels_through(&it.name),
            is_reaching: false,
        })
        .collect()
    };
    let paths = cx.lock_paths();
    let service = &placement.service;
    let usable = members.into_iter().filter(|it| {
        let is_asked = asked.iter().any(|asked| asked.name == it.name);
        !is_asked && paths.is_usable_peer(&it.name, service, now)
    });
    let usable = usable.map(|it| {
        let is_reaching = paths.is_reaching_peer(&it.name, service, now);
        PeerCandidate { is_reaching, ..it }
    });
    let usable: Vec<PeerCandidate> = usable.collect();
    drop(paths);
    let asked_domains: Vec<Arc<str>> = asked.iter().map(|it| it.failure_domain.clone()).collect();
    let mut rng = cx.lock_rng();
    choose_peer(&usable, &placement.failure_domain, &asked_domains, &mut rng).cloned()
}

/// Records that another router reaches an endpoint that this one does not. Connections that are kept
/// from before may lead nowhere, so they are closed.
async fn record_blocked(cx: &RelayContext, placement: &Placement, peer: &str) {
    let (service, endpoint) = (&placement.service, &placement.endpoint);
    if cx.lock_paths().is_blocked(service, endpoint) {
        return;
    }
    let now = cx.now();
    let is_cut_off = cx.lock_paths().record_blocked(service, endpoint, now, &mut cx.lock_rng());
    log::info!(endpoint:% = endpoint, service:% = service, router = peer; "endpoint reached only through another router");
    if is_cut_off {
        log::warn!(service:% = service; "router cut off from the endpoints of a service");
        cx.connections.close_idle_direct(None);
        cx.gossip.send_status(cx, false).await;
    } else {
        cx.connections.close_idle_direct(Some(endpoint));
    }
}

/// Asks other routers whether the process of an endpoint is up, after this router's own connection was
/// refused or not answered. Returns `None` if it is.
pub(super) async fn ask_peers(cx: &RelayContext, placement: &Placement) -> Option<PeerVerdict> {
    let connected = connect_through_peers(
        cx,
        placement,
        ConnectionNeed::usual(usize::MAX),
        CRASH_CHECK_PEERS_MAX,
    )
    .await;
    match connected {
        Ok(connection) => {
            cx.connections.release(connection);
            None
        }
        Err(verdict) => Some(verdict),
    }
}

fn outcome_label(error: &TunnelError) -> &'static str {
    match error {
        TunnelError::EndpointRefused => "refused",
        TunnelError::EndpointUnreachable => "unreachable",
        TunnelError::PeerUnable(_) => "peer_unable",
        TunnelError::TimedOut | TunnelError::Failed(_) => "peer_failed",
    }
}
