//! Tests of which reservation answers are accepted.

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
        wait_ms: Some(0),
    }
}

/// Guards against forged answers, which anyone who can send a datagram could inject: only an
/// answer from the address that was asked is accepted, once, and only while it is awaited.
#[test]
fn only_answers_from_the_requested_agent_are_accepted() {
    let reservations = Reservations::new();
    let (sender, mut received) = oneshot::channel();
    reservations
        .pending
        .borrow_mut()
        .insert(4, (agent(1), sender));
    assert!(!reservations.handle_answer(agent(2), answer(4)));
    assert!(!reservations.handle_answer(agent(1), answer(5)));
    assert!(received.try_recv().is_err());
    assert!(reservations.handle_answer(agent(1), answer(4)));
    assert_eq!(received.try_recv(), Ok(answer(4)));
    assert!(!reservations.handle_answer(agent(1), answer(4)));
}
