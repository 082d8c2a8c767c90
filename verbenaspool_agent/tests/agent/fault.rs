//! Faults: each entry of the table breaks one thing, and the word that the
//! entry gets must be true.

use std::time::Duration;

use futures_util::future::Either;

use verbenaspool_protocol::{outcome::Outcome, problem::Code, settle::Answer};
use verbenaspool_standin::engine::{Config, Parts};

use crate::rig::{Reply, Rig, completion, engine, run, service, settings};

/// What breaks in the engine.
type Break = fn(&Parts);

#[test]
fn a_broken_engine_never_looks_whole() {
    // The engine dies before or inside its answer. A caller that got a cleanly
    // ended half would take it for the whole.
    let table: [(&str, Break); 4] = [
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
        for (name, breaks) in table {
            breaks(&parts);
            let id = rig.id();
            let reply = rig.post(id, "/v1/completions", &completion("Net", 5)).await;
            let whole = reply.ok().and_then(|reply| reply.text());
            assert_eq!(whole, None, "{name}");
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
fn a_refused_attempt_is_refused_when_it_arrives_late() {
    // An entry gives up on an attempt that is still on its way and asks the
    // agent, which says "refused". The caller repeats its booking. The first
    // copy arrives: were it run, the skipper would be charged twice.
    run(async {
        let (address, book) = service(Duration::ZERO);
        let rig = Rig::start(settings(address, "plain"));
        let late = rig.id();
        assert_eq!(rig.settle(late).await, Answer::Refused);
        rig.post(rig.id(), "/bookings", "net 7").await.unwrap();
        let reply = rig.post(late, "/bookings", "net 7").await.unwrap();
        assert_eq!(reply.outcome, Outcome::NotRun);
        assert_eq!(reply.code(), Some(Code::StaleAttempt));
        assert_eq!(book.writes.borrow().len(), 1);
    });
}

#[test]
fn a_lost_answer_is_settled_as_ended_and_not_run_again() {
    // The booking runs, and the connection with its answer breaks. The entry
    // asks; a copy of the same attempt must not run.
    run(async {
        let (address, book) = service(Duration::from_millis(30));
        let rig = Rig::start(settings(address, "plain"));
        let id = rig.id();
        let request = rig.request(id, "/bookings", "net 7");
        let sent = Box::pin(rig.send(request));
        let begun = Box::pin(rig.until(|| book.writes.borrow().len() == 1));
        let first = futures_util::future::select(sent, begun).await;
        assert!(matches!(first, Either::Right(_)), "the entry gave up");
        drop(first);
        while rig.settle(id).await == Answer::Running {}
        assert_eq!(rig.settle(id).await, Answer::Ended);
        let again = rig.post(id, "/bookings", "net 7").await.unwrap();
        assert_eq!(again.outcome, Outcome::Unknown);
        assert_eq!(book.writes.borrow().len(), 1);
    });
}

#[test]
fn an_engine_stops_when_the_entry_goes() {
    run(async {
        let (address, parts) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        let id = rig.id();
        let request = rig.request(id, "/v1/completions", &completion("Net", 100_000));
        let response = rig.client.send(rig.data, request).await.unwrap();
        drop(response);
        rig.until(|| parts.batch.cancelled() == 1).await;
        rig.until(|| parts.batch.running() == 0).await;
        assert_eq!(rig.settle(id).await, Answer::Unknown);
    });
}

#[test]
fn a_leaving_agent_refuses_new_work_and_ends_what_it_has() {
    // The platform's list still names the instance as live, so entries go on
    // choosing it. Each must get a word that lets it go elsewhere at once.
    run(async {
        let (address, _) = engine(Config::default());
        let mut rig = Rig::start(settings(address, "engine"));
        let request = rig.request(rig.id(), "/v1/completions", &completion("Net", 30));
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
fn an_upstream_that_is_down_ran_nothing() {
    run(async {
        let rig = Rig::start(settings(([127, 0, 0, 1], 1).into(), "plain"));
        let id = rig.id();
        let reply: Reply = rig.post(id, "/bookings", "net 7").await.unwrap();
        assert_eq!(reply.code(), Some(Code::NoUpstream));
        assert_eq!(rig.settle(id).await, Answer::Refused);
    });
}

#[test]
fn an_answer_whose_end_is_not_marked_counts_as_broken() {
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
        let id = rig.id();
        let reply = rig.post(id, "/bookings", "net 7").await.unwrap();
        assert_eq!(reply.body, None);
        assert_eq!(rig.settle(id).await, Answer::Unknown);
        served.join().unwrap();
    });
}

#[test]
fn a_stalled_engine_is_given_up_at_the_deadline() {
    run(async {
        let (address, parts) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        parts.batch.stall();
        let body = completion("Net", 5).replace("true", "false");
        let mut request = rig.request(rig.id(), "/v1/completions", &body);
        let deadline = verbenaspool_protocol::header::DEADLINE;
        request.headers_mut().insert(deadline, 50.into());
        let reply = rig.send(request).await.unwrap();
        assert_eq!(reply.code(), Some(Code::Deadline));
        assert_eq!(reply.outcome, Outcome::Unknown);
        rig.until(|| parts.batch.cancelled() == 1).await;
    });
}

#[test]
fn a_full_instance_refuses_and_says_when_to_come_back() {
    run(async {
        let (address, parts) = engine(Config::default());
        let mut settings = settings(address, "engine");
        settings.limits.requests = 1;
        let rig = Rig::start(settings);
        let request = rig.request(rig.id(), "/v1/completions", &completion("Net", 10_000));
        let first = rig.client.send(rig.data, request).await.unwrap();
        let refused = rig.complete("Net", 1).await.unwrap();
        assert_eq!(refused.code(), Some(Code::Overloaded));
        let text = String::from_utf8(refused.body.unwrap().to_vec()).unwrap();
        assert!(text.contains("retry_after_ms"), "{text}");
        drop(first);
        rig.until(|| parts.batch.running() == 0).await;
        assert!(rig.complete("Net", 1).await.unwrap().text().is_some());
    });
}

#[test]
fn a_booking_on_its_way_into_a_closing_agent_is_settled() {
    // The agent closes its connections just as an entry writes a booking to
    // one. The entry sees it break and asks; with nobody left to answer, the
    // skipper would be told "unknown" of a booking that never ran.
    run(async {
        let (address, book) = service(Duration::ZERO);
        let mut settings = settings(address, "plain");
        settings.drain.linger_ms = 1_000;
        let rig = Rig::start(settings);
        rig.stop.fire();
        let id = rig.id();
        while rig.post(id, "/bookings", "net 7").await.is_ok() {
            rig.clock.sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(rig.settle(id).await, Answer::Refused);
        assert!(book.writes.borrow().is_empty());
    });
}
