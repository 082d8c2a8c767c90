//! Reports of load and cache events, resumed streams, and the sender of orders.

use std::time::Duration;

use serde_json::json;

use verbenaspool_agent::orders::{Error, Sender};
use verbenaspool_protocol::{
    engine::Order,
    header,
    prefix::{self, BLOCK_BYTES},
};
use verbenaspool_standin::engine::{Config, text};
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    http::client::Client,
};

use crate::rig::{Rig, completion, engine, run, service, settings};

#[test]
fn load_reports_have_increasing_sequence_numbers() {
    run(async {
        let (address, _) = engine(Config {
            max_batch_size: 1,
            report_delay: Duration::ZERO,
            ..Config::default()
        });
        let rig = Rig::start(settings(address, "engine"));
        let start = |tokens| {
            let request = rig.request(rig.next_id(), "/v1/completions", &completion("Net", tokens));
            rig.client.send(rig.data, request)
        };
        let first = start(10_000).await.unwrap();
        let (client, data) = (rig.client.clone(), rig.data);
        let request = rig.request(rig.next_id(), "/v1/completions", &completion("Net", 1));
        let second = monoio::spawn(async move { client.send(data, request).await.is_ok() });
        let mut last = 0;
        loop {
            let load = rig.report(0).await.load;
            assert!(
                load.sequence > last,
                "each report has a higher sequence number"
            );
            last = load.sequence;
            if load.running == 2 && load.queued == 1 && load.tokens > 9_000 {
                break;
            }
            rig.clock.sleep(Duration::from_millis(2)).await;
        }
        drop(first);
        assert!(second.await, "the second request gets the freed place");
    });
}

#[test]
fn cache_events_are_reported_once_and_a_gap_loses_one() {
    // Guards against a reset for each lost event: with an engine that loses one event in
    // 16, entries would forget the state of its cache every few requests.
    run(async {
        let (address, _) = engine(Config {
            report_delay: Duration::ZERO,
            dropped_event_interval: 3,
            ..Config::default()
        });
        let rig = Rig::start(settings(address, "engine"));
        let prompt = "a".repeat(2 * BLOCK_BYTES);
        rig.complete(&prompt, 1).await.unwrap();
        while rig.report(0).await.cache.last < 2 {
            rig.clock.sleep(Duration::from_millis(2)).await;
        }
        let cache = rig.report(0).await.cache;
        let cached: Vec<u64> = cache.events.iter().map(|event| event.prefix).collect();
        assert_eq!((cached, cache.reset), (prefix::hashes(&prompt), false));
        assert!(rig.report(2).await.cache.events.is_empty());
        let other = "b".repeat(2 * BLOCK_BYTES);
        rig.complete(&other, 1).await.unwrap();
        while rig.report(2).await.cache.last < 4 {
            rig.clock.sleep(Duration::from_millis(2)).await;
        }
        let cache = rig.report(2).await.cache;
        let cached: Vec<u64> = cache.events.iter().map(|event| event.prefix).collect();
        let fourth = prefix::hashes(&other)[1];
        assert_eq!((cached, cache.reset), (vec![fourth], false));
        // A number that the engine has not reached yet is from before a restart.
        let after_restart = rig.report(9).await.cache;
        assert_eq!((after_restart.events.len(), after_restart.reset), (3, true));
    });
}

#[test]
fn an_interrupted_stream_resumes_after_the_received_tokens() {
    run(async {
        let (address, parts) = engine(Config::default());
        let rig = Rig::start(settings(address, "engine"));
        parts.faults.fail_after_tokens(3);
        let broken = rig.complete("Net", 8).await.unwrap();
        assert!(broken.body.is_none());
        let mut request = rig.request(rig.next_id(), "/v1/completions", &completion("Net", 8));
        request.headers_mut().insert(header::RESUME, 3.into());
        let rest = rig.send(request).await.unwrap();
        let expected: String = (3..8).map(|token| text::token("Net", token)).collect();
        assert_eq!(rest.text(), Some(expected));
        assert_eq!(rest.resumed_after, Some(3));
    });
}

#[test]
fn orders_with_an_old_fence_are_not_sent() {
    // Guards against a delayed order with an old fence that loads a second model: with an
    // engine that ignores fences, only the sender can hold it back.
    let order = |fence| Order {
        fence,
        action: json!({"load": "loft", "version": fence}),
    };
    for checks_fences in [true, false] {
        run(async {
            let (address, parts) = engine(Config {
                checks_fences,
                ..Config::default()
            });
            let clock = Monotonic::start();
            let client = Client::new(Duration::from_secs(2));
            let deadline = || clock.now() + Duration::from_secs(5);
            let sender = Sender::new(address, client.clone(), clock.clone());
            assert!(sender.send(&order(2), deadline()).await.is_ok());
            assert_eq!(
                sender.send(&order(1), deadline()).await,
                Err(Error::Fenced(2))
            );
            let late = sender.send(&order(3), clock.now()).await;
            assert_eq!(late, Err(Error::Expired));
            assert_eq!(parts.orders.executed(), [order(2)]);
            // The sender of a successor that knows no fence yet.
            let sent = Sender::new(address, client, clock.clone())
                .send(&order(1), deadline())
                .await;
            assert_eq!(matches!(sent, Err(Error::Rejected(_))), checks_fences);
        });
    }
}

#[test]
fn a_plain_service_reports_its_load() {
    run(async {
        let (address, _) = service(Duration::from_millis(1));
        let mut settings = settings(address, "plain");
        settings.upstream.state = Some("/state".to_owned());
        let rig = Rig::start(settings);
        rig.post(rig.next_id(), "/bookings", "net 7").await.unwrap();
        assert_eq!(rig.report(0).await.load.running, 0);
    });
}
