//! The audit log.

use admin_api::AuditList;
use config::AUDIT_PREFIX;
use viz::Request;

use super::page::read_page;
use crate::{
    admin::{
        AdminError,
        context::{AdminCall, AdminContext},
    },
    configuration::corrupt_row_error,
};

/// Serves `GET /admin/v1/audit`: a page of the audit records, the oldest first.
pub(in crate::admin) async fn get_audit(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<AuditList, AdminError> {
    let page = read_page(&*cx.router.table, AUDIT_PREFIX, &req).await?;
    let entries: Result<_, _> = page.rows.iter().map(platform::Row::decode).collect();
    Ok(AuditList { entries: entries.map_err(corrupt_row_error)?, next: page.next })
}
