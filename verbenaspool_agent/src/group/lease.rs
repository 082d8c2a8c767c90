//! Wants the lead's lease, and says with which fence it was given.
//!
//! A lapse isn't told: while the platform is down nobody else can take the
//! lease, and once somebody has, the ranks refuse the lower fence.

use std::{rc::Rc, time::Duration};

use verbenaspool_coordination::{
    keys,
    lease::{Lease, Settings as Terms},
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

/// How long a call to the platform may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Looks after the lease for as long as the loop runs.
pub(super) async fn run(firm: Name, settings: Settings, clock: Rc<dyn Clock>, lead: impl Fn(u64)) {
    let store = Client::new(Reach {
        address: settings.platform.address,
        token: settings.platform.token.clone(),
        timeout: TIMEOUT,
    });
    let key = keys::lease(&firm, &settings.name);
    let holder = format!("{}-{:016x}", settings.seat, rand::random::<u64>());
    let time = Duration::from_secs(settings.platform.lease_seconds);
    let margin = time / MARGIN;
    let mut lease = Lease::new(key, holder, Terms { time, margin });
    let mut told = 0;
    loop {
        while let Some(call) = lease.call(clock.now()) {
            let answer = driver::make(&store, &call).await;
            lease.answer(clock.now(), answer);
        }
        if let Some(fence) = lease.held(clock.now()).filter(|&fence| fence > told) {
            told = fence;
            lead(fence);
        }
        clock.sleep(BEAT).await;
    }
}
