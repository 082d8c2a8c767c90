//! Sends the expert choices of a rank's requests to the lead.
//!
//! In small groups every rank sends them to the lead. In large ones, where these messages
//! would fill the lead's link, they are aggregated on the way, see [`gather`].

use std::{rc::Rc, time::Duration};

use slog::warn;
use verbenaspool_coordination::gather::{
    self, AGGREGATION_GROUP_SIZE, AddOutcome, PartialCounts, Round,
};
use verbenaspool_protocol::{
    member::{Choices, State},
    message::Message,
};

use super::agent_state::AgentState;

/// Minimum interval between reads of the choices. A shift of popularity shows within two
/// reads.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum interval at which ranks send choices directly to the lead. If the lead's link
/// requires a longer one, choices are aggregated instead.
const MAX_DIRECT_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time allowed for all parts of a round to arrive before its sum is sent. Agents check
/// every 0.05 s whether a round has ended, and then take some 10 ms to read the choices.
const ROUND_TIMEOUT: Duration = Duration::from_millis(70);

/// Maximum number of counts in one datagram.
const COUNTS_PER_DATAGRAM: usize = 400;

/// Fraction of a link that the messages of an aggregation group may use if passes have
/// their minimum duration. Usual passes take twice as long.
const AGGREGATION_LINK_RATIO: f64 = 0.8;

/// As [`AGGREGATION_LINK_RATIO`], for the additional rounds while passes are long, which
/// are less frequent.
const LONG_PASS_LINK_RATIO: f64 = 0.4;

/// Minimum number of passes in a round, unless passes are long.
const MIN_ROUND_PASSES: u64 = 2;

/// Maximum number of rounds by which a message may be ahead of its receiver or behind it.
const MAX_ROUND_SKEW: u64 = 2;

impl AgentState {
    /// Whether choices are aggregated on their way to the lead.
    fn aggregates_choices(&self) -> bool {
        self.choices_interval() > MAX_DIRECT_REPORT_INTERVAL
    }

    /// Number of counts that a rank sends: one per expert and set of layers, or 0 while
    /// the service's experts are unknown.
    pub(super) fn counts_per_rank(&self) -> usize {
        let experts = self.experts.get();
        experts.map_or(0, |e| usize::from(e.layers) * usize::from(e.count))
    }

    /// Wakes the sampling task if a round has ended.
    pub(super) fn notify_round_end(&self, state: &State) {
        if self.aggregates_choices() && self.ended_round(state).is_some() {
            self.round_ended.notify_one();
        }
    }

    /// Maximum number of passes in a round.
    fn passes_per_round(&self) -> u64 {
        let time = self.choices_transfer_time(AGGREGATION_GROUP_SIZE, AGGREGATION_LINK_RATIO);
        let pass = self.min_pass_time.get().max(Duration::from_millis(1));
        let passes = u64::try_from(time.as_nanos().div_ceil(pass.as_nanos()));
        passes.unwrap_or(u64::MAX).max(MIN_ROUND_PASSES)
    }

    /// The round that has ended since choices were last read, if any.
    ///
    /// A round ends every few passes, which all ranks count alike. While passes are long,
    /// as after a shift of popularity, each pass ends one as far as the link permits: that
    /// is when the lead needs the data, and all ranks notice that passes are long.
    fn ended_round(&self, state: &State) -> Option<Round> {
        let (epoch, step, passes) = (
            state.report.epoch,
            state.report.step,
            self.passes_per_round(),
        );
        let round = |number| Some(Round { epoch, number });
        let Some(last) = self.last_round.get().filter(|last| last.epoch == epoch) else {
            return round(step / passes * passes);
        };
        let elapsed = self.clock.now().saturating_sub(self.choices_read_at.get());
        if step / passes > last.number / passes {
            round(step / passes * passes)
        } else if step > last.number
            && elapsed >= self.choices_transfer_time(AGGREGATION_GROUP_SIZE, LONG_PASS_LINK_RATIO)
        {
            round(step)
        } else {
            None
        }
    }

    /// Reads and sends the choices of the own rank's requests, if they are due.
    pub async fn sample_choices(self: &Rc<Self>, incarnation: u64) {
        let Some(state) = self.state() else {
            return;
        };
        if self.aggregates_choices() {
            let Some(round) = self.ended_round(&state) else {
                return;
            };
            self.last_round.set(Some(round));
            if let Some(counts) = self.read_new_counts(incarnation, round.epoch).await {
                let group_members = self.aggregation_group(&state);
                let turn = round.number / self.passes_per_round();
                let collector = gather::collector(&group_members, turn).unwrap_or(state.rank);
                self.send_choices(&state, collector, round.number, &counts)
                    .await;
            }
            return;
        }
        let elapsed = self.clock.now().saturating_sub(self.choices_read_at.get());
        if elapsed >= self.choices_interval().max(MIN_SAMPLE_INTERVAL)
            && let Some(counts) = self.read_new_counts(incarnation, state.report.epoch).await
        {
            self.send_choices(&state, 0, state.sequence, &counts).await;
        }
    }

    /// Returns the counts since the previous read, or `None` if they are unknown or all
    /// zero.
    async fn read_new_counts(&self, incarnation: u64, epoch: u64) -> Option<Vec<u32>> {
        let choice = self.rank.choices().await;
        let choice = choice.filter(|choice| choice.epoch == epoch)?;
        self.choices_read_at.set(self.clock.now());
        let now = choice.counts.clone();
        let (last_incarnation, before) = self.last_counts.replace((incarnation, choice.counts));
        if last_incarnation != incarnation || before.len() != now.len() {
            // A restarted rank counts from zero, so there is nothing to subtract yet.
            return None;
        }
        let increase = |(now, before): (&u64, &u64)| {
            u32::try_from(now.saturating_sub(*before)).unwrap_or(u32::MAX)
        };
        let counts: Vec<u32> = now.iter().zip(&before).map(increase).collect();
        counts.iter().any(|count| *count > 0).then_some(counts)
    }

    /// The ranks of the own rank's aggregation group.
    fn aggregation_group(&self, state: &State) -> Vec<u16> {
        let now = self.clock.now();
        let membership = self.membership.borrow();
        let members = membership.iter(now);
        let zones: Vec<(u16, u32)> = members
            .map(|member| (member.state.rank, member.state.zone))
            .collect();
        gather::aggregation_group(&zones, state.rank)
    }

    /// Sends choices to a rank, split into datagrams.
    async fn send_choices(self: &Rc<Self>, state: &State, to: u16, round: u64, counts: &[u32]) {
        for (number, counts) in counts.chunks(COUNTS_PER_DATAGRAM).enumerate() {
            let choices = Choices {
                group: state.group,
                epoch: state.report.epoch,
                rank: state.rank,
                round,
                offset: u32::try_from(number * COUNTS_PER_DATAGRAM).unwrap_or(u32::MAX),
                counts: counts.to_vec(),
            };
            if to == state.rank {
                self.handle_choices(&choices);
                continue;
            }
            let agent = self.membership.borrow().get(to).map(|member| member.agent);
            if let Some(agent) = agent {
                self.send(agent, &Message::Choices(choices)).await;
            }
        }
    }

    /// Processes choices of a rank: the lead adds them to its expert loads, other agents
    /// add them to the sum of the round.
    pub(super) fn handle_choices(self: &Rc<Self>, choices: &Choices) {
        let (now, counts) = (self.clock.now(), self.counts_per_rank());
        if let Some(lead) = &mut *self.lead.borrow_mut() {
            if !lead.stands_in && !lead.add_choices(now, choices, counts) {
                self.record_dropped_choices(choices);
            }
            return;
        }
        let Some(state) = self.state() else {
            return;
        };
        let round = Round {
            epoch: choices.epoch,
            number: choices.round,
        };
        let part = PartialCounts {
            rank: choices.rank,
            offset: usize::try_from(choices.offset).unwrap_or(usize::MAX),
            counts: &choices.counts,
        };
        let rounds_apart = state.report.step.abs_diff(round.number) / self.passes_per_round();
        let outcome = if state.report.epoch == round.epoch && rounds_apart <= MAX_ROUND_SKEW {
            let group_members = self.aggregation_group(&state).len();
            self.sums
                .borrow_mut()
                .add(round, &part, group_members, counts)
        } else {
            AddOutcome::Dropped
        };
        match outcome {
            AddOutcome::First => {
                let shared = self.clone();
                monoio::spawn(async move {
                    shared.clock.sleep(ROUND_TIMEOUT).await;
                    shared.forward_sum(round).await;
                });
            }
            AddOutcome::Complete => {
                let shared = self.clone();
                monoio::spawn(async move { shared.forward_sum(round).await });
            }
            AddOutcome::Added => {}
            AddOutcome::Late => self.forward_part(choices),
            AddOutcome::Dropped => self.record_dropped_choices(choices),
        }
    }

    /// Counts a message of choices that was dropped, and logs the first one.
    fn record_dropped_choices(&self, choices: &Choices) {
        let dropped = self.dropped_choices.get();
        self.dropped_choices.set(dropped + 1);
        if dropped == 0 {
            warn!(self.log, "dropping messages of choices that are duplicates, too late or out of range";
                "rank" => choices.rank, "epoch" => choices.epoch, "round" => choices.round,
                "from" => choices.offset, "counts" => choices.counts.len());
        }
    }

    /// Forwards a part to the lead that arrived after the sum of its round was sent.
    fn forward_part(self: &Rc<Self>, choices: &Choices) {
        if let Some(lead) = self.lead_agent() {
            let (shared, message) = (self.clone(), Message::Choices(choices.clone()));
            monoio::spawn(async move { shared.send(lead, &message).await });
        }
    }

    /// Sends the sum of a round to the lead.
    async fn forward_sum(self: &Rc<Self>, round: Round) {
        let sum = self.sums.borrow_mut().close(round);
        let state = self.state();
        let state = state.filter(|state| state.report.epoch == round.epoch);
        if let (Some(sum), Some(state)) = (sum, state) {
            Box::pin(self.send_choices(&state, 0, round.number, &sum)).await;
        }
    }
}
