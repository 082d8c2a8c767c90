//! The configuration of a firm over the network: applying files and adopting them.
//!
//! [`source::Source`] yields the files that come in force at this process;
//! [`apply`] has a file accepted.

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

/// Has a file accepted, within a time bound, and then collects pieces that
/// nothing refers to any more.
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
    let mut apply = Apply::new(request);
    let Some(outcome) = driver::drive(store, &mut apply, within, seed).await else {
        return apply.abandon();
    };
    if let Outcome::Accepted {
        object_version: Some(object_version),
        version,
    } = outcome
    {
        // Without the bundles reading the file is slower, and no less right.
        let _ = bundle::pack(store, &firm, version, &split).await;
        let mut collection = Collection::new(firm, object_version, referenced);
        // What can't be collected now is left to the next apply.
        driver::drive(store, &mut collection, within, seed).await;
    }
    outcome
}
