//! Cost of heartbeats in a zone, by the number of its members.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use verbenaspool_coordination::membership::{Member, Membership, Settings, State};
use verbenaspool_protocol::peer::{Heartbeat, HeartbeatAnswer};
use verbenaspool_state::version::Version;

use super::{Output, exchange_bytes};

/// Members of a zone: current numbers, and those of 1,000 nodes in 11 zones, as expected
/// in two years.
const MEMBER_COUNTS: [u16; 4] = [2, 9, 30, 91];
/// Measured seconds, after all members have discovered each other.
const MEASURED_SECONDS: u32 = 20;

/// Simulated zone whose heartbeats are never lost.
struct Zone {
    now: Duration,
    members: BTreeMap<u16, Membership>,
    /// Bytes sent and received by each member.
    bytes: BTreeMap<u16, usize>,
    /// Number of heartbeat exchanges.
    exchanges: u32,
}

/// Measures a zone for each number of members.
pub fn run(output: &Output) {
    for member_count in MEMBER_COUNTS {
        let mut zone = Zone::new(member_count);
        zone.advance(40);
        zone.bytes.clear();
        zone.exchanges = 0;
        let start = Instant::now();
        zone.advance(MEASURED_SECONDS);
        let processor_time = start.elapsed();
        #[allow(clippy::cast_precision_loss)] // Sizes are far below 2^53.
        let rate = |count: usize| count as f64 / f64::from(MEASURED_SECONDS);
        let busiest = zone.bytes.values().copied().max().unwrap_or_default();
        let total: usize = zone.bytes.values().sum();
        output.print(
            "entry",
            "heartbeats, busiest member",
            member_count,
            rate(busiest),
            "B/s",
        );
        let mean = rate(total) / f64::from(member_count);
        output.print(
            "entry",
            "heartbeats, mean member",
            member_count,
            mean,
            "B/s",
        );
        let micros_per_second = processor_time.as_secs_f64() * 1e6
            / f64::from(member_count)
            / f64::from(MEASURED_SECONDS);
        output.print(
            "entry",
            "heartbeats, processor time",
            member_count,
            micros_per_second,
            "us/s",
        );
        let watchers = zone
            .members
            .values()
            .filter(|member| member.is_watcher())
            .count();
        let watchers = rate(watchers) * f64::from(MEASURED_SECONDS);
        output.print("zone", "watchers", member_count, watchers, "instances");
    }
}

impl Zone {
    /// Creates a zone whose members know only the first member.
    fn new(count: u16) -> Self {
        let member = |number: u16| Member {
            name: format!("entry-{number}").parse().expect("a name"),
            incarnation: (1 << 60) + u64::from(number),
            address: ([10, 0, 0, 1], number).into(),
            state: State::Live,
        };
        let mut members = BTreeMap::new();
        for number in 0..count {
            let mut membership = Membership::new(member(number), Settings::default());
            membership.merge(&[member(0)]);
            members.insert(number, membership);
        }
        Self {
            now: Duration::ZERO,
            members,
            bytes: BTreeMap::new(),
            exchanges: 0,
        }
    }

    /// Advances the time in steps of 50 ms, the poll interval of the driver.
    fn advance(&mut self, seconds: u32) {
        for _ in 0..seconds * 20 {
            self.now += Duration::from_millis(50);
            let numbers: Vec<u16> = self.members.keys().copied().collect();
            for number in numbers {
                let member = self.members.get_mut(&number).expect("a member");
                member.expire_neighbours(self.now);
                for peer in member.heartbeat_targets(self.now) {
                    self.exchange(number, peer.address.port());
                }
            }
        }
    }

    /// Exchanges a heartbeat and its answer between two members.
    fn exchange(&mut self, sender_number: u16, receiver_number: u16) {
        let (version, now) = (Version(79_000), self.now);
        let sender = &self.members[&sender_number];
        let heartbeat = Heartbeat {
            status: sender.own_status(now, version, version, true),
            table: Vec::new(),
        };
        let sender_table: Vec<Member> = sender.table().cloned().collect();
        let receiver = self.members.get_mut(&receiver_number).expect("a member");
        let differs = receiver.digest_differs(&heartbeat.status);
        if differs {
            receiver.merge(&sender_table);
        }
        receiver.receive(now, heartbeat.status.clone());
        let table: Vec<Member> = receiver.table().cloned().collect();
        let answer = HeartbeatAnswer {
            status: receiver.own_status(now, version, version, true),
            table: if differs { table } else { Vec::new() },
            head: None,
        };
        let bytes = exchange_bytes(&heartbeat, &answer);
        let sender = self.members.get_mut(&sender_number).expect("a member");
        sender.merge(&answer.table);
        sender.receive(now, answer.status);
        for end in [sender_number, receiver_number] {
            *self.bytes.entry(end).or_default() += bytes;
        }
        self.exchanges += 1;
    }
}
