//! What an agent tells the others, and entries.

use std::{collections::BTreeSet, net::IpAddr, time::Duration};

use verbenaspool_coordination::switch::Report;
use verbenaspool_protocol::{
    seat::{Choices, Held, Status},
    word::Word,
};

use super::board::Board;

/// How often entries hear how the rank stands, if nothing changes.
const STATUS: Duration = Duration::from_millis(500);

/// How many counts go into one datagram.
const COUNTS: usize = 400;

impl Board {
    /// Tells other agents how the rank stands: those that act on it, or all of the
    /// group, and of the service while some of the group are unknown.
    pub async fn tell(&self, everybody: bool) {
        let Some(state) = self.state() else {
            return;
        };
        let now = self.clock.now();
        let mut agents: BTreeSet<IpAddr> = self.seats.borrow().audience(now, state.rank);
        if everybody {
            agents.extend(self.seats.borrow().iter(now).map(|seat| seat.agent));
            // An agent that is new tells all of the service until it knows its group,
            // so the others needn't: they were agents squared once a second.
            if !self.is_complete() {
                agents.extend(self.instances.borrow().iter());
            }
        }
        agents.remove(&self.settings.address);
        let word = Word::State(state);
        for agent in agents {
            self.send(agent, &word).await;
        }
    }

    /// Tells entries how the rank stands, where that changed or was told long ago.
    pub async fn tell_entries(&self) {
        let now = self.clock.now();
        let pace = self.state.borrow().as_ref().map(|state| state.pace);
        let open = pace.is_some();
        let (told, at) = self.status.get();
        if pace == told && now.saturating_sub(at) < STATUS {
            return;
        }
        self.status.set((pace, now));
        self.number.set(self.number.get() + 1);
        let word = Word::Status(Status {
            number: self.number.get(),
            upstream: self.settings.upstream,
            group: self.group.get(),
            open,
            pace: pace.unwrap_or(1.0),
        });
        let entries: Vec<IpAddr> = {
            let mut entries = self.entries.borrow_mut();
            entries.retain(|_, until| now < *until);
            entries.keys().copied().collect()
        };
        for entry in entries {
            self.send(entry, &word).await;
        }
    }

    /// The agent of the group's lead.
    pub(super) fn lead_agent(&self) -> Option<IpAddr> {
        self.seats.borrow().get(0).map(|seat| seat.agent)
    }

    /// Reads what the own rank's requests chose and tells the lead.
    pub async fn sample(&self, born: u64) {
        let now = self.clock.now();
        if now.saturating_sub(self.chosen.get()) < self.choices_every() {
            return;
        }
        let Some(choice) = self.rank.choices().await else {
            return;
        };
        self.chosen.set(now);
        let Some(state) = self
            .state()
            .filter(|state| state.report.epoch == choice.epoch)
        else {
            return;
        };
        let (incarnation, before) = self.counts.replace((born, choice.counts.clone()));
        if incarnation != born || before.len() != choice.counts.len() {
            // Counts begin anew with the rank; there is nothing to compare with.
            return;
        }
        let more = |(now, before): (&u64, &u64)| {
            u32::try_from(now.saturating_sub(*before)).unwrap_or(u32::MAX)
        };
        let counts: Vec<u32> = choice.counts.iter().zip(&before).map(more).collect();
        if counts.iter().all(|count| *count == 0) {
            return;
        }
        for (number, counts) in counts.chunks(COUNTS).enumerate() {
            let choices = Choices {
                group: state.group,
                epoch: state.report.epoch,
                rank: state.rank,
                from: u32::try_from(number * COUNTS).unwrap_or(u32::MAX),
                counts: counts.to_vec(),
            };
            self.to_lead(Word::Choices(choices)).await;
        }
    }

    /// Tells the lead what the own rank holds, where that changed or was told
    /// long ago.
    pub async fn tell_held(&self, again: Duration) {
        let Some(state) = self.state() else {
            return;
        };
        let now = self.clock.now();
        let (epoch, map, at) = self.told.get();
        let Report {
            epoch: now_epoch,
            map: now_map,
            ..
        } = state.report;
        if (epoch, map) == (now_epoch, now_map) && now.saturating_sub(at) < again {
            return;
        }
        let Some(held) = self.rank.experts().await else {
            return;
        };
        self.told.set((now_epoch, held.version, now));
        let held = Held {
            group: state.group,
            epoch: now_epoch,
            rank: state.rank,
            version: held.version,
            experts: held.experts,
        };
        self.to_lead(Word::Held(held)).await;
    }

    /// Gives the lead a word, who may be this agent itself.
    pub(super) async fn to_lead(&self, word: Word) {
        let Some(agent) = self.lead_agent() else {
            return;
        };
        if agent != self.settings.address {
            self.send(agent, &word).await;
            return;
        }
        match word {
            Word::Choices(choices) => self.count(&choices),
            Word::Held(held) => {
                if let Some(lead) = &mut *self.lead.borrow_mut() {
                    lead.held(held);
                }
            }
            _ => {}
        }
    }
}
