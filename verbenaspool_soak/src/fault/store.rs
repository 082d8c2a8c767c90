//! Faults of the platform's store and of what it has.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use verbenaspool_platform_standin::store::Condition;

use super::{DepartureNotice, FAULT_KINDS, SERVING_TIME, depart};
use crate::deployment::Deployment;

/// A fault in which the store comes back from an older copy. It and the next one aren't among
/// [`FAULT_KINDS`], so that the faults of a seed stay the same.
const RESTORED_STORE: u32 = FAULT_KINDS;

/// A fault in which another writer's entries of the registry can't be read.
const UNREADABLE_ENTRIES: u32 = FAULT_KINDS + 1;

/// The faults of what the store has.
pub const STORE_FAULTS: [u32; 2] = [RESTORED_STORE, UNREADABLE_ENTRIES];

/// A fault in which an upstream leaves while some watches outlive the loss of the store's history.
const UNNOTICED_LOSS: u32 = FAULT_KINDS + 2;

/// A fault in which upstreams leave while listings of several pages are read.
const PAGED_LISTINGS: u32 = FAULT_KINDS + 3;

/// The faults after which entries have different copies of what the store has.
pub const COPY_FAULTS: [u32; 2] = [UNNOTICED_LOSS, PAGED_LISTINGS];

/// Number of objects in a page of a listing, and how long each page after the first one takes.
const PAGE_SIZE: usize = 5;
const PAGE_DELAY: Duration = Duration::from_millis(60);

/// How long the store is unavailable before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(300);

/// How much older than other faults take the copy is.
const COPY_AGE: Duration = Duration::from_secs(1);

/// Entries of the registry that can't be read.
const UNREADABLE_SPECIFICATIONS: [&[u8]; 3] = [
    b"{\"service\":\"jobs\",\"zone\":\"Quich\xe9\"}",
    b"{\"service\":\"jo",
    b"\xff\x00",
];

/// How old outdated listings are.
const LISTING_AGE: Duration = Duration::from_secs(6);

/// How long outdated listings come from the same copy.
const COPY_INTERVAL: Duration = Duration::from_millis(70);

/// How long the store withholds changes from watches before it drops its history.
const WITHHOLD_TIME: Duration = Duration::from_secs(1);

/// Lets the store come back from an older copy, or have entries that can't be read for some time.
pub async fn inject_fault(deployment: Rc<Deployment>, kind: u32, duration: Duration) {
    let store = &deployment.store;
    if kind == RESTORED_STORE {
        let copy = store.copy();
        monoio::time::sleep(COPY_AGE + duration).await;
        deployment.checks.record_store_outage(RESTORE_TIME);
        store.condition.set(Condition::Silent);
        monoio::time::sleep(RESTORE_TIME).await;
        store.restore_and_rewrite(copy);
        store.condition.set(Condition::Healthy);
        return;
    }
    let name = |number: usize| format!("{}odd {number}", ["", "i-1", "zz"][number]);
    for (number, bytes) in UNREADABLE_SPECIFICATIONS.iter().enumerate() {
        store.put_bytes("servers", &name(number), bytes);
    }
    monoio::time::sleep(duration).await;
    for number in 0..UNREADABLE_SPECIFICATIONS.len() {
        store.remove("servers", &name(number));
    }
}

/// Lets an upstream leave while entries get different copies of the registry.
pub async fn inject_copy_fault(
    deployment: Rc<Deployment>,
    kind: u32,
    server: usize,
    duration: Duration,
    notice: DepartureNotice,
) {
    let serving_time = SERVING_TIME + duration;
    if kind == UNNOTICED_LOSS {
        monoio::spawn(lose_history_unnoticed(deployment.clone(), server));
        return depart(&deployment, server, notice, serving_time).await;
    }
    let store = &deployment.store;
    store.page_size.set(PAGE_SIZE);
    store.page_delay.set(PAGE_DELAY);
    store.drop_history();
    store.cut_watches();
    monoio::time::sleep(PAGE_DELAY.mul_f64(duration.as_secs_f64())).await;
    let later = deployment.clone();
    monoio::spawn(async move {
        let other = (server + 1) % later.servers.len();
        monoio::time::sleep(PAGE_DELAY / 2).await;
        depart(&later, other, DepartureNotice::NO_NOTICE, serving_time).await;
    });
    depart(&deployment, server, notice, serving_time).await;
    store.page_size.set(usize::MAX);
    store.page_delay.set(Duration::ZERO);
}

/// Lets the store withhold changes from watches, drop its history, and report the next change to the
/// watches that go on waiting.
async fn lose_history_unnoticed(deployment: Rc<Deployment>, server: usize) {
    let store = &deployment.store;
    store.withholds_changes.set(true);
    monoio::time::sleep(WITHHOLD_TIME).await;
    store.drop_history();
    let others = (1..deployment.servers.len()).map(|n| (server + n) % deployment.servers.len());
    let mut others = others.filter(|&other| !deployment.servers[other].leaving.get());
    if let Some(other) = others.next() {
        deployment.set_listed_state(other, "ready");
    }
    store.withholds_changes.set(false);
}

/// Lets listings that may be outdated alternate between the current objects and older ones.
pub async fn answer_from_lagging_copies(deployment: &Deployment, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        for lag in [LISTING_AGE, Duration::ZERO] {
            deployment.store.lag.set(lag);
            monoio::time::sleep(COPY_INTERVAL).await;
        }
    }
}

/// Lets the store withhold changes from watches for some time, and then drop its history.
pub async fn compact_history(deployment: Rc<Deployment>) {
    deployment.store.withholds_changes.set(true);
    monoio::time::sleep(WITHHOLD_TIME).await;
    deployment.store.drop_history();
    deployment.store.withholds_changes.set(false);
}
