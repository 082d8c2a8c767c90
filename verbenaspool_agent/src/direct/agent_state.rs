//! What an agent keeps, and how it answers what it hears.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, VecDeque},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use monoio::net::udp::UdpSocket;
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use verbenaspool_coordination::{
    gather::{Round, RoundSums},
    switch::{self, SwitchOutcome},
};
use verbenaspool_platform::{order, report::Report};
use verbenaspool_policy::slots::Slots;
use verbenaspool_protocol::{digest, member::State, message::Message};
use verbenaspool_state::engine::Experts;
use verbenaspool_transport::{clock::Clock, http::client::Client};

use super::{
    assembly::{MapCache, PartialDifference, PartialMap},
    lead::Lead,
    membership::Membership,
    progress::Progress,
    rank::Rank,
    settings::Settings,
    subscribers::Subscribers,
};

/// The steps in which a rank's pace is told, so that messages about it are few.
const PACE_STEP: f64 = 0.25;

/// What an agent keeps.
pub struct AgentState {
    pub settings: Settings,
    pub clock: Rc<dyn Clock>,
    pub log: Logger,
    pub rank: Rank,
    pub client: Client,
    pub socket: UdpSocket,
    /// Counts this agent's messages.
    pub(super) sequence: Cell<u64>,
    /// Counts its messages to entries.
    pub(super) status_sequence: Cell<u64>,
    /// How the own rank stands.
    pub(super) state: RefCell<Option<State>>,
    pub(super) membership: RefCell<Membership>,
    pub(super) lead: RefCell<Option<Lead>>,
    /// The experts of the service, as the configuration tells.
    pub experts: Cell<Option<Experts>>,
    /// The least time that a pass takes, as the configuration tells.
    pub min_pass_time: Cell<Duration>,
    /// The instances of the service's upstreams.
    pub instances: RefCell<BTreeSet<IpAddr>>,
    /// The entry that was asked last what the store says of the service, and when.
    pub(super) last_lookup: Cell<Option<(IpAddr, Duration)>>,
    /// The parts of a map that have come.
    pub(super) partial_map: RefCell<Option<PartialMap>>,
    /// The parts of a difference that have come.
    pub(super) partial_difference: RefCell<Option<PartialDifference>>,
    /// Messages that wait until the link has room.
    pub(super) outbox: RefCell<VecDeque<(IpAddr, Vec<u8>)>>,
    /// When choices were told last, and in which round.
    pub(super) choices_read_at: Cell<Duration>,
    pub(super) last_round: Cell<Option<Round>>,
    /// Wakes whoever reads choices.
    pub round_ended: Notify,
    /// What other ranks chose, to be passed on to the lead.
    pub(super) sums: RefCell<RoundSums>,
    /// How many messages about choices were of no use.
    pub(super) dropped_choices: Cell<u64>,
    /// Maps that are known whole.
    pub(super) map_cache: RefCell<MapCache>,
    /// The counts that were last read, and of which incarnation of the rank.
    pub(super) last_counts: RefCell<(u64, Vec<u64>)>,
    /// The short name of the group that the rank last sat in.
    pub(super) group: Cell<u32>,
    /// Up to which pass of which epoch no order of a lead to arm is given.
    pub(super) arming_block: Cell<(u64, u64)>,
    /// The last pass of which epoch for which an order to arm was given.
    pub(super) last_arm: Cell<(u64, u64)>,
    /// The number with which this process's messages begin.
    pub(super) first_sequence: u64,
    /// The passes of the rank's group.
    pub(super) progress: Cell<Progress>,
    /// Whether the group had stopped when the rank's report was last read.
    stalled: Cell<bool>,
    /// The order that the rank is being given.
    pub(super) pending_order: RefCell<Option<order::Order>>,
    /// Entries that want to hear how the rank stands.
    pub(super) subscribers: RefCell<Subscribers>,
    /// The rank's slots.
    pub(super) slots: RefCell<Slots>,
    /// How many slots the rank has, as the registry says.
    pub slot_count: Cell<Option<u32>>,
    /// What was last told of the experts held.
    pub(super) last_experts_report: Cell<(u64, u64, Duration)>,
    /// Whether the ranks had a place for each expert when that was last looked at.
    experts_fit: Cell<bool>,
    /// The rank's pace, and whether what it said of that made sense.
    last_pace: Cell<(f32, bool)>,
}

impl AgentState {
    /// The state of an agent that has heard nothing.
    pub fn new(
        settings: Settings,
        clock: Rc<dyn Clock>,
        log: Logger,
        client: Client,
        socket: UdpSocket,
        first_sequence: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            rank: Rank::new(client.clone(), settings.upstream),
            settings,
            clock,
            log,
            client,
            socket,
            sequence: Cell::new(first_sequence),
            status_sequence: Cell::new(first_sequence),
            state: RefCell::default(),
            membership: RefCell::default(),
            lead: RefCell::default(),
            experts: Cell::default(),
            min_pass_time: Cell::default(),
            instances: RefCell::default(),
            last_lookup: Cell::default(),
            partial_map: RefCell::default(),
            partial_difference: RefCell::default(),
            outbox: RefCell::default(),
            choices_read_at: Cell::default(),
            last_round: Cell::default(),
            round_ended: Notify::new(),
            sums: RefCell::default(),
            dropped_choices: Cell::default(),
            map_cache: RefCell::default(),
            last_counts: RefCell::default(),
            group: Cell::default(),
            arming_block: Cell::default(),
            last_arm: Cell::default(),
            first_sequence,
            progress: Cell::default(),
            stalled: Cell::default(),
            pending_order: RefCell::default(),
            subscribers: RefCell::default(),
            slots: RefCell::default(),
            slot_count: Cell::default(),
            last_experts_report: Cell::default(),
            experts_fit: Cell::new(true),
            last_pace: Cell::new((1.0, true)),
        })
    }

    /// How the own rank stands.
    pub fn state(&self) -> Option<State> {
        self.state.borrow().clone()
    }

    /// Whether the agents of all ranks of the group were heard.
    pub fn knows_whole_group(&self) -> bool {
        let Some(state) = self.state() else {
            return false;
        };
        let now = self.clock.now();
        self.membership.borrow().iter(now).count() >= usize::from(state.group_size)
    }

    /// Reads the own rank's report; none where it can't be had.
    pub async fn read_report(&self) -> Option<Report> {
        let requested_at = self.clock.now();
        let report = self.rank.report().await?;
        let requests = report.running.saturating_add(report.waiting);
        self.slots.borrow_mut().report(requested_at, requests);
        Some(report)
    }

    /// Takes the own rank's report in; tells whether others should hear of it now.
    pub fn handle_report(&self, report: &Report) -> bool {
        let Some(member) = report.member.as_ref().filter(|member| member.open) else {
            self.state.replace(None);
            return false;
        };
        self.assume_predecessor_orders(member.epoch, report.step);
        self.sequence.set(self.sequence.get() + 1);
        let group = digest::hash(&member.group);
        let before = self.group.replace(group);
        if before != group {
            // Only of another group: one that breaks and forms anew has the same agents.
            // Without them its ranks heard of each other seconds later, from the
            // registry, and made passes on their first map until then.
            self.membership.borrow_mut().clear();
            self.sums.take();
        }
        let state = State {
            sequence: self.sequence.get(),
            group,
            rank: member.rank,
            group_size: member.size,
            upstream: self.settings.upstream,
            report: switch::Report {
                epoch: member.epoch,
                step: report.step,
                map: report.map,
                prepared: report.prepared,
                armed: report.armed,
                held: report.held,
                arming_blocked_through: self.arming_blocked_through(member.epoch),
                last_arm_step: self.last_arm_step(member.epoch),
            },
            pace: self.rounded_pace(report),
            zone: digest::hash(&self.settings.zone),
        };
        let before = self.state.replace(Some(state.clone()));
        let position = |state: &State| {
            (
                state.group,
                state.report.epoch,
                state.rank,
                state.group_size,
            )
        };
        if before.as_ref().map(position) != Some(position(&state)) {
            info!(self.log, "Agent: The rank sits in a group."; "group" => &member.group,
                "epoch" => member.epoch, "rank" => state.rank, "size" => state.group_size);
            let mut lead = (state.rank == 0).then(|| Lead::new(state.group_size.into()));
            let before = self.lead.take();
            if let (Some(lead), Some(before)) = (&mut lead, before) {
                lead.inherit(before, state.report.epoch);
            }
            self.lead.replace(lead);
        }
        self.notify_round_end(&state);
        self.handle_state(self.settings.address, state);
        self.update_progress(report);
        let now = self.state();
        let essentials = |state: &State| {
            let report = &state.report;
            (
                report.map,
                report.prepared,
                report.armed,
                report.held,
                state.pace,
            )
        };
        let changed = |before: &State| now.as_ref().map(essentials) != Some(essentials(before));
        before.as_ref().is_none_or(changed)
    }

    /// Takes in whether the group makes passes.
    fn update_progress(&self, report: &Report) {
        let now = self.clock.now();
        let mut progress = self.progress.get();
        let stalled_for = progress.time_without_pass(now);
        progress.observe(now, report.step, report.running > 0);
        self.progress.set(progress);
        let stalled = progress.is_stalled(now);
        let was_stalled = self.stalled.replace(stalled);
        if stalled && !was_stalled {
            warn!(self.log, "group stalled"; "step" => report.step, "running" => report.running);
        } else if was_stalled && !stalled {
            info!(self.log, "group makes passes again"; "step" => report.step,
                "stood_ms" => stalled_for.as_secs_f64() * 1e3);
        }
    }

    /// Whether the rank sits in a group that makes passes.
    pub(super) fn is_running(&self) -> bool {
        self.state.borrow().is_some() && !self.stalled.get()
    }

    /// Takes a rank's state in.
    pub(super) fn handle_state(&self, agent: IpAddr, state: State) {
        // A rank whose own group is forming still takes in those that have joined it.
        if self.group.get() != state.group {
            return;
        }
        let now = self.clock.now();
        let rank = usize::from(state.rank);
        let (report, pace) = (state.report, state.pace);
        if !self.membership.borrow_mut().update(now, agent, state) {
            return;
        }
        if let Some(lead) = &mut *self.lead.borrow_mut() {
            lead.switch.report(now, rank, report);
            lead.set_pace(rank, pace);
        }
    }

    /// The pace that a report tells, in steps; one line of log for each change.
    fn rounded_pace(&self, report: &Report) -> f32 {
        let reported = report.pace;
        #[allow(clippy::cast_possible_truncation)] // It is small.
        let pace = ((reported.unwrap_or(1.0) / PACE_STEP).round() * PACE_STEP) as f32;
        let before = self.last_pace.replace((pace, reported.is_some()));
        if before != (pace, reported.is_some()) {
            info!(self.log, "Agent: The rank's pace changed.";
                "pace" => pace, "before" => before.0, "makes_sense" => reported.is_some());
        }
        pace
    }

    /// Hears a message of another agent.
    pub async fn handle_message(self: &Rc<Self>, agent: IpAddr, message: Message) {
        let own = self.state().map(|state| (state.group, state.report.epoch));
        match message {
            Message::Subscribe(subscription) => {
                let now = self.clock.now();
                let same_zone = subscription.same_zone;
                self.subscribers
                    .borrow_mut()
                    .subscribe(now, agent, same_zone);
                self.request_service_info(agent, same_zone).await;
                return;
            }
            Message::ServiceInfo(info) => {
                self.handle_service_info(agent, &info);
                return;
            }
            Message::ReservationRequest(request) => {
                self.handle_reservation(agent, request).await;
                return;
            }
            Message::State(state) => self.handle_state(agent, state),
            Message::Choices(choices) if own == Some((choices.group, choices.epoch)) => {
                self.handle_choices(&choices);
                return;
            }
            Message::RankExperts(experts) if own == Some((experts.group, experts.epoch)) => {
                if let Some(lead) = &mut *self.lead.borrow_mut() {
                    lead.record_experts(experts);
                }
            }
            Message::Order(order) if own.map(|own| own.1) == Some(order.epoch) => {
                self.execute_order(agent, order).await;
            }
            Message::Difference(difference) if own.map(|own| own.1) == Some(difference.epoch) => {
                self.handle_difference(difference).await;
            }
            Message::MapRequest(request) if own.map(|own| own.1) == Some(request.epoch) => {
                self.send_whole_map(agent, request);
            }
            Message::Map(map) if own.map(|own| own.1) == Some(map.epoch) => {
                self.handle_map_part(agent, map).await;
            }
            _ => {}
        }
        self.advance_change().await;
    }

    /// Reads the own rank's report and tells an agent of it.
    pub(super) async fn send_current_state(&self, agent: IpAddr) {
        if let Some(report) = self.read_report().await {
            self.handle_report(&report);
            if let Some(state) = self.state()
                && agent != self.settings.address
            {
                self.send(agent, &Message::State(state)).await;
            }
        }
    }

    /// Sends a message to an agent. One that is lost is made up for by a later one.
    pub async fn send(&self, agent: IpAddr, message: &Message) {
        self.send_bytes(agent, message.encode()).await;
    }

    /// Sends a message that is encoded already.
    pub(super) async fn send_bytes(&self, agent: IpAddr, bytes: Vec<u8>) {
        let to = SocketAddr::new(agent, self.settings.peer_port);
        let _ = self.socket.send_to(bytes, to).await;
    }

    /// Begins a change of map where one is worth it, as the lead.
    pub async fn decide(self: &Rc<Self>) {
        let now = self.clock.now();
        let change = match (&mut *self.lead.borrow_mut(), self.experts.get()) {
            (Some(lead), Some(experts)) => {
                let fits = lead.fits(&experts);
                if self.experts_fit.replace(fits) && !fits {
                    warn!(self.log, "Agent: The ranks have no place for all experts; no map is changed.";
                        "experts" => experts.count, "places" => experts.max_slots_per_rank);
                }
                lead.decide(now, &experts)
            }
            _ => return,
        };
        if let Some(change) = change {
            info!(self.log, "Agent: The map of experts is to change.";
                "before" => change.imbalance_before, "after" => change.imbalance_after,
                "copies" => change.copies, "longest" => change.max_rank_copies);
        }
        self.advance_change().await;
    }

    /// Carries on with the change under way, as the lead.
    pub async fn advance_change(self: &Rc<Self>) {
        let now = self.clock.now();
        let (orders, ended, epoch) = match &mut *self.lead.borrow_mut() {
            Some(lead) => {
                let (orders, ended) = lead.switch.poll(now);
                (orders, ended, lead.switch.epoch())
            }
            None => return,
        };
        match ended {
            Some(SwitchOutcome::Completed(version)) => {
                info!(self.log, "Agent: A map of experts is in use."; "version" => version);
                if let Some(lead) = &mut *self.lead.borrow_mut() {
                    lead.record_completed(version);
                }
            }
            Some(SwitchOutcome::Abandoned(version)) => {
                let lead = self.lead.borrow();
                let unprepared = lead.as_ref().map(|lead| lead.switch.unprepared_ranks());
                warn!(self.log, "Agent: A change of map is given up; not all ranks have copied.";
                    "version" => version, "lacking" => format!("{:?}", unprepared.unwrap_or_default()));
            }
            None => {}
        }
        let mut preparing = Vec::new();
        for send in orders {
            match send.order {
                switch::Order::Prepare { version } if send.rank > 0 => {
                    preparing.push((version, send.rank));
                }
                _ => self.send_order(send, epoch).await,
            }
        }
        self.distribute_map(&preparing, epoch);
    }
}

#[cfg(test)]
mod tests;
