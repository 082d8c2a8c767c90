//! The store comes back from a copy.

use std::{io, thread::sleep, time::Duration};

use super::{
    HEARTBEAT, STABLE_WINDOW, check_drain, configuration, report_answers, route, start_replicas,
};
use crate::{Run, caller::Callers, entry, store::Store, upstream::Upstream};

/// The store comes back from a copy some seconds old, and later a replica drains.
pub fn run(run: &Run) -> io::Result<bool> {
    let store = Store::start(&run.record)?;
    let routes = [route("r-1", "/book/", "jobs")];
    store.put(
        "config",
        "main",
        configuration(7, &routes, &["jobs"]).as_bytes(),
    );
    let replicas = start_replicas(run, &store, "jobs", 3)?;
    let entries = entry::start(run, store.address, &["a", "b"])?;
    let callers = Callers::new(&run.record);
    for entry in &entries {
        for _ in 0..3 {
            callers.start(entry.listen, "/book/", Duration::from_millis(60));
        }
    }
    sleep(Duration::from_secs(3));
    let copy = store.copy();
    // A fourth replica starts, and states at each check-in how much longer it is slow.
    let fourth = Upstream::start("i-jobs-4", "jobs", &run.record)?;
    for cold_ms in [3_600, 2_400, 1_200, 0] {
        store.put(
            "servers",
            &fourth.id,
            fourth.entry("ready", cold_ms).as_bytes(),
        );
        sleep(HEARTBEAT);
    }
    if run.trouble {
        store.go_away();
        sleep(Duration::from_secs(1));
        store.come_back(Some(copy));
        // What the replica wrote is written again, at its next check-in.
        sleep(HEARTBEAT / 2);
        store.put("servers", &fourth.id, fourth.entry("ready", 0).as_bytes());
    }
    sleep(STABLE_WINDOW * 2);
    let calls = store.calls();
    let leaving = &replicas[1];
    store.put(
        "servers",
        &leaving.id,
        leaving.entry("draining", 0).as_bytes(),
    );
    let left_at = run.record.now();
    sleep(Duration::from_secs(10));
    run.record.report(&format!(
        "calls to the store in these 10 s: {}",
        store.calls() - calls
    ));
    callers.stop();
    report_answers(run, &callers);
    Ok(check_drain(run, leaving, left_at))
}
