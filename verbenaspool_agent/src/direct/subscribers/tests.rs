//! When the status of a rank is sent to entries.

use std::{net::IpAddr, time::Duration};

use super::{Snapshot, Subscribers};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn snapshot(requests: u32) -> Snapshot {
    Snapshot {
        pace: Some(1.0),
        requests,
    }
}

#[test]
fn entries_in_the_zone_receive_request_counts_and_others_group_changes() {
    let mut subscribers = Subscribers::default();
    subscribers.subscribe(ms(0), entry(1), true);
    subscribers.subscribe(ms(0), entry(2), false);
    assert_eq!(subscribers.due(ms(0), snapshot(1)), [entry(1), entry(2)]);
    assert!(subscribers.due(ms(50), snapshot(2)).is_empty());
    assert_eq!(subscribers.due(ms(100), snapshot(2)), [entry(1)]);
    assert!(subscribers.due(ms(599), snapshot(2)).is_empty());
    assert_eq!(subscribers.due(ms(600), snapshot(2)), [entry(1)]);
    let closed = Snapshot {
        pace: None,
        requests: 2,
    };
    assert_eq!(subscribers.due(ms(610), closed), [entry(1), entry(2)]);
}

/// A group breaks while messages of its agents are lost. Entries forget within 1.6 s that
/// a group is incomplete, so the status is repeated until it is complete, also to entries
/// of other zones.
#[test]
fn a_closed_group_is_reported_repeatedly() {
    let mut subscribers = Subscribers::default();
    subscribers.subscribe(ms(0), entry(2), false);
    let closed = Snapshot {
        pace: None,
        requests: 0,
    };
    let reports = (0..20).filter(|tick| !subscribers.due(ms(tick * 100), closed).is_empty());
    assert_eq!(reports.count(), 4);
}

#[test]
fn an_expired_subscription_is_dropped() {
    let mut subscribers = Subscribers::default();
    subscribers.subscribe(ms(0), entry(1), true);
    assert!(subscribers.due(ms(9_000), snapshot(1)).is_empty());
}
