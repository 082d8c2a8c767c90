//! Simulated group of engines for the tests of the switch. Time is in milliseconds; orders
//! may be lost, duplicated or executed seconds late.

use std::time::Duration;

use proptest::{prelude::Rng, test_runner::TestRng};
use verbenaspool_coordination::switch::{Order, Outcome, Report, Switch};

/// Duration of a pass.
const PASS_MS: u64 = 60;
/// Duration of a copy.
const COPY_MS: u64 = 150;
/// Interval at which agents send reports of their ranks.
const REPORT_INTERVAL_MS: u64 = 50;
/// Time without a report after which the lead counts as silent.
const LEAD_TIMEOUT_MS: u64 = 300;

/// Guard of the protocol that is disabled to test the checker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledGuard {
    None,
    /// Passes begin although they are held.
    Hold,
}

/// Probabilities of faults, in thousandths.
#[derive(Debug, Clone, Copy)]
pub struct FaultRates {
    /// An order gets no answer and is executed 2 to 12 s later.
    pub delayed_orders: u32,
    /// A datagram is lost.
    pub lost_messages: u32,
    /// The lead freezes for up to five seconds, per pass.
    pub freezes_per_pass: u32,
    /// The lead freezes for up to five seconds, per 5 ms: between any two orders, not only
    /// as a pass begins.
    pub freezes_per_tick: u32,
    /// An agent is killed and restarted within a second, per pass.
    pub agent_kills: u32,
    /// The group breaks and re-forms, per pass.
    pub group_restarts: u32,
}

/// State of a rank in its engine.
#[derive(Debug, Clone, Default)]
struct EngineState {
    map: u64,
    prepared: Option<u64>,
    highest: u64,
    copying: Option<(u64, u64)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

/// State of the agent beside a rank.
#[derive(Debug, Clone, Copy, Default)]
struct AgentState {
    /// The last pass for which it rejects arm orders of the lead.
    arming_blocked_through: u64,
    /// The last pass for which it passed on an arm order, or may have done so.
    last_arm_step: u64,
    /// End of the current freeze of its instance.
    frozen_until: u64,
    /// Time at which the killed agent is restarted.
    down_until: u64,
}

/// An order that hasn't arrived yet.
#[derive(Debug, Clone, Copy)]
struct PendingOrder {
    due_at: u64,
    rank: usize,
    order: Order,
    epoch: u64,
    /// Whether the agent has passed it on to the engine.
    at_engine: bool,
}

/// An agent that is the lead or may stand in for it.
struct Agent {
    rank: usize,
    switch: Switch,
}

/// The group, its agents and the orders in flight.
pub struct Simulation {
    now: u64,
    epoch: u64,
    step: u64,
    next_pass_at: u64,
    ranks: Vec<EngineState>,
    agents: Vec<Agent>,
    agent_states: Vec<AgentState>,
    pending_orders: Vec<PendingOrder>,
    /// When each agent last sent a report.
    last_heard: Vec<u64>,
    pass_began_at: u64,
    faults: FaultRates,
    disabled_guard: DisabledGuard,
    rng: TestRng,
    version: u64,
    /// Completed changes.
    pub changes: u64,
    /// The longest stall of the group in milliseconds, without [`Self::passes_awaiting_lead`].
    pub longest_stall_ms: u64,
    /// Epochs and numbers of the passes that had to wait for the lead's frozen instance.
    pub passes_awaiting_lead: Vec<(u64, u64)>,
    /// Number of times that the lead's instance froze.
    pub freezes: u64,
}

impl Simulation {
    pub fn new(
        ranks: usize,
        faults: FaultRates,
        disabled_guard: DisabledGuard,
        rng: TestRng,
    ) -> Self {
        let agent = |rank| Agent {
            rank,
            switch: Switch::new(ranks),
        };
        Self {
            now: 1_000,
            epoch: 1,
            step: 1,
            next_pass_at: 1_000,
            ranks: vec![EngineState::default(); ranks],
            agents: (0..ranks.min(3)).map(agent).collect(),
            agent_states: vec![AgentState::default(); ranks],
            pending_orders: Vec::new(),
            last_heard: vec![1_000; ranks],
            pass_began_at: 1_000,
            faults,
            disabled_guard,
            rng,
            version: 0,
            changes: 0,
            longest_stall_ms: 0,
            passes_awaiting_lead: Vec::new(),
            freezes: 0,
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.next_u32() % 1_000 < thousandths
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    /// Runs the group. The error names the pass that began with different maps.
    pub fn run(&mut self, ms: u64) -> Result<(), String> {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5;
            if self.faults.freezes_per_tick > 0 && self.chance(self.faults.freezes_per_tick) {
                self.freeze();
            }
            self.deliver();
            self.finish_copies();
            self.begin_pass()?;
            self.broadcast_reports();
            self.poll_agents();
        }
        Ok(())
    }

    /// Processes the orders that are due.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self
            .pending_orders
            .drain(..)
            .partition(|pending| pending.due_at <= now);
        self.pending_orders = later;
        let due: Vec<PendingOrder> = due;
        for mut pending in due {
            if pending.epoch != self.epoch {
                continue;
            }
            let state = self.agent_states[pending.rank];
            if state.frozen_until > now {
                // A frozen instance processes the order when it resumes.
                pending.due_at = state.frozen_until;
                self.pending_orders.push(pending);
            } else if pending.at_engine {
                self.apply_at_engine(&pending);
                // After an order the agent reports its rank immediately.
                self.broadcast_report(pending.rank);
            } else if state.down_until <= now {
                self.handle_at_agent(pending);
            }
        }
    }

    /// An agent processes an order and passes it on to its rank.
    fn handle_at_agent(&mut self, pending: PendingOrder) {
        let state = &mut self.agent_states[pending.rank];
        match pending.order {
            Order::BlockArming { step } => {
                state.arming_blocked_through = state.arming_blocked_through.max(step);
                self.broadcast_report(pending.rank);
            }
            Order::Arm { step, .. } if pending.rank > 0 && step <= state.arming_blocked_through => {
            }
            Order::Arm { step, .. } | Order::Finish { step, .. } => {
                state.last_arm_step = state.last_arm_step.max(step);
                self.send_to_engine(pending);
            }
            _ => self.send_to_engine(pending),
        }
    }

    /// Sends an order to the engine. The engine may execute it seconds late, in which case
    /// the agent has sent it again.
    fn send_to_engine(&mut self, pending: PendingOrder) {
        let mut at = self.now;
        while self.chance(self.faults.delayed_orders) {
            let due_at = at + 2_000 + self.random_below(10_000);
            self.pending_orders.push(PendingOrder {
                due_at,
                at_engine: true,
                ..pending
            });
            at += 15;
        }
        self.pending_orders.push(PendingOrder {
            due_at: at,
            at_engine: true,
            ..pending
        });
    }

    fn apply_at_engine(&mut self, pending: &PendingOrder) {
        let (now, step) = (self.now, self.step);
        let rank = &mut self.ranks[pending.rank];
        match pending.order {
            Order::Prepare { version } => {
                let busy = rank.armed.is_some() || rank.copying.is_some();
                if version > rank.highest && !busy {
                    rank.highest = version;
                    rank.prepared = None;
                    rank.copying = Some((version, now + COPY_MS));
                }
            }
            Order::Hold { step: at } => {
                if at > step && rank.held.is_none() {
                    rank.held = Some(at);
                }
            }
            Order::Arm { version, step: at } | Order::Finish { version, step: at } => {
                if at > step && rank.prepared == Some(version) {
                    rank.armed = Some((version, at));
                }
            }
            Order::Go { step: at } => {
                if rank.held == Some(at) {
                    rank.held = None;
                }
            }
            Order::BlockArming { .. } => {}
        }
    }

    fn finish_copies(&mut self) {
        for rank in &mut self.ranks {
            if let Some((version, at)) = rank.copying
                && at <= self.now
            {
                rank.copying = None;
                rank.prepared = Some(version);
            }
        }
    }

    /// Begins the next pass if it is due and not held.
    fn begin_pass(&mut self) -> Result<(), String> {
        if self.now < self.next_pass_at {
            return Ok(());
        }
        let next = self.step + 1;
        let held = self.ranks.iter().any(|rank| rank.held == Some(next));
        if held && self.disabled_guard != DisabledGuard::Hold {
            let stalled_ms = self.now - self.pass_began_at;
            let known = self.passes_awaiting_lead.last() == Some(&(self.epoch, next));
            if !known && self.is_blocked_by_frozen_lead() {
                self.passes_awaiting_lead.push((self.epoch, next));
            } else if !known {
                self.longest_stall_ms = self.longest_stall_ms.max(stalled_ms);
            }
            return Ok(());
        }
        self.step = next;
        self.pass_began_at = self.now;
        self.next_pass_at = self.now + PASS_MS;
        for rank in &mut self.ranks {
            if let Some((version, at)) = rank.armed
                && at <= next
            {
                rank.map = version;
                rank.armed = None;
            }
        }
        let first = self.ranks[0].map;
        if self.ranks.iter().any(|rank| rank.map != first) {
            let maps: Vec<u64> = self.ranks.iter().map(|rank| rank.map).collect();
            return Err(format!(
                "pass {next} at {} ms began on maps {maps:?}",
                self.now
            ));
        }
        self.inject_faults();
        Ok(())
    }

    /// Whether the lead's instance froze after some rank was armed and before its own was.
    /// Its engine doesn't answer then, so no agent can know whether it is armed, and with
    /// either map the pass might begin with two. The group has to wait until the instance
    /// resumes; the protocol can only keep this window short.
    fn is_blocked_by_frozen_lead(&self) -> bool {
        let [first, others @ ..] = &self.ranks[..] else {
            return false;
        };
        let frozen = self.agent_states[0].frozen_until > self.now;
        frozen && first.armed.is_none() && others.iter().any(|rank| rank.armed.is_some())
    }

    /// Freezes the lead's instance.
    fn freeze(&mut self) {
        self.agent_states[0].frozen_until = self.now + self.random_below(5_000);
        self.freezes += 1;
    }

    /// Randomly freezes the lead, kills an agent or re-forms the group.
    fn inject_faults(&mut self) {
        if self.chance(self.faults.freezes_per_pass) {
            self.freeze();
        }
        if self.chance(self.faults.agent_kills) {
            let ranks = self.ranks.len();
            let rank = usize::try_from(self.random_below(ranks as u64)).expect("a rank");
            let down_until = self.now + 200 + self.random_below(800);
            // The restarted process has no state of its predecessor.
            self.agent_states[rank] = AgentState {
                down_until,
                ..AgentState::default()
            };
            if let Some(agent) = self.agents.get_mut(rank) {
                agent.switch = Switch::new(ranks);
            }
        }
        if self.chance(self.faults.group_restarts) {
            self.epoch += 1;
            let ranks = self.ranks.len();
            self.ranks = vec![EngineState::default(); ranks];
            for state in &mut self.agent_states {
                (state.arming_blocked_through, state.last_arm_step) = (0, 0);
            }
        }
    }

    /// Whether the agent of a rank is running and not frozen.
    fn is_up(&self, rank: usize) -> bool {
        let state = self.agent_states[rank];
        state.frozen_until <= self.now && state.down_until <= self.now
    }

    /// After a restart, assumes that the predecessor passed on arm orders and blocked
    /// arming for the passes to come.
    fn assume_worst_after_restart(&mut self, rank: usize) {
        let state = self.agent_states[rank];
        if state.down_until > 0 && state.down_until <= self.now {
            let ahead = self.step + 4;
            self.agent_states[rank] = AgentState {
                arming_blocked_through: ahead,
                last_arm_step: ahead,
                ..AgentState::default()
            };
        }
    }

    /// The report of a rank.
    fn report(&self, rank: usize) -> Report {
        let engine = &self.ranks[rank];
        Report {
            epoch: self.epoch,
            step: self.step,
            map_version: engine.map,
            prepared_version: engine.prepared,
            armed_version: engine.armed.map(|(version, _)| version),
            held_step: engine.held,
            arming_blocked_through: self.agent_states[rank].arming_blocked_through,
            last_arm_step: self.agent_states[rank].last_arm_step,
        }
    }

    /// Sends the periodic reports of all agents.
    fn broadcast_reports(&mut self) {
        if !self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        for rank in 0..self.ranks.len() {
            self.assume_worst_after_restart(rank);
            self.broadcast_report(rank);
        }
    }

    /// Sends the report of one rank to all running agents.
    fn broadcast_report(&mut self, rank: usize) {
        if !self.is_up(rank)
            || self.agent_states[rank].down_until > 0
            || self.chance(self.faults.lost_messages)
        {
            return;
        }
        let now = Duration::from_millis(self.now);
        self.last_heard[rank] = self.now;
        let report = self.report(rank);
        for number in 0..self.agents.len() {
            if self.is_up(number) {
                self.agents[number].switch.report(now, rank, report);
            }
        }
    }

    /// Polls the switches of the lead and of the agents that stand in for it.
    fn poll_agents(&mut self) {
        let now = Duration::from_millis(self.now);
        let stalled_ms = self.now.saturating_sub(self.pass_began_at);
        for number in 0..self.agents.len() {
            if !self.is_up(number) {
                continue;
            }
            if number > 0 {
                let lead_silent = self.now.saturating_sub(self.last_heard[0]) > LEAD_TIMEOUT_MS;
                let timeout = LEAD_TIMEOUT_MS + 250 * (number as u64 - 1);
                if !lead_silent || stalled_ms < timeout {
                    continue;
                }
            }
            self.poll_agent(number, now);
        }
    }

    fn poll_agent(&mut self, number: usize, now: Duration) {
        let was_idle = self.agents[number].switch.is_idle();
        if number == 0 && was_idle && self.agents[0].switch.is_ready(now) && self.chance(20) {
            self.version = self.version.max(self.agents[0].switch.highest_version()) + 1;
            let (version, copy) = (self.version, Duration::from_millis(COPY_MS));
            self.agents[0].switch.start(now, version, copy);
        }
        let epoch = self.agents[number].switch.epoch();
        let own = self.agents[number].rank;
        let (orders, outcome) = self.agents[number].switch.poll(now);
        if matches!(outcome, Some(Outcome::Completed(v)) if v > 0) {
            self.changes += 1;
        }
        for rank_order in orders {
            let bypasses_agent = matches!(rank_order.order, Order::Hold { .. } | Order::Go { .. });
            if rank_order.rank != own && !bypasses_agent && self.chance(self.faults.lost_messages) {
                continue;
            }
            let pending = PendingOrder {
                due_at: self.now + 1 + self.random_below(8),
                rank: rank_order.rank,
                order: rank_order.order,
                epoch,
                at_engine: false,
            };
            if bypasses_agent {
                self.send_to_engine(pending);
            } else {
                self.pending_orders.push(pending);
            }
        }
    }
}
