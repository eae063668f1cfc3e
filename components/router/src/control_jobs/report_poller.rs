//! Reads the load reports of engines for the controller.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use client::HttpClient;
use config::Config;
use engine_api::LoadReport;
use futures::{StreamExt, stream};
use http::{HeaderMap, Method};
use rollout::EndpointReport;
use types::EndpointName;

/// Path of the engines' load reports.
const LOAD_PATH: &str = "/v1/load";

/// Timeout for reading one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of reports read in one round. With more engines, consecutive rounds read
/// them in turn.
const REPORTS_PER_ROUND: usize = 160;

/// Maximum number of reports read concurrently.
const CONCURRENT_READS_MAX: usize = 16;

/// Reads the load reports of engines, up to [`REPORTS_PER_ROUND`] in each round.
#[derive(Default)]
pub(super) struct ReportPoller {
    /// Latest reports of the engines that answered their last poll.
    reports: BTreeMap<EndpointName, EndpointReport>,
    /// Engine that was polled last.
    last: Option<EndpointName>,
}

impl ReportPoller {
    /// Returns the latest reports by engine.
    pub(super) fn reports(&self) -> &BTreeMap<EndpointName, EndpointReport> {
        &self.reports
    }

    /// Reads the reports of the next engines in turn.
    pub(super) async fn read_round(&mut self, http: &HttpClient, cfg: &Config) {
        let engines = engine_addresses(cfg);
        self.reports.retain(|name, _| engines.contains_key(name));
        let last = self.last.take();
        let rest =
            engines.iter().skip_while(|(name, _)| last.as_ref().is_some_and(|it| *name <= it));
        let due: Vec<_> = rest
            .chain(engines.iter())
            .take(REPORTS_PER_ROUND.min(engines.len()))
            .map(|(name, address)| (name.clone(), *address, http.clone()))
            .collect();
        self.last = due.last().map(|(name, ..)| name.clone());
        let read: Vec<_> = stream::iter(due)
            .map(|(name, address, http)| async move { (name, read_report(&http, address).await) })
            .buffer_unordered(CONCURRENT_READS_MAX)
            .collect()
            .await;
        for (name, report) in read {
            match report {
                Some(report) => {
                    self.reports.insert(name, EndpointReport { models: report.models });
                }
                None => {
                    self.reports.remove(&name);
                }
            }
        }
    }
}

/// Returns the addresses of the endpoints that serve models.
fn engine_addresses(cfg: &Config) -> BTreeMap<EndpointName, SocketAddr> {
    let names = cfg.models.values().flat_map(|model| &model.endpoints);
    let known = names.filter_map(|name| Some((name.clone(), cfg.endpoints.get(name)?.address)));
    known.collect()
}

async fn read_report(http: &HttpClient, address: SocketAddr) -> Option<LoadReport> {
    let (headers, body) = (HeaderMap::new(), bytes::Bytes::new());
    let res = http.call(address, Method::GET, LOAD_PATH, headers, body, REPORT_TIMEOUT).await;
    let res = res.ok().filter(|res| res.status().is_success())?;
    serde_json::from_slice(res.body()).ok()
}
