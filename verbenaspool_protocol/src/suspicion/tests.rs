//! The size of messages.

use verbenaspool_state::fingerprint::Fingerprint;

use super::{Crash, MAX_CRASHES, MAX_SUSPICIONS, Suspicion, Term};
use crate::message::{MAX_DATAGRAM_BYTES, Message};

/// Guards against messages about many crashes that exceed the size of a datagram and are
/// never delivered.
#[test]
fn the_largest_message_fits_in_a_datagram() {
    let crash = Crash {
        upstream: u32::MAX,
        age_ms: u32::MAX,
        early: true,
    };
    let suspicion = Suspicion {
        request: Fingerprint::of(None, "/", b""),
        crashes: vec![crash; MAX_CRASHES],
        succeeded_ms: Some(u32::MAX),
        term: Some(Term {
            age_ms: u32::MAX,
            left_ms: u32::MAX,
        }),
    };
    let message = Message::Suspicions(vec![suspicion; MAX_SUSPICIONS]);
    assert!(message.encode().len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(Message::decode(&message.encode()), Some(message));
}
