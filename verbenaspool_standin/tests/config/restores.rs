//! A store that comes back from an older copy.

use std::{cell::Cell, rc::Rc, time::Duration};

use verbenaspool_state::{upstream::Upstream, version::Version};
use verbenaspool_transport::{
    clock::Monotonic,
    config::{
        status::{self, publish},
        upstreams::Follower,
    },
    shutdown,
};

use crate::support::{
    FIRM, Instance, accepted, all_activate, apply, client, marker, name, platform, request, run,
};

/// Guards against a file that is accepted and never becomes active: the store has come back from a
/// copy with an older head, so that a version which was active was used again for other contents.
#[test]
fn a_file_that_is_applied_after_the_store_came_back_becomes_active() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let instance = Instance::start(1, store.clone(), &[], 1);
        let zone = name("bowen");
        monoio::spawn(publish(instance.source.clone(), store.clone(), zone));
        apply(&*store, request(FIRM, 1, "first")).await;
        let copy = platform.with(|objects| objects.clone());
        apply(&*store, request(FIRM, 2, "second")).await;
        apply(&*store, request(FIRM, 3, "third")).await;
        let instances = [instance];
        assert!(all_activate(&instances, 3).await);
        platform.with(|objects| objects.restore(copy));
        monoio::time::sleep(status::WRITE_INTERVAL * 2).await;
        let current = || instances[0].source.current().expect("an active file");
        assert_eq!(marker(&current().file), 3, "the active file stays");
        let report = status::read(&*store, &name(FIRM), status::WRITE_INTERVAL).await;
        let report = report.expect("a report");
        assert!(!report.is_active && report.accepted == Version(1));
        // The same file as in the copy, and another one.
        for (again, version) in [(1, 4), (4, 5)] {
            let outcome = apply(&*store, request(FIRM, again, &format!("again-{again}"))).await;
            assert_eq!(accepted(&outcome), Some(Version(version)));
            assert!(all_activate(&instances, version).await);
            assert_eq!(marker(&current().file), again);
        }
    });
}

/// Guards against an upstream whose new address is ignored, because its entry was written at a
/// version that the store had given out before it came back from a copy.
#[test]
fn a_list_of_upstreams_is_read_again_when_the_store_came_back() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let key = format!("firms/{FIRM}/instances/loft-1");
        let put = |port: u16| {
            let text = format!(
                r#"{{"name":"loft-1","service":"loft","zone":"bowen","agent":"10.0.0.1:{port}","control":"10.0.0.1:2","state":"live","incarnation":1}}"#
            );
            platform.with(|objects| objects.put(&key, text.into()));
        };
        let copy = platform.with(|objects| objects.clone());
        for port in 1..=5 {
            put(port);
        }
        let (_trigger, signal) = shutdown::channel();
        let port = Rc::new(Cell::new(0));
        let seen = Rc::clone(&port);
        let changed = move |list: &[Upstream]| {
            seen.set(list.first().map_or(0, |upstream| upstream.agent.port()));
        };
        let follower = Follower::new(store, &name(FIRM));
        monoio::spawn(follower.run(Monotonic::start(), 1, signal, changed));
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(port.get(), 5);
        platform.with(|objects| objects.restore(copy));
        put(6);
        monoio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(port.get(), 6);
    });
}
