//! The store comes back from a copy.

use std::{io, thread::sleep, time::Duration};

use super::{CONFIGURATION_BOUND, HEARTBEAT, STABLE_WINDOW, configuration, route, start_replicas};
use crate::{Run, caller::Callers, entry, store::Store, upstream::Upstream};

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// The store comes back from a copy some seconds old, and a new configuration drops a route.
pub fn run(run: &Run) -> io::Result<bool> {
    let store = Store::start(&run.record)?;
    let first = route("r-1", "/book/", "jobs");
    let dropped = route("r-2", "/hold/", "jobs");
    let added = route("r-3", "/ask/", "jobs");
    let configure = |version: u64, routes: &[String]| {
        let text = configuration(version, routes, &["jobs"]);
        store.put("config", "main", text.as_bytes());
    };
    configure(7, &[first.clone(), dropped.clone()]);
    start_replicas(run, &store, "jobs", 3)?;
    let entries = entry::start(run, store.address, &["a", "b"])?;
    sleep(Duration::from_secs(3));
    let copy = store.copy();
    // A replica starts, and states at each check-in how much longer it is slow.
    let fourth = Upstream::start("i-jobs-4", "jobs", &run.record)?;
    let check_in = |replica: &Upstream, cold_ms: u64| {
        let entry = replica.entry("ready", cold_ms);
        store.put("servers", &replica.id, entry.as_bytes());
    };
    for cold_ms in [3_600, 2_400, 1_200, 0] {
        check_in(&fourth, cold_ms);
        sleep(HEARTBEAT);
    }
    let eighth = [first.clone(), dropped.clone(), added.clone()];
    configure(8, &eighth);
    sleep(Duration::from_millis(300));
    if run.trouble {
        store.go_away();
        sleep(AWAY);
        store.come_back(copy);
        // What the operator and the replicas wrote is written again.
        sleep(Duration::from_millis(100));
        configure(8, &eighth);
        check_in(&fourth, 0);
    }
    sleep(Duration::from_millis(200));
    configure(9, &[first, added]);
    let dropped_at = run.record.now();
    // Two more replicas start.
    let fifth = Upstream::start("i-jobs-5", "jobs", &run.record)?;
    let sixth = Upstream::start("i-jobs-6", "jobs", &run.record)?;
    for cold_ms in [1_200, 0] {
        check_in(&fifth, cold_ms);
        check_in(&sixth, cold_ms);
        sleep(HEARTBEAT);
    }
    let steady_at = dropped_at + CONFIGURATION_BOUND + STABLE_WINDOW;
    sleep(steady_at.saturating_sub(run.record.now()));
    let callers = Callers::new(&run.record);
    for entry in &entries {
        callers.start(entry.listen, "/book/", Duration::from_millis(100));
        callers.start(entry.listen, "/hold/", Duration::from_millis(100));
    }
    sleep(Duration::from_secs(8));
    callers.stop();
    let answers = callers.answers();
    let late = answers.iter().filter(|a| a.path == "/hold/");
    let (sent, ran) = late.fold((0, 0), |(sent, ran), a| {
        (sent + 1, ran + u32::from(a.status == 200))
    });
    run.record.report(&format!(
        "CONFIG: {ran} of {sent} requests ran on a route that was dropped {:.1} s before the first of them",
        (steady_at - dropped_at).as_secs_f64()
    ));
    Ok(ran == 0)
}
