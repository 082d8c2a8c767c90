//! An entry of the registry has bytes that can't be read.

use std::{io, thread::sleep, time::Duration};

use super::{
    RECOVERY, STABLE_WINDOW, check_drain, configuration, report_answers, route, start_replicas,
};
use crate::{Run, caller::Callers, entry, store::Store};

/// Another writer's entry has bytes that can't be read, and later a replica drains.
pub fn run(run: &Run) -> io::Result<bool> {
    let store = Store::start(&run.record)?;
    let routes = [route("r-1", "/book/", "jobs")];
    store.put(
        "config",
        "main",
        configuration(7, &routes, &["jobs"]).as_bytes(),
    );
    let replicas = start_replicas(run, &store, "jobs", 3)?;
    let mut entries = entry::start(run, store.address, &["a", "b"])?;
    let callers = Callers::new(&run.record);
    for entry in &entries {
        for _ in 0..3 {
            callers.start(entry.listen, "/book/", Duration::from_millis(60));
        }
    }
    sleep(Duration::from_secs(4));
    if run.trouble {
        // The zone's name in Latin-1.
        let entry = b"{\"service\":\"jobs\",\"address\":\"127.0.0.1:9\",\"zone\":\"Quich\xe9\",\"state\":\"ready\"}";
        store.put("servers", "i-other", entry);
    }
    sleep(STABLE_WINDOW);
    let leaving = &replicas[1];
    store.put(
        "servers",
        &leaving.id,
        leaving.entry("draining", 0).as_bytes(),
    );
    let left_at = run.record.now();
    sleep(Duration::from_secs(10));
    callers.stop();
    report_answers(run, &callers);
    let held = check_drain(run, leaving, left_at);
    // Besides: whether an entry that starts now becomes ready.
    for entry in &mut entries {
        entry.restart(run)?;
    }
    sleep(RECOVERY);
    let ready = entries.iter().filter(|entry| entry.is_ready()).count();
    run.record.report(&format!(
        "{ready} of {} entries are ready 12 s after a restart of all",
        entries.len()
    ));
    Ok(held)
}
