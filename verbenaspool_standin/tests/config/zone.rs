//! Tests the instances of a zone during outages, replacements and races.

use std::{cell::RefCell, rc::Rc, time::Duration};

use verbenaspool_coordination::apply::Outcome;
use verbenaspool_standin::{
    history::{activation, reverts},
    platform::{Faults, Platform, Watch},
};
use verbenaspool_state::version::Version;
use verbenaspool_transport::clock::{Clock, Monotonic};

use crate::support::{
    FIRM, Instance, accepted, all_activate, apply, client, client_at, marker, platform, request,
    run,
};

/// How long an accepted file may take to become active.
const MAX_ACTIVATION_DELAY: Duration = Duration::from_secs(9);

/// Records the events of a run for both checkers.
struct Record {
    clock: Rc<Monotonic>,
    reverts: RefCell<Vec<reverts::Event>>,
    activations: RefCell<Vec<activation::Event>>,
}

impl Record {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            clock: Monotonic::start(),
            reverts: RefCell::default(),
            activations: RefCell::default(),
        })
    }

    /// Records the versions that become active on an instance.
    fn follow(self: &Rc<Self>, name: &str, instance: &Instance) {
        let (record, source) = (Rc::clone(self), Rc::clone(&instance.source));
        let name = name.to_owned();
        monoio::spawn(async move {
            let mut seen = Version(0);
            loop {
                let adopted = source.wait_for_newer(seen).await;
                seen = adopted.version();
                let content = marker(&adopted.file).to_string();
                record.reverts.borrow_mut().push(reverts::Event {
                    zone: "bowen".to_owned(),
                    instance: name.clone(),
                    version: seen.0,
                    content: content.clone(),
                });
                record
                    .activations
                    .borrow_mut()
                    .push(activation::Event::Activated {
                        at: record.clock.now(),
                        instance: name.clone(),
                        version: seen.0,
                        content,
                    });
            }
        });
    }

    /// Records the outcome that an operator got.
    fn record_outcome(&self, marker: u32, outcome: &Outcome) {
        let content = marker.to_string();
        let event = match outcome {
            Outcome::Accepted { version, .. } => activation::Event::Accepted {
                at: self.clock.now(),
                version: version.0,
                content,
            },
            Outcome::Conflict { .. } | Outcome::Failed(_) => {
                activation::Event::Rejected { content }
            }
            Outcome::Unchanged(_) | Outcome::Unknown(_) => return,
        };
        self.activations.borrow_mut().push(event);
    }

    /// Checks the run once the activations of `version` are recorded: the recorder is woken by the
    /// same event as the test, and may run after it.
    async fn check(&self, instances: &[&str], version: u64) {
        let recorded = |wanted: &str| {
            let events = self.reverts.borrow();
            let mut own = events.iter().filter(|event| event.instance == wanted);
            own.any(|event| event.version >= version)
        };
        for _ in 0..100 {
            if instances.iter().all(|instance| recorded(instance)) {
                break;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(reverts::check(&self.reverts.borrow()), Ok(()));
        let events = self.activations.borrow();
        assert_eq!(
            activation::check(&events, instances, MAX_ACTIVATION_DELAY),
            Ok(())
        );
    }
}

/// Starts instances that discover each other through the first one's address.
fn zone(platform: &Platform, count: u32) -> Vec<Instance> {
    let mut instances: Vec<Instance> = Vec::new();
    for number in 0..count {
        let seeds: Vec<_> = instances.iter().map(|i| i.control).take(1).collect();
        let store = client(platform, FIRM);
        instances.push(Instance::start(number, store, &seeds, number.into()));
    }
    instances
}

/// Waits until all instances know each other.
async fn wait_for_membership(instances: &[Instance]) {
    for _ in 0..500 {
        if instances
            .iter()
            .all(|i| i.source.alive_count() == instances.len())
        {
            return;
        }
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the instances didn't discover each other");
}

#[test]
fn all_instances_adopt_versions() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let instances = zone(&platform, 7);
        wait_for_membership(&instances).await;
        for version in 1..=5 {
            let outcome = apply(&*store, request(FIRM, version, &format!("{version}"))).await;
            assert!(accepted(&outcome).is_some());
            assert!(all_activate(&instances, version.into()).await);
        }
        let first = instances.iter().find(|i| i.source.is_first()).unwrap();
        monoio::time::sleep(Duration::from_millis(500)).await;
        let summary = first.source.summary();
        assert_eq!(summary.instances, 7);
        assert_eq!((summary.lowest, summary.behind.len()), (Version(5), 0));
    });
}

/// Guards against wrong outcomes when operators of one or two firms apply concurrently. Each
/// operator must get the outcome of its own file, and only accepted files may become active.
#[test]
fn operators_race() {
    run(async {
        let platform = platform();
        let instances = zone(&platform, 3);
        let record = Record::new();
        for (i, instance) in instances.iter().enumerate() {
            record.follow(&format!("entry-{i}"), instance);
        }
        let mut operators = Vec::new();
        for operator in 0..4_u32 {
            let record = Rc::clone(&record);
            let store = client(&platform, FIRM);
            operators.push(monoio::spawn(async move {
                for turn in 0..5 {
                    let marker = operator * 10 + turn + 1;
                    let request = request(FIRM, marker, &format!("apply-{marker}"));
                    record.record_outcome(marker, &apply(&*store, request).await);
                }
            }));
        }
        let other = client(&platform, "quetzal");
        for turn in 1..=5 {
            let request = request("quetzal", turn, &format!("q-{turn}"));
            let outcome = apply(&*other, request).await;
            assert_eq!(accepted(&outcome), Some(Version(turn.into())));
        }
        for operator in operators {
            operator.await;
        }
        let events = record.activations.borrow().clone();
        let accepted = |e: &&activation::Event| matches!(e, activation::Event::Accepted { .. });
        let versions = events.iter().filter(accepted).count();
        assert!(versions >= 5, "{events:?}");
        assert!(all_activate(&instances, versions as u64).await);
        record
            .check(&["entry-0", "entry-1", "entry-2"], versions as u64)
            .await;
        // Garbage collection kept the pieces that the head refers to and few others.
        let left = platform.with(|o| o.list("firms/tidewater/pieces/").len());
        assert!((2..=20).contains(&left), "{left} pieces");
    });
}

/// Guards against relying on the watch, which may return no changes, every other change, or all
/// changes repeated in reverse order. Files must become active in time all the same, because the
/// watch is only a hint to read.
#[test]
fn watch_loses_and_reorders_changes() {
    for watch_fault in [Watch::Stale, Watch::Gaps, Watch::Reordered] {
        run(async move {
            let platform = platform();
            let instances = zone(&platform, 2);
            let record = Record::new();
            for (i, instance) in instances.iter().enumerate() {
                record.follow(&format!("entry-{i}"), instance);
            }
            platform.set(|faults| faults.watch = watch_fault);
            let store = client(&platform, FIRM);
            for marker in 1..=3 {
                let request = request(FIRM, marker, &format!("apply-{marker}"));
                record.record_outcome(marker, &apply(&*store, request).await);
            }
            assert!(all_activate(&instances, 3).await, "{watch_fault:?}");
            record.check(&["entry-0", "entry-1"], 3).await;
        });
    }
}

/// Guards against the loss of the active version during an outage of the platform. All instances
/// are replaced one by one, and each successor must get the active version from its peers. An
/// apply during the outage must report that nothing was accepted.
#[test]
fn replaced_one_by_one_in_an_outage() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        let record = Record::new();
        let mut instances = zone(&platform, 3);
        wait_for_membership(&instances).await;
        for (i, instance) in instances.iter().enumerate() {
            record.follow(&format!("entry-{i}"), instance);
        }
        for marker in 1..=2 {
            let request = request(FIRM, marker, &format!("apply-{marker}"));
            record.record_outcome(marker, &apply(&*store, request).await);
        }
        assert!(all_activate(&instances, 2).await);
        platform.set(|faults| faults.down = true);
        let failed = apply(&*store, request(FIRM, 9, "apply-9")).await;
        assert!(matches!(failed, Outcome::Failed(_)), "{failed:?}");
        record.record_outcome(9, &failed);
        for number in 0..3_u32 {
            instances.remove(0).crash();
            let seeds: Vec<_> = instances.iter().map(|i| i.control).collect();
            let store = client(&platform, FIRM);
            let successor = Instance::start(number, store, &seeds, 100 + u64::from(number));
            record.follow(&format!("entry-{number}"), &successor);
            instances.push(successor);
            assert!(all_activate(&instances, 2).await, "entry-{number}");
        }
        platform.set(|faults| *faults = Faults::default());
        record.record_outcome(3, &apply(&*store, request(FIRM, 3, "apply-3")).await);
        assert!(all_activate(&instances, 3).await);
        record.check(&["entry-0", "entry-1", "entry-2"], 3).await;
    });
}

/// Guards against serving without a configuration. All instances of a zone are replaced at once
/// while the platform is down, so no peer has a version: the successors must take no traffic,
/// report why, and activate the accepted version when the platform is back.
#[test]
fn replaced_at_once_in_an_outage() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        assert!(accepted(&apply(&*store, request(FIRM, 1, "apply-1")).await).is_some());
        platform.set(|faults| faults.down = true);
        let instances = zone(&platform, 3);
        wait_for_membership(&instances).await;
        monoio::time::sleep(Duration::from_millis(300)).await;
        for instance in &instances {
            assert!(instance.source.current().is_none());
        }
        let watcher = instances.iter().find(|i| i.source.is_first()).unwrap();
        assert!(watcher.source.last_error().is_some());
        platform.set(|faults| *faults = Faults::default());
        assert!(all_activate(&instances, 1).await);
    });
}

/// Guards against missing versions when only one instance can reach the platform, as after a network
/// fault, whether it is a watcher or not. Accepted files must become active on all instances.
#[test]
fn one_still_reaches_the_platform() {
    for connected_instance in 0..3 {
        run(async move {
            let platform = platform();
            let store = client(&platform, FIRM);
            let unreachable = ([127, 0, 0, 1], 9).into();
            let mut instances: Vec<Instance> = Vec::new();
            for number in 0..3_u32 {
                let seeds: Vec<_> = instances.iter().map(|i| i.control).take(1).collect();
                let address = if number == connected_instance {
                    platform.address()
                } else {
                    unreachable
                };
                let store = client_at(address, FIRM);
                instances.push(Instance::start(number, store, &seeds, number.into()));
            }
            wait_for_membership(&instances).await;
            for version in 1..=3 {
                let request = request(FIRM, version, &format!("apply-{version}"));
                assert!(accepted(&apply(&*store, request).await).is_some());
                assert!(
                    all_activate(&instances, version.into()).await,
                    "{connected_instance}"
                );
            }
        });
    }
}

/// Guards against two processes that serve under one name. A process is paused and replaced under
/// its name; when it resumes, it must detect the replacement and take no more work.
#[test]
fn paused_process_wakes_up() {
    run(async {
        let platform = platform();
        let store = client(&platform, FIRM);
        assert!(accepted(&apply(&*store, request(FIRM, 1, "apply-1")).await).is_some());
        let instances = zone(&platform, 2);
        wait_for_membership(&instances).await;
        assert!(all_activate(&instances, 1).await);
        let seeds = [instances[0].control];
        let successor = Instance::start(1, client(&platform, FIRM), &seeds, 50);
        for _ in 0..500 {
            if instances[1].source.is_replaced() {
                break;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(instances[1].source.is_replaced());
        assert!(!successor.source.is_replaced() && !instances[0].source.is_replaced());
    });
}

#[test]
fn checkers_reject_invalid_histories() {
    let event = |instance: &str, version, content: &str| reverts::Event {
        zone: "bowen".to_owned(),
        instance: instance.to_owned(),
        version,
        content: content.to_owned(),
    };
    let reverted = [event("a", 1, "x"), event("a", 2, "y"), event("a", 1, "x")];
    assert!(matches!(
        reverts::check(&reverted),
        Err(reverts::Violation::Reverted { .. })
    ));
    let forked = [event("a", 1, "x"), event("b", 1, "y")];
    assert_eq!(
        reverts::check(&forked),
        Err(reverts::Violation::Forked { version: 1 })
    );

    let at = Duration::from_secs(1);
    let text = |content: &str| content.to_owned();
    let accepted = |version, content| activation::Event::Accepted {
        at,
        version,
        content: text(content),
    };
    let activated = |at, version, content| activation::Event::Activated {
        at,
        instance: text("a"),
        version,
        content: text(content),
    };
    let rejected = activation::Event::Rejected { content: text("x") };
    let late = at + MAX_ACTIVATION_DELAY + Duration::from_millis(1);
    let cases = [
        ("late", vec![accepted(1, "x"), activated(late, 1, "x")]),
        ("never", vec![accepted(1, "x")]),
        ("other file", vec![accepted(1, "x"), activated(at, 1, "y")]),
        ("rejected", vec![rejected, activated(at, 1, "x")]),
        (
            "two as one",
            vec![accepted(1, "x"), accepted(1, "y"), activated(at, 1, "x")],
        ),
    ];
    for (case, events) in cases {
        assert!(
            activation::check(&events, &["a"], MAX_ACTIVATION_DELAY).is_err(),
            "{case}"
        );
    }
    let valid = [
        accepted(1, "x"),
        activated(at + MAX_ACTIVATION_DELAY, 1, "x"),
    ];
    assert_eq!(
        activation::check(&valid, &["a"], MAX_ACTIVATION_DELAY),
        Ok(())
    );
}
