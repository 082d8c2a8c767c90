//! An admitted attempt, closed in the ledger however its request ends.

use std::{rc::Rc, time::Duration};

use verbenaspool_coordination::attempt::{Ending, Key};
use verbenaspool_state::fingerprint::Fingerprint;
use verbenaspool_transport::trace::span::{Kind, Span};

use crate::{crashes, shared::Shared};

/// An admitted attempt. Dropped without a word it is closed as broken off, so
/// that no path through the code can leave an attempt running for ever.
#[derive(Debug)]
pub(crate) struct Flight {
    shared: Rc<Shared>,
    key: Key,
    ending: Ending,
    /// What identifies the request, where its entry says so.
    request: Option<Fingerprint>,
    /// When the upstream began to answer.
    started: Option<Duration>,
    /// The hop to the upstream, which ends with the answer's last byte.
    upstream: Span,
    /// The agent's part of the trace; it ends after the hop.
    _agent: Span,
}

impl Flight {
    pub(crate) fn new(
        shared: Rc<Shared>,
        key: Key,
        request: Option<Fingerprint>,
        agent: Span,
    ) -> Self {
        Self {
            shared,
            key,
            ending: Ending::Broken,
            request,
            started: None,
            upstream: agent.child("agent to upstream", Kind::Client),
            _agent: agent,
        }
    }

    /// The upstream has begun to answer.
    pub(crate) fn start(&mut self) {
        self.started = Some(self.shared.clock.now());
    }

    /// Closes the attempt.
    pub(crate) fn end(mut self, ending: Ending) {
        self.ending = ending;
        if let Some(request) = self.request.filter(|_| ending == Ending::Broken) {
            let now = self.shared.clock.now();
            let ran = self.started.map(|started| now.saturating_sub(started));
            monoio::spawn(crashes::detect(self.shared.clone(), request, ran));
        }
    }

    pub(crate) fn shared(&self) -> &Rc<Shared> {
        &self.shared
    }

    /// The trace context that the upstream gets.
    pub(crate) fn context(&self) -> String {
        self.upstream.context().to_string()
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        match self.ending {
            Ending::Ran => {}
            Ending::NotRun => self.upstream.fail("not sent"),
            Ending::Broken => self.upstream.fail("broke off"),
        }
        self.shared.meter.end(self.ending);
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.finish(self.key, self.ending);
    }
}
