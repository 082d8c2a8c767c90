//! Tests configuration over real sockets: the platform's contract, applies and adoption.

use std::time::Duration;

use support::{FIRM, Instance, accepted, apply, client, marker, platform, request, run};
use verbenaspool_standin::platform::Faults;
use verbenaspool_state::version::Version;
use verbenaspool_transport::platform::{Error, Store, When};

mod limits;
mod restores;
mod support;
mod zone;

#[test]
fn store_contract() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let key = "firms/tidewater/head";
        assert_eq!(store.get(key).await, Ok(None));
        let first = store.put(key, "1".into(), When::Absent).await.unwrap();
        let conflict = Err(Error::Conflict { current: first });
        assert_eq!(store.put(key, "2".into(), When::Absent).await, conflict);
        let second = store.put(key, "2".into(), When::Version(first)).await;
        let second = second.unwrap();
        assert!(second > first);
        assert_eq!(store.get(key).await.unwrap().unwrap().value, "2");
        let events = store.watch(key, first, Duration::ZERO).await.unwrap();
        assert_eq!((events.events.len(), events.revision), (1, second));
        assert_eq!(store.list("firms/tidewater/").await.unwrap().len(), 1);
        assert_eq!(store.delete(key, When::Version(second)).await, Ok(()));
        assert_eq!(store.get(key).await, Ok(None));
        let large = vec![0; verbenaspool_transport::platform::MAX_VALUE_BYTES + 1];
        let large = store.put(key, large.into(), When::Always).await;
        assert_eq!(large, Err(Error::TooLarge));
        // The token gives no access to another firm's keys.
        let other = store.get("firms/quetzal/head").await;
        assert_eq!(other, Err(Error::Forbidden));
    });
}

#[test]
fn accepted_file_becomes_active() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let instance = Instance::start(1, client(&platform, FIRM), &[], 7);
        let source = &instance.source;
        assert!(source.current().is_none());
        for version in 1..4 {
            let id = format!("apply-{version}");
            let outcome = apply(&*store, request(FIRM, version, &id)).await;
            assert_eq!(accepted(&outcome), Some(Version(version.into())));
            let adopted = source.wait_for_newer(Version(u64::from(version) - 1)).await;
            assert_eq!(marker(&adopted.file), version);
        }
    });
}

/// Guards against wrong outcomes of an apply when the platform fails during it. The operator must
/// learn whether the file was accepted, and it must be accepted only once. Lost answers are the
/// critical fault, because the write did take effect.
#[test]
fn faults_during_apply() {
    /// The name of a case and the fault of the platform.
    type Fault = (&'static str, fn(&mut Faults));
    let faults: [Fault; 6] = [
        ("none", |_| {}),
        ("first piece's answer lost", |f| f.lost_answers = 1),
        ("compare-and-swap's answer lost", |f| {
            f.answers_before_loss = 2;
            f.lost_answers = 1;
        }),
        ("three answers lost", |f| f.lost_answers = 3),
        ("slow", |f| f.delay = Duration::from_millis(30)),
        ("few writes a second", |f| f.writes_per_second = Some(4)),
    ];
    for (fault, set) in faults {
        run(async move {
            let platform = platform();
            let store = client(&platform, FIRM);
            let first = apply(&*store, request(FIRM, 1, "apply-1")).await;
            assert_eq!(accepted(&first), Some(Version(1)), "{fault}");
            platform.set(set);
            let second = apply(&*store, request(FIRM, 2, "apply-2")).await;
            assert_eq!(accepted(&second), Some(Version(2)), "{fault}");
            platform.set(|faults| *faults = Faults::default());
            // The same apply again only returns the outcome of the first.
            let repeated = apply(&*store, request(FIRM, 2, "apply-2")).await;
            assert_eq!(accepted(&repeated), Some(Version(2)), "{fault}");
        });
    }
}
