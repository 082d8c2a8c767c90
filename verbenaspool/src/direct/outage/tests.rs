use std::time::Duration;

use super::Outage;

/// How long an outage is at least.
const MIN_TIME: Duration = Duration::from_millis(2_400);

/// The end of the outage after which an entry's call is answered, if the store answers peers at these
/// times in seconds meanwhile. The entry's calls were answered until the first second.
fn outage_until(answered: u64, peers: &[u64]) -> Option<Duration> {
    let mut outage = Outage::default();
    outage.record_own_answer(Duration::from_secs(1), false, MIN_TIME);
    for &second in peers {
        outage.record_answer(Duration::from_secs(second), true, MIN_TIME);
    }
    outage.record_own_answer(Duration::from_secs(answered), true, MIN_TIME);
    outage.ended_at()
}

/// Guards against upstreams that are kept after they left, because one entry's connection to the store
/// was silent, or the store rejected its calls by the rate limit.
#[test]
fn calls_that_fail_while_the_store_answers_others_are_no_outage() {
    assert_eq!(outage_until(7, &[2, 4, 6]), None);
    assert_eq!(outage_until(3, &[]), None, "no registration expires in 2 s");
}

/// Guards against upstreams that are dropped though they run, because their registrations expired
/// during an outage of the store.
#[test]
fn an_outage_ends_with_the_first_answer_to_anyone() {
    assert_eq!(outage_until(5, &[]), Some(Duration::from_secs(5)));
    assert_eq!(outage_until(7, &[6]), Some(Duration::from_secs(6)));
    let mut outage = Outage::default();
    outage.record_own_answer(Duration::from_secs(1), true, MIN_TIME);
    assert_eq!(
        outage.ended_at(),
        Some(Duration::from_secs(1)),
        "the first call failed"
    );
}

/// Guards against upstreams that are kept after they left, because the store rejected calls for a moment
/// after a time in which watches had only waited.
#[test]
fn an_outage_begins_no_sooner_than_a_waiting_call_ends() {
    let mut outage = Outage::default();
    outage.record_own_answer(Duration::from_secs(1), false, MIN_TIME);
    outage.record_contact(Duration::from_secs(5));
    outage.record_own_answer(Duration::from_secs(6), true, MIN_TIME);
    assert_eq!(outage.ended_at(), None);
    outage.record_own_answer(Duration::from_secs(9), true, MIN_TIME);
    assert_eq!(outage.ended_at(), Some(Duration::from_secs(9)));
}

/// Guards against upstreams that are kept after they left, because no call was made for long.
#[test]
fn a_quiet_time_is_no_outage() {
    let mut outage = Outage::default();
    for second in [1, 9] {
        outage.record_own_answer(Duration::from_secs(second), false, MIN_TIME);
    }
    assert_eq!(outage.ended_at(), None);
}
