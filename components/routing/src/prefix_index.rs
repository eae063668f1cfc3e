//! Where the blocks of prompts are cached, as learnt from own sends and cache events.

use utils::HashMap;

use crate::endpoint_id::EndpointId;

/// Endpoints remembered for one block.
const HOLDERS_MAX: usize = 16;

/// Endpoints that cache blocks. Bounded: the least recently written half is forgotten.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    /// Blocks in one generation.
    generation_max: usize,
    /// Blocks written since the last change of generation.
    recent: HashMap<u64, Vec<EndpointId>>,
    /// Blocks written in the generation before.
    old: HashMap<u64, Vec<EndpointId>>,
}

impl PrefixIndex {
    /// Creates an index of at most `blocks_max` blocks.
    pub(crate) fn new(blocks_max: usize) -> PrefixIndex {
        let generation_max = (blocks_max / 2).max(1);
        PrefixIndex { generation_max, recent: HashMap::default(), old: HashMap::default() }
    }

    /// Notes that `endpoint` caches `block`.
    pub(crate) fn add(&mut self, block: u64, endpoint: EndpointId) {
        if self.recent.len() >= self.generation_max && !self.recent.contains_key(&block) {
            self.old = std::mem::take(&mut self.recent);
        }
        let old = &mut self.old;
        let holders =
            self.recent.entry(block).or_insert_with(|| old.remove(&block).unwrap_or_default());
        if let Some(place) = holders.iter().position(|&it| it == endpoint) {
            holders.remove(place);
        } else if holders.len() >= HOLDERS_MAX {
            holders.remove(0);
        }
        holders.push(endpoint);
    }

    /// Notes that `endpoint` caches `block` no longer.
    pub(crate) fn remove(&mut self, block: u64, endpoint: EndpointId) {
        for generation in [&mut self.recent, &mut self.old] {
            if let Some(holders) = generation.get_mut(&block) {
                holders.retain(|&it| it != endpoint);
            }
        }
    }

    /// Forgets what `endpoint` cached.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        for generation in [&mut self.recent, &mut self.old] {
            generation.values_mut().for_each(|holders| holders.retain(|&it| it != endpoint));
        }
    }

    /// Returns the endpoints of the last of `blocks` that any endpoint caches, the one
    /// that was noted last first.
    pub(crate) fn holders(&self, blocks: &[u64]) -> impl Iterator<Item = EndpointId> + '_ {
        let known = partition_point(blocks, |block| !self.get(block).is_empty());
        let last = known.checked_sub(1).map_or(&[][..], |last| self.get(blocks[last]));
        last.iter().rev().copied()
    }

    /// Returns how many blocks at the start of `blocks` `endpoint` caches.
    pub(crate) fn cached_blocks(&self, blocks: &[u64], endpoint: EndpointId) -> usize {
        partition_point(blocks, |block| self.get(block).contains(&endpoint))
    }

    fn get(&self, block: u64) -> &[EndpointId] {
        let holders = self.recent.get(&block).or_else(|| self.old.get(&block));
        holders.map_or(&[], Vec::as_slice)
    }
}

/// Returns the length of the prefix of `blocks` that satisfies `is_known`; a prefix of
/// a cached prefix is cached too, so that a binary search finds it.
fn partition_point(blocks: &[u64], is_known: impl Fn(u64) -> bool) -> usize {
    blocks.partition_point(|&block| is_known(block))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deepest_cached_block_names_the_endpoints() {
        let mut index = PrefixIndex::new(100);
        let (a, b) = (EndpointId(0), EndpointId(1));
        [1, 2, 3].iter().for_each(|&block| index.add(block, a));
        index.add(1, b);
        assert_eq!(index.holders(&[1, 2, 3, 4]).collect::<Vec<_>>(), [a]);
        assert_eq!(index.holders(&[1, 9]).collect::<Vec<_>>(), [b, a]);
        assert_eq!(index.cached_blocks(&[1, 2, 3, 4], a), 3);
        index.remove(3, a);
        assert_eq!(index.cached_blocks(&[1, 2, 3, 4], a), 2);
        index.forget(a);
        assert_eq!(index.holders(&[1, 2]).collect::<Vec<_>>(), [b]);
    }

    #[test]
    fn index_stays_within_its_bound() {
        let mut index = PrefixIndex::new(10);
        (0..1_000).for_each(|block| index.add(block, EndpointId(0)));
        assert!(index.recent.len() + index.old.len() <= 10);
    }
}
