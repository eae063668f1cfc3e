//! Timer of callers' idle connections, which follows the desired state.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};

use crate::context::RelayContext;

/// Idle timeout of a caller's connection until a desired state sets one, and of connections to
/// the auxiliary API.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Times how long a caller's connection is idle. The HTTP library asks for a fixed timeout each time
/// that it waits for the head of a request; the timeouts in force replace it.
pub(super) struct IdleTimer {
    /// Shared state of the relay.
    cx: Arc<RelayContext>,
}

impl IdleTimer {
    /// Creates the timer of one connection.
    pub(super) fn new(cx: Arc<RelayContext>) -> IdleTimer {
        IdleTimer { cx }
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep::new(self.cx.clone()))
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep::new(self.cx.clone()))
    }
}

/// Ends once a connection has been idle for the longer of two timeouts: the one in force when it
/// became idle, and the one in force now. Callers may rely on either.
struct IdleSleep {
    /// Shared state of the relay.
    cx: Arc<RelayContext>,
    /// When the connection became idle.
    since: tokio::time::Instant,
    /// Timeout that the sleep lasts so far; never decreases.
    timeout: Duration,
    /// Ends at `since` + `timeout`.
    inner: Pin<Box<tokio::time::Sleep>>,
}

impl IdleSleep {
    fn new(cx: Arc<RelayContext>) -> IdleSleep {
        let (since, timeout) = (tokio::time::Instant::now(), idle_timeout(&cx));
        IdleSleep { cx, since, timeout, inner: Box::pin(tokio::time::sleep_until(since + timeout)) }
    }
}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        while self.inner.as_mut().poll(cx).is_ready() {
            let timeout = idle_timeout(&self.cx);
            if timeout <= self.timeout {
                return Poll::Ready(());
            }
            self.timeout = timeout;
            let until = self.since + timeout;
            self.inner.as_mut().reset(until);
        }
        Poll::Pending
    }
}

impl Sleep for IdleSleep {}

/// Returns the idle timeout in force.
fn idle_timeout(cx: &RelayContext) -> Duration {
    cx.in_force.load().as_ref().map_or(IDLE_TIMEOUT, |it| it.state.limits.idle_timeout)
}
