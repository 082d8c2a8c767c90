//! Which of the upstream's paths entries may reach.
//!
//! An engine takes its orders on the same port as its requests. A caller who
//! asked for the path of the orders would get past the order gate, so that only
//! the paths of requests are passed on.

use verbenaspool_protocol::problem::{Code, Problem};

use crate::settings::Upstream;

/// Lets a path through or names the problem.
///
/// Engines read `/v1/../order` or `/v1/%2e%2e/order` in different ways, so a
/// path that could mean another one is refused whole.
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

/// Whether every reader takes the path for the same.
fn is_unambiguous(path: &str) -> bool {
    let segments = path.strip_prefix('/').unwrap_or(path).split('/');
    let last = segments.clone().count().saturating_sub(1);
    let well_formed = segments.enumerate().all(|(i, segment)| {
        segment != "." && segment != ".." && (i == last || !segment.is_empty())
    });
    well_formed && !path.contains(['%', '\\', ';'])
}
