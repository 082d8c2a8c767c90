//! Concurrent writes, some of them abandoned, settled, retried or delayed, whose history
//! is checked.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use verbenaspool_protocol::{outcome::Outcome, settle::Answer};
use verbenaspool_standin::history::{
    outcomes::{self, Entry},
    writes,
};

use crate::rig::{Rig, run, service, settings};

/// Number of writes per run.
const WRITES: u64 = 300;

/// The outcomes reported to the callers.
type Reported = Rc<RefCell<Vec<Entry>>>;

/// Sends one write. Like an entry, it abandons an attempt after a timeout, asks the agent
/// for the status, and retries only after "refused".
async fn write(rig: &Rig, key: &str, reported: &Reported, random: &RefCell<SmallRng>) {
    let mut outcome = Outcome::Unknown;
    for _ in 0..4 {
        let draw = |below| random.borrow_mut().random_range(0..below);
        let (delay, timeout, late) = (draw(20), draw(30), draw(4) == 0);
        rig.clock.sleep(Duration::from_millis(delay)).await;
        let id = rig.next_id();
        let settled = if late {
            // The attempt is still in flight when the entry abandons it.
            let settled = rig.settle(id).await;
            let reply = rig.post(id, "/bookings", key).await.unwrap();
            assert_eq!(reply.outcome, Outcome::NotRun, "{key} arrived late");
            settled
        } else {
            let sent = rig.post(id, "/bookings", key);
            let timeout = Duration::from_millis(timeout);
            match monoio::time::timeout(timeout, sent).await {
                Ok(Ok(reply)) if reply.body.is_some() => {
                    outcome = reply.outcome;
                    break;
                }
                _ => rig.settle(id).await,
            }
        };
        if settled != Answer::Refused {
            outcome = Outcome::Unknown;
            break;
        }
        outcome = Outcome::NotRun;
    }
    let request = key.to_owned();
    reported.borrow_mut().push(Entry { request, outcome });
}

#[test]
fn writes_run_at_most_once_and_reported_outcomes_are_true() {
    // Guards against writes that run twice, and against writes that ran although they were
    // reported as "not run". The service is slow, so responses arrive after entries have
    // abandoned their attempts, and first copies arrive after retries.
    for seed in [1, 2, 3] {
        run(async {
            let (address, journal) = service(Duration::from_millis(15));
            let mut settings = settings(address, "plain");
            settings.limits.requests = 64;
            settings.limits.remembered = 64;
            let rig = Rc::new(Rig::start(settings));
            let reported = Reported::default();
            let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
            let tasks: Vec<_> = (0..WRITES)
                .map(|i| {
                    let (rig, reported, random) = (rig.clone(), reported.clone(), random.clone());
                    monoio::spawn(async move {
                        write(&rig, &format!("net-{i}"), &reported, &random).await;
                    })
                })
                .collect();
            for task in tasks {
                task.await;
            }
            // Attempts in flight end before the journal is read.
            while rig.report(0).await.load.running > 0 {}
            let keys: Vec<String> = (0..WRITES).map(|i| format!("net-{i}")).collect();
            let requested = keys.iter().map(String::as_str);
            let ran = journal.writes.borrow();
            let ran = || ran.iter().map(String::as_str);
            writes::check(requested, ran()).expect("each write runs at most once");
            outcomes::check(&reported.borrow(), ran()).expect("reported outcomes are true");
            assert_eq!(reported.borrow().len() as u64, WRITES);
        });
    }
}
