//! Successful requests.

use std::time::Duration;

use http_body_util::BodyExt;

use verbenaspool_protocol::{outcome::Outcome, settle::Answer};
use verbenaspool_standin::engine::{Config, text};

use crate::rig::{Rig, completion, engine, run, service, settings};

#[test]
fn a_response_arrives_complete_with_its_headers() {
    run(async {
        let (address, _) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        let id = rig.next_id();
        let body = completion("Mend the wing end.", 5);
        let reply = rig.post(id, "/v1/completions", &body).await.unwrap();
        assert_eq!(reply.text(), Some(text::answer("Mend the wing end.", 5)));
        assert_eq!(reply.outcome, Outcome::Ran);
        assert_eq!(reply.attempt, Some(id));
        assert_eq!(reply.load.unwrap().agent, rig.agent);
        assert_eq!(rig.settle(id).await, Answer::Ended);
    });
}

#[test]
fn the_first_token_is_forwarded_before_the_second_is_generated() {
    run(async {
        let step_time = Duration::from_millis(50);
        let (address, parts) = engine(Config {
            step_time,
            ..Config::default()
        });
        let rig = Rig::start(settings(address, "engine"));
        let request = rig.request(rig.next_id(), "/v1/completions", &completion("Net", 2));
        let response = rig.client.send(rig.data, request).await.unwrap();
        let mut body = response.into_body();
        let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert!(String::from_utf8_lossy(&first).contains(&text::token("Net", 0)));
        // The engine is still running the request, so the rest was not sent yet.
        assert_eq!(parts.batch.running(), 1);
    });
}

#[test]
fn a_plain_service_gets_the_path_and_the_body() {
    run(async {
        let (address, journal) = service(Duration::ZERO);
        let rig = Rig::start(settings(address, "plain"));
        let reply = rig.post(rig.next_id(), "/bookings", "net 7").await.unwrap();
        assert_eq!(reply.body.unwrap(), "/bookings net 7");
        assert_eq!(*journal.writes.borrow(), ["net 7"]);
    });
}
