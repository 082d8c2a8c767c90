//! Orders to ranks: those that the lead sends, and those that an agent gives its
//! own rank.

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

/// How many passes ahead a forerunner of this process may have given orders for.
/// Passes are held two ahead; the others make up for passes begun since.
const INHERITED_PASSES: u64 = 4;

/// How often an order is given that gets no answer. With one in three lost, ten
/// in a row are lost less than once in 50,000 times.
const MAX_ORDER_ATTEMPTS: u32 = 10;

impl AgentState {
    /// Up to which pass of an epoch no order of a lead to arm is given.
    pub(super) fn barred(&self, epoch: u64) -> u64 {
        let (barred_epoch, step) = self.bar.get();
        if barred_epoch == epoch { step } else { 0 }
    }

    /// The last pass of an epoch for which an order to arm was given.
    pub(super) fn given(&self, epoch: u64) -> u64 {
        let (given_epoch, step) = self.gave.get();
        if given_epoch == epoch { step } else { 0 }
    }

    /// Gives no order of a lead to arm for a pass up to this one from here on.
    pub(super) fn bar(&self, epoch: u64, step: u64) {
        if self.barred(epoch) < step {
            self.bar.set((epoch, step));
            info!(self.log, "Agent: No order of a lead to arm is given any more.";
                "epoch" => epoch, "step" => step, "given" => self.given(epoch));
        }
    }

    /// Notes that an order to arm is about to be given.
    pub(super) fn note_given(&self, epoch: u64, step: u64) {
        self.gave.set((epoch, self.given(epoch).max(step)));
    }

    /// A process that has just started doesn't know what its forerunner did: it
    /// may have given any order for the passes to come, and promised any bar.
    pub(super) fn inherit(&self, epoch: u64, step: u64) {
        if self.state.borrow().is_none() && self.number.get() == self.first {
            let ahead = step + INHERITED_PASSES;
            self.bar.set((epoch, ahead));
            self.gave.set((epoch, ahead));
        }
    }

    /// Carries out an order of the lead, and tells it how the rank stands then.
    pub(super) async fn obey(self: &Rc<Self>, agent: IpAddr, order: Order) {
        let Action::Change(change) = order.action else {
            self.answer(agent).await;
            return;
        };
        let what = match change {
            Change::Hold { step } => order::Order::Hold { step },
            Change::Arm { step, .. } if step <= self.barred(order.epoch) => {
                self.answer(agent).await;
                return;
            }
            Change::Arm { version, step } | Change::Finish { version, step } => {
                self.note_given(order.epoch, step);
                order::Order::Arm { version, step }
            }
            Change::Go { step } => order::Order::Go { step },
            Change::BlockArming { step } => {
                self.bar(order.epoch, step);
                self.answer(agent).await;
                return;
            }
            // Maps come by themselves, whole or as what differs.
            Change::Prepare { .. } => return,
        };
        self.give(&what, order.epoch).await;
        self.answer(agent).await;
    }

    /// Gives the own rank an order, again and again until it is answered or its
    /// report shows the effect.
    ///
    /// An order may get no answer and be carried out seconds later. All orders
    /// bear being given twice: they name the version or the pass that they are
    /// for, and a late one is refused because that pass has begun by then.
    pub(super) async fn give(&self, what: &order::Order, epoch: u64) {
        if self.giving.borrow().as_ref() == Some(what) {
            return;
        }
        self.giving.replace(Some(what.clone()));
        for tries in 1..=MAX_ORDER_ATTEMPTS {
            let outcome = self
                .rank
                .order(what, epoch, rank::LOCAL_ORDER_TIMEOUT)
                .await;
            if outcome == Outcome::Taken {
                debug!(self.log, "Agent: The rank took an order.";
                    "order" => name(what), "epoch" => epoch, "tries" => tries);
                break;
            }
            info!(self.log, "Agent: The rank didn't take an order.";
                "order" => name(what), "epoch" => epoch, "tries" => tries,
                "outcome" => format!("{outcome:?}"));
            if outcome != Outcome::Unknown {
                break;
            }
            let report = self.rank.report().await;
            if report.is_some_and(|report| shows(&report, what)) {
                break;
            }
        }
        self.giving.replace(None);
    }

    /// Takes a part of a map in; with the last part, has the rank prepare it.
    pub(super) async fn collect(self: &Rc<Self>, agent: IpAddr, map: Map) {
        let whole = {
            let mut partial = self.map.borrow_mut();
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
                if let Some(place) = partial.sets.get_mut(usize::from(map.first_set) + number) {
                    *place = Some(set);
                }
            }
            partial.sets.iter().cloned().collect::<Option<Vec<_>>>()
        };
        let Some(places) = whole else {
            return;
        };
        self.map.replace(None);
        self.prepare(agent, map.epoch, map.version, places).await;
    }

    /// Takes in a map, or a part of it, by what differs from one before, and passes it
    /// on; asks the lead for the whole map where the one before isn't known.
    pub(super) async fn differ(self: &Rc<Self>, difference: Difference) {
        self.relay(&difference);
        let Some(lead) = self.lead_agent() else {
            return;
        };
        let (epoch, version) = (difference.epoch, difference.version);
        let whole = {
            let mut known = self.differences.borrow_mut();
            let mut parts = PartialDifference::for_part(known.take(), &difference);
            let whole = parts.add(&difference);
            *known = whole.is_none().then_some(parts);
            whole
        };
        let Some(whole) = whole else {
            return;
        };
        if let (INITIAL_VERSION, Some(state), Some(experts)) =
            (whole.base, self.state(), self.experts.get())
        {
            let mut known = self.known.borrow_mut();
            known.add_initial(epoch, state.group_size, &experts);
        }
        let places = self.known.borrow().apply(&whole);
        if let Some(places) = places {
            self.prepare(lead, epoch, version, places).await;
            return;
        }
        info!(self.log, "Agent: The map before isn't known; asking for the whole one.";
            "epoch" => epoch, "version" => version, "before" => whole.base);
        self.send(lead, &Message::MapRequest(MapRequest { epoch, version }))
            .await;
    }

    /// Sends the whole map to an agent that lacks it, as the lead.
    pub(super) fn complete(self: &Rc<Self>, agent: IpAddr, lack: MapRequest) {
        let parts = match &*self.lead.borrow() {
            Some(lead) => lead.parts(lack.version, lack.epoch),
            None => return,
        };
        for part in parts {
            self.send_paced(agent, &Message::Map(part));
        }
    }

    /// Has the own rank prepare a map, and tells the lead how it stands then.
    async fn prepare(&self, agent: IpAddr, epoch: u64, version: u64, places: Vec<Vec<Vec<u16>>>) {
        self.known.borrow_mut().add(epoch, version, places.clone());
        let prepare = order::Order::Prepare {
            version,
            map: places,
        };
        self.give(&prepare, epoch).await;
        self.answer(agent).await;
    }

    /// Sends an order to a rank, by its agent.
    ///
    /// An agent has to know of every order to arm that its rank may get, so these
    /// go by no other way, however long it is silent. A pass is held and let go
    /// straight from here: an agent that froze right behind its order to hold
    /// would take the held rank with it.
    pub(super) async fn order(self: &Rc<Self>, send: RankOrder, epoch: u64) {
        let rank = u16::try_from(send.rank).unwrap_or(u16::MAX);
        let Some(member) = self.membership.borrow().get(rank).cloned() else {
            return;
        };
        let shared = self.clone();
        if member.agent == self.settings.address {
            monoio::spawn(async move {
                shared.give_own(send.order, epoch).await;
            });
            return;
        }
        if matches!(send.order, Change::Hold { .. } | Change::Go { .. }) {
            monoio::spawn(async move {
                shared.give_far(&member.state, send.order, epoch).await;
            });
            return;
        }
        let what = Action::Change(send.order);
        self.send(
            member.agent,
            &Message::Order(Order {
                epoch,
                action: what,
            }),
        )
        .await;
    }

    /// An order as a rank takes it.
    pub(super) fn direct(&self, order: Change) -> Option<order::Order> {
        Some(match order {
            Change::Prepare { version } => {
                let lead = self.lead.borrow();
                let plan = lead.as_ref()?.plan.clone();
                let plan = plan.filter(|plan| plan.version == version)?;
                order::Order::Prepare {
                    version,
                    map: plan.places,
                }
            }
            Change::Hold { step } => order::Order::Hold { step },
            Change::Arm { version, step } | Change::Finish { version, step } => {
                order::Order::Arm { version, step }
            }
            Change::Go { step } => order::Order::Go { step },
            // This is for an agent, not for its rank.
            Change::BlockArming { .. } => return None,
        })
    }

    /// Gives the own rank an order and goes on with what its report then says.
    pub(super) async fn give_own(self: Rc<Self>, order: Change, epoch: u64) {
        match order {
            Change::BlockArming { step } => self.bar(epoch, step),
            Change::Arm { step, .. } | Change::Finish { step, .. } => self.note_given(epoch, step),
            _ => {}
        }
        let Some(order) = self.direct(order) else {
            return;
        };
        self.give(&order, epoch).await;
        self.answer(self.settings.address).await;
        Box::pin(self.drive()).await;
    }

    /// Gives another rank an order straight, and goes on with what its report
    /// then says.
    pub(super) async fn give_far(self: Rc<Self>, state: &State, order: Change, epoch: u64) {
        let Some(order) = self.direct(order) else {
            return;
        };
        let far = Rank::new(self.client.clone(), state.upstream);
        let outcome = far.order(&order, epoch, rank::REMOTE_ORDER_TIMEOUT).await;
        if outcome != Outcome::Taken {
            info!(self.log, "Agent: Another rank didn't take an order.";
                "rank" => state.rank, "order" => name(&order), "outcome" => format!("{outcome:?}"));
        }
        // What a rank says to another instance is some hundred milliseconds old;
        // its agent knows better.
        let agent = self
            .membership
            .borrow()
            .get(state.rank)
            .map(|member| member.agent);
        if let Some(agent) = agent {
            let look = Order {
                epoch,
                action: Action::ReportState,
            };
            self.send(agent, &Message::Order(look)).await;
        }
    }
}

/// Whether a rank's report shows the effect of an order.
fn shows(report: &Report, order: &order::Order) -> bool {
    match order {
        order::Order::Prepare { version, .. } => report.busy || report.prepared == Some(*version),
        order::Order::Arm { version, .. } => {
            report.armed == Some(*version) || report.map == *version
        }
        order::Order::Hold { step } => report.held == Some(*step),
        order::Order::Go { step } => report.held != Some(*step),
    }
}

/// The name of an order in logs.
fn name(order: &order::Order) -> &'static str {
    match order {
        order::Order::Prepare { .. } => "prepare",
        order::Order::Arm { .. } => "arm",
        order::Order::Hold { .. } => "hold",
        order::Order::Go { .. } => "go",
    }
}
