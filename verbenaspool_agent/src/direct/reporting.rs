//! Messages about the own rank to other agents and to entries.

use std::{collections::BTreeSet, net::IpAddr, time::Duration};

use slog::info;
use verbenaspool_coordination::switch::{HOLDER_RANK, Report};
use verbenaspool_protocol::{
    member::{Members, RankExperts, Status},
    message::Message,
    rate_limit,
    reservation::{self, Answer, Request},
};

use super::{agent_state::AgentState, subscribers::Snapshot};

/// Minimum interval between two states sent to an agent of the group that isn't known yet.
/// All known agents send the same list to one that has just joined.
const MIN_CONTACT_INTERVAL: Duration = Duration::from_millis(300);

impl AgentState {
    /// Sends the rank's state to the agents that act on it, or with `to_all` to all agents
    /// of the group, and to all of the service while some of the group are unknown.
    pub async fn broadcast_state(&self, to_all: bool) {
        let Some(state) = self.state() else {
            return;
        };
        let now = self.clock.now();
        let mut agents: BTreeSet<IpAddr> =
            self.membership.borrow().state_recipients(now, state.rank);
        if to_all {
            agents.extend(
                self.membership
                    .borrow()
                    .iter(now)
                    .map(|member| member.agent),
            );
            // A new agent sends its state to all agents of the service until it knows its
            // group, so the others needn't. If they did, the number of messages a second
            // would be the square of the number of agents.
            if !self.knows_whole_group() {
                agents.extend(self.instances.borrow().iter());
            }
        }
        agents.remove(&self.settings.address);
        let message = Message::State(state);
        for agent in agents {
            self.send(agent, &message).await;
        }
    }

    /// Sends the rank's state, and the known agents of the group, to an agent that has just
    /// joined it.
    ///
    /// Agents find some of their group by the service information of an entry. In a service
    /// of hundreds of ranks these are few, and the lead can't change the expert map before it
    /// knows all.
    pub(super) async fn send_membership(&self, agent: IpAddr) {
        let Some(state) = self.state().filter(|_| agent != self.settings.address) else {
            return;
        };
        let now = self.clock.now();
        let group = state.group;
        self.send(agent, &Message::State(state)).await;
        let mut agents = self.membership.borrow().agents(now);
        agents.truncate(reservation::MAX_INSTANCES);
        self.send(agent, &Message::Members(Members { group, agents }))
            .await;
    }

    /// Sends the rank's state to agents of the group that aren't known yet.
    pub(super) async fn contact_members(&self, members: &Members) {
        let Some(state) = self.state().filter(|state| state.group == members.group) else {
            return;
        };
        let now = self.clock.now();
        let known = self.membership.borrow().agents(now);
        let message = Message::State(state);
        for agent in members.agents.iter().take(reservation::MAX_INSTANCES) {
            let recently = |at: &Duration| now.saturating_sub(*at) < MIN_CONTACT_INTERVAL;
            let contacted = self.contacted_at.borrow().get(agent).is_some_and(recently);
            if known.contains(agent) || contacted || *agent == self.settings.address {
                continue;
            }
            self.contacted_at.borrow_mut().insert(*agent, now);
            self.send(*agent, &message).await;
        }
        let mut contacted_at = self.contacted_at.borrow_mut();
        contacted_at.retain(|_, at| now.saturating_sub(*at) < MIN_CONTACT_INTERVAL);
    }

    /// Whether the rank is the lead's or holds passes, so that others wait for its
    /// messages.
    pub fn is_lead_or_holder(&self) -> bool {
        let state = self.state.borrow();
        state
            .as_ref()
            .is_some_and(|state| state.rank <= HOLDER_RANK)
    }

    /// Sends the rank's status to the subscribed entries that are due.
    pub async fn notify_entries(&self) {
        let now = self.clock.now();
        let snapshot = Snapshot {
            pace: self.running_pace(),
            requests: self.slots.borrow().requests(),
        };
        let entries = self.subscribers.borrow_mut().due(now, snapshot);
        if entries.is_empty() {
            return;
        }
        let bytes = Message::Status(self.status()).encode();
        for entry in entries {
            self.send_bytes(entry, bytes.clone()).await;
        }
    }

    /// The rank's pace; `None` while its group is incomplete or stalled.
    fn running_pace(&self) -> Option<f32> {
        let state = self.state.borrow();
        let pace = state.as_ref().map(|state| state.pace);
        pace.filter(|_| self.is_running())
    }

    /// Creates the next status message for entries.
    fn status(&self) -> Status {
        self.status_sequence.set(self.status_sequence.get() + 1);
        let pace = self.running_pace();
        Status {
            sequence: self.status_sequence.get(),
            upstream: self.settings.upstream,
            group: self.group.get(),
            group_complete: pace.is_some(),
            pace: pace.unwrap_or(1.0),
            requests: self.slots.borrow().requests(),
        }
    }

    /// Answers an entry that requests one of the rank's slots.
    ///
    /// The number of slots in the registry takes precedence over the one in the request:
    /// an entry that claims more could overload the rank's queue.
    pub(super) async fn handle_reservation(&self, entry: IpAddr, request: Request) {
        let slots = self.slot_count.get().unwrap_or(request.slots);
        let now = self.clock.now();
        if let Some(warm_up) = request.warm_up {
            let left = warm_up.left_ms.min(reservation::MAX_WARM_UP_LEFT_MS);
            let until = now + Duration::from_millis(left.into());
            let mut slots = self.slots.borrow_mut();
            slots.set_warm_up(until, warm_up.max_rate);
        }
        if let Some(limit) = request.rate_limit {
            self.set_rate_limit(now, entry, limit);
        }
        let granted = self.is_running() && self.slots.borrow_mut().grant(now, slots);
        let wait = self.slots.borrow().wait(now);
        let answer = Answer {
            ticket: request.ticket,
            granted,
            status: self.status(),
            wait_ms: Some(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
        };
        self.send(entry, &Message::ReservationAnswer(answer)).await;
    }

    /// Sets the limit that the upstream named in an answer to an entry.
    fn set_rate_limit(&self, now: Duration, entry: IpAddr, limit: rate_limit::RateLimit) {
        let Some(limit) = limit.received_at(now) else {
            return;
        };
        if self.slots.borrow_mut().set_rate_limit(limit) {
            info!(self.log, "request limit of the rank changed";
                "per_second" => limit.per_second, "from" => entry.to_string());
        }
    }

    /// Address of the lead's agent.
    pub(super) fn lead_agent(&self) -> Option<IpAddr> {
        self.membership.borrow().get(0).map(|member| member.agent)
    }

    /// Sends the rank's experts to the lead, if its map changed or `interval` has elapsed.
    pub async fn report_experts(&self, interval: Duration) {
        let Some(state) = self.state() else {
            return;
        };
        let now = self.clock.now();
        let (epoch, map, at) = self.last_experts_report.get();
        let Report {
            epoch: now_epoch,
            map_version: now_map,
            ..
        } = state.report;
        if (epoch, map) == (now_epoch, now_map) && now.saturating_sub(at) < interval {
            return;
        }
        let Some(experts) = self.rank.experts().await else {
            return;
        };
        self.last_experts_report
            .set((now_epoch, experts.version, now));
        let report = RankExperts {
            group: state.group,
            epoch: now_epoch,
            rank: state.rank,
            version: experts.version,
            experts: experts.experts,
        };
        self.send_to_lead(Message::RankExperts(report)).await;
    }

    /// Sends a message to the lead, which may be this agent itself.
    pub(super) async fn send_to_lead(&self, message: Message) {
        let Some(agent) = self.lead_agent() else {
            return;
        };
        if agent != self.settings.address {
            self.send(agent, &message).await;
            return;
        }
        if let (Message::RankExperts(experts), Some(lead)) = (message, &mut *self.lead.borrow_mut())
        {
            lead.record_experts(experts);
        }
    }
}
