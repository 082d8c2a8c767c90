//! Crashes and successes observed and reported by several entries.

use std::time::Duration;

use verbenaspool_state::fingerprint::Fingerprint;

use super::{
    Crash, Limits, MAX_RECORDS,
    Observer::{Own, Peer},
    Quarantine, Status, Term,
};

const LIMITS: Limits = Limits {
    crash_threshold: 2,
    duration: Duration::from_mins(10),
};

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn request(number: usize) -> Fingerprint {
    Fingerprint::of(Some("loft"), "/quotes/", &number.to_le_bytes())
}

fn term(since: u64, until: u64) -> Term {
    Term {
        since: s(since),
        until: s(until),
    }
}

fn early(at: Duration, upstream: u32) -> Crash {
    Crash::new(at, upstream, None)
}

/// Guards against one crash that is counted for each report of it.
#[test]
fn a_crash_counts_once_however_often_it_is_reported() {
    let mut quarantine = Quarantine::default();
    let crash = early(s(5), 1);
    assert!(!quarantine.record_crash(s(5), request(1), crash, Own, &LIMITS));
    let second_report = early(s(5) + Duration::from_millis(40), 1);
    assert!(!quarantine.record_crash(s(6), request(1), second_report, Own, &LIMITS));
    assert_eq!(quarantine.status(s(6), request(1)), Status::Suspect);
}

/// Guards against a second crash that isn't counted because the upstream has restarted
/// under the same identity.
#[test]
fn an_upstream_that_crashes_again_counts_again() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(s(5), request(1), early(s(5), 1), Own, &LIMITS);
    assert!(quarantine.record_crash(s(9), request(1), early(s(9), 1), Own, &LIMITS));
    assert_eq!(
        quarantine.status(s(9), request(1)),
        Status::Quarantined(LIMITS.duration)
    );
    assert_eq!(quarantine.status(s(9), request(2)), Status::Clear);
}

/// Guards against common requests that are rejected because upstreams crash for other
/// reasons.
#[test]
fn a_success_between_crashes_clears_a_request() {
    let mut quarantine = Quarantine::default();
    for crash in 1..20 {
        let at = s(10 * u64::from(crash));
        assert!(!quarantine.record_crash(at, request(1), early(at, crash), Own, &LIMITS));
        assert!(quarantine.record_success(at + s(1), request(1), at + s(1), Own));
    }
    let late_report = early(s(105), 99);
    assert!(!quarantine.record_crash(s(200), request(1), late_report, Own, &LIMITS));
    assert_eq!(quarantine.status(s(200), request(1)), Status::Clear);
}

/// Guards against a log line and a report for each success of a common request after a
/// single crash.
#[test]
fn only_the_first_success_after_a_crash_changes_anything() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(s(5), request(1), early(s(5), 1), Own, &LIMITS);
    assert!(quarantine.record_success(s(6), request(1), s(6), Own));
    for at in 7..20 {
        assert!(!quarantine.record_success(s(at), request(1), s(at), Own));
    }
    assert_eq!(quarantine.observed_since(s(7)).count(), 0);
}

/// Guards against a late report of a success, of an attempt started before, that ends a
/// quarantine set since.
#[test]
fn an_older_success_clears_no_newer_crash() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(s(5), request(1), early(s(5), 1), Own, &LIMITS);
    quarantine.record_success(s(6), request(1), s(6), Own);
    quarantine.record_crash(s(7), request(1), early(s(7), 2), Own, &LIMITS);
    quarantine.record_crash(s(8), request(1), early(s(8), 3), Own, &LIMITS);
    assert!(!quarantine.record_success(s(9), request(1), s(6), Own));
    assert!(matches!(
        quarantine.status(s(9), request(1)),
        Status::Quarantined(_)
    ));
}

/// Guards against a late report of a success that ends a quarantine which another entry
/// has set since.
#[test]
fn a_success_reported_late_ends_no_newer_quarantine() {
    let mut quarantine = Quarantine::default();
    quarantine.record_term(s(8), request(1), term(8, 300));
    quarantine.record_success(s(9), request(1), s(6), Peer);
    assert!(matches!(
        quarantine.status(s(9), request(1)),
        Status::Quarantined(_)
    ));
}

#[test]
fn a_request_that_ran_for_long_is_counted_but_not_suspected() {
    let mut quarantine = Quarantine::default();
    let crash = |at, upstream| Crash::new(at, upstream, Some(s(2)));
    quarantine.record_crash(s(5), request(1), crash(s(5), 1), Own, &LIMITS);
    assert_eq!(quarantine.status(s(5), request(1)), Status::Clear);
    assert!(quarantine.record_crash(s(9), request(1), crash(s(9), 2), Own, &LIMITS));
}

#[test]
fn a_quarantine_ends_and_crashes_are_forgotten() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(s(5), request(1), early(s(5), 1), Own, &LIMITS);
    quarantine.record_crash(s(6), request(1), early(s(6), 2), Own, &LIMITS);
    assert_eq!(quarantine.quarantined(s(605)).count(), 1);
    assert_eq!(quarantine.quarantined(s(606)).count(), 0);
    assert!(!quarantine.record_crash(s(700), request(1), early(s(700), 3), Own, &LIMITS));
}

#[test]
fn a_quarantine_of_another_entry_applies() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.record_term(s(5), request(1), term(4, 300)));
    assert!(!quarantine.record_term(s(6), request(1), term(4, 300)));
    assert_eq!(
        quarantine.status(s(100), request(1)),
        Status::Quarantined(s(200))
    );
    assert!(!quarantine.record_term(s(400), request(2), term(4, 300)));
}

/// Guards against a quarantine that is set again by another entry's report after a success
/// has ended it, and against one that is ignored because of an earlier success.
#[test]
fn a_success_ends_the_quarantines_begun_before_it() {
    let mut quarantine = Quarantine::default();
    quarantine.record_term(s(5), request(1), term(4, 300));
    assert!(quarantine.record_success(s(10), request(1), s(10), Own));
    assert!(!quarantine.record_term(s(11), request(1), term(4, 300)));
    assert!(quarantine.record_term(s(21), request(1), term(20, 320)));
}

#[test]
fn nothing_is_rejected_with_a_threshold_of_zero() {
    let limits = Limits {
        crash_threshold: 0,
        ..LIMITS
    };
    let mut quarantine = Quarantine::default();
    for upstream in 1..10 {
        let at = s(u64::from(upstream));
        assert!(!quarantine.record_crash(at, request(1), early(at, upstream), Own, &limits));
    }
}

/// Guards against memory use that grows with the number of crashes.
#[test]
fn records_are_bounded_and_rejected_requests_are_kept() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(s(1), request(0), early(s(1), 1), Own, &LIMITS);
    quarantine.record_crash(s(2), request(0), early(s(2), 2), Own, &LIMITS);
    for number in 1..MAX_RECORDS + 100 {
        quarantine.record_crash(s(3), request(number), early(s(3), 3), Own, &LIMITS);
    }
    assert_eq!(quarantine.records.len(), MAX_RECORDS);
    assert_eq!(quarantine.quarantined(s(3)).count(), 1);
}

/// Guards against entries that forward each other's reports, whose number would grow with
/// the square of the number of entries.
#[test]
fn only_own_observations_are_reported() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(s(5), request(1), early(s(5), 1), Peer, &LIMITS);
    quarantine.record_crash(s(5), request(2), early(s(5), 1), Own, &LIMITS);
    quarantine.record_term(s(5), request(3), term(4, 300));
    let reported: Vec<_> = quarantine.observed_since(s(0)).collect();
    assert_eq!(reported.len(), 1);
    assert_eq!(reported[0].0, request(2));
    assert_eq!(quarantine.observed_since(s(6)).count(), 0);
}
