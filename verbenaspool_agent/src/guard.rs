//! Closes an admitted attempt in the ledger however its request ends.

use std::{rc::Rc, time::Duration};

use verbenaspool_coordination::attempt::{Ending, Key};
use verbenaspool_transport::trace::span::{Kind, Span};

use crate::{
    crashes::{self, Subject},
    shared::Shared,
};

/// An admitted attempt. If it is dropped without [`close`](Self::close), the ledger
/// records it as interrupted, so that no code path leaves an attempt running forever.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    shared: Rc<Shared>,
    key: Key,
    ending: Ending,
    /// What the request is known by, if its entry sent that.
    subject: Option<Subject>,
    /// When the upstream started its response.
    response_started: Option<Duration>,
    /// Whether the upstream has sent a part of its response's body.
    written: bool,
    /// The span of the request to the upstream; it ends with the last byte of the response.
    upstream_span: Span,
    /// The agent's own span; it ends after the upstream's.
    _agent_span: Span,
}

impl AttemptGuard {
    pub(crate) fn new(
        shared: Rc<Shared>,
        key: Key,
        subject: Option<Subject>,
        agent_span: Span,
    ) -> Self {
        Self {
            shared,
            key,
            ending: Ending::Broken,
            subject,
            response_started: None,
            written: false,
            upstream_span: agent_span.child("agent to upstream", Kind::Client),
            _agent_span: agent_span,
        }
    }

    /// Records that the upstream started its response.
    pub(crate) fn start_response(&mut self) {
        self.response_started = Some(self.shared.clock.now());
    }

    /// Records that the upstream sent a part of its response's body.
    pub(crate) fn record_written(&mut self) {
        self.written = true;
    }

    /// Closes the attempt with the given ending.
    pub(crate) fn close(mut self, ending: Ending) {
        self.ending = ending;
        if let Some(subject) = self.subject.take().filter(|_| ending == Ending::Broken) {
            let now = self.shared.clock.now();
            let ran = self
                .response_started
                .map(|started| now.saturating_sub(started));
            let shared = self.shared.clone();
            monoio::spawn(crashes::detect(shared, subject, ran, self.written));
        }
    }

    pub(crate) fn shared(&self) -> &Rc<Shared> {
        &self.shared
    }

    /// The trace context to send to the upstream.
    pub(crate) fn trace_context(&self) -> String {
        self.upstream_span.context().to_string()
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        match self.ending {
            Ending::Ran => {}
            Ending::NotRun => self.upstream_span.fail("not sent"),
            Ending::Broken => self.upstream_span.fail("broke off"),
        }
        self.shared.meter.count_ending(self.ending);
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.finish(self.key, self.ending);
    }
}
