//! Upstreams that reject requests and want no more from their agent for a time.

use std::time::Duration;

use verbenaspool_protocol::outcome::Outcome;

use crate::rig::{Rig, run, service, settings};

/// The time for which the upstream wants no requests.
const BACKOFF: Duration = Duration::from_millis(1_500);

/// How long after the rejection requests may still arrive that were on their way.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// The most requests that may arrive in the rest of the time.
const TOLERATED: usize = 2;

/// The pause between requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against an agent that sends requests, reads and orders to an upstream that wants
/// nothing from it, and against requests that are rejected without word of that.
#[test]
fn an_agent_sends_nothing_to_its_upstream_before_a_retry_after_ends() {
    run(async {
        let (upstream, journal) = service(Duration::ZERO);
        let rig = Rig::start(settings(upstream, "engine"));
        journal.backoff.set(Some(BACKOFF));
        rig.clock.sleep(NOTICE_TIME).await;
        let first = journal.rejections.borrow()[0];
        let mut last = None;
        while journal.clock().now() < first + BACKOFF {
            let request = rig.request(rig.next_id(), "/bookings", "one");
            last = Some(rig.send(request).await.expect("an answer"));
            monoio::time::sleep(CALL_INTERVAL).await;
        }
        let period = first + NOTICE_TIME..first + BACKOFF;
        let rejections = journal.rejections.borrow();
        let arrived = rejections.iter().filter(|at| period.contains(*at)).count();
        assert!(arrived <= TOLERATED, "{arrived} requests");
        assert_eq!(last.map(|reply| reply.outcome), Some(Outcome::NotRun));
    });
}
