//! Index of the endpoints that cache each prompt block, updated by this router's own
//! requests and by cache events.

use utils::HashMap;

use crate::endpoint_id::EndpointId;

/// Maximum number of endpoints recorded for one block.
const ENDPOINTS_PER_BLOCK_MAX: usize = 16;

/// Endpoints that cache prompt blocks. The index is bounded: blocks are kept in two
/// generations, and the older one is dropped when the recent one is full.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    /// Maximum number of blocks in one generation.
    generation_max: usize,
    /// Blocks written since the last change of generation.
    recent: HashMap<u64, Vec<EndpointId>>,
    /// Blocks written in the previous generation and not since.
    old: HashMap<u64, Vec<EndpointId>>,
}

impl PrefixIndex {
    /// Creates an index of at most `blocks_max` blocks.
    pub(crate) fn new(blocks_max: usize) -> PrefixIndex {
        let generation_max = (blocks_max / 2).max(1);
        PrefixIndex { generation_max, recent: HashMap::default(), old: HashMap::default() }
    }

    /// Records that `endpoint` caches `block`.
    pub(crate) fn add(&mut self, block: u64, endpoint: EndpointId) {
        if self.recent.len() >= self.generation_max && !self.recent.contains_key(&block) {
            self.old = std::mem::take(&mut self.recent);
        }
        let old = &mut self.old;
        let endpoints =
            self.recent.entry(block).or_insert_with(|| old.remove(&block).unwrap_or_default());
        if let Some(index) = endpoints.iter().position(|&it| it == endpoint) {
            endpoints.remove(index);
        } else if endpoints.len() >= ENDPOINTS_PER_BLOCK_MAX {
            endpoints.remove(0);
        }
        endpoints.push(endpoint);
    }

    /// Records that `endpoint` no longer caches `block`.
    pub(crate) fn remove(&mut self, block: u64, endpoint: EndpointId) {
        for generation in [&mut self.recent, &mut self.old] {
            if let Some(endpoints) = generation.get_mut(&block) {
                endpoints.retain(|&it| it != endpoint);
            }
        }
    }

    /// Removes `endpoint` from all blocks, because its cache was lost or is unknown.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        for generation in [&mut self.recent, &mut self.old] {
            generation.values_mut().for_each(|endpoints| endpoints.retain(|&it| it != endpoint));
        }
    }

    /// Returns the endpoints that cache the longest prefix of `blocks`, most recently
    /// recorded first.
    pub(crate) fn longest_prefix_endpoints(
        &self,
        blocks: &[u64],
    ) -> impl Iterator<Item = EndpointId> + '_ {
        let known = partition_point(blocks, |block| !self.get(block).is_empty());
        let last = known.checked_sub(1).map_or(&[][..], |last| self.get(blocks[last]));
        last.iter().rev().copied()
    }

    /// Returns the length of the prefix of `blocks` that `endpoint` caches, in blocks.
    pub(crate) fn cached_blocks(&self, blocks: &[u64], endpoint: EndpointId) -> usize {
        partition_point(blocks, |block| self.get(block).contains(&endpoint))
    }

    fn get(&self, block: u64) -> &[EndpointId] {
        let endpoints = self.recent.get(&block).or_else(|| self.old.get(&block));
        endpoints.map_or(&[], Vec::as_slice)
    }
}

/// Returns the length of the prefix of `blocks` that satisfies `is_known`. It uses binary
/// search, because each prefix of a cached prefix is cached as well.
fn partition_point(blocks: &[u64], is_known: impl Fn(u64) -> bool) -> usize {
    blocks.partition_point(|&block| is_known(block))
}

#[cfg(test)]
#[path = "prefix_index_tests.rs"]
mod tests;
