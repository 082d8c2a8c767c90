//! Tests of the compatibility with processes of the previous version.

use std::net::Ipv4Addr;

use verbenaspool_policy::dispatch::share::MAX_REPORTED_CUSTOMERS;

use super::{
    MAX_DATAGRAM_BYTES, Message, NEW_ANSWER_FIELDS, NEW_DIGEST_FIELDS, NEW_RESERVATION_FIELDS,
};
use crate::{
    digest::{Digest, InFlight},
    member::Status,
    reservation::{self, WarmUp},
    usage,
};

const WARM_UP: WarmUp = WarmUp {
    left_ms: 900,
    max_rate: 5,
};

fn digest() -> Digest {
    Digest {
        incarnation: 7,
        sequence: 300,
        in_flight: vec![InFlight {
            upstream: 9,
            requests: 2,
        }],
        peers: vec![Ipv4Addr::new(10, 0, 0, 1)],
        ..Digest::default()
    }
}

/// Guards against an upgrade during which entries of two versions don't hear each other, so
/// that each counts the other as dead.
#[test]
fn digests_of_previous_versions_are_read() {
    let message = Message::Digest(digest());
    let bytes = message.encode();
    for fields in NEW_DIGEST_FIELDS {
        let previous = &bytes[..bytes.len() - fields];
        assert_eq!(Message::decode(previous).as_ref(), Some(&message));
    }
}

/// Guards against an agent that doesn't answer the reservations of an entry that wasn't
/// upgraded yet.
#[test]
fn reservations_of_the_previous_version_are_read() {
    for warm_up in [None, Some(WARM_UP)] {
        let message = Message::ReservationRequest(reservation::Request {
            ticket: 70_000,
            slots: 6,
            warm_up,
            rate_limit: None,
        });
        let bytes = message.encode();
        assert_eq!(Message::decode(&bytes[..bytes.len() - 1]), Some(message));
    }
    let message = Message::ReservationRequest(reservation::Request {
        ticket: 70_000,
        slots: 6,
        warm_up: None,
        rate_limit: None,
    });
    let bytes = message.encode();
    let previous = &bytes[..bytes.len() - NEW_RESERVATION_FIELDS];
    assert_eq!(Message::decode(previous), Some(message));
}

/// Guards against an entry that takes the agent of an instance that wasn't upgraded yet for
/// dead.
#[test]
fn answers_of_the_previous_version_are_read() {
    let message = Message::ReservationAnswer(reservation::Answer {
        ticket: 70_000,
        granted: true,
        status: Status {
            sequence: 1,
            upstream: ([10, 0, 0, 1], 80).into(),
            group: 7,
            group_complete: true,
            pace: 1.0,
            requests: 3,
        },
        wait_ms: None,
    });
    let bytes = message.encode();
    let previous = &bytes[..bytes.len() - NEW_ANSWER_FIELDS];
    assert_eq!(Message::decode(previous), Some(message));
}

/// Guards against damaged datagrams that are read as those of the previous version.
#[test]
fn truncated_and_extended_datagrams_are_rejected() {
    let bytes = Message::Digest(digest()).encode();
    let previous = NEW_DIGEST_FIELDS.map(|fields| bytes.len() - fields);
    for length in (0..bytes.len()).filter(|length| !previous.contains(length)) {
        assert_eq!(Message::decode(&bytes[..length]), None, "{length}");
    }
    let order = Message::Subscribe(reservation::Subscription { same_zone: true });
    assert_eq!(Message::decode(&order.encode()[..1]), None);
}

/// Guards against reports of customers' usage that don't fit in a datagram.
#[test]
fn the_largest_usage_report_fits_in_a_datagram() {
    let work = usage::Work {
        in_service: u32::MAX,
        waiting: u32::MAX,
        arrived: u32::MAX,
    };
    let customer = |number| usage::Customer {
        customer: u32::MAX - number,
        work,
    };
    let largest = 0..u32::try_from(MAX_REPORTED_CUSTOMERS).expect("few");
    let message = Message::CustomerUsage(usage::Report {
        service: u32::MAX,
        incarnation: u64::MAX,
        sequence: u64::MAX,
        shortage: true,
        customers: u32::MAX,
        total: work,
        largest: largest.map(customer).collect(),
    });
    let bytes = message.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(Message::decode(&bytes), Some(message));
}
