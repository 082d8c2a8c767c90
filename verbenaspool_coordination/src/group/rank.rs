//! A rank's agent, which forwards the lead's grants to its engine.
//!
//! The agent is the engine's only source of steps. It starts by *learning*: before
//! a restart it may have promised a lead to reject lower fences, and without that
//! promise an old lead's grant could give a step a second map. It therefore asks
//! the agents of all other ranks for the highest fence they know, waits until no
//! order of its previous start can still reach the engine, and only then reads the
//! granted steps from the engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use verbenaspool_state::expert_map::Map;

use super::{
    engine::{Action, Event},
    message::{Command, PeerMessage, Rejection, Report, ReportBody, Request, StartId},
    schedule::{Error, Schedule, Span},
};

mod snapshot;

pub use super::rank_io::{Input, Output, Settings};

/// The phase of a rank's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Asking its peers for the fence and waiting for orders in flight to expire.
    Learning,
    /// Reading the engine's state.
    Reading,
    /// Knows the fence and the engine's state.
    Ready,
}

/// A rank's agent.
#[derive(Debug)]
pub struct Rank {
    /// The settings.
    settings: Settings,
    /// The current phase.
    phase: Phase,
    /// When the agent handled its first tick.
    started: Option<Duration>,
    /// The seats of the peers that have answered a probe.
    probe_replies: BTreeSet<u16>,
    /// The highest fence known.
    fence: u64,
    /// The seat of the lead with that fence, if known.
    lead: Option<u16>,
    /// Whether the rank has joined that lead.
    joined: bool,
    /// The collection round to answer once the engine has been read.
    pending_round: Option<u64>,
    /// The ticket of the last read order.
    ticket: u64,
    /// The engine's incarnation, once read.
    engine_incarnation: Option<u64>,
    /// The number of engine restarts observed.
    engine_restarts: u64,
    /// The steps granted after `done`.
    schedule: Schedule,
    /// The last step run.
    done: u64,
    /// The epoch of the last step run.
    running: Option<u64>,
    /// The last granted step in the engine's reported state.
    confirmed_top: u64,
    /// The last step in any order sent to the engine.
    sent_top: u64,
    /// The epochs whose weights the engine holds.
    loaded: BTreeSet<u64>,
    /// The known placements by epoch.
    maps: BTreeMap<u64, Map>,
    /// When probes, a read order or grants were last sent.
    last_sent: Duration,
    /// The value of `done` in the last progress report.
    reported_done: u64,
}

impl Rank {
    /// Creates an agent that has just started.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_coordination::group::rank::{Rank, Settings};
    ///
    /// let rank = Rank::new(Settings {
    ///     seat: 0,
    ///     ranks: 8,
    ///     incarnation: 1,
    ///     checks_fences: false,
    ///     max_order_delay: Duration::from_secs(2),
    ///     resend_interval: Duration::from_millis(200),
    ///     progress_interval_steps: 128,
    /// });
    /// assert!(!rank.is_ready());
    /// ```
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            phase: Phase::Learning,
            started: None,
            probe_replies: BTreeSet::new(),
            fence: 0,
            lead: None,
            joined: false,
            pending_round: None,
            ticket: 0,
            engine_incarnation: None,
            engine_restarts: 0,
            schedule: Schedule::default(),
            done: 0,
            running: None,
            confirmed_top: 0,
            sent_top: 0,
            loaded: BTreeSet::new(),
            maps: BTreeMap::new(),
            last_sent: Duration::ZERO,
            reported_done: 0,
        }
    }

    /// Returns whether the agent knows its fence and the engine's state.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the highest fence known.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the last step that the engine has reported as run.
    #[must_use]
    pub fn done(&self) -> u64 {
        self.done
    }

    /// Returns the epoch of the last step run.
    #[must_use]
    pub fn running(&self) -> Option<u64> {
        self.running
    }

    /// Returns the placement of a map, if it is known.
    #[must_use]
    pub fn map(&self, epoch: u64) -> Option<&Map> {
        self.maps.get(&epoch)
    }

    /// Records the fence of this agent's own lead. This must happen before the
    /// lead's first message, so that a restarted peer learns from its probes of
    /// every fence that any rank may have promised to follow.
    pub fn raise_fence(&mut self, fence: u64) {
        if fence > self.fence {
            self.fence = fence;
            self.lead = Some(self.settings.seat);
            self.joined = false;
        }
    }

    /// Handles an input and returns the resulting outputs.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Command(command) => self.handle_command(now, command),
            Input::Peer(peer) => self.handle_peer(now, peer),
            Input::Engine(event) => self.handle_event(now, event),
            Input::Tick => self.tick(now),
        }
    }

    /// Runs the periodic work: leaves the learning phase when that is safe, and
    /// resends what has shown no effect.
    fn tick(&mut self, now: Duration) -> Vec<Output> {
        let due = self.started.is_none() || now >= self.last_sent + self.settings.resend_interval;
        let started = *self.started.get_or_insert(now);
        let mut outputs = Vec::new();
        if self.phase == Phase::Learning {
            let all_replied = self.probe_replies.len() + 1 >= usize::from(self.settings.ranks);
            if all_replied && now >= started + self.settings.max_order_delay {
                self.phase = Phase::Reading;
                self.last_sent = now;
                outputs.push(self.read_engine());
            } else if due {
                self.last_sent = now;
                outputs.extend(self.probes());
            }
        } else if due {
            self.last_sent = now;
            match self.phase {
                Phase::Reading => outputs.push(self.read_engine()),
                _ if self.pending_round.is_some() => outputs.push(self.read_engine()),
                // The engine confirms a grant by its reported state. Until then
                // the order or its answer may have been lost.
                _ => outputs.extend(self.forward_grants()),
            }
        }
        outputs
    }

    /// Returns probes to the peers that haven't answered.
    fn probes(&self) -> Vec<Output> {
        let seat = self.settings.seat;
        let incarnation = self.settings.incarnation;
        let is_unanswered = |to: &u16| *to != seat && !self.probe_replies.contains(to);
        let probe = |to| Output::Peer {
            to,
            message: PeerMessage::Probe { seat, incarnation },
        };
        let seats = 0..self.settings.ranks;
        seats.filter(is_unanswered).map(probe).collect()
    }

    /// Handles a message from another rank's agent.
    fn handle_peer(&mut self, now: Duration, message: PeerMessage) -> Vec<Output> {
        match message {
            PeerMessage::Probe { seat, incarnation } => {
                let answer = PeerMessage::Floor {
                    seat: self.settings.seat,
                    incarnation,
                    fence: self.fence,
                    lead: self.lead,
                };
                vec![Output::Peer {
                    to: seat,
                    message: answer,
                }]
            }
            PeerMessage::Floor {
                seat,
                incarnation,
                fence,
                lead,
            } => {
                let is_own_probe = incarnation == self.settings.incarnation;
                if !is_own_probe || self.phase != Phase::Learning {
                    return Vec::new();
                }
                self.probe_replies.insert(seat);
                if fence > self.fence {
                    self.fence = fence;
                    self.lead = lead;
                }
                self.tick(now)
            }
        }
    }

    /// Handles a command of the lead.
    fn handle_command(&mut self, now: Duration, command: Command) -> Vec<Output> {
        let lead = command.lead;
        if let Err(rejection) = self.check_command(&command) {
            let report = self.report(ReportBody::Refused(rejection));
            return vec![Output::Report { lead, report }];
        }
        match command.request {
            Request::Collect { round } => {
                self.fence = command.fence;
                self.lead = Some(lead);
                self.begin_join(round)
            }
            Request::Grant { spans, .. } => self.handle_grant(now, &spans),
            Request::Stage { map, rate, .. } => self.stage_map(map, rate),
            Request::Drop { epoch, .. } => self.drop_map(epoch),
            Request::Fetch { epoch } => {
                let map = self.maps.get(&epoch).cloned();
                let unknown = ReportBody::Refused(Rejection::Unknown);
                self.report_to_lead(map.map_or(unknown, |map| ReportBody::FetchedMap { map }))
            }
        }
    }

    /// Checks whether a command may be executed.
    ///
    /// The fence identifies the commands of an old lead that resumes after a pause
    /// and those that were delayed in flight. The start identifies commands that
    /// have been in flight since before this agent or its engine restarted.
    fn check_command(&self, command: &Command) -> Result<(), Rejection> {
        if self.phase != Phase::Ready {
            return Err(Rejection::Learning);
        }
        if command.fence < self.fence {
            return Err(Rejection::Fence { fence: self.fence });
        }
        let intended = match command.request {
            Request::Collect { .. } => return Ok(()),
            Request::Fetch { .. } => self.start_id(),
            Request::Grant { start, .. }
            | Request::Stage { start, .. }
            | Request::Drop { start, .. } => start,
        };
        if intended != self.start_id() {
            return Err(Rejection::Restarted);
        }
        if command.fence > self.fence || !self.joined {
            return Err(Rejection::Unjoined);
        }
        Ok(())
    }

    /// Reads the engine, to answer a collection round with its current state. An
    /// engine that checks fences rejects lower ones from then on.
    fn begin_join(&mut self, round: u64) -> Vec<Output> {
        self.pending_round = Some(round);
        vec![self.read_engine()]
    }

    /// Reads the engine. Answers to earlier read orders are outdated from now on.
    fn read_engine(&mut self) -> Output {
        self.ticket += 1;
        let ticket = self.ticket;
        self.engine_order(Action::Read { ticket })
    }

    /// Adds a grant to the schedule and forwards it to the engine.
    fn handle_grant(&mut self, now: Duration, spans: &[Span]) -> Vec<Output> {
        let rejection = match self.merge_grant(spans) {
            Ok(()) => {
                self.last_sent = now;
                let mut outputs = self.report_progress();
                outputs.extend(self.forward_grants());
                return outputs;
            }
            Err(Error::Conflict { step, .. }) => Rejection::Conflict { step },
            Err(Error::Gap { top }) => Rejection::Gap { top },
            Err(Error::Empty) => Rejection::Gap { top: self.top() },
        };
        self.report_to_lead(ReportBody::Refused(rejection))
    }

    /// Adds the granted steps that haven't run yet to the schedule.
    fn merge_grant(&mut self, spans: &[Span]) -> Result<(), Error> {
        let mut granted = Schedule::default();
        granted.merge(spans)?;
        let spans = granted.after(self.done);
        let Some(first) = spans.first().map(|span| span.from) else {
            return Ok(());
        };
        if self.done > 0 {
            let top = self.top();
            if first > top + 1 {
                return Err(Error::Gap { top });
            }
            return self.schedule.merge(&spans);
        }
        // An engine that has run nothing starts at the first granted step, where
        // the others wait for it. It may have been given earlier steps by an order
        // that was in flight when it restarted.
        granted.merge(&self.schedule.after(first - 1))?;
        if granted != self.schedule {
            self.schedule = granted;
            self.confirmed_top = 0;
        }
        Ok(())
    }

    /// Sends the engine the granted steps, if its reported state lacks any of them.
    /// Stops before the first step whose weights aren't loaded, since the engine
    /// can't run it.
    fn forward_grants(&mut self) -> Option<Output> {
        let mut spans = self.schedule.after(self.done);
        let ready = |span: &Span| self.loaded.contains(&span.epoch);
        spans.truncate(spans.iter().take_while(|span| ready(span)).count());
        let top = spans.last()?.to;
        if top <= self.confirmed_top {
            return None;
        }
        self.sent_top = self.sent_top.max(top);
        let action = match self.done {
            0 => Action::Replace { spans },
            _ => Action::Grant { spans },
        };
        Some(self.engine_order(action))
    }

    /// Makes the engine load a map, or reports that it is loaded already.
    fn stage_map(&mut self, map: Map, rate: u64) -> Vec<Output> {
        let epoch = map.epoch;
        if self.loaded.contains(&epoch) {
            return self.report_to_lead(ReportBody::Staged { epoch });
        }
        self.maps.insert(epoch, map.clone());
        vec![self.engine_order(Action::Stage { map, rate })]
    }

    /// Unloads a map, unless a step runs on it: an abandoned change never names a
    /// map that was granted.
    fn drop_map(&mut self, epoch: u64) -> Vec<Output> {
        let used = self.running == Some(epoch) || self.schedule.epochs().any(|e| e == epoch);
        if used || !self.maps.contains_key(&epoch) {
            return Vec::new();
        }
        self.maps.remove(&epoch);
        self.loaded.remove(&epoch);
        vec![self.engine_order(Action::Drop { epoch })]
    }

    /// Handles a message from the engine.
    fn handle_event(&mut self, now: Duration, event: Event) -> Vec<Output> {
        match event {
            Event::State(snapshot) => self.handle_snapshot(now, snapshot),
            Event::Staged { epoch } => {
                // The map may have been dropped meanwhile.
                if self.phase != Phase::Ready || !self.maps.contains_key(&epoch) {
                    return Vec::new();
                }
                self.loaded.insert(epoch);
                let mut outputs = self.report_to_lead(ReportBody::Staged { epoch });
                outputs.extend(self.forward_grants());
                outputs
            }
            Event::Failed { epoch, reason } => {
                self.report_to_lead(ReportBody::Failed { epoch, reason })
            }
        }
    }

    /// Returns the last step granted, or `done` if none is.
    fn top(&self) -> u64 {
        self.schedule.top().unwrap_or(self.done)
    }

    /// Reports the rank's progress to the lead.
    fn report_progress(&mut self) -> Vec<Output> {
        self.reported_done = self.done;
        let (done, top) = (self.done, self.top());
        self.report_to_lead(ReportBody::Progress { done, top })
    }

    /// Reports the rank's state to the lead it joins.
    ///
    /// Steps that were never sent to the engine are removed: they can't run any more
    /// once the rank follows the new fence, so the lead may grant them again.
    fn joined_report(&mut self, round: u64) -> Output {
        self.schedule.cut(self.sent_top.max(self.done));
        let spans = self.schedule.after(self.done);
        let last = spans.last().map(|span| span.epoch);
        let body = ReportBody::Joined {
            round,
            done: self.done,
            running: last.or(self.running),
            spans,
            loaded: self.loaded.iter().copied().collect(),
        };
        Output::Report {
            lead: self.lead.unwrap_or_default(),
            report: self.report(body),
        }
    }

    /// Sends a report to the lead, if one is known.
    fn report_to_lead(&self, body: ReportBody) -> Vec<Output> {
        let report = self.report(body);
        let output = |lead| Output::Report { lead, report };
        self.lead.map(output).into_iter().collect()
    }

    /// Returns the current start of the rank.
    fn start_id(&self) -> StartId {
        StartId {
            incarnation: self.settings.incarnation,
            engine_restarts: self.engine_restarts,
        }
    }

    /// Creates a report with the rank's seat, fence and start.
    fn report(&self, body: ReportBody) -> Report {
        Report {
            seat: self.settings.seat,
            fence: self.fence,
            start: self.start_id(),
            body,
        }
    }

    /// Creates an order to the engine with the current fence.
    fn engine_order(&self, action: Action) -> Output {
        Output::Engine {
            fence: self.fence,
            action,
        }
    }
}
