//! Requests that crash upstreams, as observed by this entry and reported by its peers.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use monoio::net::udp::UdpSocket;
use slog::{info, warn};
use verbenaspool_policy::quarantine::{
    Candidate, Crash, Observer, Record, SETTLE_TIME, Sighting, Status, Subject, Term,
};
use verbenaspool_protocol::{
    crash,
    message::Message,
    suspicion::{self, Suspicion},
};
use verbenaspool_state::fingerprint::Fingerprint;

use super::{attempt::PendingRequest, gateway::Gateway, peers};

/// The unit in which shares are reported.
const SHARE_UNITS_PER_WHOLE: f64 = 1e6;

/// Interval of reports to peers. Reports are repeated because datagrams get lost.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum age of a crash whose upstream can't have restarted yet. Reports are repeated, so
/// most of them are older.
const FRESH_CRASH_AGE: Duration = Duration::from_millis(300);

/// Delays of the two reports of a crash. The first one is the time in which the requests that an
/// upstream had find out that it crashed.
const CRASH_REPORT_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(200)];

/// Maximum age of a crash that is reported. A report that begins just after a crash repeats it.
const CRASH_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// How long an observation is reported to peers.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

impl Gateway {
    /// Whether a request is suspected or quarantined.
    pub fn quarantine_status(&self, subject: &Subject) -> Status {
        if self.settings.borrow().quarantine.crashes == 0 {
            return Status::Clear;
        }
        let now = self.clock.now();
        self.quarantine.borrow().subject_status(now, subject)
    }

    /// Records a crash of an upstream that had a request, and reports it to peers.
    pub fn on_crash(&self, request: &PendingRequest, crash: Crash) {
        let now = self.clock.now();
        let limits = self.settings.borrow().quarantine.limits();
        let (subject, written) = (&request.subject, request.is_written());
        let mut quarantine = self.quarantine.borrow_mut();
        let begins = quarantine.record_interruption(now, subject, crash, written, &limits);
        drop(quarantine);
        if begins {
            self.on_quarantined("request quarantined", &[subject.request]);
        }
        self.crashed.notify_one();
        self.crash_seen.notify_one();
        self.suspected.notify_one();
    }

    /// All quarantined requests and parts, as reported to an entry that knows none.
    pub fn quarantined(&self) -> Vec<Suspicion> {
        let now = self.clock.now();
        let quarantine = self.quarantine.borrow();
        let terms = quarantine
            .quarantined(now)
            .map(|(request, term)| Suspicion {
                request,
                crashes: Vec::new(),
                succeeded_ms: None,
                term: Some(reported_term(now, term)),
            });
        terms.collect()
    }

    /// Logs what is quarantined from now on, and has it reported and saved.
    fn on_quarantined(&self, message: &'static str, quarantined: &[Fingerprint]) {
        let duration = self.settings.borrow().quarantine.limits().duration;
        for fingerprint in quarantined {
            warn!(self.log, "{message}"; "fingerprint" => fingerprint.to_string(),
                "for_s" => duration.as_secs());
        }
        if !quarantined.is_empty() {
            self.suspected.notify_one();
            self.unsaved.notify_one();
        }
    }

    /// Records an attempt that started at `started_at` and that the upstream survived, and informs
    /// peers if a part of its prompt was suspected before.
    pub fn on_sound_run(&self, subject: &Subject, started_at: Duration) {
        if subject.parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let cleared = quarantine.record_run(now, subject, started_at);
        drop(quarantine);
        if cleared {
            self.suspected.notify_one();
            self.unsaved.notify_one();
        }
    }

    /// Records what a peer saw of a crash.
    pub fn record_crash_report(&self, report: crash::Report, peer: Ipv4Addr) {
        let now = self.clock.now();
        let candidates = report.parts.into_iter().map(|part| {
            let share = (f64::from(part.share_ppm) / SHARE_UNITS_PER_WHOLE).min(1.0);
            Candidate::new(part.fingerprint, part.customer, part.position, share)
        });
        let sighting = Sighting {
            suspects: report.suspects,
            candidates: candidates.collect(),
        };
        let at = ms_before(now, report.age_ms);
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record_sighting(report.upstream, at, u32::from(peer), sighting);
        drop(quarantine);
        self.crash_seen.notify_one();
    }

    /// Quarantines the parts of prompts that crashes are attributed to.
    fn blame_parts(&self) {
        let now = self.clock.now();
        let limits = self.settings.borrow().quarantine.limits();
        let blamed = self.quarantine.borrow_mut().blame_parts(now, &limits);
        self.on_quarantined("prompt part quarantined", &blamed);
    }

    /// What this entry recently saw of crashes.
    fn crash_reports(&self) -> Vec<crash::Report> {
        let now = self.clock.now();
        let quarantine = self.quarantine.borrow();
        let sightings = quarantine.own_sightings(now.saturating_sub(CRASH_REPORT_PERIOD));
        let reports = sightings.map(|(upstream, at, sighting)| {
            let candidates = sighting.candidates.iter().take(crash::MAX_PARTS);
            let parts = candidates.map(|candidate| crash::Part {
                fingerprint: candidate.part,
                customer: candidate.customer,
                position: candidate.position,
                share_ppm: ppm(candidate.share),
            });
            crash::Report {
                upstream,
                age_ms: ms(now.saturating_sub(at)),
                suspects: sighting.suspects,
                parts: parts.collect(),
            }
        });
        reports.collect()
    }

    /// Records that a request succeeded, and informs peers if it was suspected before.
    pub fn on_success(&self, request: Fingerprint) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let cleared = quarantine.record_success(now, request, now, Observer::Own);
        drop(quarantine);
        if cleared {
            info!(self.log, "request cleared of crashes"; "fingerprint" => request.to_string());
            self.suspected.notify_one();
            self.unsaved.notify_one();
        }
    }

    /// Records a crash observed by this entry or a peer.
    fn record_crash(&self, request: Fingerprint, crash: Crash, observer: Observer) {
        let now = self.clock.now();
        let limits = self.settings.borrow().quarantine.limits();
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.record_crash(now, request, crash, observer, &limits) {
            drop(quarantine);
            self.on_quarantined("request quarantined", &[request]);
        }
    }

    /// Records the suspicions reported by a peer.
    pub fn record_suspicions(&self, suspicions: &[Suspicion]) {
        let now = self.clock.now();
        for suspicion in suspicions {
            let request = suspicion.request;
            if let Some(age) = suspicion.succeeded_ms {
                let mut quarantine = self.quarantine.borrow_mut();
                quarantine.record_success(now, request, ms_before(now, age), Observer::Peer);
            }
            for crash in &suspicion.crashes {
                let crash = Crash {
                    upstream: crash.upstream,
                    at: ms_before(now, crash.age_ms),
                    early: crash.early,
                };
                self.record_crash(request, crash, Observer::Peer);
                if now.saturating_sub(crash.at) < FRESH_CRASH_AGE {
                    self.record_upstream_crash(crash.upstream);
                }
            }
            if let Some(term) = suspicion.term {
                let until = now + Duration::from_millis(term.left_ms.into());
                let since = ms_before(now, term.age_ms);
                self.record_term(request, Term { since, until });
            }
        }
    }

    /// Records that an upstream, given by its hash, has just crashed. The registry says so
    /// later, and until then a suspected request could be sent to the last running one.
    fn record_upstream_crash(&self, upstream: u32) {
        for queue in self.queues() {
            if let Some(id) = queue.upstream_by_hash(upstream) {
                queue.record_crash(&id);
            }
        }
    }

    /// Records a quarantine set by another entry or loaded from the store.
    pub fn record_term(&self, request: Fingerprint, term: Term) {
        let now = self.clock.now();
        if self.quarantine.borrow_mut().record_term(now, request, term) {
            info!(self.log, "request quarantined by another entry";
                "fingerprint" => request.to_string(),
                "for_s" => term.until.saturating_sub(now).as_secs());
            self.unsaved.notify_one();
        }
    }

    /// Recent observations of this entry.
    fn suspicions(&self) -> Vec<Suspicion> {
        let now = self.clock.now();
        let quarantine = self.quarantine.borrow();
        let since = now.saturating_sub(REPORT_PERIOD);
        let mut requests: Vec<(Fingerprint, &Record)> = quarantine.observed_since(since).collect();
        // What is quarantined and what has most crashes comes first, as the message size is
        // limited.
        let order = |record: &Record| (record.current_term(now).is_some(), record.crashes.len());
        requests.sort_by_key(|(_, record)| std::cmp::Reverse(order(record)));
        requests.truncate(suspicion::MAX_SUSPICIONS);
        let reports = requests.into_iter();
        reports
            .map(|(request, record)| suspicion(now, request, record))
            .collect()
    }
}

/// The report to peers about a request.
fn suspicion(now: Duration, request: Fingerprint, record: &Record) -> Suspicion {
    let latest = record.crashes.iter().rev().take(suspicion::MAX_CRASHES);
    let crashes = latest.map(|crash| suspicion::Crash {
        upstream: crash.upstream,
        age_ms: ms(now.saturating_sub(crash.at)),
        early: crash.early,
    });
    let term = record.current_term(now);
    let term = term.map(|term| reported_term(now, term));
    Suspicion {
        request,
        crashes: crashes.collect(),
        succeeded_ms: record.succeeded_at.map(|at| ms(now.saturating_sub(at))),
        term,
    }
}

/// The report to peers about a period.
fn reported_term(now: Duration, term: Term) -> suspicion::Term {
    suspicion::Term {
        age_ms: ms(now.saturating_sub(term.since)),
        left_ms: ms(term.until.saturating_sub(now)),
    }
}

/// A share in millionths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Shares are from 0 to 1.
fn ppm(share: f64) -> u32 {
    (share * SHARE_UNITS_PER_WHOLE) as u32
}

/// The time `age_ms` milliseconds before `now`.
fn ms_before(now: Duration, age_ms: u32) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}

/// A duration in milliseconds, saturating.
fn ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Reports what this entry sees of crashes to peers, twice because datagrams get lost.
pub async fn report_crashes(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        gateway.crashed.notified().await;
        for delay in CRASH_REPORT_DELAYS {
            gateway.clock.sleep(delay).await;
            for crash in gateway.crash_reports() {
                peers::broadcast(&gateway, &socket, &Message::Crash(crash)).await;
            }
        }
    }
}

/// Attributes crashes to parts of prompts once all entries have reported what they saw.
pub async fn attribute_crashes(gateway: Rc<Gateway>) {
    loop {
        gateway.crash_seen.notified().await;
        gateway.clock.sleep(SETTLE_TIME).await;
        gateway.blame_parts();
    }
}

/// Reports observations to peers, both immediately and repeatedly for [`REPORT_PERIOD`].
pub async fn report(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let suspicions = gateway.suspicions();
        if !suspicions.is_empty() {
            peers::broadcast(&gateway, &socket, &Message::Suspicions(suspicions)).await;
        }
        let next_report = gateway.clock.sleep(REPORT_INTERVAL);
        monoio::select! {
            () = next_report => {}
            () = gateway.suspected.notified() => {}
        }
    }
}
