//! Which answers of agents are taken.

use std::net::{IpAddr, SocketAddr};

use tokio::sync::oneshot;
use verbenaspool_protocol::{member::Status, reservation::Answer};

use super::Reservations;

fn agent(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn answer(ticket: u64) -> Answer {
    Answer {
        ticket,
        granted: true,
        status: Status {
            sequence: 1,
            upstream: SocketAddr::new(agent(1), 80),
            group: 7,
            group_complete: true,
            pace: 1.0,
            requests: 3,
        },
    }
}

/// Whoever can send a datagram may claim that a slot is kept. Only the agent that was
/// asked is believed, once, and only while the entry waits.
#[test]
fn only_the_agent_that_was_asked_is_believed() {
    let reservations = Reservations::new();
    let (sender, mut told) = oneshot::channel();
    reservations
        .waiting
        .borrow_mut()
        .insert(4, (agent(1), sender));
    assert!(!reservations.answered(agent(2), answer(4)));
    assert!(!reservations.answered(agent(1), answer(5)));
    assert!(told.try_recv().is_err());
    assert!(reservations.answered(agent(1), answer(4)));
    assert_eq!(told.try_recv(), Ok(answer(4)));
    assert!(!reservations.answered(agent(1), answer(4)));
}
