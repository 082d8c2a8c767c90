//! The schedule: which step runs on which map. The lead keeps one of the steps
//! that it granted, and each rank one of the steps that it has yet to run.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// A range of steps that run on one map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// The first step.
    pub from: u64,
    /// The last step, inclusive.
    pub to: u64,
    /// The epoch of the map.
    pub epoch: u64,
}

/// A contiguous list of spans in step order.
///
/// It rejects a second map for a step. This is the invariant that the whole group
/// protocol maintains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The spans; each starts right after the previous one ends.
    spans: VecDeque<Span>,
}

impl Schedule {
    /// Returns the last step, or `None` if the schedule is empty.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::{Schedule, Span};
    ///
    /// let mut schedule = Schedule::default();
    /// assert_eq!(schedule.top(), None);
    /// schedule.merge(&[Span { from: 1, to: 8, epoch: 1 }])?;
    /// assert_eq!(schedule.top(), Some(8));
    /// # Ok::<(), verbenaspool_coordination::group::schedule::Error>(())
    /// ```
    #[must_use]
    pub fn top(&self) -> Option<u64> {
        self.spans.back().map(|span| span.to)
    }

    /// Returns the first step, or `None` if the schedule is empty.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::Schedule;
    ///
    /// assert_eq!(Schedule::default().first(), None);
    /// ```
    #[must_use]
    pub fn first(&self) -> Option<u64> {
        self.spans.front().map(|span| span.from)
    }

    /// Returns the epoch that a step runs on, if the step is scheduled.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::{Schedule, Span};
    ///
    /// let mut schedule = Schedule::default();
    /// schedule.merge(&[Span { from: 1, to: 8, epoch: 1 }])?;
    /// assert_eq!(schedule.epoch(8), Some(1));
    /// assert_eq!(schedule.epoch(9), None);
    /// # Ok::<(), verbenaspool_coordination::group::schedule::Error>(())
    /// ```
    #[must_use]
    pub fn epoch(&self, step: u64) -> Option<u64> {
        let mut spans = self.spans.iter();
        let span = spans.find(|span| span.from <= step && step <= span.to)?;
        Some(span.epoch)
    }

    /// Adds spans. Steps that are scheduled already must have the same epoch, and
    /// new steps must follow the last one. On error the schedule is unchanged.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::{Error, Schedule, Span};
    ///
    /// let mut schedule = Schedule::default();
    /// schedule.merge(&[Span { from: 1, to: 8, epoch: 1 }]).unwrap();
    /// let other = Span { from: 8, to: 9, epoch: 2 };
    /// assert_eq!(schedule.merge(&[other]), Err(Error::Conflict { step: 8, listed: 1, found: 2 }));
    /// let later = Span { from: 10, to: 12, epoch: 1 };
    /// assert_eq!(schedule.merge(&[later]), Err(Error::Gap { top: 8 }));
    /// ```
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] for a second map on a step, [`Error::Gap`] for missing
    /// steps, [`Error::Empty`] for a span without steps.
    pub fn merge(&mut self, spans: &[Span]) -> Result<(), Error> {
        let mut merged = self.clone();
        for &span in spans {
            merged.add(span)?;
        }
        *self = merged;
        Ok(())
    }

    /// Adds one span.
    fn add(&mut self, span: Span) -> Result<(), Error> {
        if span.from > span.to {
            return Err(Error::Empty);
        }
        for listed in &self.spans {
            let step = span.from.max(listed.from);
            if step <= span.to.min(listed.to) && listed.epoch != span.epoch {
                return Err(Error::Conflict {
                    step,
                    listed: listed.epoch,
                    found: span.epoch,
                });
            }
        }
        let Some(last) = self.spans.back_mut() else {
            self.spans.push_back(span);
            return Ok(());
        };
        if span.to <= last.to {
            return Ok(());
        }
        if span.from > last.to + 1 {
            return Err(Error::Gap { top: last.to });
        }
        if last.epoch == span.epoch {
            last.to = span.to;
        } else {
            let from = last.to + 1;
            self.spans.push_back(Span { from, ..span });
        }
        Ok(())
    }

    /// Removes the steps up to and including `done`.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::{Schedule, Span};
    ///
    /// let mut schedule = Schedule::default();
    /// schedule.merge(&[Span { from: 1, to: 8, epoch: 1 }])?;
    /// schedule.trim(6);
    /// assert_eq!(schedule.after(0), [Span { from: 7, to: 8, epoch: 1 }]);
    /// # Ok::<(), verbenaspool_coordination::group::schedule::Error>(())
    /// ```
    pub fn trim(&mut self, done: u64) {
        while self.spans.front().is_some_and(|span| span.to <= done) {
            self.spans.pop_front();
        }
        if let Some(span) = self.spans.front_mut() {
            span.from = span.from.max(done + 1);
        }
    }

    /// Removes the steps after `top`.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::{Schedule, Span};
    ///
    /// let mut schedule = Schedule::default();
    /// schedule.merge(&[Span { from: 1, to: 8, epoch: 1 }])?;
    /// schedule.cut(6);
    /// assert_eq!(schedule.top(), Some(6));
    /// # Ok::<(), verbenaspool_coordination::group::schedule::Error>(())
    /// ```
    pub fn cut(&mut self, top: u64) {
        while self.spans.back().is_some_and(|span| span.from > top) {
            self.spans.pop_back();
        }
        if let Some(span) = self.spans.back_mut() {
            span.to = span.to.min(top);
        }
    }

    /// Returns the spans of the steps after `step`.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::{Schedule, Span};
    ///
    /// let mut schedule = Schedule::default();
    /// schedule.merge(&[Span { from: 1, to: 8, epoch: 1 }])?;
    /// assert_eq!(schedule.after(7), [Span { from: 8, to: 8, epoch: 1 }]);
    /// # Ok::<(), verbenaspool_coordination::group::schedule::Error>(())
    /// ```
    #[must_use]
    pub fn after(&self, step: u64) -> Vec<Span> {
        let mut rest = self.clone();
        rest.trim(step);
        rest.spans.into()
    }

    /// Returns the epochs in step order.
    ///
    /// ```
    /// use verbenaspool_coordination::group::schedule::{Schedule, Span};
    ///
    /// let mut schedule = Schedule::default();
    /// schedule.merge(&[Span { from: 1, to: 8, epoch: 1 }])?;
    /// assert_eq!(schedule.epochs().collect::<Vec<_>>(), [1]);
    /// # Ok::<(), verbenaspool_coordination::group::schedule::Error>(())
    /// ```
    pub fn epochs(&self) -> impl Iterator<Item = u64> {
        self.spans.iter().map(|span| span.epoch)
    }
}

/// Why spans can't be added to a schedule.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The step is scheduled on another map.
    #[error("step {step} is scheduled on epoch {listed}, not on {found}")]
    Conflict {
        /// The first such step.
        step: u64,
        /// The epoch in the schedule.
        listed: u64,
        /// The epoch in the added span.
        found: u64,
    },
    /// There are unscheduled steps between the schedule's end and the span.
    #[error("the span leaves a gap after step {top}")]
    Gap {
        /// The last step of the schedule.
        top: u64,
    },
    /// The span ends before it starts.
    #[error("the span contains no steps")]
    Empty,
}
