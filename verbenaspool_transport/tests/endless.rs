//! Endless responses: limits on heads and framing, progress of bodies and of streams.

use std::{
    cell::Cell,
    io::{Read, Write},
    rc::Rc,
    time::Duration,
};

use http::Request;
use http_body_util::BodyExt;
use verbenaspool_transport::{
    http::{
        body::Body,
        client::{Client, Error},
        events::{Fault, MAX_EVENT_BYTES, MAX_FILLER_BYTES, Splitter},
        progress::BodyProgress,
        response_limits::{
            Limit, MAX_FRAMING_BYTES, MAX_HEAD_BYTES, MAX_HEAD_LINES, MAX_INTERIM_RESPONSES, Meter,
            exceeded_limit,
        },
    },
    runtime,
};

const OK_HEAD: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n";

/// Meters the bytes of a response in pieces of any size. Returns the exceeded limit, and whether the
/// connection can be used again.
fn meter(bytes: &[u8], piece: usize) -> (Option<Limit>, bool) {
    let mut meter = Meter::default();
    meter.begin(false);
    for piece in bytes.chunks(piece) {
        if let Err(exceeded) = meter.push(piece) {
            return (Some(exceeded.0), meter.is_reusable());
        }
    }
    (None, meter.is_reusable())
}

/// Guards against rejecting complete responses within the limits, and against reusing connections
/// whose responses aren't complete.
#[test]
fn responses_within_the_limits_pass() {
    let lines = "a: b\r\n".repeat(MAX_HEAD_LINES - 3);
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(MAX_INTERIM_RESPONSES);
    // The semicolon, the end of the extension, and the empty line after the chunks count as well.
    let extension = "x".repeat(MAX_FRAMING_BYTES - 4);
    let chunks = "5\r\nabcde\r\n".repeat(10_000);
    let cases = [
        (format!("{OK_HEAD}{lines}content-length: 2\r\n\r\nok"), true),
        (format!("\r\n{OK_HEAD}Content-Length: 0\r\n\r\n"), true),
        (format!("{interim}HTTP/1.1 204 No Content\r\n\r\n"), true),
        (format!("{CHUNKED_HEAD}{chunks}0\r\n\r\n"), true),
        (
            format!("{CHUNKED_HEAD}0A;{extension}\r\n0123456789\r\n0\r\n\r\n"),
            true,
        ),
        (format!("{CHUNKED_HEAD}1\r\na\r\n0\r\nsum: 1\r\n\r\n"), true),
        (format!("{CHUNKED_HEAD}1\r\na\r\n0\r\nsum: 1\r\n"), false),
        (format!("{OK_HEAD}content-length: 3\r\n\r\nok"), false),
        (format!("{OK_HEAD}\r\nuntil the end\r\n\r\n"), false),
    ];
    for (response, reusable) in cases {
        for piece in [1, 7, response.len()] {
            let result = meter(response.as_bytes(), piece);
            assert_eq!(result, (None, reusable), "{piece}, {response:.200}");
        }
    }
    let mut head_request = Meter::default();
    head_request.begin(true);
    let response = format!("{OK_HEAD}content-length: 5\r\n\r\n");
    assert_eq!(head_request.push(response.as_bytes()), Ok(()));
    assert!(head_request.is_reusable());
}

/// Guards against heads, interim responses, chunk extensions, chunk sizes and trailers without end.
#[test]
fn endless_parts_of_responses_exceed_limits() {
    let long = "x".repeat(MAX_HEAD_BYTES + 1);
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(MAX_INTERIM_RESPONSES + 1);
    let cases = [
        (format!("{OK_HEAD}a: {long}"), Limit::HeadBytes),
        (long.clone(), Limit::HeadBytes),
        (
            format!("{OK_HEAD}{}", "a: b\r\n".repeat(64)),
            Limit::HeadLines,
        ),
        ("\r\n".repeat(MAX_HEAD_LINES + 1), Limit::HeadLines),
        (interim, Limit::InterimResponses),
        (format!("{CHUNKED_HEAD}1;{long}"), Limit::FramingBytes),
        (
            format!("{CHUNKED_HEAD}1{}", " ".repeat(5_000)),
            Limit::FramingBytes,
        ),
        (
            format!("{CHUNKED_HEAD}{}", "0".repeat(5_000)),
            Limit::FramingBytes,
        ),
        (
            format!("{CHUNKED_HEAD}{}", "1;abc\r\na\r\n".repeat(2_000)),
            Limit::FramingBytes,
        ),
        (
            format!("{CHUNKED_HEAD}0\r\n{}", "a: b\r\n".repeat(1_000)),
            Limit::FramingBytes,
        ),
    ];
    for (response, limit) in cases {
        for piece in [1, 1_000, response.len()] {
            let result = meter(response.as_bytes(), piece);
            assert_eq!(result, (Some(limit), false), "{piece}, {response:.80}");
        }
    }
}

/// Guards against reusing a connection after extra bytes, and against failing the complete response
/// that arrived with them.
#[test]
fn extra_bytes_end_the_connection_and_not_the_response() {
    let response = format!("{OK_HEAD}content-length: 2\r\n\r\nokmore");
    assert_eq!(meter(response.as_bytes(), response.len()), (None, false));
    let result = meter(response.as_bytes(), response.len() - 4);
    assert_eq!(result, (Some(Limit::ExtraBytes), false));
}

/// Guards against waiting for bodies that can't end in time, and against abandoning those that can.
#[test]
fn a_body_must_be_able_to_end_in_time() {
    let at = Duration::from_millis;
    // Declared length, bytes each 20 ms, whether it can end by 1.5 s as seen each 100 ms.
    let cases = [
        (Some(5_000), 1, Some(200)),
        (Some(5_000), 100, None),
        (None, 1, Some(400)),
        (None, 110, None),
        (Some(60), 1, None),
    ];
    for (length, bytes, abandoned_at) in cases {
        let mut progress = BodyProgress::new(at(0), length);
        let late = (1..=50).map(|step| step * 20).find(|time| {
            progress.record(at(*time), bytes);
            !progress.can_end_by(at(*time), at(1_500))
        });
        assert_eq!(late, abandoned_at, "{length:?}, {bytes}");
    }
    // A body that stops is abandoned after the longest pause, or sooner if its time is short. One that
    // only waits for a lost packet isn't.
    let mut progress = BodyProgress::new(at(0), Some(1_000));
    progress.record(at(100), 999);
    assert!(progress.can_end_by(at(600), at(1_500)));
    assert!(!progress.can_end_by(at(601), at(1_500)));
    assert!(progress.can_end_by(at(350), at(600)));
    assert!(!progress.can_end_by(at(351), at(600)));
    // Bytes that come one window apart are no progress either.
    let mut progress = BodyProgress::new(at(0), Some(1_000));
    let abandoned_at = (1..=15).map(|step| step * 100).find(|time| {
        if time % 300 == 0 {
            progress.record(at(*time), 1);
        }
        !progress.can_end_by(at(*time), at(1_500))
    });
    assert_eq!(abandoned_at, Some(500));
}

/// Guards against taking filler for events, changing it, and losing it at the end of a stream.
#[test]
fn filler_is_forwarded_with_the_next_event() {
    let streams = [
        (
            "\n\nid: 1\ndata: a\n\n: c\nid: 2\r\ndata: b\r\n\r\n\r\n: end\n",
            2,
        ),
        ("data: a\n\ndata:\n\nevent: ping\n\ndata: b\n\n: end\n\n", 2),
        ("id: 7\ndata: a\n\ndata: [DONE]\n\n", 1),
        ("\n\n: nothing\n", 0),
    ];
    for (stream, events) in streams {
        for piece in [1, 3, stream.len()] {
            let mut splitter = Splitter::default();
            let (mut forwarded, mut count) = (Vec::new(), 0);
            for piece in stream.as_bytes().chunks(piece) {
                let progress = splitter.push(piece);
                assert_eq!(progress.fault, None);
                assert_eq!(progress.count == 0, progress.events.is_empty());
                forwarded.extend_from_slice(&progress.events);
                count += progress.count;
            }
            assert!(splitter.at_event_end(), "{stream:?}");
            forwarded.extend_from_slice(&splitter.take_rest());
            assert_eq!(String::from_utf8_lossy(&forwarded), stream);
            assert_eq!(count, events, "{stream:?}");
        }
    }
}

/// Guards against holding filler and unfinished events without end.
#[test]
fn endless_filler_exceeds_limits() {
    let cases = [
        ("", "\n", Limit::FillerBytes),
        ("id: 1\ndata: a\n\n", "\r\n\r\n", Limit::FillerBytes),
        ("", ": comment\n", Limit::FillerBytes),
        (": a comment without end", " more", Limit::FillerBytes),
        ("id: 1\ndata: a\n\n", "data: no id\n\n", Limit::FillerBytes),
        ("", "event: ping\n\n", Limit::FillerBytes),
        ("id: 1\n", "data: a\n", Limit::EventBytes),
        ("data: ", "a", Limit::EventBytes),
    ];
    for (start, repeated, limit) in cases {
        let mut splitter = Splitter::default();
        assert_eq!(splitter.push(start.as_bytes()).fault, None);
        let fault = (0..MAX_EVENT_BYTES + 1_000).find_map(|_| {
            assert!(splitter.held_bytes() <= MAX_EVENT_BYTES + MAX_FILLER_BYTES);
            splitter.push(repeated.as_bytes()).fault
        });
        assert_eq!(fault, Some(Fault::Exceeded(limit)), "{repeated:?}");
    }
    let mut splitter = Splitter::after(Some(4));
    let progress = splitter.push(b"id: 4\ndata: again\n\n");
    assert_eq!(progress.fault, Some(Fault::OutOfOrder));
}

/// Guards against taking events without ids for filler because the caller names a last event: sound
/// upstreams would be left and ejected by the header of one caller.
#[test]
fn events_without_ids_are_progress_whatever_the_caller_names() {
    let mut splitter = Splitter::after(Some(4));
    for _ in 0..MAX_FILLER_BYTES {
        let progress = splitter.push(b"data: a\n\n");
        assert_eq!((progress.count, progress.fault), (1, None));
        assert_eq!(progress.events, "data: a\n\n");
    }
    // Once events have ids, the others are filler, also after the stream has moved.
    assert_eq!(splitter.push(b"id: 5\ndata: b\n\n").count, 1);
    splitter.discard_partial();
    assert_eq!(splitter.push(b"data: c\n\n").count, 0);
    assert_eq!(splitter.last_id(), Some(5));
}

/// Guards against an overflow by the largest id that a caller can name, which panics in debug builds
/// and makes id 0 the expected one in others.
#[test]
fn no_event_follows_the_largest_id() {
    let mut splitter = Splitter::after(Some(u64::MAX));
    let progress = splitter.push(b"id: 0\ndata: a\n\n");
    assert_eq!(progress.fault, Some(Fault::OutOfOrder));
}

/// Guards against losing events that arrive together with what breaks a limit: the stream is
/// resumed after the last of them.
#[test]
fn events_before_a_fault_are_forwarded() {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let cases = [
        ("\n".repeat(MAX_FILLER_BYTES + 1), Limit::FillerBytes),
        ("data: ".repeat(MAX_EVENT_BYTES), Limit::EventBytes),
    ];
    let faults = cases.map(|(rest, limit)| (rest, Fault::Exceeded(limit)));
    let repeated = ("id: 2\ndata: b\n\n".to_owned(), Fault::OutOfOrder);
    for (rest, fault) in faults.into_iter().chain([repeated]) {
        let mut splitter = Splitter::default();
        let progress = splitter.push(format!("{events}{rest}").as_bytes());
        assert_eq!(
            (&progress.events[..], progress.count),
            (events.as_bytes(), 2)
        );
        assert_eq!(progress.fault, Some(fault));
        assert_eq!(splitter.last_id(), Some(2));
    }
}

/// Sends two requests with a limited client to a server that writes this response to each. Returns
/// the results, the number of connections, and the number of extra bytes that were observed.
fn call_twice(response: String) -> (Vec<Result<String, Option<Limit>>>, usize, usize) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    let server = std::thread::spawn(move || {
        let (mut connections, mut responses) = (0, 0);
        while responses < 2 {
            let (mut stream, _) = listener.accept().expect("a connection");
            connections += 1;
            while responses < 2 && stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
                responses += 1;
                let _ = stream.write_all(response.as_bytes());
            }
        }
        connections
    });
    let observed = Rc::new(Cell::new(0));
    let results = runtime::run(async {
        let count = observed.clone();
        let on_extra = Rc::new(move |_, _| count.set(count.get() + 1));
        let client = Client::new(Duration::from_secs(5)).with_response_limits(on_extra);
        let mut results = Vec::new();
        for _ in 0..2 {
            let request = Request::get("/").body(Body::empty()).expect("a request");
            results.push(match client.send(address, request).await {
                Ok(response) => match response.into_body().collect().await {
                    Ok(body) => Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned()),
                    Err(error) => Err(exceeded_limit(&error)),
                },
                Err(Error::LimitExceeded(limit)) => Err(Some(limit)),
                Err(_) => Err(None),
            });
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        results
    });
    let connections = server.join().expect("its count");
    (results.expect("a loop"), connections, observed.get())
}

/// Guards against limits that the client doesn't report or doesn't close the connection for, and
/// against connections that aren't reused after complete responses.
#[test]
fn the_client_closes_connections_that_exceed_limits() {
    let ok = || Ok("ok".to_owned());
    let endless = "a: b\r\n".repeat(20_000);
    let cases = [
        (format!("{OK_HEAD}content-length: 2\r\n\r\nok"), ok(), 1, 0),
        (
            format!("{CHUNKED_HEAD}2\r\nok\r\n0\r\na: b\r\n\r\n"),
            ok(),
            1,
            0,
        ),
        (
            format!("{OK_HEAD}content-length: 2\r\n\r\nokextra"),
            ok(),
            2,
            2,
        ),
        (
            format!("{OK_HEAD}{endless}"),
            Err(Some(Limit::HeadLines)),
            2,
            0,
        ),
        (
            format!("{CHUNKED_HEAD}2\r\nok\r\n0\r\n{endless}"),
            Err(Some(Limit::FramingBytes)),
            2,
            0,
        ),
    ];
    for (response, expected, connections, observed) in cases {
        let name = format!("{response:.120}");
        let result = call_twice(response);
        let both = vec![expected.clone(), expected];
        assert_eq!(result, (both, connections, observed), "{name}");
    }
}
