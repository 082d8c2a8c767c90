//! Restricts which paths of the upstream entries can reach.
//!
//! An engine accepts orders and requests on the same port. A caller that requested the
//! path of orders would bypass the [order sender](crate::orders), so only the paths of
//! requests are forwarded.

use verbenaspool_protocol::problem::{Code, Problem};

use crate::settings::Upstream;

/// Checks that a path may be forwarded.
///
/// Engines interpret `/v1/../order` or `/v1/%2e%2e/order` differently, so a path that could
/// resolve to another one is rejected.
pub(crate) fn check_path(upstream: &Upstream, path: &str) -> Result<(), Problem> {
    if !path.starts_with('/') {
        return Err(Problem::not_run(Code::BadRequest, "The path is no path."));
    }
    if upstream.paths.is_empty() {
        return Ok(());
    }
    let allowed = upstream
        .paths
        .iter()
        .any(|prefix| path.starts_with(prefix.as_str()));
    if !allowed || !is_unambiguous(path) {
        let message = "The upstream takes no requests at this path.";
        return Err(Problem::not_run(Code::Forbidden, message));
    }
    Ok(())
}

/// Whether every server resolves the path the same way.
fn is_unambiguous(path: &str) -> bool {
    let segments = path.strip_prefix('/').unwrap_or(path).split('/');
    let last = segments.clone().count().saturating_sub(1);
    let well_formed = segments.enumerate().all(|(i, segment)| {
        segment != "." && segment != ".." && (i == last || !segment.is_empty())
    });
    well_formed && !path.contains(['%', '\\', ';'])
}
