use std::{net::IpAddr, time::Duration};

use verbenaspool_coordination::switch::Report;
use verbenaspool_protocol::member::State;

use super::{MAX_STAND_INS, Membership};

fn agent(rank: u16) -> IpAddr {
    IpAddr::from([10, 0, 0, u8::try_from(rank).expect("a small rank")])
}

fn membership(size: u16) -> Membership {
    let mut membership = Membership::default();
    for rank in 0..size {
        let state = State {
            sequence: 1,
            group: 7,
            rank,
            group_size: size,
            upstream: "10.1.0.1:80".parse().expect("an address"),
            report: Report::default(),
            pace: 1.0,
            zone: 1,
        };
        membership.update(Duration::ZERO, agent(rank), state);
    }
    membership
}

/// Guards against a group of 32 in which each rank sends its state to all others ten times
/// a second, which keeps the agents busy receiving.
#[test]
fn only_agents_that_act_on_a_state_receive_it() {
    let membership = membership(32);
    let now = Duration::from_millis(10);
    for rank in 2..32 {
        let recipients = membership.state_recipients(now, rank);
        assert_eq!(recipients, [agent(0), agent(1)].into(), "rank {rank}");
    }
    for rank in 0..2 {
        let recipients: Vec<IpAddr> = membership.state_recipients(now, rank).into_iter().collect();
        let standins: Vec<IpAddr> = (0..MAX_STAND_INS).map(agent).collect();
        assert_eq!(recipients, standins, "rank {rank}");
    }
}
