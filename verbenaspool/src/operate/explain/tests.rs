use std::io::Cursor;

use proptest::prelude::*;

use super::{read_log, summarize};

/// Two lines of a request, from two processes, and some of others.
const LOG: &str = r#"{"msg":"Entry: Started.","ts":"2026-02-04T08:36:28.0Z"}
not a line
  4.2 frontend-1 {"msg":"request ended","ts":"2026-02-04T08:36:31.5Z","request":"a1","status":200,"why":"broken-off","sent":"i-1 200 at 40 ms; i-1 broken-off at 800 ms; i-2 turned-away at 810 ms","events":9}
{"msg":"request ended","ts":"2026-02-04T08:36:30.0Z","request":"a1","status":503,"why":"full"}
{"msg":"request ended","ts":"2026-02-04T08:36:30.1Z","request":"b2","status":200,"why":"whole"}
"#;

/// A caller complains of a stream that broke off, with its request's id alone.
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
    assert!(cause.starts_with("The answer broke off"), "{cause}");
    assert!(cause.contains("i-2 turned-away"), "{cause}");
}

/// A stream stuttered because one rank of its group was slow; its line told 48 events
/// and a pause of 0.7 s, and nobody could tell why. Now the cause names the rank, and how
/// old that knowledge was; a closed group and long passes likewise.
#[test]
fn what_was_known_then_is_part_of_the_cause() {
    let log = r#"{"ts":"1","request":"s","status":0,"why":"caller-left","events":48,"pass_ms":727.0,"slowest":12.0,"slowest_upstream":"i-7","said_ms":140.0}
{"ts":"1","request":"c","status":503,"why":"closed","closed":12,"slowest":0.0}
{"ts":"1","request":"f","status":503,"why":"full","pass_ms":117.0,"slowest":1.0}
"#;
    for (id, parts) in [
        ("s", ["i-7 was 12.0 times slow", "140 ms before", "727 ms"]),
        ("c", ["no upstream", "12 upstreams", "ran nothing"]),
        ("f", ["as much as it can", "passes took", "117 ms"]),
    ] {
        let mut found = Vec::new();
        read_log(id, "log", Cursor::new(log), &mut found).expect("memory can be read");
        let cause = summarize(found, 0).cause.expect("it is found");
        assert!(parts.iter().all(|part| cause.contains(part)), "{cause}");
    }
}

/// Guards against a request that crashes one upstream after the other and can't be followed,
/// as each attempt has an id of its own.
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
    assert!(cause.contains("upstreams crashed under it"), "{cause}");
}

/// An id that is in no log has no cause.
#[test]
fn an_unknown_request_isnt_found() {
    let mut found = Vec::new();
    read_log("c3", "log", Cursor::new(LOG), &mut found).expect("memory can be read");
    assert!(summarize(found, 0).cause.is_none());
}

proptest! {
    /// Whatever stands in a log, it is read to its end.
    #[test]
    fn any_bytes_are_read(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut found = Vec::new();
        prop_assert!(read_log("a1", "log", Cursor::new(bytes), &mut found).is_ok());
    }
}
