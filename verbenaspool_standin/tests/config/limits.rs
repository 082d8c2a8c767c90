//! Limits on calls to the platform and on the size of files, and robustness against invalid input.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use verbenaspool_coordination::{
    adoption::{Adoption, Error, Settings, Verdict},
    apply::{Outcome, Request},
    head::Head,
    piece::{self, Hash},
};
use verbenaspool_standin::platform::{Faults, Watch};
use verbenaspool_state::{
    decisions::Decisions,
    service::{Kind, Plain, Service},
    upstream::Upstream,
    version::Version,
};
use verbenaspool_transport::{
    clock::{Monotonic, Paused},
    config::{
        status::{self, publish},
        upstreams::Follower,
    },
    platform::{
        self, CallFuture, Entry, Events, Object, Store, When,
        budget::{self, Budget},
    },
    shutdown,
};

use crate::support::{
    FIRM, Instance, accepted, all_activate, apply, client, file, name, platform, request, run,
};

/// A store that only counts the calls to it.
#[derive(Default)]
struct CountingStore(Cell<u32>);

impl CountingStore {
    fn count<'a, T: 'a>(&'a self, answer: T) -> CallFuture<'a, T> {
        self.0.set(self.0.get() + 1);
        Box::pin(async move { Ok(answer) })
    }
}

impl Store for CountingStore {
    fn get<'a>(&'a self, _: &'a str) -> CallFuture<'a, Option<Object>> {
        self.count(None)
    }

    fn put<'a>(&'a self, _: &'a str, _: Bytes, _: When) -> CallFuture<'a, u64> {
        self.count(1)
    }

    fn delete<'a>(&'a self, _: &'a str, _: When) -> CallFuture<'a, ()> {
        self.count(())
    }

    fn list<'a>(&'a self, _: &'a str) -> CallFuture<'a, Vec<Entry>> {
        self.count(Vec::new())
    }

    fn watch<'a>(&'a self, _: &'a str, _: u64, _: Duration) -> CallFuture<'a, Events> {
        self.count(Events {
            revision: 0,
            events: Vec::new(),
        })
    }
}

/// Guards against overloading the platform as it comes back from an outage: an instance that has
/// a thousand pieces to read must not read them all at once. If every instance did, the platform
/// would go down again.
#[test]
fn calls_stay_within_the_budget() {
    run(async {
        let (counter, clock) = (
            Rc::new(CountingStore::default()),
            Rc::new(Paused::default()),
        );
        let settings = budget::Settings::default();
        let store = Budget::new(counter.clone(), clock.clone(), settings);
        for _ in 0..1_000 {
            let store = store.clone();
            monoio::spawn(async move {
                store.get("firms/tidewater/pieces/1").await.unwrap();
            });
        }
        for (seconds, max_calls) in [(0, 90), (1, 135), (2, 180)] {
            if seconds > 0 {
                clock.advance(Duration::from_secs(1));
            }
            monoio::time::sleep(Duration::from_millis(5)).await;
            assert_eq!(counter.0.get(), max_calls, "after {seconds} s");
        }
        // A status write is dropped rather than queued behind the reads.
        let key = "firms/tidewater/status/bowen";
        let dropped = store.put(key, Bytes::new(), When::Always).await;
        assert_eq!(dropped, Err(platform::Error::Busy));
        clock.advance(Duration::from_mins(1));
        let written = store.put(key, Bytes::new(), When::Always).await;
        assert_eq!(written, Ok(1));
    });
}

#[test]
fn status_reports_where_a_version_is_active() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let first = apply(&*store, request(FIRM, 1, "apply-1")).await;
        assert!(accepted(&first).is_some());
        let instances = [Instance::start(1, client(&platform, FIRM), &[], 1)];
        assert!(all_activate(&instances, 1).await);
        let source = instances[0].source.clone();
        monoio::spawn(publish(source, client(&platform, FIRM), name("bowen")));
        monoio::time::sleep(status::WRITE_INTERVAL + Duration::from_millis(300)).await;
        let firm = name(FIRM);
        let max_age = status::WRITE_INTERVAL * 3 / 2;
        let report = status::read(&*store, &firm, max_age).await.unwrap();
        assert_eq!((report.accepted, report.is_active), (Version(1), true));
        assert!(report.zones[0].is_reporting);
        // After a crash, the last status remains in the store and is reported as outdated.
        let [instance] = instances;
        instance.crash();
        monoio::time::sleep(status::WRITE_INTERVAL).await;
        let report = status::read(&*store, &firm, max_age).await.unwrap();
        assert!(!report.zones[0].is_reporting && !report.is_active);
    });
}

/// Guards against partly accepted files: a file at the size limit is accepted and becomes active,
/// and one above it is rejected as a whole.
#[test]
fn large_files() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let mut large = file(FIRM, 1);
        let service = Service {
            name: name("job-booking"),
            kind: Kind::Plain(Plain::default()),
            path: "/".to_owned(),
            zones: Vec::new(),
            decisions: Decisions::default(),
        };
        large.services = vec![service];
        let path_length = piece::MAX_PIECE_BYTES - 600;
        large.services[0].path = format!("/{}/", "x".repeat(path_length));
        let mut fits = request(FIRM, 1, "apply-1");
        fits.split = piece::split(&large).unwrap();
        assert_eq!(accepted(&apply(&*store, fits).await), Some(Version(1)));
        let instance = Instance::start(1, client(&platform, FIRM), &[], 1);
        let adopted = instance.source.wait_for_newer(Version(0)).await;
        assert_eq!(adopted.file.services, large.services);
        large.services[0].path = format!("/{}/", "x".repeat(piece::MAX_PIECE_BYTES));
        assert!(matches!(
            piece::split(&large),
            Err(piece::Error::Large { .. })
        ));
        instance.source.stop();
    });
}

/// Guards against an apply that is accepted without its pieces. The platform rejects the pieces
/// because the token belongs to another firm; the apply fails and stores nothing.
#[test]
fn rejected_pieces() {
    run(async {
        let platform = platform();
        let other = client(&platform, "quetzal");
        let outcome = apply(&*other, request(FIRM, 1, "apply-1")).await;
        assert!(matches!(outcome, Outcome::Failed(_)), "{outcome:?}");
        platform.set(|faults| *faults = Faults::default());
        platform.with(|objects| assert!(objects.list("firms/").is_empty()));
    });
}

/// Guards against losing the active file when a peer sends a head that is old, corrupt or another
/// firm's.
#[test]
fn invalid_heads_from_peers() {
    let split = piece::split(&file(FIRM, 1)).unwrap();
    let head = |version: u64, root: Hash| {
        let first = Head::first("apply", root);
        (1..version).fold(first, |head, _| head.next("apply", root))
    };
    let mut adoption = Adoption::new(name(FIRM), Settings::default());
    assert_eq!(adoption.offer(head(5, split.root)), Verdict::New);
    for (hash, bytes) in &split.pieces {
        adoption.insert_piece(*hash, bytes).unwrap();
    }
    assert!(adoption.poll(Duration::ZERO, 1).unwrap().is_some());
    let mut raised = head(4, split.root);
    raised.version = Version(99);
    let other = piece::split(&file("quetzal", 1)).unwrap();
    let cases = [
        ("old", head(4, split.root), Verdict::Old),
        ("same", head(5, split.root), Verdict::Known),
        ("other file", head(5, other.root), Verdict::Corrupt),
        ("raised version", raised, Verdict::Corrupt),
    ];
    for (case, head, verdict) in cases {
        assert_eq!(adoption.offer(head), verdict, "{case}");
    }
    assert_eq!(adoption.offer(head(6, other.root)), Verdict::New);
    for (hash, bytes) in &other.pieces {
        adoption.insert_piece(*hash, bytes).unwrap();
    }
    let rejected = adoption.poll(Duration::from_secs(1), 1);
    assert!(matches!(rejected, Err(Error::Firm { .. })), "{rejected:?}");
    let current = adoption.current().map(|adopted| adopted.version());
    assert_eq!(current, Some(Version(5)));
    // A later version of the firm can still become active.
    assert_eq!(adoption.offer(head(7, split.root)), Verdict::New);
    assert!(adoption.poll(Duration::from_secs(2), 1).unwrap().is_some());
}

/// Guards against the loss of a version with the only instance that has it: a version becomes
/// active only when a second instance holds it, or after a bounded wait.
#[test]
fn second_holder() {
    let cases = [
        ("alone", 1, false, 0, true),
        ("other silent", 2, false, 999, false),
        ("other silent for the maximum wait", 2, false, 1_000, true),
        ("other holds it", 2, true, 0, true),
    ];
    for (case, alive, other_holds, at_ms, active) in cases {
        let split = piece::split(&file(FIRM, 1)).unwrap();
        let mut adoption = Adoption::new(name(FIRM), Settings::default());
        adoption.offer(Head::first("apply", split.root));
        for (hash, bytes) in &split.pieces {
            adoption.insert_piece(*hash, bytes).unwrap();
        }
        let early = adoption.poll(Duration::ZERO, alive.max(2)).unwrap();
        assert!(early.is_none(), "{case}");
        if other_holds {
            adoption.set_peer_version(&name("entry-2"), Version(1));
        }
        let adopted = adoption.poll(Duration::from_millis(at_ms), alive).unwrap();
        assert_eq!(adopted.is_some(), active, "{case}");
    }
}

/// Guards against a second version when an operator repeats an apply whose answers were lost: the
/// same id must return the outcome of the first request.
#[test]
fn same_id_gets_the_outcome() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let first: Request = request(FIRM, 1, "apply-1");
        platform.set(|faults| {
            faults.answers_before_loss = 3;
            faults.lost_answers = 50;
        });
        let timeout = Duration::from_millis(400);
        let lost = verbenaspool_transport::config::apply(&*store, first.clone(), timeout, 7).await;
        platform.set(|faults| *faults = Faults::default());
        let settled = apply(&*store, first).await;
        assert_eq!(accepted(&settled), Some(Version(1)), "{lost:?}");
    });
}

/// Guards against a slow start of a large firm's instances. Reading thousands of pieces one by one
/// within the call budget would take minutes, so they are read from bundles.
#[test]
fn large_firm_is_read_in_few_calls() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let mut large = file(FIRM, 1);
        let customer = |i: u32| verbenaspool_state::customer::Customer {
            name: name(&format!("customer-{i}")),
            ..large.customers[0].clone()
        };
        large.customers = (0..3_000).map(customer).collect();
        for marker in 1..=3 {
            large.customers[7].share = marker;
            let mut request = request(FIRM, marker, &format!("apply-{marker}"));
            request.split = piece::split(&large).unwrap();
            assert!(accepted(&apply(&*store, request).await).is_some());
        }
        let before = platform.calls().reads;
        let instance = Instance::start(1, client(&platform, FIRM), &[], 1);
        let adopted = instance.source.wait_for_newer(Version(2)).await;
        assert_eq!(adopted.file.customers.len(), 3_000);
        // The bundles are two versions old; pieces changed since are read separately.
        let reads = platform.calls().reads - before;
        assert!(reads <= 40, "{reads} reads");
    });
}

/// Guards against starvation when a file changes a hundred times a second and no peer answers. New
/// versions must not displace the one that is waiting, or none would ever become active. Instances
/// of a large firm must not spend all their time on adopting versions either.
#[test]
fn stream_of_changes() {
    // Number of customers, and of versions that may become active within ten seconds.
    for (customers, min, max) in [(10_u32, 9, 10), (16_000, 3, 6)] {
        let firm = name(FIRM);
        let mut large = file(FIRM, 1);
        let customer = |i: u32| verbenaspool_state::customer::Customer {
            name: name(&format!("customer-{i}")),
            ..large.customers[0].clone()
        };
        large.customers = (0..customers).map(customer).collect();
        let split = piece::split(&large).unwrap();
        let mut adoption = Adoption::new(firm, Settings::default());
        let mut head = Head::first("apply", split.root);
        let mut versions = Vec::new();
        for turn in 0..1_000_u64 {
            adoption.offer(head.clone());
            for (hash, bytes) in split.pieces.iter().filter(|_| turn == 0) {
                adoption.insert_piece(*hash, bytes).unwrap();
            }
            let now = Duration::from_millis(turn * 10);
            if let Some(adopted) = adoption.poll(now, 2).unwrap() {
                versions.push(adopted.version().0);
            }
            head = head.next("apply", split.root);
        }
        assert!(versions.is_sorted(), "{versions:?}");
        let count = versions.len();
        assert!((min..=max).contains(&count), "{customers}: {versions:?}");
    }
}

/// Guards against reading the whole list of a large firm's instances at each event, which would use
/// up the byte budget. Although the watch repeats and reorders events, reading only the objects
/// that they name must result in the stored list.
#[test]
fn large_list_of_instances() {
    run(async {
        let platform = platform();
        let put = |number: u32, zone: &str| {
            let text = format!(
                r#"{{"name":"loft-{number}","service":"loft","zone":"{zone}","agent":"10.0.0.1:1","control":"10.0.0.1:2","state":"live","incarnation":1}}"#
            );
            let key = format!("firms/{FIRM}/instances/loft-{number}");
            platform.with(|objects| objects.put(&key, text.into()));
        };
        (0..300).for_each(|number| put(number, "bowen"));
        let observed = Rc::new(Cell::new((0, 0)));
        let last_seen = Rc::clone(&observed);
        let (stop, signal) = shutdown::channel();
        let follower = Follower::new(client(&platform, FIRM), &name(FIRM));
        let changed = move |list: &[Upstream]| {
            let moved = list.iter().filter(|u| u.zone == name("tweed")).count();
            last_seen.set((list.len(), moved));
        };
        monoio::spawn(follower.run(Monotonic::start(), 7, signal, changed));
        let wait_until = async |wanted| {
            for _ in 0..500 {
                if observed.get() == wanted {
                    return;
                }
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
            panic!("{:?} instead of {wanted:?}", observed.get());
        };
        wait_until((300, 0)).await;
        platform.set(|faults| faults.watch = Watch::Reordered);
        let before = platform.calls().reads;
        (0..5).for_each(|number| put(number, "tweed"));
        platform.with(|objects| objects.delete(&format!("firms/{FIRM}/instances/loft-9")));
        wait_until((299, 5)).await;
        let reads = platform.calls().reads - before;
        assert!(reads <= 30, "{reads} reads");
        stop.fire();
    });
}
