//! Changes just after entries have lost touch with the platform's store, without noticing or by a
//! restart.

use std::{rc::Rc, time::Duration};

use nix::sys::signal::Signal;
use verbenaspool_platform_standin::store::Condition;

use super::{DepartureNotice, FAULT_KINDS, SERVING_TIME, depart, restart_entry, signal};
use crate::deployment::Deployment;

/// A fault in which all connections to the store go silent, and new ones work.
const SILENT_CONNECTIONS: u32 = FAULT_KINDS + 4;

/// A fault in which the store answers nothing for some time, and then again, but for the calls from
/// before.
const SILENT_STORE: u32 = FAULT_KINDS + 5;

/// A fault in which all entries start again from listings that lack the newest configuration, while the
/// store rejects other reads.
const OUTDATED_STARTS: u32 = FAULT_KINDS + 6;

/// The faults after which entries don't know that they have lost touch with the store.
pub const SILENT_FAULTS: [u32; 3] = [SILENT_CONNECTIONS, SILENT_STORE, OUTDATED_STARTS];

/// How long watches have waited again after a change as connections go silent.
const WATCH_TIME: Duration = Duration::from_millis(250);

/// How much of a fault's duration passes between it and the next change.
const CHANGE_DELAY: f64 = 0.8;

/// How old outdated listings are.
const LISTING_AGE: Duration = Duration::from_secs(6);

/// How long entries are down.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Injects one of these faults, and lets the configuration change and an upstream leave after it.
pub async fn inject_fault(
    deployment: Rc<Deployment>,
    kind: u32,
    server: usize,
    duration: Duration,
) {
    let store = &deployment.store;
    deployment.change_configuration();
    match kind {
        SILENT_CONNECTIONS => {
            monoio::time::sleep(WATCH_TIME).await;
            store.silence_connections();
            deployment.checks.record_store_outage(Duration::ZERO);
        }
        SILENT_STORE => {
            store.condition.set(Condition::Silent);
            deployment.checks.record_store_outage(duration);
            monoio::time::sleep(duration).await;
            store.condition.set(Condition::Healthy);
        }
        _ => start_from_outdated_listings(&deployment, duration).await,
    }
    monoio::time::sleep(duration.mul_f64(CHANGE_DELAY)).await;
    deployment.change_configuration();
    let notice = DepartureNotice::NO_NOTICE;
    depart(&deployment, server, notice, SERVING_TIME + duration).await;
}

/// Kills all entries, and starts them again while the store answers listings only from an older state.
async fn start_from_outdated_listings(deployment: &Rc<Deployment>, duration: Duration) {
    let store = &deployment.store;
    let outage = DOWN_TIME + duration;
    deployment.checks.record_store_outage(outage);
    store.lag.set(LISTING_AGE);
    store.rejects_current_reads.set(true);
    for entry in 0..deployment.store_proxies.len() {
        signal(deployment, entry, Signal::SIGKILL);
    }
    monoio::time::sleep(DOWN_TIME).await;
    for entry in 0..deployment.store_proxies.len() {
        let deployment = deployment.clone();
        monoio::spawn(async move { restart_entry(&deployment, entry).await });
    }
    monoio::time::sleep(duration).await;
    store.rejects_current_reads.set(false);
    store.lag.set(Duration::ZERO);
}
