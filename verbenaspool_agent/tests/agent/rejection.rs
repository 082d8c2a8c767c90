//! What a rejection reports to the entry.

use std::time::Duration;

use verbenaspool_protocol::{header, outcome::Outcome, problem::Code};

use crate::rig::{Rig, report_request, run, service, settings};

#[test]
fn every_rejection_carries_its_attempt() {
    // Guards against a new entry whose requests all end with an unknown outcome: it doesn't
    // know the agent's number yet, and takes a rejection without the attempt id for the
    // response to another request.
    run(async {
        let (upstream, journal) = service(Duration::ZERO);
        let rig = Rig::start(settings(upstream, "plain"));
        let cases = [
            (header::AGENT, None, Code::StaleAttempt),
            (header::AGENT, Some("7"), Code::StaleAttempt),
            (header::INSTANCE, None, Code::StaleAttempt),
            (header::INSTANCE, Some("quetzal/loft-1"), Code::StaleAttempt),
            (
                header::INSTANCE,
                Some("tidewater/loft-2"),
                Code::StaleAttempt,
            ),
            (header::DEADLINE_MS, Some("soon"), Code::BadRequest),
            (header::DEADLINE_MS, Some("0"), Code::Deadline),
        ];
        for (name, value, code) in cases {
            let id = rig.next_id();
            let mut request = rig.request(id, "/bookings", "one");
            request.headers_mut().remove(name);
            if let Some(value) = value {
                request
                    .headers_mut()
                    .insert(name, value.parse().expect("a value"));
            }
            let reply = rig.send(request).await.expect("an answer");
            assert_eq!(reply.attempt, Some(id), "{name} {value:?}");
            assert_eq!(reply.outcome, Outcome::NotRun, "{name} {value:?}");
            assert_eq!(reply.code(), Some(code), "{name} {value:?}");
            assert_eq!(reply.load.map(|load| load.agent), Some(rig.agent));
        }
        assert!(journal.writes.borrow().is_empty());
    });
}

#[test]
fn a_request_for_another_instance_gets_no_report() {
    // Guards against requests of one firm that are run by another firm's upstream: an
    // instance was replaced, its address was reused by the other firm, and an entry with an
    // outdated list learned the agent's number there and sent its requests.
    run(async {
        let (upstream, _) = service(Duration::ZERO);
        let rig = Rig::start(settings(upstream, "plain"));
        for (instance, accepted) in [("loft-1", true), ("loft-2", false)] {
            let request = report_request(instance, 0);
            let answer = rig.request_report(&request).await;
            assert_eq!(answer.is_ok(), accepted, "{instance}");
        }
    });
}
