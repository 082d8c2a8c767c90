//! Tests of the order tracker under faults.

use std::time::Duration;

use verbenaspool_coordination::group::order::{
    Action, Effect, MAX_ORDER_VALIDITY, Order, OrderTracker, Outcome, Reason, Role, State,
};

/// When the tracker starts to admit orders: those of the previous agent have
/// expired.
const READY: Duration = MAX_ORDER_VALIDITY;

fn order(id: &str, fence: u64) -> Order {
    Order {
        id: id.to_owned(),
        fence,
        valid_ms: 500,
        action: Action::Role(Role::Decode),
    }
}

fn not_run(reason: Reason) -> Effect {
    Effect::Answer(Outcome::NotRun(reason))
}

fn state(role: Role) -> State {
    State {
        role: Some(role),
        ..State::default()
    }
}

/// Guards against executing an order that has an old fence, an invalid validity,
/// a pending order before it, or arrives right after the agent's start.
#[test]
fn orders_are_rejected_with_a_reason() {
    let longest = u64::try_from(MAX_ORDER_VALIDITY.as_millis()).unwrap();
    let too_long = Order {
        valid_ms: longest + 1,
        ..order("a.1", 5)
    };
    let zero = Order {
        valid_ms: 0,
        ..order("a.1", 5)
    };
    let starting = Reason::Starting { wait_ms: longest };
    let cases = [
        (READY, order("old.1", 4), Reason::Fence { fence: 5 }),
        (READY, too_long, Reason::Deadline),
        (READY, zero, Reason::Deadline),
        (READY, order("b.1", 5), Reason::Busy),
    ];
    let mut tracker = OrderTracker::new(Duration::ZERO);
    assert_eq!(
        tracker.submit(Duration::ZERO, &order("a.0", 5)),
        not_run(starting)
    );
    assert!(matches!(
        tracker.submit(READY, &order("a.0", 5)),
        Effect::Send { .. }
    ));
    for (now, order, reason) in cases {
        assert_eq!(tracker.submit(now, &order), not_run(reason), "{order:?}");
    }
}

/// Guards against executing an order twice. A sender that gets no answer to a
/// change of role retries it, both while it is pending and after it is done.
#[test]
fn repeated_order_is_sent_once() {
    let mut tracker = OrderTracker::new(Duration::ZERO);
    assert!(matches!(
        tracker.submit(READY, &order("a.1", 5)),
        Effect::Send { .. }
    ));
    assert_eq!(tracker.submit(READY, &order("a.1", 5)), Effect::Wait);
    tracker.engine_answered(READY, Ok(()));
    for fence in [5, 4] {
        let again = tracker.submit(READY, &order("a.1", fence));
        assert_eq!(again, Effect::Answer(Outcome::Done));
    }
}

/// Guards against reporting a wrong outcome when the engine's answer is lost. The
/// outcome is read from the engine's state, and "not run" is reported only once
/// the order can't take effect any more.
#[test]
fn lost_answer_is_resolved_from_the_state() {
    let late = READY + Duration::from_millis(2_500);
    let cases = [
        (READY, state(Role::Decode), Effect::Answer(Outcome::Done)),
        (READY, state(Role::Both), Effect::Read),
        (late, state(Role::Both), not_run(Reason::Late)),
        (late, state(Role::Decode), Effect::Answer(Outcome::Done)),
    ];
    for (now, state, step) in cases {
        let mut tracker = OrderTracker::new(Duration::ZERO);
        tracker.submit(READY, &order("a.1", 5));
        assert_eq!(tracker.answer_lost(), Effect::Read);
        assert_eq!(tracker.state_read(now, &state), step, "{state:?}");
        if now == late {
            let again = tracker.submit(late, &order("a.1", 5));
            assert_eq!(again, step, "a retry gets the same outcome");
        }
    }
}

/// Guards against a late order of a sender that was replaced reaching an engine
/// that ignores fences.
#[test]
fn late_order_of_a_replaced_sender_is_rejected() {
    let mut tracker = OrderTracker::new(Duration::ZERO);
    tracker.submit(READY, &order("new.1", 6));
    tracker.engine_answered(READY, Ok(()));
    let late = tracker.submit(READY, &order("old.9", 5));
    assert_eq!(late, not_run(Reason::Fence { fence: 6 }));
}
