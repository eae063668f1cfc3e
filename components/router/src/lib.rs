//! router.
