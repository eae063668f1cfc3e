//! Reads the accepted configuration from the table.
//!
//! Three kinds of rows hold it: the head names the accepted version, the snapshot holds the full
//! configuration of some earlier version, and each version has a row with its changes. A commit
//! therefore writes only its changes, and a router that is up to date reads only new changes. A
//! snapshot without a head, as written by hand, counts as accepted.

use std::sync::Arc;

use config::{CONFIG_CHANGES_PREFIX, CONFIG_HEAD_KEY, CONFIG_KEY, Config, ConfigHead, VersionRow};
use errors::{Error, ErrorKind, Result};
use platform::{Key, PlatformError, Precondition, Row, RowError, SCAN_MAX_ROWS, Table};
use types::ConfigVersion;

/// The accepted configuration, as read from the table.
#[derive(Debug, Clone)]
pub struct StoredConfig {
    /// Accepted configuration.
    pub cfg: Arc<Config>,
    /// Head row; `None` before the first accepted plan.
    pub head: Option<ConfigHead>,
    /// Precondition that fails once another version is accepted.
    pub unchanged: Precondition,
}

/// Reads the accepted configuration. If it has the version of `cached`, only the head is read;
/// if it is later, only the head and the changes since `cached`.
///
/// # Errors
/// `StoreUnavailable` if the table cannot be read; `Internal` if a row is corrupt or missing.
pub async fn read_config(table: &dyn Table, cached: &Arc<Config>) -> Result<StoredConfig> {
    let head_key = Key::from_parts(&[CONFIG_HEAD_KEY]);
    let row = read_row(table, &head_key).await?;
    let Some(row) = row else { return read_snapshot_without_head(table, cached).await };
    let head: ConfigHead = row.decode().map_err(corrupt_row_error)?;
    let unchanged = Precondition::Revision(head_key, row.revision);
    let stored = |cfg| StoredConfig { cfg, head: Some(head), unchanged };
    if cached.version == head.version {
        return Ok(stored(cached.clone()));
    }
    // Version 0 is the empty configuration. It has no snapshot: a missing one stands for it.
    let is_usable = cached.version < head.version && cached.version.0 > 0;
    let base = if is_usable {
        cached.clone()
    } else {
        let row = read_row(table, &Key::from_parts(&[CONFIG_KEY])).await?;
        match row {
            Some(row) => Arc::new(row.decode().map_err(corrupt_row_error)?),
            None => Arc::default(),
        }
    };
    Ok(stored(Arc::new(apply_changes(table, base, head.version).await?)))
}

/// Reads the change rows of the versions from `first` to `last`, in order.
///
/// # Errors
/// Same as [`read_config`].
pub async fn read_versions(
    table: &dyn Table,
    first: ConfigVersion,
    last: ConfigVersion,
) -> Result<Vec<VersionRow>> {
    let mut versions: Vec<VersionRow> = Vec::new();
    let mut after = version_key(ConfigVersion(first.0.saturating_sub(1)));
    loop {
        let rows = table.scan(CONFIG_CHANGES_PREFIX, Some(&after)).await.map_err(store_error)?;
        let is_last_page = rows.len() < SCAN_MAX_ROWS;
        for row in rows {
            let version: VersionRow = row.decode().map_err(corrupt_row_error)?;
            after = row.key;
            if version.version > last {
                return Ok(versions);
            }
            versions.push(version);
        }
        if is_last_page {
            return Ok(versions);
        }
    }
}

/// Returns the key of the change row of `version`.
pub fn version_key(version: ConfigVersion) -> Key {
    // Twenty digits hold every version number, so that keys sort by version.
    Key::from_parts(&[&format!("{CONFIG_CHANGES_PREFIX}{:020}", version.0)])
}

/// Reads one row; `None` if it does not exist.
pub(crate) async fn read_row(table: &dyn Table, key: &Key) -> Result<Option<Row>> {
    let rows = table.read(std::slice::from_ref(key)).await.map_err(store_error)?;
    Ok(rows.into_iter().next().flatten())
}

/// Converts the error of a call to the table.
pub(crate) fn store_error(error: PlatformError) -> Error {
    Error::new(ErrorKind::StoreUnavailable, error.to_string())
}

/// Converts the error of a row that cannot be decoded.
pub(crate) fn corrupt_row_error(error: RowError) -> Error {
    Error::new(ErrorKind::Internal, error.to_string())
}

async fn read_snapshot_without_head(
    table: &dyn Table,
    cached: &Arc<Config>,
) -> Result<StoredConfig> {
    let head_key = Key::from_parts(&[CONFIG_HEAD_KEY]);
    let row = read_row(table, &Key::from_parts(&[CONFIG_KEY])).await?;
    let cfg = match row {
        Some(row) => {
            let cfg: Config = row.decode().map_err(corrupt_row_error)?;
            if cfg.version == cached.version { cached.clone() } else { Arc::new(cfg) }
        }
        None => Arc::default(),
    };
    Ok(StoredConfig { cfg, head: None, unchanged: Precondition::Absent(head_key) })
}

async fn apply_changes(
    table: &dyn Table,
    base: Arc<Config>,
    last: ConfigVersion,
) -> Result<Config> {
    let first = ConfigVersion(base.version.0 + 1);
    let versions = read_versions(table, first, last).await?;
    let mut cfg = Arc::unwrap_or_clone(base);
    for row in versions {
        if row.version.0 != cfg.version.0 + 1 {
            break;
        }
        row.changes.iter().for_each(|change| change.apply(&mut cfg));
        cfg.version = row.version;
    }
    // A snapshot newer than the head that was read is fine, because it is accepted as well.
    if cfg.version >= last {
        return Ok(cfg);
    }
    let message =
        format!("the change row of configuration version {} is missing", cfg.version.0 + 1);
    Err(Error::new(ErrorKind::Internal, message))
}
