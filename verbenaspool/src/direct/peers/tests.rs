//! How many digests there are, and among how many entries something is shared.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use verbenaspool_protocol::digest::Digest;

use super::{ASSUMED_ENTRIES, Peers, digest_interval};

/// The address of the entry itself.
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
        number,
        ..Digest::default()
    }
}

/// Peers of which each is heard as often as it speaks, for so many seconds.
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

/// Sixty entries told each other 13,000 digests a second, two of three bytes that were
/// paid for between zones. Each now sends as many as it would among few.
#[test]
fn an_entry_sends_no_more_digests_among_many() {
    assert_eq!(digest_interval(3), Duration::from_millis(42));
    for peers in [3_u32, 11, 58, 999] {
        let rate = f64::from(peers) / digest_interval(peers as usize).as_secs_f64();
        assert!(rate <= 80.1, "{rate} a second with {peers} peers");
    }
}

/// All of a large fleet start at once, and know few others for a moment. Each would
/// repeat as if it were nearly alone.
#[test]
fn a_new_entry_takes_a_small_part_of_what_is_shared() {
    let mut peers = peers();
    let start = Duration::from_millis(100);
    peers.receive(start, peer(1), digest(1));
    assert_eq!(peers.sharing_entries(start), ASSUMED_ENTRIES);
    assert_eq!(
        peers.sharing_entries(start + Duration::from_millis(1_500)),
        2
    );
}

/// Guards against retry budgets of one among 32 entries for good, as peers name the entry
/// itself in each digest.
#[test]
fn an_entry_that_peers_name_settles() {
    let mut peers = peers();
    let named = |number| Digest {
        peers: vec![OWN, peer(1), peer(2)],
        ..digest(number)
    };
    for number in 1..=100 {
        let now = Duration::from_millis(42 * number);
        peers.receive(now, peer(1), named(number));
        peers.receive(now, peer(2), named(number));
        peers.forget(now);
    }
    assert_eq!(peers.sharing_entries(Duration::from_millis(4_200)), 3);
}

#[test]
fn peers_that_speak_seldom_count_as_alive() {
    for count in [3, 58, 900] {
        let (peers, now) = receive_for(count, 30);
        assert_eq!(peers.live_entries(now), usize::from(count) + 1, "{count}");
    }
}

#[test]
fn a_peer_that_died_is_missed_within_some_digests() {
    let (peers, now) = receive_for(3, 10);
    assert_eq!(peers.live_entries(now + Duration::from_secs(3)), 1);
}
