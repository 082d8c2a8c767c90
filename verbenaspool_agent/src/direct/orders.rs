//! Orders to ranks: those sent by the lead, and those that an agent sends to its own rank.

use std::{net::IpAddr, rc::Rc};

use slog::{debug, info};
use verbenaspool_coordination::switch::{Order as Change, RankOrder};
use verbenaspool_platform::{order, report::Report};
use verbenaspool_protocol::{
    member::{Action, Difference, Map, MapRequest, Order, State},
    message::Message,
};

use super::{
    agent_state::AgentState,
    assembly::{INITIAL_VERSION, PartialDifference, PartialMap},
    rank::{self, Outcome, Rank},
};

/// Number of passes ahead for which a predecessor of this process may have passed on
/// orders. Passes are held two ahead; the rest allows for passes begun since.
const PREDECESSOR_PASSES: u64 = 4;

/// Maximum number of attempts to send an order that gets no answer. If a third of them are
/// lost, all ten are lost less than once in 50,000 times.
const MAX_ORDER_ATTEMPTS: u32 = 10;

impl AgentState {
    /// The last pass of an epoch for which the lead's arm orders are rejected.
    pub(super) fn arming_blocked_through(&self, epoch: u64) -> u64 {
        let (blocked_epoch, step) = self.arming_block.get();
        if blocked_epoch == epoch { step } else { 0 }
    }

    /// The last pass of an epoch for which an arm order was passed on to the rank.
    pub(super) fn last_arm_step(&self, epoch: u64) -> u64 {
        let (arm_epoch, step) = self.last_arm.get();
        if arm_epoch == epoch { step } else { 0 }
    }

    /// Rejects the lead's arm orders for passes up to `step` from now on.
    pub(super) fn block_arming(&self, epoch: u64, step: u64) {
        if self.arming_blocked_through(epoch) < step {
            self.arming_block.set((epoch, step));
            info!(self.log, "rejecting the lead's arm orders";
                "epoch" => epoch, "step" => step, "given" => self.last_arm_step(epoch));
        }
    }

    /// Records that an arm order is about to be passed on to the rank.
    pub(super) fn record_arm(&self, epoch: u64, step: u64) {
        self.last_arm
            .set((epoch, self.last_arm_step(epoch).max(step)));
    }

    /// Makes a process that has just started assume the worst about its predecessor, which
    /// may have passed on any order for the next passes and promised to reject any of
    /// them.
    pub(super) fn assume_predecessor_orders(&self, epoch: u64, step: u64) {
        if self.state.borrow().is_none() && self.sequence.get() == self.first_sequence {
            let ahead = step + PREDECESSOR_PASSES;
            self.arming_block.set((epoch, ahead));
            self.last_arm.set((epoch, ahead));
        }
    }

    /// Executes an order of the lead and answers with the rank's resulting state.
    pub(super) async fn execute_order(self: &Rc<Self>, agent: IpAddr, order: Order) {
        let Action::Change(change) = order.action else {
            self.send_current_state(agent).await;
            return;
        };
        let engine_order = match change {
            Change::Hold { step } => order::Order::Hold { step },
            Change::Arm { step, .. } if step <= self.arming_blocked_through(order.epoch) => {
                self.send_current_state(agent).await;
                return;
            }
            Change::Arm { version, step } | Change::Finish { version, step } => {
                self.record_arm(order.epoch, step);
                order::Order::Arm { version, step }
            }
            Change::Go { step } => order::Order::Go { step },
            Change::BlockArming { step } => {
                self.block_arming(order.epoch, step);
                self.send_current_state(agent).await;
                return;
            }
            // Maps are sent separately, completely or as differences.
            Change::Prepare { .. } => return,
        };
        self.order_own_rank(&engine_order, order.epoch).await;
        self.send_current_state(agent).await;
    }

    /// Sends an order to the own rank, repeatedly until it is answered or the rank's
    /// report shows its effect.
    ///
    /// An unanswered order may be executed seconds later. All orders can be repeated: they
    /// name the version or the pass that they apply to, and a late one is rejected because
    /// that pass has begun by then.
    pub(super) async fn order_own_rank(&self, order: &order::Order, epoch: u64) {
        if self.pending_order.borrow().as_ref() == Some(order) {
            return;
        }
        self.pending_order.replace(Some(order.clone()));
        for attempt in 1..=MAX_ORDER_ATTEMPTS {
            let outcome = self
                .rank
                .order(order, epoch, rank::LOCAL_ORDER_TIMEOUT)
                .await;
            if outcome == Outcome::Taken {
                debug!(self.log, "rank accepted an order";
                    "order" => order_name(order), "epoch" => epoch, "tries" => attempt);
                break;
            }
            info!(self.log, "rank didn't accept an order";
                "order" => order_name(order), "epoch" => epoch, "tries" => attempt,
                "outcome" => format!("{outcome:?}"));
            if outcome != Outcome::Unknown {
                break;
            }
            let report = self.rank.report().await;
            if report.is_some_and(|report| shows_effect(&report, order)) {
                break;
            }
        }
        self.pending_order.replace(None);
    }

    /// Adds a part of a complete map. With the last part, orders the rank to prepare the
    /// map.
    pub(super) async fn handle_map_part(self: &Rc<Self>, agent: IpAddr, map: Map) {
        let whole = {
            let mut partial = self.partial_map.borrow_mut();
            if partial
                .as_ref()
                .is_none_or(|known| known.version != map.version)
            {
                *partial = Some(PartialMap {
                    version: map.version,
                    sets: vec![None; map.set_count.into()],
                });
            }
            let Some(partial) = &mut *partial else {
                return;
            };
            for (number, set) in map.placement.into_iter().enumerate() {
                if let Some(slot) = partial.sets.get_mut(usize::from(map.first_set) + number) {
                    *slot = Some(set);
                }
            }
            partial.sets.iter().cloned().collect::<Option<Vec<_>>>()
        };
        let Some(placement) = whole else {
            return;
        };
        self.partial_map.replace(None);
        self.prepare(agent, map.epoch, map.version, placement).await;
    }

    /// Adds a part of a difference and relays it. Requests the complete map from the lead
    /// if the difference can't be applied.
    pub(super) async fn handle_difference(self: &Rc<Self>, difference: Difference) {
        self.relay(&difference);
        let Some(lead) = self.lead_agent() else {
            return;
        };
        let (epoch, version) = (difference.epoch, difference.version);
        let whole = {
            let mut partial = self.partial_difference.borrow_mut();
            let mut parts = PartialDifference::for_part(partial.take(), &difference);
            let whole = parts.add(&difference);
            *partial = whole.is_none().then_some(parts);
            whole
        };
        let Some(whole) = whole else {
            return;
        };
        if let (INITIAL_VERSION, Some(state), Some(experts)) =
            (whole.base, self.state(), self.experts.get())
        {
            let mut cache = self.map_cache.borrow_mut();
            cache.add_initial(epoch, state.group_size, &experts);
        }
        let placement = self.map_cache.borrow().apply(&whole);
        if let Some(placement) = placement {
            self.prepare(lead, epoch, version, placement).await;
            return;
        }
        info!(self.log, "can't apply a map difference; requesting the complete map";
            "epoch" => epoch, "version" => version, "before" => whole.base);
        self.send(lead, &Message::MapRequest(MapRequest { epoch, version }))
            .await;
    }

    /// As the lead, sends the complete map to an agent that lacks it.
    pub(super) fn send_whole_map(self: &Rc<Self>, agent: IpAddr, request: MapRequest) {
        let parts = match &*self.lead.borrow() {
            Some(lead) => lead.map_parts(request.version, request.epoch),
            None => return,
        };
        for part in parts {
            self.send_paced(agent, &Message::Map(part));
        }
    }

    /// Orders the own rank to prepare a map, and answers with its resulting state.
    async fn prepare(
        &self,
        agent: IpAddr,
        epoch: u64,
        version: u64,
        placement: Vec<Vec<Vec<u16>>>,
    ) {
        self.map_cache
            .borrow_mut()
            .add(epoch, version, placement.clone());
        let prepare = order::Order::Prepare {
            version,
            map: placement,
        };
        self.order_own_rank(&prepare, epoch).await;
        self.send_current_state(agent).await;
    }

    /// Sends an order to a rank.
    ///
    /// Arm orders only go through the rank's agent, however long it is silent, because it
    /// has to know of each one that its rank may get. Passes are held and released
    /// directly from here: if the agent froze right after it passed on a hold order, the
    /// held rank would depend on it.
    pub(super) async fn send_order(self: &Rc<Self>, rank_order: RankOrder, epoch: u64) {
        let rank = u16::try_from(rank_order.rank).unwrap_or(u16::MAX);
        let Some(member) = self.membership.borrow().get(rank).cloned() else {
            return;
        };
        let shared = self.clone();
        if member.agent == self.settings.address {
            monoio::spawn(async move {
                shared.execute_own_order(rank_order.order, epoch).await;
            });
            return;
        }
        if matches!(rank_order.order, Change::Hold { .. } | Change::Go { .. }) {
            monoio::spawn(async move {
                shared
                    .order_remote_rank(&member.state, rank_order.order, epoch)
                    .await;
            });
            return;
        }
        let action = Action::Change(rank_order.order);
        self.send(member.agent, &Message::Order(Order { epoch, action }))
            .await;
    }

    /// Converts an order of the switch to one for an engine.
    pub(super) fn engine_order(&self, order: Change) -> Option<order::Order> {
        Some(match order {
            Change::Prepare { version } => {
                let lead = self.lead.borrow();
                let plan = lead.as_ref()?.plan.clone();
                let plan = plan.filter(|plan| plan.version == version)?;
                order::Order::Prepare {
                    version,
                    map: plan.placement,
                }
            }
            Change::Hold { step } => order::Order::Hold { step },
            Change::Arm { version, step } | Change::Finish { version, step } => {
                order::Order::Arm { version, step }
            }
            Change::Go { step } => order::Order::Go { step },
            // This order applies to agents, not to ranks.
            Change::BlockArming { .. } => return None,
        })
    }

    /// Sends an order to the own rank, and advances the change with the resulting report.
    pub(super) async fn execute_own_order(self: Rc<Self>, order: Change, epoch: u64) {
        match order {
            Change::BlockArming { step } => self.block_arming(epoch, step),
            Change::Arm { step, .. } | Change::Finish { step, .. } => self.record_arm(epoch, step),
            _ => {}
        }
        let Some(engine_order) = self.engine_order(order) else {
            return;
        };
        self.order_own_rank(&engine_order, epoch).await;
        self.send_current_state(self.settings.address).await;
        Box::pin(self.advance_change()).await;
    }

    /// Sends an order directly to another rank, and requests its resulting state from its
    /// agent.
    pub(super) async fn order_remote_rank(
        self: Rc<Self>,
        state: &State,
        order: Change,
        epoch: u64,
    ) {
        let Some(engine_order) = self.engine_order(order) else {
            return;
        };
        let remote = Rank::new(self.client.clone(), state.upstream);
        let outcome = remote
            .order(&engine_order, epoch, rank::REMOTE_ORDER_TIMEOUT)
            .await;
        if outcome != Outcome::Taken {
            info!(self.log, "remote rank didn't accept an order";
                "rank" => state.rank, "order" => order_name(&engine_order), "outcome" => format!("{outcome:?}"));
        }
        // Reports read from another instance are some hundred milliseconds old; those that
        // the rank's own agent reads are newer.
        let agent = self
            .membership
            .borrow()
            .get(state.rank)
            .map(|member| member.agent);
        if let Some(agent) = agent {
            let report_state = Order {
                epoch,
                action: Action::ReportState,
            };
            self.send(agent, &Message::Order(report_state)).await;
        }
    }
}

/// Whether a rank's report shows the effect of an order.
fn shows_effect(report: &Report, order: &order::Order) -> bool {
    match order {
        order::Order::Prepare { version, .. } => {
            report.order_in_progress || report.prepared_version == Some(*version)
        }
        order::Order::Arm { version, .. } => {
            report.armed_version == Some(*version) || report.map_version == *version
        }
        order::Order::Hold { step } => report.held_step == Some(*step),
        order::Order::Go { step } => report.held_step != Some(*step),
    }
}

/// Name of an order in the log.
fn order_name(order: &order::Order) -> &'static str {
    match order {
        order::Order::Prepare { .. } => "prepare",
        order::Order::Arm { .. } => "arm",
        order::Order::Hold { .. } => "hold",
        order::Order::Go { .. } => "go",
    }
}
