//! The size of messages.

use verbenaspool_state::fingerprint::Fingerprint;

use super::{MAX_PARTS, Part, Report};
use crate::message::{MAX_DATAGRAM_BYTES, Message};

/// Guards against reports of crashes under many requests that exceed the size of a datagram and
/// are never delivered.
#[test]
fn the_largest_report_fits_in_a_datagram() {
    let part = Part {
        fingerprint: Fingerprint::of_part("model", b""),
        customer: u32::MAX,
        position: u8::MAX,
        share_ppm: u32::MAX,
    };
    let report = Report {
        upstream: u32::MAX,
        age_ms: u32::MAX,
        suspects: u32::MAX,
        parts: vec![part; MAX_PARTS],
    };
    let message = Message::Crash(report);
    assert!(message.encode().len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(Message::decode(&message.encode()), Some(message));
}
