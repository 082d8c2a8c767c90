//! A store that comes back from an older copy.

use std::{cell::Cell, rc::Rc, time::Duration};

use verbenaspool_state::upstream::Upstream;
use verbenaspool_transport::{clock::Monotonic, config::upstreams::Follower, shutdown};

use crate::support::{FIRM, client, name, platform, run};

/// Guards against an upstream whose new address is ignored, because its entry was written at a version
/// that the store had given out before it came back from a copy.
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
