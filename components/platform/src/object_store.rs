//! The object store.

use std::sync::Arc;

use async_trait::async_trait;

use crate::{Key, PlatformError};

/// The platform's object store. Objects are written as a whole; the last write wins.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Stores `content` under `key`. The object may have been stored even if an error is
    /// returned.
    ///
    /// # Errors
    /// If the store was not reached or refused the call.
    async fn put(&self, key: &Key, content: Arc<[u8]>) -> Result<(), PlatformError>;

    /// Reads the object under `key`; returns `None` if there is none.
    ///
    /// # Errors
    /// If the store was not reached or refused the call.
    async fn get(&self, key: &Key) -> Result<Option<Arc<[u8]>>, PlatformError>;

    /// Deletes the object under `key`, if there is one.
    ///
    /// # Errors
    /// If the store was not reached or refused the call.
    async fn delete(&self, key: &Key) -> Result<(), PlatformError>;
}
