//! Configuration over real sockets: the platform's contract, applies and adoption.

use std::{rc::Rc, time::Duration};

use verbenaspool_coordination::{
    apply::{Order, Outcome},
    piece,
};
use verbenaspool_standin::platform::{Faults, Platform};
use verbenaspool_state::{customer::Customer, file::File, name::Name, version::Version};
use verbenaspool_transport::{
    config::{self, source::Source},
    platform::{
        Error, Store, When,
        client::{Client, Settings},
    },
    runtime,
};

/// The firm that most tests speak of.
const FIRM: &str = "tidewater";

/// Runs a test on a loop of its own.
fn run(test: impl Future<Output = ()>) {
    runtime::run(test).expect("a loop starts");
}

/// A name from text that is known to be one.
fn name(text: &str) -> Name {
    text.parse().expect("the test's names are names")
}

/// A platform that lets a token of each firm in.
fn platform() -> Platform {
    let platform = Platform::start().expect("a loopback port is free");
    platform.allow("tidewater-token", "tidewater");
    platform.allow("quetzal-token", "quetzal");
    platform
}

/// A client of the platform for one firm.
fn client(platform: &Platform, firm: &str) -> Rc<Client> {
    Rc::new(Client::new(Settings {
        address: platform.address(),
        token: format!("{firm}-token"),
        timeout: Duration::from_millis(200),
    }))
}

/// A file whose customers differ with `mark`.
fn file(firm: &str, mark: u32) -> File {
    let customer = |i: u32| Customer {
        name: name(&format!("customer-{i}")),
        share: 1 + mark * u32::from(i == 0),
        credentials: Vec::new(),
        services: Vec::new(),
    };
    File {
        firm: name(firm),
        places: Vec::new(),
        services: Vec::new(),
        customers: (0..10).map(customer).collect(),
    }
}

/// An order to apply that file.
fn order(firm: &str, mark: u32, id: &str) -> Order {
    Order {
        firm: name(firm),
        id: id.to_owned(),
        expect: None,
        split: piece::split(&file(firm, mark)).expect("the file fits"),
    }
}

/// Applies a file within a bound that is long beside the faults of the tests.
async fn apply(store: &dyn Store, order: Order) -> Outcome {
    config::apply(store, order, Duration::from_secs(5), 7).await
}

/// The version of an accepted outcome.
fn accepted(outcome: &Outcome) -> Option<Version> {
    match outcome {
        Outcome::Accepted { version, .. } => Some(*version),
        _ => None,
    }
}

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
        let large = vec![0; verbenaspool_transport::platform::LARGEST + 1];
        let large = store.put(key, large.into(), When::Always).await;
        assert_eq!(large, Err(Error::Large));
        // The other firm's keys are out of reach.
        let other = store.get("firms/quetzal/head").await;
        assert_eq!(other, Err(Error::Refused));
    });
}

#[test]
fn accepted_file_comes_in_force() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let source = Source::start(client(&platform, FIRM), name(FIRM), 7);
        assert!(source.current().is_none());
        for version in 1..4 {
            let id = format!("apply-{version}");
            let outcome = apply(&*store, order(FIRM, version, &id)).await;
            assert_eq!(accepted(&outcome), Some(Version(version.into())));
            let adopted = source.above(Version(u64::from(version) - 1)).await;
            let mut found = adopted.file.customers.clone();
            found.sort_by(|a, b| a.name.cmp(&b.name));
            assert_eq!(found, file(FIRM, version).customers);
        }
        source.end();
    });
}

// An operator's apply meets a platform that acts up at some point of it. The
// operator must hear what really happened: accepted once, or not at all. Lost
// answers are the dangerous ones, because the write did take effect.
#[test]
fn faults_during_apply() {
    /// What the platform does, by a name for the failing case.
    type Fault = (&'static str, fn(&mut Faults));
    let faults: [Fault; 6] = [
        ("none", |_| {}),
        ("first piece's answer lost", |f| f.lose_answers = 1),
        ("swap's answer lost", |f| {
            f.lose_after = 2;
            f.lose_answers = 1;
        }),
        ("three answers lost", |f| f.lose_answers = 3),
        ("slow", |f| f.delay = Duration::from_millis(30)),
        ("few writes a second", |f| f.writes_per_second = Some(4)),
    ];
    for (fault, set) in faults {
        run(async move {
            let platform = platform();
            let store = client(&platform, FIRM);
            let first = apply(&*store, order(FIRM, 1, "apply-1")).await;
            assert_eq!(accepted(&first), Some(Version(1)), "{fault}");
            platform.set(set);
            let second = apply(&*store, order(FIRM, 2, "apply-2")).await;
            assert_eq!(accepted(&second), Some(Version(2)), "{fault}");
            platform.set(|faults| *faults = Faults::default());
            // The same apply again only tells what became of it.
            let again = apply(&*store, order(FIRM, 2, "apply-2")).await;
            assert_eq!(accepted(&again), Some(Version(2)), "{fault}");
        });
    }
}
