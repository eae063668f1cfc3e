//! The accepted configuration and its versions.

use admin_api::{VersionDiff, VersionList, VersionView};
use config::{
    CONFIG_CHANGES_PREFIX, Change, Role, VersionRow, combine_changes, describe_change,
    redact_key_hashes,
};
use errors::{Error, ErrorKind};
use platform::SCAN_MAX_ROWS;
use types::ConfigVersion;
use viz::Request;

use super::params::{path_param, query_param};
use crate::{
    admin::{
        AdminError,
        context::{AdminCall, AdminContext},
    },
    configuration::{corrupt_row_error, read_versions, store_error, version_key},
};

/// Maximum number of versions that a diff spans.
const DIFF_MAX_VERSIONS: u64 = 10_000;

/// Serves `GET /admin/v1/config`: the accepted configuration. Key hashes are shortened unless
/// the operator has the admin role.
pub(in crate::admin) async fn get_config(
    _cx: AdminContext,
    call: AdminCall,
    _req: Request,
) -> Result<serde_json::Value, AdminError> {
    let mut value = serde_json::to_value(&*call.cfg).unwrap_or_default();
    if call.operator.role != Role::Admin {
        redact_key_hashes(&mut value);
    }
    Ok(value)
}

/// Serves `GET /admin/v1/versions`: a page of the versions after the query parameter `after`.
pub(in crate::admin) async fn get_versions(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<VersionList, AdminError> {
    let after = ConfigVersion(query_param(&req, "after")?.unwrap_or(0));
    let key = version_key(after);
    let rows = cx.router.table.scan(CONFIG_CHANGES_PREFIX, Some(&key)).await;
    let rows = rows.map_err(store_error)?;
    let is_last_page = rows.len() < SCAN_MAX_ROWS;
    let versions: Result<Vec<VersionView>, _> =
        rows.iter().map(|row| row.decode().map(|row: VersionRow| view_version(&row))).collect();
    let versions = versions.map_err(corrupt_row_error)?;
    let last = versions.last().filter(|_| !is_last_page);
    Ok(VersionList { next: last.map(|last| last.version.0), versions })
}

/// Serves `GET /admin/v1/versions/FROM/diff/TO`, in either direction.
pub(in crate::admin) async fn get_version_diff(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<VersionDiff, AdminError> {
    let from = ConfigVersion(path_param(&req, "from")?);
    let to = ConfigVersion(path_param(&req, "to")?);
    let (low, high) = (from.min(to), from.max(to));
    if high.0 - low.0 > DIFF_MAX_VERSIONS {
        let message = format!("the versions must be at most {DIFF_MAX_VERSIONS} apart");
        return Err(AdminError::new(ErrorKind::BadRequest, message));
    }
    let first = ConfigVersion(low.0.saturating_add(1));
    let versions = read_versions(&*cx.router.table, first, high).await?;
    if versions.len() as u64 != high.0 - low.0 {
        return Err(Error::new(ErrorKind::NotFound, "no such version").into());
    }
    let mut changes = combine_changes(versions.iter().flat_map(|row| &row.changes));
    if from > to {
        changes = changes.iter().map(Change::reverse).collect();
    }
    let words = changes.iter().flat_map(describe_change).collect();
    let mut changes = serde_json::to_value(&changes).unwrap_or_default();
    redact_key_hashes(&mut changes);
    Ok(VersionDiff { from, to, words, changes })
}

fn view_version(row: &VersionRow) -> VersionView {
    VersionView {
        version: row.version,
        plan: row.plan.clone(),
        confirmed_by: row.confirmed_by.clone(),
        confirmed_at: row.confirmed_at,
        words: row.changes.iter().flat_map(describe_change).collect(),
    }
}
