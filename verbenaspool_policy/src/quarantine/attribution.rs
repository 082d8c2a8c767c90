//! Attributes crashes to a part that requests share.
//!
//! Requests that crash upstreams may have nothing in common but a part of their prompts, while
//! sound requests share all the rest with them. The part is in a request for which the crashed
//! upstream hadn't written anything yet, but so are parts of bystanders. A part is blamed if
//! it is unlikely to be there by chance so often, given how often sound runs have it. The parts
//! beside it in the same crashes are cleared by that, and any part by one sound run.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use verbenaspool_state::fingerprint::Fingerprint;

use super::{SAME_CRASH_WINDOW, runs::Runs, subject::Subject};

/// The most crashes that are remembered, the newest ones.
const MAX_CRASHES: usize = 32;

/// The most entries whose sightings of one crash are remembered.
const MAX_SIGHTINGS: usize = 16;

/// The most parts that a sighting names.
pub const MAX_CANDIDATES: usize = 48;

/// A part is blamed if the negated natural logarithm of the probability that it is in its crashes
/// by chance is above this. Many parts are tested, and upstreams that crash together for another
/// reason leave no time for sound runs.
const MIN_EVIDENCE: f64 = 12.0;

/// The fewest crashes for which a part is blamed.
const MIN_CRASHES: usize = 2;

/// The number of crashes one after the other for which a part is blamed without other evidence,
/// as there is none if the service runs nothing else.
const MAX_ROUNDS: usize = 5;

/// Crashes within this time may have the same cause, and aren't one after the other.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// How long after a crash the entries' sightings of it are complete. Judged by some of them, a part
/// of bystanders may seem to be in all crashes.
pub const SETTLE_TIME: Duration = Duration::from_millis(50);

/// A part that more sound runs have isn't suspected after a single crash.
const MAX_SUSPECT_SHARE: f64 = 0.01;

/// How long a part is suspect after a crash, by when the group is back. A service of one group can
/// never lose another one, and no sound run could clear the part there.
const SUSPECT_PERIOD: Duration = Duration::from_secs(5);

/// A part of a request for which a crashed upstream hadn't written anything.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The part.
    pub part: Fingerprint,
    /// Hash of the request's customer.
    pub customer: u32,
    /// The part in the requests of this customer.
    of_customer: Fingerprint,
    /// Its place in the prompt, from 0. Parts further on are shared by fewer requests.
    pub position: u8,
    /// The share of sound runs that had it.
    pub share: f64,
}

impl Candidate {
    /// A part of a customer's request.
    ///
    /// ```
    /// use verbenaspool_policy::quarantine::Candidate;
    /// use verbenaspool_state::fingerprint::Fingerprint;
    ///
    /// let part = Fingerprint::of_part("model", b"5c1e07a2");
    /// assert_eq!(Candidate::new(part, 7, 0, 0.1).customer, 7);
    /// ```
    #[must_use]
    pub fn new(part: Fingerprint, customer: u32, position: u8, share: f64) -> Self {
        Self {
            part,
            customer,
            of_customer: part.of_customer(customer),
            position,
            share,
        }
    }

    /// Whether the part is blamed, for all customers or for this one.
    fn is_blamed(&self, is_blamed: impl Fn(Fingerprint) -> bool) -> bool {
        is_blamed(self.part) || is_blamed(self.of_customer)
    }
}

/// What one entry saw of a crash.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sighting {
    /// The number of the entry's requests for which the upstream hadn't written anything.
    pub suspects: u32,
    /// Their parts.
    pub candidates: Vec<Candidate>,
}

impl Sighting {
    /// Adds a request with these candidates.
    fn add(&mut self, candidates: &[Candidate]) {
        self.suspects += 1;
        for candidate in candidates {
            let is_same = |known: &Candidate| {
                known.part == candidate.part && known.customer == candidate.customer
            };
            if !self.candidates.iter().any(is_same) {
                self.candidates.push(*candidate);
            }
        }
        while self.candidates.len() > MAX_CANDIDATES {
            let shares = self.candidates.iter().map(|candidate| candidate.share);
            let most_common = shares.enumerate().max_by(|a, b| a.1.total_cmp(&b.1));
            if let Some((index, _)) = most_common {
                self.candidates.swap_remove(index);
            }
        }
    }
}

/// Whether a part is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// It never was.
    Clear,
    /// It was, until some time ago, and no sound run has cleared it.
    BlamedBefore,
    /// It is.
    Blamed,
}

/// A part that crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Culprit {
    /// The part, or the part in the requests of the only customer that upstreams crashed under.
    pub(super) key: Fingerprint,
    /// When the last upstream crashed under it.
    pub(super) crashed_at: Duration,
}

/// A crash of an upstream, as seen by several entries.
#[derive(Debug)]
struct Crash {
    /// Hash of the upstream's incarnation.
    upstream: u32,
    at: Duration,
    /// What this entry saw, if anything.
    own: Option<Sighting>,
    /// What other entries reported, by the hash of each.
    reported: BTreeMap<u32, Sighting>,
}

impl Crash {
    fn is(&self, upstream: u32, at: Duration) -> bool {
        self.upstream == upstream && self.at.abs_diff(at) < SAME_CRASH_WINDOW
    }

    /// Whether all entries have reported what they saw of it.
    fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) >= SETTLE_TIME
    }

    fn sightings(&self) -> impl Iterator<Item = &Sighting> {
        self.own.iter().chain(self.reported.values())
    }

    fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.sightings().flat_map(|sighting| &sighting.candidates)
    }

    /// The parts that are blamed.
    fn explaining(&self, is_blamed: impl Fn(Fingerprint) -> bool) -> Vec<Fingerprint> {
        let blamed = self.candidates().filter(|c| c.is_blamed(&is_blamed));
        blamed.map(|candidate| candidate.part).collect()
    }

    /// The probability that a part with this share is in the crash by chance.
    fn chance(&self, share: f64) -> f64 {
        let suspects: u32 = self.sightings().map(|sighting| sighting.suspects).sum();
        1.0 - (1.0 - share).powf(suspects.into())
    }
}

/// The crashes that may count against a part.
#[derive(Debug)]
struct Case {
    crashes: Vec<usize>,
    customers: BTreeSet<u32>,
    position: u8,
    /// The share of sound runs that have the part.
    share: f64,
}

/// Recent crashes and sound runs.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    /// Oldest first.
    crashes: VecDeque<Crash>,
    /// The candidates of all crashes, and when the last sound run with each started.
    candidates: HashMap<Fingerprint, Option<Duration>>,
    runs: Runs,
}

impl Attribution {
    /// Whether no crash is remembered.
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records a request of this entry for which a crashed upstream hadn't written anything.
    pub(super) fn record_suspect(
        &mut self,
        now: Duration,
        upstream: u32,
        at: Duration,
        subject: &Subject,
    ) {
        if subject.parts.is_empty() {
            return;
        }
        let candidates = self.candidates_of(now, subject);
        for candidate in &candidates {
            self.candidates.entry(candidate.part).or_default();
        }
        let crash = self.crash(upstream, at);
        crash.own.get_or_insert_default().add(&candidates);
    }

    /// The sighting of a crash under these requests.
    pub(super) fn sighting(&self, now: Duration, suspects: &[Subject]) -> Sighting {
        let mut sighting = Sighting::default();
        for subject in suspects.iter().filter(|subject| !subject.parts.is_empty()) {
            sighting.add(&self.candidates_of(now, subject));
        }
        sighting
    }

    /// The parts of a request as candidates.
    fn candidates_of(&self, now: Duration, subject: &Subject) -> Vec<Candidate> {
        let parts = subject.parts.iter().enumerate();
        let candidates = parts.map(|(position, part)| {
            let position = u8::try_from(position).unwrap_or(u8::MAX);
            let share = self.runs.share(now, subject.service, *part);
            Candidate::new(*part, subject.customer, position, share)
        });
        candidates.collect()
    }

    /// Records what another entry saw of a crash. Its next report replaces this one.
    pub(super) fn record_sighting(
        &mut self,
        upstream: u32,
        at: Duration,
        reporter: u32,
        sighting: Sighting,
    ) {
        let sightings = &mut self.crash(upstream, at).reported;
        if sightings.len() >= MAX_SIGHTINGS && !sightings.contains_key(&reporter) {
            return;
        }
        let parts = sighting.candidates.iter().map(|candidate| candidate.part);
        let parts: Vec<Fingerprint> = parts.collect();
        sightings.insert(reporter, sighting);
        for part in parts {
            self.candidates.entry(part).or_default();
        }
    }

    /// Records a sound run of this entry that started at `started_at`. Returns the parts that it
    /// clears of crashes.
    pub(super) fn record_run(
        &mut self,
        now: Duration,
        subject: &Subject,
        started_at: Duration,
    ) -> Vec<Fingerprint> {
        self.runs.record(now, subject);
        let parts = subject.parts.iter().copied();
        parts
            .filter(|part| self.record_sound(*part, started_at))
            .collect()
    }

    /// Whether hardly any sound run has a part.
    pub(super) fn is_rare(&self, now: Duration, service: u32, part: Fingerprint) -> bool {
        self.runs.share(now, service, part) <= MAX_SUSPECT_SHARE
    }

    /// Records that a run with a part that started at `started_at` was sound. Returns whether
    /// that clears it of a crash.
    pub(super) fn record_sound(&mut self, part: Fingerprint, started_at: Duration) -> bool {
        let Some(sound_at) = self.candidates.get_mut(&part) else {
            return false;
        };
        let clears = self.crashes.iter().any(|crash| {
            crash.at <= started_at
                && sound_at.is_none_or(|sound_at| sound_at < crash.at)
                && crash.candidates().any(|candidate| candidate.part == part)
        });
        if clears {
            *sound_at = Some(started_at);
        }
        clears
    }

    /// What this entry itself saw of crashes since `since`: the upstream, the time of the crash
    /// and the sighting.
    pub(super) fn own_sightings(
        &self,
        since: Duration,
    ) -> impl Iterator<Item = (u32, Duration, &Sighting)> {
        let recent = self.crashes.iter().filter(move |crash| crash.at >= since);
        recent.filter_map(|crash| Some((crash.upstream, crash.at, crash.own.as_ref()?)))
    }

    /// Whether a crash is attributed to a part that `is_blamed`.
    pub(super) fn is_explained(
        &self,
        upstream: u32,
        at: Duration,
        is_blamed: impl Fn(Fingerprint) -> bool,
    ) -> bool {
        let mut crashes = self.crashes.iter();
        let crash = crashes.find(|crash| crash.is(upstream, at));
        crash.is_some_and(|crash| {
            let mut candidates = crash.candidates();
            candidates.any(|candidate| candidate.is_blamed(&is_blamed))
        })
    }

    /// Whether a part that hardly any sound run has is in a recent crash that no other part
    /// explains.
    pub(super) fn is_suspect(
        &self,
        now: Duration,
        part: Fingerprint,
        is_blamed: impl Fn(Fingerprint) -> bool,
    ) -> bool {
        let is_rare = |candidate: &Candidate| candidate.share <= MAX_SUSPECT_SHARE;
        let is_candidate = self.candidates.contains_key(&part);
        let is_recent = |at: Duration| now.saturating_sub(at) < SUSPECT_PERIOD;
        is_candidate
            && self.crashes.iter().any(|crash| {
                is_recent(crash.at)
                    && !self.is_cleared(part, crash)
                    && crash.candidates().any(|c| c.part == part && is_rare(c))
                    && !crash
                        .candidates()
                        .any(|c| c.part != part && c.is_blamed(&is_blamed))
            })
    }

    /// The parts to blame besides those that are blamed already. Crashes count for `duration`.
    pub(super) fn culprits(
        &mut self,
        now: Duration,
        duration: Duration,
        standing: impl Fn(Fingerprint) -> Standing,
    ) -> Vec<Culprit> {
        self.expire(now, duration);
        let mut culprits: Vec<Culprit> = Vec::new();
        loop {
            let is_blamed = |key| {
                standing(key) == Standing::Blamed || culprits.iter().any(|known| known.key == key)
            };
            let crashes = self.crashes.iter();
            let explaining = crashes.map(|crash| crash.explaining(is_blamed));
            let explaining: Vec<Vec<Fingerprint>> = explaining.collect();
            let cases = self.cases(now, &explaining);
            let scored = cases.into_iter().filter_map(|(part, case)| {
                let relapsed_part = standing(part) == Standing::BlamedBefore;
                let key = if relapsed_part { part } else { case.key(part) };
                let relapsed = standing(key) == Standing::BlamedBefore;
                let evidence = self.evidence(now, &case, &explaining);
                let convincing = relapsed || self.is_convincing(&case, evidence);
                let crashed_at = case.crashes.last().map(|index| self.crashes[*index].at)?;
                let culprit = Culprit { key, crashed_at };
                (convincing && !is_blamed(key)).then_some((evidence, case.position, culprit))
            });
            let worst = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            match worst {
                Some((_, _, culprit)) => culprits.push(culprit),
                None => return culprits,
            }
        }
    }

    /// The parts with the crashes that count against each: those that no sound run followed, and
    /// that no other part explains.
    fn cases(&self, now: Duration, explaining: &[Vec<Fingerprint>]) -> BTreeMap<Fingerprint, Case> {
        let mut cases: BTreeMap<Fingerprint, Case> = BTreeMap::new();
        for (index, (crash, explaining)) in self.crashes.iter().zip(explaining).enumerate() {
            if !crash.is_settled(now) {
                continue;
            }
            for candidate in crash.candidates() {
                let part = candidate.part;
                let explained = explaining.iter().any(|other| *other != part);
                if explained || self.is_cleared(part, crash) {
                    continue;
                }
                let case = cases.entry(part).or_default();
                if case.crashes.last() != Some(&index) {
                    case.crashes.push(index);
                }
                case.customers.insert(candidate.customer);
                case.position = case.position.max(candidate.position);
                // The smallest share is from the entry, or the time, with most runs to go by.
                case.share = case.share.min(candidate.share);
            }
        }
        cases
    }

    /// The evidence against a part.
    fn evidence(&self, now: Duration, case: &Case, explaining: &[Vec<Fingerprint>]) -> f64 {
        let first = case.crashes.first().map(|index| self.crashes[*index].at);
        let since = first.unwrap_or_default().saturating_sub(SAME_CRASH_WINDOW);
        let crashes = self.crashes.iter().zip(explaining);
        let unexplained = crashes.filter(|(crash, explaining)| {
            crash.at >= since && crash.is_settled(now) && explaining.is_empty()
        });
        let chances: Vec<f64> = unexplained
            .map(|(crash, _)| crash.chance(case.share))
            .collect();
        evidence(case.crashes.len(), &chances)
    }

    /// Whether the evidence is enough to blame a part.
    fn is_convincing(&self, case: &Case, evidence: f64) -> bool {
        let unlikely = case.crashes.len() >= MIN_CRASHES && evidence >= MIN_EVIDENCE;
        unlikely || self.rounds(case) >= MAX_ROUNDS
    }

    /// The number of a part's crashes that came one after the other.
    fn rounds(&self, case: &Case) -> usize {
        let mut last: Option<Duration> = None;
        let crashes = case.crashes.iter().map(|index| self.crashes[*index].at);
        let rounds = crashes.filter(|at| {
            let begins = last.is_none_or(|last| at.saturating_sub(last) >= ROUND_INTERVAL);
            if begins {
                last = Some(*at);
            }
            begins
        });
        rounds.count()
    }

    /// Whether a sound run followed a crash that had a part.
    fn is_cleared(&self, part: Fingerprint, crash: &Crash) -> bool {
        let sound_at = self.candidates.get(&part).copied().flatten();
        sound_at.is_some_and(|sound_at| crash.at <= sound_at)
    }

    /// The crash of an upstream, which is added if it is new.
    fn crash(&mut self, upstream: u32, at: Duration) -> &mut Crash {
        if let Some(index) = self.crashes.iter().position(|c| c.is(upstream, at)) {
            return &mut self.crashes[index];
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        let crash = Crash {
            upstream,
            at,
            own: None,
            reported: BTreeMap::new(),
        };
        self.crashes.insert(index, crash);
        &mut self.crashes[index]
    }

    /// Drops crashes that no longer count, and their candidates.
    fn expire(&mut self, now: Duration, duration: Duration) {
        let counts = |at: Duration| now.saturating_sub(at) < duration;
        self.crashes.retain(|crash| counts(crash.at));
        let candidates = self.crashes.iter().flat_map(Crash::candidates);
        let parts: BTreeSet<Fingerprint> = candidates.map(|candidate| candidate.part).collect();
        self.candidates.retain(|part, _| parts.contains(part));
    }
}

impl Default for Case {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            customers: BTreeSet::new(),
            position: 0,
            share: 1.0,
        }
    }
}

impl Case {
    /// The part, or the part in the requests of its only customer.
    fn key(&self, part: Fingerprint) -> Fingerprint {
        match self.customers.iter().next() {
            Some(customer) if self.customers.len() == 1 => part.of_customer(*customer),
            _ => part,
        }
    }
}

/// The evidence that something is in `count` crashes not by chance, given its chance to be in each
/// of all crashes: a bound (Chernoff) on the negated logarithm of the probability.
fn evidence(count: usize, chances: &[f64]) -> f64 {
    #[allow(clippy::cast_precision_loss)] // A few dozen crashes.
    let (count, all) = (count as f64, (chances.len() as f64).max(count as f64));
    let chance = chances.iter().sum::<f64>() / all;
    let observed = count / all;
    if observed <= chance {
        return 0.0;
    }
    let term = |observed: f64, expected: f64| match observed {
        0.0 => 0.0,
        _ => observed * (observed / expected.max(f64::MIN_POSITIVE)).ln(),
    };
    all * (term(observed, chance) + term(1.0 - observed, 1.0 - chance))
}
