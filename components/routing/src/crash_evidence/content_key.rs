//! Keys of what requests contain.

use std::fmt;

use utils::{Digest, stable_hash};

/// Depth of the whole content of a request, below all parts of its prompt.
const WHOLE_CONTENT_DEPTH: u16 = u16::MAX;

/// Identifies the whole content of a request, or a part of its prompt at one service; the same on
/// every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentKey(pub u64);

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Something that a request contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentItem {
    /// Key under which evidence is collected.
    pub key: ContentKey,
    /// Position: the parts of a prompt by their order, the whole content last. What is deeper is in
    /// fewer requests.
    pub depth: u16,
    /// Id of the prompt part for logs; zero for the whole content.
    pub part: u64,
}

impl ContentItem {
    /// Creates the item of a request's whole content.
    pub fn whole(content: &Digest) -> ContentItem {
        let key = ContentKey(stable_hash(&[b"content", content.as_bytes()]));
        ContentItem { key, depth: WHOLE_CONTENT_DEPTH, part: 0 }
    }

    /// Creates the item of a prompt part of a request to `service`, by its position.
    pub fn part(service: &str, part: u64, position: usize) -> ContentItem {
        let key = ContentKey(stable_hash(&[b"part", service.as_bytes(), &part.to_le_bytes()]));
        let depth =
            u16::try_from(position).unwrap_or(WHOLE_CONTENT_DEPTH).min(WHOLE_CONTENT_DEPTH - 1);
        ContentItem { key, depth, part }
    }

    /// Reports whether this is the whole content of a request.
    pub fn is_whole(&self) -> bool {
        self.depth == WHOLE_CONTENT_DEPTH
    }
}
