//! Acquires and renews the lead's lease, and reports the fence of each acquired lease.
//!
//! The expiry of the lease is only logged. While the platform is down, no other agent can
//! acquire it, and once another agent has, the ranks reject the lower fence. If the store
//! comes back from an older copy, another agent may acquire it under the same fence, so the
//! lead ends then.

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
        Store,
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

/// A change of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// It was acquired under this fence.
    Acquired(u64),
    /// The store came back from a copy that may lack it, and it isn't held any more.
    Lost,
}

/// Maintains the lease for as long as the event loop runs. Calls `on_change` with its changes.
/// `known_fence` returns the highest fence that the agent's rank knows.
pub(super) async fn run(
    firm: Name,
    settings: Settings,
    log: Logger,
    clock: Rc<dyn Clock>,
    known_fence: impl Fn() -> u64,
    on_change: impl Fn(Change),
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
    let (mut era, mut was_corrupt) = (0, false);
    loop {
        lease.raise_fence(known_fence());
        while let Some(call) = lease.next_call(clock.now()) {
            let started = clock.now();
            let answer = driver::call(&store, &call).await;
            let now = clock.now();
            let before = std::mem::replace(&mut era, store.era());
            if era > before && before > 0 {
                warn!(log, "store came back from an older copy; acquiring the lease anew";
                    "era" => era, "before" => before);
                lease.restart(now);
                on_change(Change::Lost);
            }
            if let Answer::Failed(reason) | Answer::Lost(reason) | Answer::Rejected(reason) =
                &answer
            {
                warn!(log, "lease call failed"; "reason" => reason,
                    "took_ms" => now.saturating_sub(started).as_secs_f64() * 1e3);
            }
            lease.answer(now, answer);
        }
        if std::mem::replace(&mut was_corrupt, lease.is_corrupt()) != lease.is_corrupt() {
            warn!(log, "record of the lease can't be read, or can be again";
                "readable" => !lease.is_corrupt());
        }
        let previous = current;
        current = lease.current_fence(clock.now());
        if let (Some(fence), None) = (previous, current) {
            warn!(log, "lease lost"; "fence" => fence);
        }
        if let Some(fence) = current.filter(|&fence| fence > last_fence) {
            last_fence = fence;
            info!(log, "lease acquired"; "fence" => fence);
            on_change(Change::Acquired(fence));
        }
        clock.sleep(POLL_INTERVAL).await;
    }
}
