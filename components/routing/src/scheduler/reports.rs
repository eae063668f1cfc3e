//! Handling of endpoint reports: load, model loading and cache events.

use engine_api::{CacheEvent, LoadReport, LoadState};
use types::{EndpointName, Timestamp};

use super::Scheduler;
use crate::{endpoint::Endpoint, endpoint_id::EndpointId, pool::PoolId};

/// Weight of a new model load time in the moving average.
const LOAD_TIME_WEIGHT: f64 = 0.3;

impl Scheduler {
    /// Applies a load report. A report from an ejected engine whose ejection time is over
    /// counts as a successful probe.
    pub fn on_report(&mut self, name: &EndpointName, report: &LoadReport, now: Timestamp) {
        let Some(id) = self.table.id(name) else { return };
        let lag = self.settings.report_lag;
        let endpoint = self.table.get_mut(id);
        endpoint.load.apply_report(report, lag, now);
        endpoint.limit.set_max_batch(report.max_batch);
        endpoint.leaving_by_report = report.leaving;
        if endpoint.health.may_probe(now) {
            endpoint.health.end_ejection();
            endpoint.limit.begin_slow_start(now);
        }
        let load_times = track_loads(endpoint, report, now);
        endpoint.models = Some(report.models.clone());
        for (model, seconds) in load_times {
            let mean = self.load_times.entry(model).or_insert(seconds);
            *mean += (seconds - *mean) * LOAD_TIME_WEIGHT;
        }
    }

    /// Records that an engine did not answer a load poll.
    pub fn on_report_failed(&mut self, name: &EndpointName, now: Timestamp) {
        let Some(id) = self.table.id(name) else { return };
        self.record_failure(id, now);
    }

    /// Applies cache events of an engine to the prefix index. `has_gap` means that earlier
    /// events were lost, so everything recorded for the engine is dropped first.
    pub fn on_cache_events(&mut self, name: &EndpointName, events: &[CacheEvent], has_gap: bool) {
        let Some(id) = self.table.id(name) else { return };
        if has_gap {
            self.prefixes.forget(id);
        }
        let pools: Vec<PoolId> = self.table.model_pools_of(id).collect();
        for (event, &pool) in events.iter().flat_map(|it| pools.iter().map(move |p| (it, p))) {
            match *event {
                CacheEvent::Stored(block) => self.prefixes.add(block_key(block, pool), id),
                CacheEvent::Evicted(block) => self.prefixes.remove(block_key(block, pool), id),
            }
        }
    }

    /// Records a failure. Ejects the endpoint after enough consecutive failures, unless
    /// too many other endpoints of its pools are ejected already.
    pub(super) fn record_failure(&mut self, id: EndpointId, now: Timestamp) {
        let endpoint = self.table.get_mut(id);
        endpoint.health.on_failure(now);
        endpoint.load.reset_other_load();
        let is_due = endpoint.health.failures() >= self.settings.ejection_failures;
        if is_due && (self.table.get(id).health.is_ejected() || self.may_eject(id)) {
            let base = self.settings.ejection_time;
            self.table.get_mut(id).health.eject(base, now);
        }
    }

    /// Reports whether every pool of the endpoint allows one more ejection.
    fn may_eject(&self, id: EndpointId) -> bool {
        let mut pools = self.table.pools.iter().filter(|pool| pool.member_set.contains(&id));
        pools.all(|pool| {
            let is_ejected = |it: &&EndpointId| self.table.get(**it).health.is_ejected();
            let ejected = pool.members.iter().filter(is_ejected).count();
            (ejected + 1) * 100 <= pool.members.len() * self.settings.ejected_percent_max
        })
    }
}

/// Returns the key of a block in the prefix index. It includes the pool because the same
/// text is a different cache block for a different model.
pub(super) fn block_key(block: u64, pool: PoolId) -> u64 {
    block ^ u64::from(pool.0).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Updates the model loads in progress on `endpoint`. Returns the duration in seconds of
/// each load that has ended.
fn track_loads(
    endpoint: &mut Endpoint,
    report: &LoadReport,
    now: Timestamp,
) -> Vec<(types::ModelName, f64)> {
    let loads = |state: LoadState| report.models.iter().filter(move |it| it.state == state);
    let before = std::mem::take(&mut endpoint.loading);
    let mut ended = Vec::new();
    for (model, version, since) in &before {
        if loads(LoadState::Ready).any(|it| it.model == *model && it.version == *version) {
            ended.push((model.clone(), now.since(*since).as_secs_f64()));
        }
    }
    endpoint.loading = loads(LoadState::Loading)
        .map(|it| {
            let known = before.iter().find(|(m, v, _)| *m == it.model && *v == it.version);
            let since = known.map_or(now, |&(_, _, since)| since);
            (it.model.clone(), it.version.clone(), since)
        })
        .collect();
    ended
}
