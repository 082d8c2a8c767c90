//! Standing in for a silent lead while its group is stalled.

use std::{rc::Rc, time::Duration};

use slog::{info, warn};
use verbenaspool_protocol::member::State;

use super::{
    agent_state::AgentState,
    lead::Lead,
    membership::{MAX_STAND_INS, Member},
};

/// Time without a message after which a lead counts as silent: three of its intervals of
/// 0.1 s.
const LEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a group must have stalled before the next rank's agent stands in:
/// several passes, and well below the 1.5 s after which requests are aborted.
const STANDBY_TIMEOUT: Duration = Duration::from_millis(400);

/// Additional time for which the agent of each further rank waits.
const STANDBY_TIMEOUT_PER_RANK: Duration = Duration::from_millis(250);

impl AgentState {
    /// Stands in for the lead if it is silent while the group is stalled.
    ///
    /// If a lead freezes or is cut off between the orders to hold a pass and to release
    /// it, the whole group would wait until it is back. The next rank's agent then takes the
    /// last reports of all ranks and completes the change, as described in the switch. Each
    /// further rank waits longer, so that not all of them do this. If two of them do it at
    /// once, or the lead recovers, they only repeat each other's orders.
    pub async fn stand_in(self: &Rc<Self>) {
        let may_stand_in = |state: &State| (1..MAX_STAND_INS).contains(&state.rank);
        let Some(state) = self.state().filter(may_stand_in) else {
            return;
        };
        let now = self.clock.now();
        let received_at = self
            .membership
            .borrow()
            .get(0)
            .map(|member| member.received_at);
        let silent =
            received_at.is_none_or(|received_at| now.saturating_sub(received_at) > LEAD_TIMEOUT);
        let stalled_for = self.progress.get().time_without_pass(now);
        let timeout = STANDBY_TIMEOUT + STANDBY_TIMEOUT_PER_RANK * u32::from(state.rank - 1);
        let holds_pass = state.report.held_step.is_some();
        let timeout = if holds_pass { LEAD_TIMEOUT } else { timeout };
        if !silent || stalled_for < timeout {
            if self.lead.borrow_mut().take().is_some() {
                info!(self.log, "no longer standing in for the lead");
            }
            return;
        }
        if self.lead.borrow().is_none() {
            warn!(self.log, "group stalled and its lead silent; standing in for the lead";
                "rank" => state.rank, "step" => state.report.step, "for_ms" => stalled_for.as_secs_f64() * 1e3);
            let mut lead = Lead::new(state.group_size.into());
            lead.stands_in = true;
            self.lead.replace(Some(lead));
        }
        self.replay_reports();
        self.advance_change().await;
    }

    /// Passes the last reports of all ranks to the switch.
    pub(super) fn replay_reports(&self) {
        let now = self.clock.now();
        let members: Vec<Member> = self.membership.borrow().iter(now).cloned().collect();
        if let Some(lead) = &mut *self.lead.borrow_mut() {
            for member in members {
                let rank = member.state.rank.into();
                lead.switch
                    .report(member.received_at, rank, member.state.report);
            }
        }
    }
}
