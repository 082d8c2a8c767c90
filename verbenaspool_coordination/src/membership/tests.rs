use std::{collections::BTreeMap, time::Duration};

use super::{Member, Membership, OwnStanding, ReceiveOutcome, Settings, State};
use verbenaspool_state::version::Version;

/// Creates the member with this number.
fn member(number: u16, incarnation: u64) -> Member {
    Member {
        name: format!("entry-{number}").parse().unwrap(),
        incarnation,
        address: ([127, 0, 0, 1], 7000 + number).into(),
        state: State::Live,
    }
}

/// Simulated zone whose members exchange heartbeats without loss. Removed members don't
/// answer.
struct Zone {
    now: Duration,
    members: BTreeMap<u16, Membership>,
}

impl Zone {
    /// Creates a zone in which each member knows itself and member 0.
    fn new(count: u16) -> Self {
        let mut members = BTreeMap::new();
        for number in 0..count {
            let mut one = Membership::new(member(number, 1), Settings::default());
            one.merge(&[member(0, 1)]);
            members.insert(number, one);
        }
        let now = Duration::ZERO;
        Self { now, members }
    }

    /// Advances the time and sends the heartbeats that become due.
    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds * 2 {
            self.now += Duration::from_millis(500);
            let numbers: Vec<u16> = self.members.keys().copied().collect();
            for number in numbers {
                self.run_member(number);
            }
        }
    }

    /// Runs one member: it expires silent neighbours and sends its due heartbeats.
    fn run_member(&mut self, number: u16) {
        let now = self.now;
        let one = self.members.get_mut(&number).unwrap();
        one.expire_neighbours(now);
        for peer in one.heartbeat_targets(now) {
            self.exchange(number, peer.address.port() - 7000);
        }
    }

    /// Exchanges a heartbeat and its answer. A removed member doesn't answer.
    fn exchange(&mut self, number: u16, other: u16) {
        let now = self.now;
        let one = self.members.get_mut(&number).unwrap();
        let status = one.own_status(now, Version(1), Version(1), false);
        let table: Vec<Member> = one.table().cloned().collect();
        let Some(other) = self.members.get_mut(&other) else {
            return;
        };
        if other.digest_differs(&status) {
            other.merge(&table);
        }
        other.receive(now, status);
        let answer = other.own_status(now, Version(1), Version(1), false);
        let table: Vec<Member> = other.table().cloned().collect();
        let one = self.members.get_mut(&number).unwrap();
        one.merge(&table);
        one.receive(now, answer);
    }
}

#[test]
fn all_members_are_discovered() {
    for count in [1, 2, 3, 9, 91] {
        let mut zone = Zone::new(count);
        zone.advance(30);
        let watchers = zone.members.values().filter(|one| one.is_watcher()).count();
        assert_eq!(watchers, usize::from(count.min(2)), "{count} members");
        for one in zone.members.values() {
            assert_eq!(one.alive_count(), usize::from(count), "{count} members");
            assert!(one.neighbours().len() <= 5);
        }
        let first = zone.members.values().find(|one| one.is_first()).unwrap();
        let summary = first.summary(zone.now, Version(1));
        assert_eq!(summary.instances, u32::from(count));
    }
}

// Several instances crash, the first in the order among them. The others must detect
// this from their neighbours alone and repair the tree, or changes no longer reach all
// instances.
#[test]
fn crashed_members_are_detected() {
    let mut zone = Zone::new(20);
    zone.advance(30);
    let first = zone.members.values().find(|one| one.is_first()).unwrap();
    let first = first.own().address.port() - 7000;
    for gone in [first, (first + 1) % 20, (first + 7) % 20] {
        zone.members.remove(&gone);
    }
    zone.advance(40);
    for one in zone.members.values() {
        assert_eq!(one.alive_count(), 17);
    }
    assert_eq!(
        zone.members.values().filter(|one| one.is_first()).count(),
        1
    );
}

// A process is paused for minutes, and resumes after the platform has replaced it under
// the same name. If its status were accepted, peers would call the wrong address and
// callers would get answers from a replaced process.
#[test]
fn paused_process_returns() {
    let mut zone = Zone::new(3);
    zone.advance(10);
    let mut paused = zone.members.remove(&1).unwrap();
    zone.advance(10);
    let mut successor = member(1, 1);
    successor.address.set_port(7003);
    let mut one = Membership::new(successor, Settings::default());
    one.merge(&[member(0, 1)]);
    zone.members.insert(3, one);
    zone.advance(20);
    assert_eq!(zone.members[&3].alive_count(), 3);
    let status = paused.own_status(zone.now, Version(9), Version(9), true);
    let other = zone.members.get_mut(&0).unwrap();
    assert_eq!(other.receive(zone.now, status), ReceiveOutcome::Superseded);
    let table: Vec<Member> = other.table().cloned().collect();
    assert_eq!(paused.merge(&table), OwnStanding::Replaced);
    let successor = &other.table[&member(1, 1).name];
    assert_eq!(successor.address.port(), 7003);
}

// Both watchers lose the platform while an instance below them can reach it. That
// instance must take over, or an accepted version doesn't come into force in the zone.
#[test]
fn instance_below_replaces_cut_off_watchers() {
    let mut zone = Zone::new(3);
    zone.advance(10);
    let now = zone.now;
    let below = zone.members.values().find(|one| !one.is_watcher()).unwrap();
    assert!(below.must_watch(now));
    let parent = below.parent().unwrap().address.port() - 7000;
    let status = zone.members[&parent].own_status(now, Version(1), Version(1), true);
    let below = zone
        .members
        .values_mut()
        .find(|one| !one.is_watcher())
        .unwrap();
    below.receive(now, status);
    assert!(!below.must_watch(now));
    assert!(below.must_watch(now + Duration::from_secs(4)));
}
