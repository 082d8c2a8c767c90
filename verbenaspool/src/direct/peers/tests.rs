//! Tests of the digest rate and the number of entries.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use verbenaspool_protocol::digest::{Digest, StoreAccess};
use verbenaspool_state::position::Position;

use super::{
    DISCOVERY_TIME, MAX_NAMED_PEERS, Peers, Provenance, REMOTE_SAMPLE, Versions, digest_interval,
};

/// Address of the entry itself.
const OWN: Ipv4Addr = Ipv4Addr::new(10, 255, 0, 1);

/// Hash of its zone.
const ZONE: u32 = 7;

fn peers() -> Peers {
    Peers::new(IpAddr::V4(OWN), ZONE)
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
fn a_new_entry_takes_no_share_of_limits() {
    let mut peers = peers();
    let start = Duration::from_millis(100);
    peers.receive(start, peer(1), digest(1));
    assert_eq!(peers.sharing_entries(start), None);
    assert_eq!(
        peers.sharing_entries(start + Duration::from_millis(1_500)),
        Some(2)
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
    assert_eq!(peers.sharing_entries(Duration::from_millis(4_200)), Some(3));
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

/// A digest of an entry in a zone with this number of entries.
fn zone_digest(number: u64, zone: u32, zone_entries: u32) -> Digest {
    Digest {
        zone,
        zone_entries,
        ..digest(number)
    }
}

/// The peers of a fleet of 231 entries, 46 of them in the own zone, after all have sent a
/// digest.
fn fleet() -> (Peers, Duration) {
    let (mut peers, now) = (peers(), Duration::from_secs(1));
    for index in 0..45 {
        peers.receive(now, peer(index), zone_digest(1, ZONE, 46));
    }
    for (zone, entries) in [(1, 46), (2, 47), (3, 46), (4, 46)] {
        for index in 0..47 {
            let address = peer(u16::try_from(zone * 100 + index).unwrap_or_default());
            peers.receive(now, address, zone_digest(1, zone, entries));
        }
    }
    (peers, now)
}

/// Guards against bytes between zones that grow with the square of the number of entries:
/// 231 entries that each sent their digest to all others caused a third of them.
#[test]
fn few_digests_cross_zones_in_a_large_fleet() {
    let (mut peers, now) = fleet();
    peers.next_recipients();
    let recipients = peers.next_recipients();
    assert_eq!(recipients.len(), 45 + REMOTE_SAMPLE);
    for index in 0..45 {
        assert!(recipients.contains(&peer(index)), "{index}");
    }
    assert!(peers.digest_interval() < Duration::from_secs(1));
    assert_eq!(peers.live_entries(now), 231);
}

/// Guards against a dead entry whose requests count for ten seconds, because each peer of a
/// large fleet sends a digest once in three.
#[test]
fn a_dead_peer_of_a_large_zone_is_detected_within_three_seconds() {
    let (mut peers, now) = fleet();
    let before = peers.live_peers(now).count();
    let later = now + Duration::from_secs(3);
    for index in 1..45 {
        peers.receive(later, peer(index), zone_digest(2, ZONE, 46));
    }
    assert!(
        peers
            .live_peers(later)
            .all(|(address, _)| *address != peer(0))
    );
    assert!(peers.live_peers(later).count() < before);
}

/// Guards against shared limits that are exceeded because an entry counts only the peers that it
/// receives digests from, without silent ones and those of other zones.
#[test]
fn shares_of_a_large_fleet_count_all_entries() {
    let (peers, now) = fleet();
    for after_s in [2, 10, 30] {
        let now = now + Duration::from_secs(after_s);
        assert_eq!(peers.sharing_entries(now), Some(231), "{after_s}");
    }
}

/// Guards against a zone that seems small because one of its entries has just started.
#[test]
fn the_size_of_a_zone_is_the_largest_recently_reported() {
    let (mut peers, now) = fleet();
    for number in 2..40 {
        let now = now + Duration::from_millis(100 * number);
        let zone_entries = if number % 7 == 0 { 46 } else { 1 };
        peers.receive(now, peer(100), zone_digest(number, 1, zone_entries));
        assert_eq!(peers.known_entries(), 231, "{number}");
    }
}

/// Guards against a digest that lists a thousand unknown addresses, which would then get
/// digests and count as entries.
#[test]
fn a_long_list_of_unknown_peers_is_cut() {
    let (mut peers, now) = fleet();
    let entries = peers.known_entries();
    peers.next_recipients();
    let list: Vec<Ipv4Addr> = (0..1_000)
        .map(|n| Ipv4Addr::from(n + (172 << 24)))
        .collect();
    let long = Digest {
        peers: list.clone(),
        zone_peers: list[500..].to_vec(),
        ..zone_digest(2, 1, 46)
    };
    peers.receive(now, peer(100), long);
    assert!(peers.next_recipients().len() <= 45 + REMOTE_SAMPLE + 2 * MAX_NAMED_PEERS[0]);
    assert_eq!(peers.known_entries(), entries);
}

/// Entries of one zone that hear each other, by address, and whether each is cut off from the
/// store.
fn zone_of(count: u16, now: Duration, cut_off: impl Fn(u16) -> bool) -> Vec<Peers> {
    let entry = |own: u16| {
        let mut peers = Peers::new(IpAddr::V4(peer(own)), ZONE);
        for other in (0..count).filter(|other| *other != own) {
            let store = if cut_off(other) {
                StoreAccess::CutOff
            } else {
                StoreAccess::Idle
            };
            let digest = Digest {
                store,
                ..zone_digest(1, ZONE, count.into())
            };
            peers.receive(now, peer(other), digest);
        }
        peers
    };
    (0..count).map(entry).collect()
}

/// Guards against calls to the store that grow with the number of entries: 231 entries that
/// each watched it made 7,300 calls in 50 s.
#[test]
fn two_entries_of_a_zone_watch_the_store() {
    let (now, later) = (Duration::from_secs(1), Duration::from_secs(3));
    for count in [1, 2, 6, 46, 91] {
        let zone = zone_of(count, now, |_| false);
        let watching = zone.iter().filter(|peers| peers.watches_store(later));
        assert_eq!(watching.count(), usize::from(count.min(2)), "{count}");
    }
}

/// Guards against a zone without changes because the store turns its watchers away, and
/// against all its entries calling a store that is down.
#[test]
fn others_watch_if_the_watchers_are_cut_off() {
    let (now, later) = (Duration::from_secs(1), Duration::from_secs(3));
    let watching = |zone: &[Peers]| -> Vec<u16> {
        let numbers = (0..).zip(zone);
        let numbers = numbers.filter(|(_, peers)| peers.watches_store(later));
        numbers.map(|(number, _)| number).collect()
    };
    let first = watching(&zone_of(46, now, |_| false));
    let second = watching(&zone_of(46, now, |number| first.contains(&number)));
    assert_eq!(second.iter().filter(|n| !first.contains(n)).count(), 2);
    let all = watching(&zone_of(46, now, |_| true));
    assert!((4..=8).contains(&all.len()), "{all:?}");
}

/// Guards against watchers that nobody replaces because they are silent or shut down.
#[test]
fn silent_and_leaving_watchers_are_replaced() {
    let now = Duration::from_secs(1);
    let zone = zone_of(6, now, |_| false);
    let later = now + Duration::from_secs(30);
    assert!(zone.iter().all(|peers| peers.watches_store(later)));
    let mut last = zone
        .into_iter()
        .find(|peers| !peers.watches_store(now + DISCOVERY_TIME));
    let last = last.as_mut().expect("four entries don't watch");
    for other in 0..6 {
        let leaving = Digest {
            leaving: true,
            ..zone_digest(9, ZONE, 6)
        };
        last.receive(now, peer(other), leaving);
    }
    assert!(last.watches_store(now + DISCOVERY_TIME));
}

/// Guards against an entry that takes nothing from its peers after the store came back from a copy,
/// since their revisions are lower than its own, and against one that takes the earlier state back.
#[test]
fn a_later_era_is_newer_whatever_its_revision() {
    let (mut peers, now) = (peers(), Duration::from_secs(1));
    let known = |era, revision| Digest {
        registry_era: era,
        registry_revision: revision,
        registry_hash: 8,
        evacuation_era: era,
        evacuation_revision: revision,
        configuration_era: era,
        configuration_revision: revision,
        ..digest(1)
    };
    let versions = |era, revision| {
        let mut versions = Versions::of_registry(revision);
        versions.registry_era = era;
        (versions.evacuations, versions.evacuations_era) = (revision, era);
        (versions.configuration, versions.configuration_era) = (revision, era);
        versions
    };
    peers.receive(now, peer(1), known(2, 104));
    assert_eq!(peers.newer_peers(now, versions(1, 109)).len(), 1);
    assert!(peers.newer_peers(now, versions(3, 90)).is_empty());
    let copy_of_first_era = Provenance {
        position: Position::new(1, 104),
        listed: 0,
        hash: 7,
    };
    assert_eq!(
        peers.differing_registries(now, copy_of_first_era),
        0,
        "the same revision of another era is another state"
    );
}

/// Guards against a fleet in which no entry gives up silent watches in time, because the first ones of all
/// zones or none think that they come first, or one does that the store rejects.
#[test]
fn two_zones_have_the_entries_that_come_first() {
    let now = Duration::from_secs(3);
    let zones = [ZONE, ZONE + 1, ZONE + 2];
    let entry = |zone: u32, cut_off: Option<u32>| {
        let mut peers = Peers::new(IpAddr::V4(OWN), zone);
        for (index, other) in (0..).zip(zones.iter().filter(|other| **other != zone)) {
            let rejects = cut_off == Some(*other);
            let store = if rejects {
                StoreAccess::CutOff
            } else {
                StoreAccess::Watching
            };
            let digest = Digest {
                store,
                ..zone_digest(1, *other, 1)
            };
            peers.receive(now, peer(index), digest);
        }
        peers.watch_rank(now)
    };
    assert_eq!(zones.map(|zone| entry(zone, None)), [0, 1, 2]);
    assert_eq!(entry(zones[1], Some(zones[0])), 0);
    assert_eq!(entry(zones[2], Some(zones[0])), 1);
    let zone = zone_of(2, now, |_| false);
    let mut ranks: Vec<usize> = zone.iter().map(|peers| peers.watch_rank(now)).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1]);
}

/// Guards against waiting for an entry of another zone that has gone.
#[test]
fn an_entry_comes_first_once_other_zones_are_silent() {
    let now = Duration::from_secs(3);
    let mut peers = Peers::new(IpAddr::V4(OWN), ZONE + 1);
    peers.receive(now, peer(1), zone_digest(1, ZONE, 1));
    assert_eq!(peers.watch_rank(now), 1);
    assert_eq!(peers.watch_rank(now + Duration::from_secs(4)), 0);
}

/// Guards against entries that refuse requests by an outdated configuration, and against fetching one that
/// is known already.
#[test]
fn a_configuration_is_confirmed_by_peers_that_know_the_newest_one() {
    let now = Duration::from_secs(1);
    let confirms = |table_version, configuration_revision| {
        let mut peers = peers();
        let digest = Digest {
            table_version,
            configuration_revision,
            ..digest(1)
        };
        peers.receive(now, peer(1), digest);
        peers.confirms_configuration(now, 5)
    };
    assert!(confirms(5, 9) && confirms(4, 9));
    assert!(!confirms(6, 9), "a newer one must be fetched");
    assert!(!confirms(5, 0), "the peer's own is unconfirmed");
    assert!(!confirms(0, 9), "the peer has none");
}
