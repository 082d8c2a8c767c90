//! An entry of the registry has the address of another replica.

use std::{io, thread::sleep, time::Duration};

use super::{STABLE_WINDOW, configuration, route, start_replicas};
use crate::{Run, caller::Callers, entry, store::Store, upstream};

/// Another writer's entry, of a service that no configuration names, has the address of a replica.
pub fn run(run: &Run) -> io::Result<bool> {
    let store = Store::start(&run.record)?;
    let mut routes = vec![route("r-1", "/book/", "jobs")];
    store.put(
        "config",
        "main",
        configuration(7, &routes, &["jobs"]).as_bytes(),
    );
    start_replicas(run, &store, "jobs", 3)?;
    let entries = entry::start(run, store.address, &["a", "b"])?;
    let added = start_replicas(run, &store, "tickets", 1)?;
    routes.push(route("r-2", "/ticket/", "tickets"));
    store.put(
        "config",
        "main",
        configuration(9, &routes, &["jobs", "tickets"]).as_bytes(),
    );
    sleep(Duration::from_secs(3));
    if run.trouble {
        let entry = upstream::entry("wuno96b", added[0].address, "ready", 0, upstream::unix_ms());
        store.put("servers", "i-other", entry.as_bytes());
    }
    sleep(STABLE_WINDOW);
    let callers = Callers::new(&run.record);
    for entry in &entries {
        callers.start(entry.listen, "/book/", Duration::from_millis(100));
        callers.start(entry.listen, "/ticket/", Duration::from_millis(100));
    }
    sleep(Duration::from_secs(10));
    callers.stop();
    let answers = callers.answers();
    let share = |path: &str| {
        let own = answers.iter().filter(|a| a.path == path);
        let (sent, served) = own.fold((0_u32, 0_u32), |(sent, served), a| {
            (sent + 1, served + u32::from(a.status == 200 && a.whole))
        });
        run.record
            .report(&format!("{path}: {sent} sent, {served} served"));
        (sent, f64::from(served) / f64::from(sent.max(1)))
    };
    let (first, later) = (share("/book/"), share("/ticket/"));
    Ok(later.0 < 20 || later.1 >= first.1 / 4.0)
}
