//! Which upstreams of a large service each entry works with.

use std::{collections::HashSet, rc::Rc};

use verbenaspool::{entry::Entry, settings::Settings};
use verbenaspool_state::{name::Name, version::Version};
use verbenaspool_transport::{clock::Monotonic, settings};

use crate::site::{file, run, upstream};

/// Upstreams of the service, several times what an entry works with.
const UPSTREAMS: usize = 300;
/// Entries of the zone.
const ENTRIES: usize = 8;

/// An entry with its file and the whole list of upstreams.
fn entry(number: usize) -> Rc<Entry> {
    let text = format!(
        "firm: tidewater\nname: entry-{number}\nzone: bowen-a\nlisten: 127.0.0.1:0\n\
         platform: {{address: '127.0.0.1:1', token: token}}\n"
    );
    let settings: Settings = settings::parse("entry.yaml".as_ref(), &text).unwrap();
    let entry = Entry::new(settings.options(), Monotonic::start());
    let nobody = ([127, 0, 0, 1], 1).into();
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|i| upstream(&format!("loft-{i}"), "assistant", nobody, nobody))
        .collect();
    entry.apply_configuration(Version(1), &file());
    entry.set_upstreams(&upstreams);
    entry
}

#[test]
fn entries_share_out_a_large_service() {
    // Most upstreams of a large service stand idle while a few are overrun: the
    // entries of a zone were never told of each other, and each worked out, alone,
    // the same part of the list.
    run(async {
        let entries: Vec<Rc<Entry>> = (0..ENTRIES).map(entry).collect();
        let names: Vec<Name> = (0..ENTRIES)
            .map(|number| format!("entry-{number}").parse().unwrap())
            .collect();
        let used = || {
            let all = entries.iter().flat_map(|entry| entry.subset_upstreams());
            all.collect::<HashSet<Name>>().len()
        };
        let alone = used();
        for entry in &entries {
            entry.set_peers(&names);
        }
        assert!(alone < UPSTREAMS / 2, "{alone} are used by entries alone");
        assert_eq!(used(), UPSTREAMS);
    });
}

#[test]
fn a_service_stays_in_its_zones() {
    // Inspection notes leave the zone that they must not leave: the file named
    // the service's zones, and entries sent its work to every upstream listed.
    run(async {
        let entry = entry(0);
        let nobody = ([127, 0, 0, 1], 1).into();
        let mut abroad = upstream("loft-abroad", "assistant", nobody, nobody);
        abroad.zone = "tweed-a".parse().unwrap();
        let home = upstream("loft-home", "assistant", nobody, nobody);
        let (at_home, both) = (vec![home.name.clone()], [home, abroad]);
        entry.set_upstreams(&both);
        assert_eq!(entry.subset_upstreams().len(), 2);
        let mut narrow = file();
        narrow.services[0].zones = vec!["bowen-a".parse().unwrap()];
        entry.apply_configuration(Version(2), &narrow);
        assert_eq!(entry.subset_upstreams(), at_home);
        entry.set_upstreams(&both);
        assert_eq!(entry.subset_upstreams(), at_home);
    });
}
