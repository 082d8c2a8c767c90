//! Heartbeats of a zone, by its members.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use verbenaspool_coordination::membership::{Member, MemberState, Membership, Settings};
use verbenaspool_protocol::peer::{Heartbeat, HeartbeatAnswer};
use verbenaspool_state::version::Version;

use super::{Output, wire};

/// Members of a zone: today's, and what two years' 1,000 nodes in 11 zones make.
const SIZES: [u16; 4] = [2, 9, 30, 91];
/// Seconds measured, after the zone has found itself.
const SECONDS: u32 = 20;

/// A zone whose members talk without loss.
struct Zone {
    now: Duration,
    members: BTreeMap<u16, Membership>,
    /// Bytes on the wire at each member.
    bytes: BTreeMap<u16, usize>,
    /// Exchanges in all.
    exchanges: u32,
}

/// Measures a zone at each size.
pub fn run(output: &Output) {
    for size in SIZES {
        let mut zone = Zone::new(size);
        zone.pass(40);
        zone.bytes.clear();
        zone.exchanges = 0;
        let start = Instant::now();
        zone.pass(SECONDS);
        let spent = start.elapsed();
        #[allow(clippy::cast_precision_loss)] // Sizes stay far below 2^53.
        let rate = |count: usize| count as f64 / f64::from(SECONDS);
        let most = zone.bytes.values().copied().max().unwrap_or_default();
        let total: usize = zone.bytes.values().sum();
        output.say(
            "entry",
            "heartbeats, busiest member",
            size,
            rate(most),
            "B/s",
        );
        let mean = rate(total) / f64::from(size);
        output.say("entry", "heartbeats, mean member", size, mean, "B/s");
        let each = spent.as_secs_f64() * 1e6 / f64::from(size) / f64::from(SECONDS);
        output.say("entry", "heartbeats, processor time", size, each, "us/s");
        let watchers = zone.members.values().filter(|one| one.is_watcher()).count();
        let watchers = rate(watchers) * f64::from(SECONDS);
        output.say("zone", "watchers", size, watchers, "instances");
    }
}

impl Zone {
    /// A zone whose members know the first of them.
    fn new(count: u16) -> Self {
        let member = |number: u16| Member {
            name: format!("entry-{number}").parse().expect("a name"),
            incarnation: (1 << 60) + u64::from(number),
            address: ([10, 0, 0, 1], number).into(),
            state: MemberState::Live,
        };
        let mut members = BTreeMap::new();
        for number in 0..count {
            let mut one = Membership::new(member(number), Settings::default());
            one.merge(&[member(0)]);
            members.insert(number, one);
        }
        Self {
            now: Duration::ZERO,
            members,
            bytes: BTreeMap::new(),
            exchanges: 0,
        }
    }

    /// Lets time pass as the driver does, which looks 20 times a second.
    fn pass(&mut self, seconds: u32) {
        for _ in 0..seconds * 20 {
            self.now += Duration::from_millis(50);
            let numbers: Vec<u16> = self.members.keys().copied().collect();
            for number in numbers {
                let one = self.members.get_mut(&number).expect("a member");
                one.expire_neighbours(self.now);
                for peer in one.heartbeat_targets(self.now) {
                    self.exchange(number, peer.address.port());
                }
            }
        }
    }

    /// A heartbeat and its answer.
    fn exchange(&mut self, number: u16, other: u16) {
        let (version, now) = (Version(79_000), self.now);
        let one = &self.members[&number];
        let beat = Heartbeat {
            status: one.own_status(now, version, version, true),
            table: Vec::new(),
        };
        let sent: Vec<Member> = one.table().cloned().collect();
        let two = self.members.get_mut(&other).expect("a member");
        let differs = two.digest_differs(&beat.status);
        if differs {
            two.merge(&sent);
        }
        two.receive(now, beat.status.clone());
        let table: Vec<Member> = two.table().cloned().collect();
        let echo = HeartbeatAnswer {
            status: two.own_status(now, version, version, true),
            table: if differs { table } else { Vec::new() },
            head: None,
        };
        let bytes = wire(&beat, &echo);
        let one = self.members.get_mut(&number).expect("a member");
        one.merge(&echo.table);
        one.receive(now, echo.status);
        for end in [number, other] {
            *self.bytes.entry(end).or_default() += bytes;
        }
        self.exchanges += 1;
    }
}
