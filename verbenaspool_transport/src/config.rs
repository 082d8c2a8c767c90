//! Distribution of a firm's configuration: applying a file, and following the active one.
//!
//! [`apply`] submits a file for acceptance; [`source::Source`] yields each file as it
//! becomes active in this process.

use std::time::Duration;

use verbenaspool_coordination::{
    apply::{Apply, Outcome, Request},
    gc::Collection,
};

use crate::platform::{Store, driver};

pub mod bundle;
mod peers;
pub mod source;
pub mod status;
pub mod upstreams;

/// Submits a file for acceptance within a time limit, then deletes the pieces that are no
/// longer referenced.
///
/// ```no_run
/// # async fn example(store: &dyn verbenaspool_transport::platform::Store,
/// #     request: verbenaspool_coordination::apply::Request) {
/// use std::time::Duration;
/// use verbenaspool_transport::config;
///
/// println!("{:?}", config::apply(store, request, Duration::from_secs(20), 7).await);
/// # }
/// ```
pub async fn apply(store: &dyn Store, request: Request, within: Duration, seed: u64) -> Outcome {
    let firm = request.firm.clone();
    let split = request.split.clone();
    let referenced = split.pieces.keys().copied().collect();
    // A store that came back from an older copy may have forgotten versions that are active.
    let highest_active = status::highest_active(store, &firm).await;
    let mut apply = Apply::new(request).above(highest_active.unwrap_or_default());
    let Some(outcome) = driver::drive(store, &mut apply, within, seed).await else {
        return apply.abandon();
    };
    if let Outcome::Accepted {
        object_version: Some(object_version),
        version,
    } = outcome
    {
        // Bundles only make reading faster, so a failure to write them is ignored.
        let _ = bundle::pack(store, &firm, version, &split).await;
        let mut collection = Collection::new(firm, object_version, referenced);
        // Pieces that can't be deleted now are left to the next apply.
        driver::drive(store, &mut collection, within, seed).await;
    }
    outcome
}
