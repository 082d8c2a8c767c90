use std::io::Cursor;

use proptest::prelude::*;

use super::{read_log, summarize};

/// Two lines of one request, from two processes, between lines of others.
const LOG: &str = r#"{"msg":"entry started","ts":"2026-02-04T08:36:28.0Z"}
not a line
  4.2 frontend-1 {"msg":"request ended","ts":"2026-02-04T08:36:31.5Z","request":"a1","status":200,"why":"broken-off","sent":"i-1 200 at 40 ms; i-1 broken-off at 800 ms; i-2 turned-away at 810 ms","events":9}
{"msg":"request ended","ts":"2026-02-04T08:36:30.0Z","request":"a1","status":503,"why":"full"}
{"msg":"request ended","ts":"2026-02-04T08:36:30.1Z","request":"b2","status":200,"why":"whole"}
"#;

/// An interrupted stream must be explained from the request id alone, also if the logs
/// aren't ordered by time.
#[test]
fn a_request_is_found_in_order_of_time() {
    let mut found = Vec::new();
    let unreadable_lines =
        read_log("a1", "log", Cursor::new(LOG), &mut found).expect("memory can be read");
    let report = summarize(found, unreadable_lines);
    assert_eq!(report.unreadable_lines, 1);
    assert_eq!(report.lines.len(), 2);
    assert!(report.lines[0].contains("status 503 (full)"));
    let cause = report.cause.expect("it is found");
    assert!(cause.starts_with("The answer ended early"), "{cause}");
    assert!(cause.contains("i-2 turned-away"), "{cause}");
}

/// Guards against pauses that the log can't explain: one slow rank of a group delayed a
/// stream of 48 events by 0.7 s. The reason must name the slow rank and the age of that
/// information, and likewise groups that are down and long passes.
#[test]
fn the_state_of_the_service_is_part_of_the_cause() {
    let log = r#"{"ts":"1","request":"s","status":0,"why":"caller-left","events":48,"pass_ms":727.0,"slowest":12.0,"slowest_upstream":"i-7","said_ms":140.0}
{"ts":"1","request":"c","status":503,"why":"closed","closed":12,"slowest":0.0}
{"ts":"1","request":"f","status":503,"why":"full","pass_ms":117.0,"slowest":1.0}
"#;
    for (id, parts) in [
        ("s", ["i-7 had a pace of 12.0", "140 ms earlier", "727 ms"]),
        ("c", ["no upstream", "12 upstreams", "were down"]),
        ("f", ["at capacity", "passes took", "117 ms"]),
    ] {
        let mut found = Vec::new();
        read_log(id, "log", Cursor::new(log), &mut found).expect("memory can be read");
        let cause = summarize(found, 0).cause.expect("it is found");
        assert!(parts.iter().all(|part| cause.contains(part)), "{cause}");
    }
}

/// Guards against a request that crashes several upstreams and can't be followed, as each
/// attempt has its own id.
#[test]
fn all_attempts_of_a_request_are_found_by_its_fingerprint() {
    let log = r#"{"ts":"2","msg":"upstream crashed","request":"a1","fingerprint":"77","upstream":"i-1","ran_ms":null}
{"ts":"1","msg":"upstream crashed","request":"b2","fingerprint":"77","upstream":"i-2","ran_ms":80.0}
{"ts":"3","msg":"request ended","request":"c3","fingerprint":"77","status":503,"why":"quarantined"}
{"ts":"3","msg":"request ended","request":"d4","fingerprint":"78","status":200,"why":"whole"}
"#;
    let mut found = Vec::new();
    read_log("77", "log", Cursor::new(log), &mut found).expect("memory can be read");
    let report = summarize(found, 0);
    assert_eq!(report.lines.len(), 3);
    assert_eq!(report.lines[0], "1 log: upstream crashed (i-2)");
    let cause = report.cause.expect("it is found");
    assert!(
        cause.contains("upstreams had crashed while processing it"),
        "{cause}"
    );
}

/// A request that is in no log has no reason.
#[test]
fn an_unknown_request_isnt_found() {
    let mut found = Vec::new();
    read_log("c3", "log", Cursor::new(LOG), &mut found).expect("memory can be read");
    assert!(summarize(found, 0).cause.is_none());
}

proptest! {
    /// Logs with arbitrary bytes are read to the end.
    #[test]
    fn any_bytes_are_read(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut found = Vec::new();
        prop_assert!(read_log("a1", "log", Cursor::new(bytes), &mut found).is_ok());
    }
}
