//! Checks that the fleet recovers once all faults have ended.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::Instant;

use crate::{
    callers::RequestKind,
    router::SHUTDOWN_GRACE,
    support::endpoint_entry,
    world::{RECOVERY_TIME, SoakFleet},
};

/// Time after which a change must have taken effect, so that a leaving endpoint receives no new
/// requests.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

impl SoakFleet {
    /// Checks that the fleet recovers once all faults have ended.
    pub(crate) async fn check_recovery(&mut self) {
        // A router that received SIGTERM may take its whole grace period to end.
        self.run_for(SHUTDOWN_GRACE).await;
        let until = Instant::now() + RECOVERY_TIME;
        for router in self.addresses() {
            while self.callers.call(RequestKind::Get, router, &mut None).await.status() != Some(200)
            {
                assert!(Instant::now() < until, "{router} does not serve again");
                self.run_for(Duration::from_millis(100)).await;
            }
        }
        self.check_leaving_endpoint().await;
        self.check_shutdown().await;
    }

    async fn check_leaving_endpoint(&mut self) {
        let leaving = endpoint_entry(self.endpoint_links[0].address, "draining");
        self.store.write("servers", "i-0", &leaving);
        self.run_for(PROPAGATION_TIME).await;
        let before = self.endpoints[0].received().len();
        self.run_for(Duration::from_secs(1)).await;
        let after = self.endpoints[0].received().len();
        assert_eq!(after, before, "a leaving endpoint received new requests");
    }

    async fn check_shutdown(&mut self) {
        let signalled_at = Instant::now();
        let router = &mut self.routers[0];
        router.signal(Signal::TERM);
        let status = router
            .wait_for_exit(SHUTDOWN_GRACE)
            .await
            .expect("the router must end within its grace period");
        assert!(status.success(), "the router ended with {status}");
        // A request that arrives while the router closes the connection is not read and may fail.
        let log = self.routers[0].log();
        let was_read = |id: &str| log.contains(&format!("request={id} "));
        let outcomes = self.callers.outcomes();
        let interrupted = outcomes.iter().find(|it| {
            let is_interrupted = it.sent_at >= signalled_at && it.is_broken();
            it.router == self.routers[0].caller_address && is_interrupted && was_read(&it.id)
        });
        assert!(interrupted.is_none(), "interrupted by the shutdown: {interrupted:?}");
    }
}
