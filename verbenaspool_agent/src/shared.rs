//! State shared by the parts of an agent process, all on its one event loop.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use slog::{Logger, info};

use verbenaspool_coordination::attempt::{Ledger, Limits};
use verbenaspool_protocol::load::Load;
use verbenaspool_transport::{clock::Clock, http::client::Client, trace::Tracer};

use crate::{crashes::Crashes, meter::Meter, poll::View, settings::Settings};

/// Timeout for connecting to the upstream on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by the parts of an agent process.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Random number of the process, so that no two processes have the same.
    pub(crate) number: u64,
    /// The instance, in the form that entries send in [`verbenaspool_protocol::header::INSTANCE`].
    pub(crate) identity: String,
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) ledger: RefCell<Ledger>,
    pub(crate) engine: RefCell<View>,
    /// Sends all requests, reads and orders to the upstream, which may want none for a time.
    pub(crate) client: Client,
    pub(crate) meter: Meter,
    pub(crate) tracer: Rc<Tracer>,
    pub(crate) crashes: Crashes,
    sequence: Cell<u64>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, log: Logger, clock: Rc<dyn Clock>) -> Self {
        let limits = Limits {
            max_running: settings.limits.requests,
            max_closed: settings.limits.remembered,
            ..Limits::default()
        };
        let idle_timeout = Duration::from_millis(settings.upstream.idle_ms);
        Self {
            number: rand::random(),
            identity: settings.identity().to_string(),
            meter: Meter::default(),
            tracer: Tracer::new(settings.traces.as_ref(), clock.clone()),
            client: Client::new(CONNECT_TIMEOUT)
                .with_idle_timeout(idle_timeout)
                .with_backoff(),
            settings,
            log,
            clock,
            ledger: RefCell::new(Ledger::new(limits)),
            engine: RefCell::default(),
            crashes: Crashes::default(),
            sequence: Cell::new(0),
        }
    }

    pub(crate) fn upstream(&self) -> SocketAddr {
        self.settings.upstream.address
    }

    /// Maximum time that the upstream may take for one request.
    pub(crate) fn max_request_time(&self) -> Duration {
        Duration::from_secs(self.settings.limits.longest_seconds)
    }

    /// The current load, with the next sequence number.
    pub(crate) fn load(&self) -> Load {
        self.sequence.set(self.sequence.get() + 1);
        let ledger = self.ledger.borrow();
        let engine = self.engine.borrow();
        Load {
            agent: self.number,
            sequence: self.sequence.get(),
            running: u32::try_from(ledger.running()).unwrap_or(u32::MAX),
            queued: engine.queued(),
            tokens: engine.tokens(),
            leaving: ledger.leaving(),
        }
    }

    /// Rejects all new attempts from now on.
    pub(crate) fn leave(&self) {
        if self.ledger.borrow().leaving() {
            return;
        }
        self.ledger.borrow_mut().leave();
        info!(self.log, "agent is leaving"; "in_flight" => self.ledger.borrow().running());
    }
}
