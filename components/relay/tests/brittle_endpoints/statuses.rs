//! Status messages between the simulated routers.

use std::{sync::Arc, time::Duration};

use rand::seq::SliceRandom;
use relay::peers::StatementMessage;
use types::Timestamp;

use crate::{
    event::{Event, Status},
    fleet::Fleet,
};

/// Time between two rounds of status messages, and the number of routers that each round reaches.
pub(crate) const MESSAGE_INTERVAL: Duration = Duration::from_millis(300);
const FAN_OUT: usize = 14;

impl Fleet {
    pub(crate) fn status_of(&self, router: usize) -> Arc<Status> {
        let (router, now) = (&self.routers[router], self.now);
        let reports = router.registry.reports(now);
        Arc::new(Status {
            member: router.member(),
            wants_answer: router.started_at > Timestamp::ZERO && router.started_at == now,
            part: router.part,
            loads: router.registry.own_loads(),
            liveness: router.roster.liveness_reports(now).collect(),
            statements: reports.iter().map(StatementMessage::from_report).collect(),
        })
    }

    pub(crate) fn send_status(&mut self, from: usize) {
        let mut targets: Vec<usize> = (0..self.routers.len()).filter(|it| *it != from).collect();
        targets.shuffle(&mut self.rng);
        let status = self.status_of(from);
        for to in targets.into_iter().take(FAN_OUT) {
            self.send(Event::Status { from, to, status: status.clone() });
        }
    }

    pub(crate) fn receive_status(&mut self, from: usize, to: usize, status: &Status) {
        if !self.can_reach(from, to) || self.routers[to].part != status.part {
            return;
        }
        let (router, now) = (&mut self.routers[to], self.now);
        let name = status.member.name.clone();
        router.registry.apply_peer_loads(&name, &status.loads, now);
        router.book.reconcile(&name, &status.loads, now);
        router.roster.record_status(status.member.clone(), now);
        let own_key = router.process_key;
        for report in status.liveness.iter().filter(|it| it.process_key != own_key) {
            router.roster.record_report(report, now);
        }
        for report in status.statements.iter().filter_map(StatementMessage::to_report) {
            router.registry.apply_report(&report, now);
        }
        if status.wants_answer {
            let status = self.status_of(to);
            self.send(Event::Status { from: to, to: from, status });
        }
    }
}
