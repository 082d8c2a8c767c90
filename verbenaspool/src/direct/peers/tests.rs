//! Tests of the digest rate and the number of entries.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use verbenaspool_protocol::digest::Digest;

use super::{ASSUMED_ENTRIES, Peers, digest_interval};

/// Address of the entry itself.
const OWN: Ipv4Addr = Ipv4Addr::new(10, 255, 0, 1);

fn peers() -> Peers {
    Peers::new(IpAddr::V4(OWN))
}

fn peer(number: u16) -> Ipv4Addr {
    let [high, low] = number.to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

fn digest(number: u64) -> Digest {
    Digest {
        sequence: number,
        ..Digest::default()
    }
}

/// Receives all digests of `count` peers for a number of seconds, and returns the peers and
/// the current time.
fn receive_for(count: u16, seconds: u32) -> (Peers, Duration) {
    let (mut peers, mut now) = (peers(), Duration::ZERO);
    let interval = digest_interval(count.into());
    for number in 1.. {
        for index in 0..count {
            peers.receive(now, peer(index), digest(number));
        }
        now += interval;
        if now > Duration::from_secs(seconds.into()) {
            break;
        }
    }
    (peers, now)
}

/// Guards against digests that dominate the traffic between zones: 60 entries sent 13,000
/// digests per second, two thirds of the billed bytes there. The rate per entry must not
/// grow with the number of peers.
#[test]
fn digest_rate_is_limited_with_many_peers() {
    assert_eq!(digest_interval(3), Duration::from_millis(42));
    for peers in [3_u32, 11, 58, 999] {
        let rate = f64::from(peers) / digest_interval(peers as usize).as_secs_f64();
        assert!(rate <= 80.1, "{rate} per second with {peers} peers");
    }
}

/// Guards against entries of a large fleet that start at the same time, know few peers at
/// first, and each use almost the whole shared retry budget.
#[test]
fn a_new_entry_takes_a_small_share_of_limits() {
    let mut peers = peers();
    let start = Duration::from_millis(100);
    peers.receive(start, peer(1), digest(1));
    assert_eq!(peers.sharing_entries(start), ASSUMED_ENTRIES);
    assert_eq!(
        peers.sharing_entries(start + Duration::from_millis(1_500)),
        2
    );
}

/// Peers name the entry itself in each digest. Guards against taking this for the discovery
/// of a new peer each time, which limits the retry budget to a share of 1/32 permanently.
#[test]
fn digests_that_name_the_entry_itself_are_no_discovery() {
    let mut peers = peers();
    let named = |number| Digest {
        peers: vec![OWN, peer(1), peer(2)],
        ..digest(number)
    };
    for number in 1..=100 {
        let now = Duration::from_millis(42 * number);
        peers.receive(now, peer(1), named(number));
        peers.receive(now, peer(2), named(number));
        peers.remove_silent(now);
    }
    assert_eq!(peers.sharing_entries(Duration::from_millis(4_200)), 3);
}

#[test]
fn peers_with_long_digest_intervals_count_as_live() {
    for count in [3, 58, 900] {
        let (peers, now) = receive_for(count, 30);
        assert_eq!(peers.live_entries(now), usize::from(count) + 1, "{count}");
    }
}

#[test]
fn a_dead_peer_is_detected_within_a_few_digests() {
    let (peers, now) = receive_for(3, 10);
    assert_eq!(peers.live_entries(now + Duration::from_secs(3)), 1);
}
