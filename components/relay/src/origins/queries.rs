//! Queries to other routers for where a stream began.

use std::{net::SocketAddr, sync::Arc};

use utils::HashMap;

use super::{Origin, VersionView};

/// Another router's answer to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginAnswer {
    /// Where the stream began, if the router has a record.
    pub origin: Option<Origin>,
    /// What the router knows about the versions of the service.
    pub view: VersionView,
}

/// What the answers to a query say so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueryResult {
    /// Where the stream began, if a router has a record.
    pub origin: Option<Origin>,
    /// Versions that any of the routers has seen.
    pub versions: Vec<Arc<str>>,
    /// Number of routers that answered and know all versions of the service.
    pub complete: usize,
    /// Number of routers that were asked.
    pub asked: usize,
    /// Number of routers that have answered.
    pub answered: usize,
}

impl QueryResult {
    /// Reports whether further answers cannot change the result.
    pub fn is_final(&self) -> bool {
        self.origin.is_some() || self.answered >= self.asked
    }

    /// Reports whether routers were asked and all of them have answered.
    pub fn have_all_answered(&self) -> bool {
        self.asked > 0 && self.answered >= self.asked
    }

    /// Adds versions, each once.
    pub fn add_versions(&mut self, versions: &[Arc<str>]) {
        for version in versions {
            if !self.versions.contains(version) {
                self.versions.push(version.clone());
            }
        }
    }
}

/// A query that is not finished.
#[derive(Debug)]
struct OpenQuery {
    result: QueryResult,
    /// Routers that have not answered.
    unanswered: Vec<SocketAddr>,
}

/// Queries of this router that are not finished.
#[derive(Debug, Default)]
pub struct OriginQueries {
    /// Queries by their random numbers.
    open: HashMap<u64, OpenQuery>,
}

impl OriginQueries {
    /// Opens a query to the routers at `asked`.
    pub fn open(&mut self, number: u64, asked: &[SocketAddr]) {
        let result = QueryResult { asked: asked.len(), ..QueryResult::default() };
        self.open.insert(number, OpenQuery { result, unanswered: asked.to_vec() });
    }

    /// Adds the answer of the router at `sender`. A second answer of the same router, and answers to
    /// finished queries, are ignored.
    pub fn add_answer(&mut self, number: u64, sender: SocketAddr, answer: OriginAnswer) {
        let Some(query) = self.open.get_mut(&number) else { return };
        let Some(at) = query.unanswered.iter().position(|it| *it == sender) else { return };
        query.unanswered.swap_remove(at);
        let result = &mut query.result;
        result.answered += 1;
        result.add_versions(&answer.view.versions);
        result.complete += usize::from(answer.view.is_complete);
        result.origin = result.origin.take().or(answer.origin);
    }

    /// Returns the routers that have not answered a query.
    pub fn unanswered(&self, number: u64) -> Vec<SocketAddr> {
        self.open.get(&number).map(|it| it.unanswered.clone()).unwrap_or_default()
    }

    /// Reports whether a query has its final result.
    pub fn is_final(&self, number: u64) -> bool {
        self.open.get(&number).is_none_or(|it| it.result.is_final())
    }

    /// Closes a query and returns what the answers said.
    pub fn close(&mut self, number: u64) -> QueryResult {
        self.open.remove(&number).map(|it| it.result).unwrap_or_default()
    }
}
