//! Tests of the subset of a service's upstreams that each entry uses.

use std::{collections::HashSet, rc::Rc};

use verbenaspool::{entry::Entry, settings::Settings};
use verbenaspool_state::{name::Name, version::Version};
use verbenaspool_transport::{clock::Monotonic, settings};

use crate::deployment::{file, run_test, upstream};

/// The number of upstreams of the service, several times the size of a subset.
const UPSTREAMS: usize = 300;
/// The number of entries in the zone.
const ENTRIES: usize = 8;

/// Creates an entry with the file and the whole list of upstreams.
fn start_entry(number: usize) -> Rc<Entry> {
    let text = format!(
        "firm: tidewater\nname: entry-{number}\nzone: bowen-a\nlisten: 127.0.0.1:0\n\
         platform: {{address: '127.0.0.1:1', token: token}}\n"
    );
    let settings: Settings = settings::parse("entry.yaml".as_ref(), &text).unwrap();
    let entry = Entry::new(settings.options(), Monotonic::start());
    let unused_address = ([127, 0, 0, 1], 1).into();
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|i| {
            upstream(
                &format!("loft-{i}"),
                "assistant",
                unused_address,
                unused_address,
            )
        })
        .collect();
    entry.apply_configuration(Version(1), &file());
    entry.set_upstreams(&upstreams);
    entry
}

#[test]
fn entries_together_cover_a_large_service() {
    // Guards against a large service with most upstreams idle and a few overloaded: the entries
    // of a zone didn't know of each other, and all computed the same subset.
    run_test(async {
        let entries: Vec<Rc<Entry>> = (0..ENTRIES).map(start_entry).collect();
        let names: Vec<Name> = (0..ENTRIES)
            .map(|number| format!("entry-{number}").parse().unwrap())
            .collect();
        let count_used = || {
            let all = entries.iter().flat_map(|entry| entry.subset_upstreams());
            all.collect::<HashSet<Name>>().len()
        };
        let alone = count_used();
        for entry in &entries {
            entry.set_peers(&names);
        }
        assert!(alone < UPSTREAMS / 2, "{alone} are used by entries alone");
        assert_eq!(count_used(), UPSTREAMS);
    });
}

#[test]
fn a_service_stays_in_its_zones() {
    // Guards against requests that leave the zones they are restricted to: the file listed the
    // service's zones, and the entries sent to upstreams in all zones.
    run_test(async {
        let entry = start_entry(0);
        let unused_address = ([127, 0, 0, 1], 1).into();
        let mut remote = upstream("loft-remote", "assistant", unused_address, unused_address);
        remote.zone = "tweed-a".parse().unwrap();
        let local = upstream("loft-local", "assistant", unused_address, unused_address);
        let (local_names, both) = (vec![local.name.clone()], [local, remote]);
        entry.set_upstreams(&both);
        assert_eq!(entry.subset_upstreams().len(), 2);
        let mut one_zone = file();
        one_zone.services[0].zones = vec!["bowen-a".parse().unwrap()];
        entry.apply_configuration(Version(2), &one_zone);
        assert_eq!(entry.subset_upstreams(), local_names);
        entry.set_upstreams(&both);
        assert_eq!(entry.subset_upstreams(), local_names);
    });
}
