//! Routes of the administration API.

use viz::{Request, Router};

use super::{AdminContext, handlers};

/// Adds the routes of the administration API to `router`.
pub(crate) fn admin_routes(router: Router, cx: &AdminContext) -> Router {
    /// Passes the context to a handler.
    macro_rules! with_context {
        ($handler:path) => {{
            let cx = cx.clone();
            move |req: Request| {
                let cx = cx.clone();
                async move { Ok(handlers::serve(cx, req, $handler).await) }
            }
        }};
    }
    router
        .post("/admin/v1/plans", with_context!(handlers::post_plan))
        .get("/admin/v1/plans/:plan", with_context!(handlers::get_plan))
        .post("/admin/v1/plans/:plan/confirm", with_context!(handlers::post_confirm))
        .get("/admin/v1/config", with_context!(handlers::get_config))
        .get("/admin/v1/versions", with_context!(handlers::get_versions))
        .get("/admin/v1/versions/:from/diff/:to", with_context!(handlers::get_version_diff))
        .post("/admin/v1/versions/:version/undo", with_context!(handlers::post_undo))
        .get("/admin/v1/state", with_context!(handlers::get_state))
        .get("/admin/v1/budgets", with_context!(handlers::get_budgets))
        .get("/admin/v1/requests", with_context!(handlers::get_requests))
        .get("/admin/v1/in-doubt", with_context!(handlers::get_in_doubt))
        .get("/admin/v1/outcome-unknown", with_context!(handlers::get_outcome_unknown))
        .get("/admin/v1/audit", with_context!(handlers::get_audit))
}
