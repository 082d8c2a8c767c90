//! Faults: each entry of the table breaks one thing, and the word that the
//! entry gets must be true.

use std::time::Duration;

use futures_util::future::Either;

use verbenaspool_protocol::{outcome::Outcome, problem::Code, settle::Answer};
use verbenaspool_standin::engine::{Config, Parts};

use crate::rig::{Reply, Rig, completion, engine, run, service, settings};

/// Injects a fault into the engine.
type Fault = fn(&Parts);

#[test]
fn interrupted_responses_never_look_complete() {
    // The engine dies before or inside its answer. A caller that got a cleanly
    // ended half would take it for the whole.
    let table: [(&str, Fault); 4] = [
        ("before its answer", |parts| {
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
            assert!(
                next.text().is_some(),
                "{name}: the next request is unharmed"
            );
        }
    });
}

#[test]
fn rejected_attempts_are_rejected_when_they_arrive_late() {
    // An entry gives up on an attempt that is still on its way and asks the
    // agent, which says "refused". The caller repeats its booking. The first
    // copy arrives: were it run, the skipper would be charged twice.
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
    // The booking runs, and the connection with its answer breaks. The entry
    // asks; a copy of the same attempt must not run.
    run(async {
        let (address, journal) = service(Duration::from_millis(30));
        let rig = Rig::start(settings(address, "plain"));
        let id = rig.next_id();
        let request = rig.request(id, "/bookings", "net 7");
        let sent = Box::pin(rig.send(request));
        let started = Box::pin(rig.wait_until(|| journal.writes.borrow().len() == 1));
        let first = futures_util::future::select(sent, started).await;
        assert!(matches!(first, Either::Right(_)), "the entry gave up");
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
    // The platform's list still names the instance as live, so entries go on
    // choosing it. Each must get a word that lets it go elsewhere at once.
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
        assert!(body.is_ok(), "the answer in flight ended");
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
    // A service that ends its answers by closing the connection dies in the
    // middle of one. Nothing tells that half from a whole, so neither passes.
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
        let deadline = verbenaspool_protocol::header::DEADLINE;
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
    // The agent closes its connections just as an entry writes a booking to
    // one. The entry sees it break and asks; with nobody left to answer, the
    // skipper would be told "unknown" of a booking that never ran.
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
