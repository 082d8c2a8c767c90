//! Standing in for a lead that is silent while its group stands still.

use std::{rc::Rc, time::Duration};

use slog::{info, warn};
use verbenaspool_protocol::member::State;

use super::{
    agent_state::AgentState,
    lead::Lead,
    membership::{MAX_STAND_INS, Member},
};

/// After how long without a message a lead counts as silent: three messages, which
/// it sends each 0.1 s.
const LEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a group must have stood still before the next rank's agent looks
/// into it: several passes, and well below the 1.5 s after which requests are
/// cut off.
const STANDBY_TIMEOUT: Duration = Duration::from_millis(400);

/// How much longer each further rank's agent waits.
const STOOD_PER_RANK: Duration = Duration::from_millis(250);

impl AgentState {
    /// Stands in for a lead that is silent while the group stands still.
    ///
    /// A lead that freezes or is cut off between the orders to hold a pass and to
    /// let it begin would keep the whole group waiting until it is back. The next
    /// rank's agent then reads the reports of all ranks and finishes what was
    /// begun, as the switch says; each further rank waits longer, so that they
    /// don't all do it. Two that do it at once, or a lead that wakes, only repeat
    /// each other's orders.
    pub async fn stand_in(self: &Rc<Self>) {
        let standin = |state: &State| (1..MAX_STAND_INS).contains(&state.rank);
        let Some(state) = self.state().filter(standin) else {
            return;
        };
        let now = self.clock.now();
        let heard = self.membership.borrow().get(0).map(|member| member.heard);
        let silent = heard.is_none_or(|heard| now.saturating_sub(heard) > LEAD_TIMEOUT);
        let stood = self.progress.get().stood(now);
        let patience = STANDBY_TIMEOUT + STOOD_PER_RANK * u32::from(state.rank - 1);
        let held = state.report.held.is_some();
        let patience = if held { LEAD_TIMEOUT } else { patience };
        if !silent || stood < patience {
            if self.lead.borrow_mut().take().is_some() {
                info!(self.log, "Agent: No longer stands in for the lead.");
            }
            return;
        }
        if self.lead.borrow().is_none() {
            warn!(self.log, "Agent: The group stands still and its lead is silent; standing in.";
                "rank" => state.rank, "step" => state.report.step, "for_ms" => stood.as_secs_f64() * 1e3);
            let mut lead = Lead::new(state.group_size.into());
            lead.stands_in = true;
            self.lead.replace(Some(lead));
        }
        self.recall();
        self.drive().await;
    }

    /// Brings in what the agents of all ranks said so far.
    pub(super) fn recall(&self) {
        let now = self.clock.now();
        let membership: Vec<Member> = self.membership.borrow().iter(now).cloned().collect();
        if let Some(lead) = &mut *self.lead.borrow_mut() {
            for member in membership {
                let rank = member.state.rank.into();
                lead.switch.report(member.heard, rank, member.state.report);
            }
        }
    }
}
