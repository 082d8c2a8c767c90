//! Wants the lead's lease, and says with which fence it was given.
//!
//! A lapse is logged and told to nobody: while the platform is down nobody else can take
//! the lease, and once somebody has, the ranks refuse the lower fence.

use std::{rc::Rc, time::Duration};

use slog::{Logger, info, warn};
use verbenaspool_coordination::{
    keys,
    lease::{Lease, Settings as Terms},
    store::Answer,
};
use verbenaspool_state::name::Name;
use verbenaspool_transport::{
    clock::Clock,
    platform::{
        client::{Client, Settings as Reach},
        driver,
    },
};

use super::settings::Settings;

/// How often the lease is looked after.
const BEAT: Duration = Duration::from_millis(200);

/// The part of the lease's time that a rival waits beyond it, for clocks that
/// tick differently: a fiftieth is far more than quartz clocks drift.
const MARGIN: u32 = 50;

/// How long a call to the platform may take at most.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of the lease's time that a call may take: a renewal without an answer must leave
/// time for others before the lease lapses.
const CALL_TIMEOUT_PART: u32 = 4;

/// Looks after the lease for as long as the loop runs.
pub(super) async fn run(
    firm: Name,
    settings: Settings,
    log: Logger,
    clock: Rc<dyn Clock>,
    lead: impl Fn(u64),
) {
    let time = Duration::from_secs(settings.platform.lease_seconds);
    let store = Client::new(Reach {
        address: settings.platform.address,
        token: settings.platform.token.clone(),
        timeout: (time / CALL_TIMEOUT_PART).min(MAX_CALL_TIMEOUT),
    });
    let key = keys::lease(&firm, &settings.name);
    let holder = format!("{}-{:016x}", settings.seat, rand::random::<u64>());
    let margin = time / MARGIN;
    let mut lease = Lease::new(
        key,
        holder,
        Terms {
            duration: time,
            drift_margin: margin,
        },
    );
    let mut told = 0;
    let mut held = None;
    loop {
        while let Some(call) = lease.next_call(clock.now()) {
            let began = clock.now();
            let answer = driver::call(&store, &call).await;
            let now = clock.now();
            if let Answer::Failed(reason) | Answer::Lost(reason) | Answer::Rejected(reason) =
                &answer
            {
                warn!(log, "lease call failed"; "reason" => reason,
                    "took_ms" => now.saturating_sub(began).as_secs_f64() * 1e3);
            }
            lease.answer(now, answer);
        }
        let before = held;
        held = lease.current_fence(clock.now());
        if let (Some(fence), None) = (before, held) {
            warn!(log, "lease lost"; "fence" => fence);
        }
        if let Some(fence) = held.filter(|&fence| fence > told) {
            told = fence;
            info!(log, "lease acquired"; "fence" => fence);
            lead(fence);
        }
        clock.sleep(BEAT).await;
    }
}
