//! Faults: whatever fails, the outcome reported to the entry must be true.

use std::time::Duration;

use futures_util::future::Either;

use verbenaspool_protocol::{outcome::Outcome, problem::Code, settle::Answer};
use verbenaspool_standin::engine::{Config, Parts};

use crate::rig::{Reply, Rig, completion, engine, run, service, settings};

/// Injects a fault into the engine.
type Fault = fn(&Parts);

#[test]
fn interrupted_responses_never_look_complete() {
    // Guards against a partial response that ends cleanly, which the caller would take for
    // complete: the engine fails before or during its response.
    let table: [(&str, Fault); 4] = [
        ("before its response", |parts| {
            parts.faults.fail_before_start();
        }),
        ("before the first token", |parts| {
            parts.faults.fail_after_tokens(0);
        }),
        ("between tokens", |parts| parts.faults.fail_after_tokens(2)),
        ("before the end mark", |parts| {
            parts.faults.fail_after_tokens(5);
        }),
    ];
    run(async {
        let (address, parts) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        for (name, inject) in table {
            inject(&parts);
            let id = rig.next_id();
            let reply = rig.post(id, "/v1/completions", &completion("Net", 5)).await;
            let text = reply.ok().and_then(|reply| reply.text());
            assert_eq!(text, None, "{name}");
            assert_eq!(rig.settle(id).await, Answer::Unknown, "{name}");
            let next = rig.complete("Net", 5).await.unwrap();
            assert!(next.text().is_some(), "{name}: the next request succeeds");
        }
    });
}

#[test]
fn rejected_attempts_are_rejected_when_they_arrive_late() {
    // Guards against a write that runs twice: an entry abandons an attempt in flight, the
    // agent reports it as "refused", the caller retries, and then the first copy arrives.
    run(async {
        let (address, journal) = service(Duration::ZERO);
        let rig = Rig::start(settings(address, "plain"));
        let late = rig.next_id();
        assert_eq!(rig.settle(late).await, Answer::Refused);
        rig.post(rig.next_id(), "/bookings", "net 7").await.unwrap();
        let reply = rig.post(late, "/bookings", "net 7").await.unwrap();
        assert_eq!(reply.outcome, Outcome::NotRun);
        assert_eq!(reply.code(), Some(Code::StaleAttempt));
        assert_eq!(journal.writes.borrow().len(), 1);
    });
}

#[test]
fn an_attempt_whose_response_was_lost_is_not_run_again() {
    // Guards against a write that runs twice: the write runs, its response is lost, and
    // after the entry has asked for the status a copy of the attempt arrives.
    run(async {
        let (address, journal) = service(Duration::from_millis(30));
        let rig = Rig::start(settings(address, "plain"));
        let id = rig.next_id();
        let request = rig.request(id, "/bookings", "net 7");
        let sent = Box::pin(rig.send(request));
        let started = Box::pin(rig.wait_until(|| journal.writes.borrow().len() == 1));
        let first = futures_util::future::select(sent, started).await;
        assert!(
            matches!(first, Either::Right(_)),
            "the entry disconnects first"
        );
        drop(first);
        while rig.settle(id).await == Answer::Running {}
        assert_eq!(rig.settle(id).await, Answer::Ended);
        let again = rig.post(id, "/bookings", "net 7").await.unwrap();
        assert_eq!(again.outcome, Outcome::Unknown);
        assert_eq!(journal.writes.borrow().len(), 1);
    });
}

#[test]
fn an_engine_stops_when_the_entry_disconnects() {
    run(async {
        let (address, parts) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        let id = rig.next_id();
        let request = rig.request(id, "/v1/completions", &completion("Net", 100_000));
        let response = rig.client.send(rig.data, request).await.unwrap();
        drop(response);
        rig.wait_until(|| parts.batch.cancelled() == 1).await;
        rig.wait_until(|| parts.batch.running() == 0).await;
        assert_eq!(rig.settle(id).await, Answer::Unknown);
    });
}

#[test]
fn a_leaving_agent_rejects_new_requests_and_completes_running_ones() {
    // Entries choose a leaving instance until the platform's list is updated. Guards
    // against rejections after which they can't retry at another instance at once.
    run(async {
        let (address, _) = engine(Config::default());
        let mut rig = Rig::start(settings(address, "engine"));
        let request = rig.request(rig.next_id(), "/v1/completions", &completion("Net", 30));
        let response = rig.client.send(rig.data, request).await.unwrap();
        rig.leave().await;
        let refused = rig.complete("Net", 1).await.unwrap();
        assert_eq!(refused.code(), Some(Code::Leaving));
        assert_eq!(refused.status, Code::Leaving.status());
        assert_eq!(refused.outcome, Outcome::NotRun);
        assert!(refused.load.unwrap().leaving);
        assert!(rig.report(0).await.load.leaving);
        rig.stop.fire();
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        assert!(body.is_ok(), "the response in flight completes");
        assert_eq!(rig.drained.take().unwrap().await.cut, 0);
    });
}

#[test]
fn attempts_at_an_unreachable_upstream_did_not_run() {
    run(async {
        let rig = Rig::start(settings(([127, 0, 0, 1], 1).into(), "plain"));
        let id = rig.next_id();
        let reply: Reply = rig.post(id, "/bookings", "net 7").await.unwrap();
        assert_eq!(reply.code(), Some(Code::NoUpstream));
        assert_eq!(rig.settle(id).await, Answer::Refused);
    });
}

#[test]
fn a_response_without_a_marked_end_counts_as_interrupted() {
    // Guards against a partial response that is taken for complete: a service that ends
    // its responses by closing the connection fails in the middle of one, which can't be
    // distinguished from a complete one.
    run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let served = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = std::io::Read::read(&mut stream, &mut [0; 4096]);
            std::io::Write::write_all(&mut stream, b"HTTP/1.1 200 OK\r\n\r\nbook").unwrap();
        });
        let rig = Rig::start(settings(address, "plain"));
        let id = rig.next_id();
        let reply = rig.post(id, "/bookings", "net 7").await.unwrap();
        assert_eq!(reply.body, None);
        assert_eq!(rig.settle(id).await, Answer::Unknown);
        served.join().unwrap();
    });
}

#[test]
fn a_request_to_a_stalled_engine_ends_at_the_deadline() {
    run(async {
        let (address, parts) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        parts.batch.stall();
        let body = completion("Net", 5).replace("true", "false");
        let mut request = rig.request(rig.next_id(), "/v1/completions", &body);
        let deadline = verbenaspool_protocol::header::DEADLINE_MS;
        request.headers_mut().insert(deadline, 50.into());
        let reply = rig.send(request).await.unwrap();
        assert_eq!(reply.code(), Some(Code::Deadline));
        assert_eq!(reply.outcome, Outcome::Unknown);
        rig.wait_until(|| parts.batch.cancelled() == 1).await;
    });
}

#[test]
fn a_full_instance_rejects_with_a_retry_delay() {
    run(async {
        let (address, parts) = engine(Config::default());
        let mut settings = settings(address, "engine");
        settings.limits.requests = 1;
        let rig = Rig::start(settings);
        let request = rig.request(rig.next_id(), "/v1/completions", &completion("Net", 10_000));
        let first = rig.client.send(rig.data, request).await.unwrap();
        let refused = rig.complete("Net", 1).await.unwrap();
        assert_eq!(refused.code(), Some(Code::Overloaded));
        let text = String::from_utf8(refused.body.unwrap().to_vec()).unwrap();
        assert!(text.contains("retry_after_ms"), "{text}");
        drop(first);
        rig.wait_until(|| parts.batch.running() == 0).await;
        assert!(rig.complete("Net", 1).await.unwrap().text().is_some());
    });
}

#[test]
fn a_write_sent_to_a_closing_agent_is_settled() {
    // Guards against an outcome "unknown" for a write that never ran: the agent closes its
    // connections while an entry sends a write on one. The agent must still answer the
    // entry's status request.
    run(async {
        let (address, journal) = service(Duration::ZERO);
        let mut settings = settings(address, "plain");
        settings.drain.linger_ms = 1_000;
        let rig = Rig::start(settings);
        rig.stop.fire();
        let id = rig.next_id();
        while rig.post(id, "/bookings", "net 7").await.is_ok() {
            rig.clock.sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(rig.settle(id).await, Answer::Refused);
        assert!(journal.writes.borrow().is_empty());
    });
}
