//! State of an agent, and how it handles messages.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use monoio::net::udp::UdpSocket;
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use verbenaspool_coordination::{
    gather::{Round, RoundSums},
    switch,
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

/// Granularity of a rank's reported pace, which limits the number of messages about it.
const PACE_STEP: f64 = 0.25;

/// State of an agent.
pub struct AgentState {
    pub settings: Settings,
    pub clock: Rc<dyn Clock>,
    pub log: Logger,
    pub rank: Rank,
    pub client: Client,
    pub socket: UdpSocket,
    /// Sequence number of the own rank's latest state, by which agents detect older ones.
    pub(super) sequence: Cell<u64>,
    /// Sequence number of the last status sent to entries.
    pub(super) status_sequence: Cell<u64>,
    /// State of the own rank; `None` while its group is incomplete.
    pub(super) state: RefCell<Option<State>>,
    pub(super) membership: RefCell<Membership>,
    pub(super) lead: RefCell<Option<Lead>>,
    /// The service's experts, according to the configuration.
    pub experts: Cell<Option<Experts>>,
    /// Minimum duration of a pass, according to the configuration.
    pub min_pass_time: Cell<Duration>,
    /// Instances of the service's upstreams.
    pub instances: RefCell<BTreeSet<IpAddr>>,
    /// The entry from which service information was last requested, and when.
    pub(super) last_lookup: Cell<Option<(IpAddr, Duration)>>,
    /// The parts received of a complete map.
    pub(super) partial_map: RefCell<Option<PartialMap>>,
    /// The parts received of a difference.
    pub(super) partial_difference: RefCell<Option<PartialDifference>>,
    /// Messages waiting for capacity of the link, with their receivers.
    pub(super) outbox: RefCell<VecDeque<(IpAddr, Vec<u8>)>>,
    /// When choices were last read.
    pub(super) choices_read_at: Cell<Duration>,
    /// The round for which choices were last read.
    pub(super) last_round: Cell<Option<Round>>,
    /// Wakes the sampling task at the end of a round.
    pub round_ended: Notify,
    /// Sums of the choices of the aggregation group, to be sent to the lead.
    pub(super) sums: RefCell<RoundSums>,
    /// Number of dropped messages of choices.
    pub(super) dropped_choices: Cell<u64>,
    /// Maps that are known completely.
    pub(super) map_cache: RefCell<MapCache>,
    /// The counts last read, preceded by the incarnation of the rank that they belong to.
    pub(super) last_counts: RefCell<(u64, Vec<u64>)>,
    /// Hash of the name of the group that the rank last belonged to.
    pub(super) group: Cell<u32>,
    /// An epoch and its last pass for which the lead's arm orders are rejected.
    pub(super) arming_block: Cell<(u64, u64)>,
    /// An epoch and its last pass for which an arm order was passed on to the rank.
    pub(super) last_arm: Cell<(u64, u64)>,
    /// Sequence number with which this process started.
    pub(super) first_sequence: u64,
    /// Passes of the rank's group.
    pub(super) progress: Cell<Progress>,
    /// Whether the rank's report couldn't be read for some time.
    pub(super) unreachable: Cell<bool>,
    /// When agents of the group that aren't known yet were last contacted.
    pub(super) contacted_at: RefCell<BTreeMap<IpAddr, Duration>>,
    /// Whether the group was stalled when the rank's report was last read.
    stalled: Cell<bool>,
    /// The order that is being sent to the rank.
    pub(super) pending_order: RefCell<Option<order::Order>>,
    /// Entries subscribed to the rank's status.
    pub(super) subscribers: RefCell<Subscribers>,
    /// The rank's slots.
    pub(super) slots: RefCell<Slots>,
    /// Number of the rank's slots, according to the registry.
    pub slot_count: Cell<Option<u32>>,
    /// Epoch, map version and time of the last report of the rank's experts.
    pub(super) last_experts_report: Cell<(u64, u64, Duration)>,
    /// Whether the experts fit on the ranks when this was last checked.
    experts_fit: Cell<bool>,
    /// The rank's last reported pace, and whether the report was valid.
    last_pace: Cell<(f32, bool)>,
}

impl AgentState {
    /// Creates the state of an agent that hasn't received any messages.
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
            unreachable: Cell::default(),
            contacted_at: RefCell::default(),
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

    /// State of the own rank.
    pub fn state(&self) -> Option<State> {
        self.state.borrow().clone()
    }

    /// Whether the states of all ranks of the group are known.
    pub fn knows_whole_group(&self) -> bool {
        let Some(state) = self.state() else {
            return false;
        };
        let now = self.clock.now();
        self.membership.borrow().iter(now).count() >= usize::from(state.group_size)
    }

    /// Reads the own rank's report, or returns `None` if it can't be read.
    pub async fn read_report(&self) -> Option<Report> {
        let requested_at = self.clock.now();
        let report = self.rank.report().await?;
        let requests = report.running.saturating_add(report.waiting);
        self.slots.borrow_mut().report(requested_at, requests);
        Some(report)
    }

    /// Processes a report of the own rank. Returns whether its state changed so that other
    /// agents should receive it now.
    pub fn handle_report(&self, report: &Report) -> bool {
        let Some(member) = &report.member else {
            self.state.replace(None);
            return false;
        };
        // Known as soon as the group begins to form, so that its agents find each other
        // before it runs.
        let group = digest::hash(&member.group);
        let before = self.group.replace(group);
        if before != group {
            // Only when the group is another one: a group that re-forms has the same
            // agents. When they were discarded as well, its ranks learned of each other
            // from the registry seconds later, and ran passes on the initial map until
            // then.
            self.membership.borrow_mut().clear();
            self.sums.take();
        }
        if !member.complete {
            self.state.replace(None);
            return false;
        }
        self.assume_predecessor_orders(member.epoch, report.step);
        self.sequence.set(self.sequence.get() + 1);
        let state = State {
            sequence: self.sequence.get(),
            group,
            rank: member.rank,
            group_size: member.size,
            upstream: self.settings.upstream,
            report: switch::Report {
                epoch: member.epoch,
                step: report.step,
                map_version: report.map_version,
                prepared_version: report.prepared_version,
                armed_version: report.armed_version,
                held_step: report.held_step,
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
            info!(self.log, "rank joined a group"; "group" => &member.group,
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
                report.map_version,
                report.prepared_version,
                report.armed_version,
                report.held_step,
                state.pace,
            )
        };
        let changed = |before: &State| now.as_ref().map(essentials) != Some(essentials(before));
        before.as_ref().is_none_or(changed)
    }

    /// Updates and logs whether the group is stalled.
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

    /// Whether the rank belongs to a complete group that makes passes.
    pub(super) fn is_running(&self) -> bool {
        self.state.borrow().is_some() && !self.stalled.get() && !self.unreachable.get()
    }

    /// Processes the state of a rank, sent by its agent.
    async fn receive_state(&self, agent: IpAddr, state: State) {
        if self.handle_state(agent, state) {
            self.send_membership(agent).await;
        }
    }

    /// Processes the state of a rank. Returns whether its agent wasn't known as a member of the
    /// group.
    pub(super) fn handle_state(&self, agent: IpAddr, state: State) -> bool {
        // A rank whose own group is still incomplete accepts the states of ranks that have
        // joined.
        if self.group.get() != state.group {
            return false;
        }
        let now = self.clock.now();
        let rank = usize::from(state.rank);
        let (report, pace) = (state.report, state.pace);
        let known = self.membership.borrow().get(state.rank).map(|m| m.agent) == Some(agent);
        if !self.membership.borrow_mut().update(now, agent, state) {
            return false;
        }
        if let Some(lead) = &mut *self.lead.borrow_mut() {
            lead.switch.report(now, rank, report);
            lead.set_pace(rank, pace);
        }
        !known
    }

    /// The reported pace, rounded to [`PACE_STEP`]. Logs each change.
    fn rounded_pace(&self, report: &Report) -> f32 {
        let reported = report.pace;
        #[allow(clippy::cast_possible_truncation)] // It is small.
        let pace = ((reported.unwrap_or(1.0) / PACE_STEP).round() * PACE_STEP) as f32;
        let before = self.last_pace.replace((pace, reported.is_some()));
        if before != (pace, reported.is_some()) {
            info!(self.log, "pace of the rank changed";
                "pace" => pace, "before" => before.0, "makes_sense" => reported.is_some());
        }
        pace
    }

    /// Processes a message of another agent or of an entry.
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
            Message::State(state) => self.receive_state(agent, state).await,
            Message::Members(members) => {
                self.contact_members(&members).await;
                return;
            }
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

    /// Reads the own rank's report and sends the resulting state to an agent.
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

    /// Sends a message to an agent. Lost messages aren't resent; a later one replaces
    /// them.
    pub async fn send(&self, agent: IpAddr, message: &Message) {
        self.send_bytes(agent, message.encode()).await;
    }

    /// Sends an encoded message to an agent.
    pub(super) async fn send_bytes(&self, agent: IpAddr, bytes: Vec<u8>) {
        let to = SocketAddr::new(agent, self.settings.peer_port);
        let _ = self.socket.send_to(bytes, to).await;
    }

    /// As the lead, starts a map change if it is worth its cost.
    pub async fn decide(self: &Rc<Self>) {
        let now = self.clock.now();
        let change = match (&mut *self.lead.borrow_mut(), self.experts.get()) {
            (Some(lead), Some(experts)) => {
                let fits = lead.fits(&experts);
                if self.experts_fit.replace(fits) && !fits {
                    warn!(self.log, "experts don't fit on the ranks; not changing the map";
                        "experts" => experts.count, "places" => experts.max_slots_per_rank);
                }
                lead.decide(now, &experts)
            }
            _ => return,
        };
        if let Some(change) = change {
            info!(self.log, "starting an expert map change";
                "before" => change.imbalance_before, "after" => change.imbalance_after,
                "copies" => change.copies, "longest" => change.max_rank_copies);
        }
        self.advance_change().await;
    }

    /// As the lead, advances the map change under way.
    pub async fn advance_change(self: &Rc<Self>) {
        let now = self.clock.now();
        let (orders, outcome, epoch) = match &mut *self.lead.borrow_mut() {
            Some(lead) => {
                let (orders, outcome) = lead.switch.poll(now);
                (orders, outcome, lead.switch.epoch())
            }
            None => return,
        };
        match outcome {
            Some(switch::Outcome::Completed(version)) => {
                info!(self.log, "expert map in use"; "version" => version);
                if let Some(lead) = &mut *self.lead.borrow_mut() {
                    lead.record_completed(version);
                }
            }
            Some(switch::Outcome::Abandoned(version)) => {
                let lead = self.lead.borrow();
                let unprepared = lead.as_ref().map(|lead| lead.switch.unprepared_ranks());
                warn!(self.log, "expert map change abandoned; some ranks haven't prepared the map";
                    "version" => version, "lacking" => format!("{:?}", unprepared.unwrap_or_default()));
            }
            None => {}
        }
        let mut preparing = Vec::new();
        for rank_order in orders {
            match rank_order.order {
                switch::Order::Prepare { version } if rank_order.rank > 0 => {
                    preparing.push((version, rank_order.rank));
                }
                _ => self.send_order(rank_order, epoch).await,
            }
        }
        self.distribute_map(&preparing, epoch);
    }
}

#[cfg(test)]
mod tests;
