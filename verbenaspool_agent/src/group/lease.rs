//! Acquires and renews the lead's lease, and reports the fence of each acquired lease.
//!
//! The loss of the lease is only logged. While the platform is down, no other agent can
//! acquire it, and once another agent has, the ranks reject the lower fence.

use std::{rc::Rc, time::Duration};

use slog::{Logger, info, warn};
use verbenaspool_coordination::{
    keys,
    lease::{Lease, Settings as LeaseSettings},
    store::Answer,
};
use verbenaspool_state::name::Name;
use verbenaspool_transport::{
    clock::Clock,
    platform::{
        client::{Client, Settings as ClientSettings},
        driver,
    },
};

use super::settings::Settings;

/// Interval at which the lease is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Divisor of the lease's duration that yields the drift margin, for which another agent
/// waits beyond the end of the lease: a fiftieth is far more than quartz clocks drift.
const DRIFT_MARGIN_PART: u32 = 50;

/// Upper limit of the timeout for calls to the platform.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Divisor of the lease's duration that yields the timeout for calls: after a renewal without
/// an answer there must be time for more attempts before the lease expires.
const CALL_TIMEOUT_PART: u32 = 4;

/// Maintains the lease for as long as the event loop runs. Calls `on_acquired` with the fence
/// of each acquired lease.
pub(super) async fn run(
    firm: Name,
    settings: Settings,
    log: Logger,
    clock: Rc<dyn Clock>,
    on_acquired: impl Fn(u64),
) {
    let duration = Duration::from_secs(settings.platform.lease_seconds);
    let store = Client::new(ClientSettings {
        address: settings.platform.address,
        token: settings.platform.token.clone(),
        timeout: (duration / CALL_TIMEOUT_PART).min(MAX_CALL_TIMEOUT),
    });
    let key = keys::lease(&firm, &settings.name);
    let holder = format!("{}-{:016x}", settings.seat, rand::random::<u64>());
    let drift_margin = duration / DRIFT_MARGIN_PART;
    let mut lease = Lease::new(
        key,
        holder,
        LeaseSettings {
            duration,
            drift_margin,
        },
    );
    let mut last_fence = 0;
    let mut current = None;
    loop {
        while let Some(call) = lease.next_call(clock.now()) {
            let started = clock.now();
            let answer = driver::call(&store, &call).await;
            let now = clock.now();
            if let Answer::Failed(reason) | Answer::Lost(reason) | Answer::Rejected(reason) =
                &answer
            {
                warn!(log, "lease call failed"; "reason" => reason,
                    "took_ms" => now.saturating_sub(started).as_secs_f64() * 1e3);
            }
            lease.answer(now, answer);
        }
        let previous = current;
        current = lease.current_fence(clock.now());
        if let (Some(fence), None) = (previous, current) {
            warn!(log, "lease lost"; "fence" => fence);
        }
        if let Some(fence) = current.filter(|&fence| fence > last_fence) {
            last_fence = fence;
            info!(log, "lease acquired"; "fence" => fence);
            on_acquired(fence);
        }
        clock.sleep(POLL_INTERVAL).await;
    }
}
