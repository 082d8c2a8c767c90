//! The entry: takes callers' requests and passes each to an upstream.

pub mod admin;
mod answer;
pub mod caller;
mod claim;
pub mod events;
mod exchange;
mod forward;
pub mod observe;
pub mod prompt;
mod quarantine;
mod queue;
pub mod reply;
mod reports;
pub mod table;
pub mod upload;
pub mod upstreams;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, Uri, request::Parts, uri::PathAndQuery};
use http_body::Body as _;
use hyper::body::Incoming;
use monoio::net::TcpListener;
use rand::Rng;
use slog::{Logger, info};
use verbenaspool_policy::{
    balancer::Balancer, member::Peer, quarantine::Quarantine, share, snapshot::Snapshot,
};
use verbenaspool_protocol::{
    attempt, header,
    load::Load,
    outcome::Outcome,
    problem::{Code, Problem},
};
use verbenaspool_state::{
    file::File, fingerprint::Fingerprint, name::Name, service::Kind, service::Service,
    upstream::Upstream, version::Version,
};
use verbenaspool_transport::{
    clock::Clock,
    http::{
        body::Body,
        client::Client,
        server::{self, Answer, Handler, Limits, Open},
    },
    metrics::Registry,
    platform::Store,
    rpc,
    shutdown::Signal,
    trace::{Tracer, context::Context, span},
};

use self::{
    forward::Forward,
    observe::{Ended, Meter, Observation},
    prompt::Prompt,
    queue::Queue,
    table::Table,
    upload::{Bounds, Fault, Upload},
    upstreams::Directory,
};

/// The part of the process that log lines name.
const PART: &str = "Entry";

/// What an entry process is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// The firm it serves.
    pub firm: Name,
    /// Its own name among the firm's entry instances.
    pub name: Name,
    /// The availability zone it stands in.
    pub zone: Name,
    /// Bounds on connections and heads.
    pub limits: Limits,
    /// Bounds on bodies.
    pub bounds: Bounds,
    /// How long a connection to an agent may take.
    pub connect: Duration,
}

/// What the entry uses of the process around it.
#[derive(Clone)]
pub struct Dependencies {
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// The log.
    pub log: Logger,
    /// The spans.
    pub tracer: Rc<Tracer>,
    /// The metrics.
    pub metrics: Registry,
    /// The platform, where there is one.
    pub store: Option<Rc<dyn Store>>,
}

impl Dependencies {
    /// No log, no spans and no platform, as in trials.
    ///
    /// ```
    /// use verbenaspool::entry::Dependencies;
    /// use verbenaspool_transport::clock::Monotonic;
    ///
    /// assert!(Dependencies::minimal(Monotonic::start()).store.is_none());
    /// ```
    #[must_use]
    pub fn minimal(clock: Rc<dyn Clock>) -> Self {
        Self {
            log: Logger::root(slog::Discard, slog::o!()),
            tracer: Tracer::new(None, clock.clone()),
            metrics: Registry::default(),
            store: None,
            clock,
        }
    }
}

/// Counts the attempts of this process.
#[derive(Debug)]
pub struct Attempts {
    incarnation: u64,
    counter: Cell<u64>,
}

impl Attempts {
    /// The next attempt's id.
    ///
    /// ```
    /// use verbenaspool::entry::Attempts;
    ///
    /// let attempts = Attempts::default();
    /// assert_ne!(attempts.next(), attempts.next());
    /// ```
    #[must_use]
    pub fn next(&self) -> attempt::Id {
        self.counter.set(self.counter.get() + 1);
        attempt::Id {
            incarnation: self.incarnation,
            counter: self.counter.get(),
        }
    }

    /// A number that differs between processes and between calls.
    ///
    /// ```
    /// use verbenaspool::entry::Attempts;
    ///
    /// let _ = Attempts::default().seed();
    /// ```
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.incarnation ^ self.counter.get()
    }
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            incarnation: rand::rng().random(),
            counter: Cell::new(0),
        }
    }
}

/// The entry process's state.
pub struct Entry {
    options: Options,
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// The log.
    pub log: Logger,
    /// The spans.
    pub tracer: Rc<Tracer>,
    /// The metrics.
    pub metrics: Registry,
    /// The platform, where there is one.
    pub store: Option<Rc<dyn Store>>,
    /// Connections to agents.
    pub client: Client,
    /// Control calls to agents.
    pub rpc: rpc::Client,
    /// The upstreams.
    pub upstreams: Directory,
    /// The ids of attempts.
    pub attempts: Attempts,
    /// The callers' open connections.
    pub connections: Open,
    table: RefCell<Option<Rc<Table>>>,
    services: RefCell<HashMap<Name, ServiceState>>,
    peers: RefCell<Vec<Peer>>,
    draining: Cell<bool>,
    quarantine: RefCell<Quarantine>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

/// What runs for one service.
#[derive(Clone)]
struct ServiceState {
    queue: Rc<Queue>,
    meter: Rc<Meter>,
}

impl Entry {
    /// An entry without a configuration, which refuses all requests.
    #[must_use]
    pub fn new(options: Options, clock: Rc<dyn Clock>) -> Rc<Self> {
        Self::with_dependencies(options, Dependencies::minimal(clock))
    }

    /// The same with a log, spans, metrics and the platform.
    #[must_use]
    pub fn with_dependencies(options: Options, dependencies: Dependencies) -> Rc<Self> {
        let client = Client::new(options.connect);
        Rc::new(Self {
            options,
            clock: dependencies.clock,
            log: dependencies.log,
            tracer: dependencies.tracer,
            metrics: dependencies.metrics,
            store: dependencies.store,
            client,
            rpc: rpc::Client::default(),
            upstreams: Directory::default(),
            attempts: Attempts::default(),
            connections: Open::default(),
            table: RefCell::default(),
            services: RefCell::default(),
            peers: RefCell::default(),
            draining: Cell::new(false),
            quarantine: RefCell::default(),
        })
    }

    /// The firm that the entry serves.
    #[must_use]
    pub fn firm(&self) -> &Name {
        &self.options.firm
    }

    /// Whether new callers may be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.draining.get() && self.version() > Version::default()
    }

    /// Says that the process is about to stop: it is not ready any more, and
    /// goes on serving who comes all the same.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// The version in force; zero before the first.
    #[must_use]
    pub fn version(&self) -> Version {
        self.table
            .borrow()
            .as_ref()
            .map_or(Version::default(), |table| table.version)
    }

    /// Puts a version of the firm's file in force. An older one than is in
    /// force, or another firm's, changes nothing.
    pub fn apply_configuration(&self, version: Version, file: &File) {
        if version <= self.version() || file.firm != self.options.firm {
            return;
        }
        let table = Rc::new(Table::new(version, file));
        self.update_queues(&table);
        self.table.replace(Some(table));
        info!(self.log, "{}: Put a version in force.", PART; "version" => version.0);
    }

    /// Takes the firm's whole list of upstreams.
    pub fn set_upstreams(&self, upstreams: &[Upstream]) {
        self.upstreams.replace(self.firm(), upstreams);
        let table = self.table.borrow().clone();
        let services = self.services.borrow();
        for service in table.iter().flat_map(|table| &table.services) {
            let Some(state) = services.get(&service.name) else {
                continue;
            };
            let members = self.upstreams.members(service);
            state
                .queue
                .with(|balancer, now| balancer.set_members(now, &members));
        }
    }

    /// Takes the names of the zone's entries, this one among them.
    ///
    /// The upstreams of a large service pick the entries that may use them, and
    /// every entry works the picks out for itself. Entries that knew nothing of
    /// each other would all come to the same few upstreams, and the others would
    /// stand idle.
    pub fn set_peers(&self, names: &[Name]) {
        let zone = &self.options.zone;
        let peer = |name: &Name| Peer {
            name: name.clone(),
            zone: zone.clone(),
        };
        let peers: Vec<Peer> = names.iter().map(peer).collect();
        for state in self.services.borrow().values() {
            state
                .queue
                .with(|balancer, now| balancer.set_peers(now, &peers));
        }
        self.peers.replace(peers);
    }

    /// Serves callers until the signal comes and the last request has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, signal: Signal) {
        monoio::spawn(reports::run(Rc::downgrade(&self), signal.clone()));
        let limits = self.options.limits.clone();
        let connections = self.connections.clone();
        server::serve(listener, limits, self, connections, signal).await;
    }

    /// Gives each service of a file its queue; a queue that was there goes on
    /// with the new settings, and so do those who wait in it.
    fn update_queues(&self, table: &Table) {
        let shares = table.customers.iter();
        let shares = shares.map(|customer| (customer.name.clone(), customer.share));
        let shares: Rc<share::Table> = Rc::new(shares.collect());
        let peers = self.peers.borrow();
        let mut services = self.services.borrow_mut();
        let mut previous = std::mem::take(&mut *services);
        for service in &table.services {
            let existing = previous.remove(&service.name);
            let state = existing.unwrap_or_else(|| self.new_service_state(service));
            let members = self.upstreams.members(service);
            state.queue.with(|balancer, now| {
                balancer.configure(now, &service.decisions, &shares);
                balancer.set_peers(now, &peers);
                balancer.set_members(now, &members);
            });
            services.insert(service.name.clone(), state);
        }
    }

    /// The upstreams that the balancers work with.
    #[must_use]
    pub fn subset_upstreams(&self) -> Vec<Name> {
        let snapshots = self.snapshots().into_iter();
        let upstreams = snapshots.flat_map(|(_, snapshot)| snapshot.upstreams);
        upstreams.map(|upstream| upstream.name).collect()
    }

    /// What each service's balancer has decided so far.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(Name, Snapshot)> {
        let services = self.services.borrow();
        let snapshots = services.iter().map(|(name, state)| {
            let snapshot = state.queue.snapshot();
            (name.clone(), snapshot)
        });
        snapshots.collect()
    }

    /// Takes in an agent's word about its load.
    pub fn record_load(&self, upstream: &Name, load: &Load) {
        let Some((service, load)) = self.upstreams.record_load(upstream, load) else {
            return;
        };
        if let Some(queue) = self.queue_of(&service) {
            queue.with(|balancer, now| balancer.load_report(now, upstream, &load));
        }
    }

    /// The queue of a service.
    fn queue_of(&self, service: &Name) -> Option<Rc<Queue>> {
        let services = self.services.borrow();
        services.get(service).map(|state| state.queue.clone())
    }

    /// A new queue and new metrics for a service.
    fn new_service_state(&self, service: &Service) -> ServiceState {
        let options = &self.options;
        let seed = rand::rng().random();
        let balancer = Balancer::new(
            &service.decisions,
            options.name.clone(),
            options.zone.clone(),
            seed,
        );
        ServiceState {
            queue: Queue::start(balancer, self.clock.clone()),
            meter: Meter::new(&self.metrics, service.name.as_str()),
        }
    }

    /// Answers one request.
    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        match self.prepare(request).await {
            Ok(forward) => Rc::new(forward).run().await,
            Err(problem) => reply::problem(&problem),
        }
    }

    /// Checks a request and finds its service.
    async fn prepare(self: Rc<Self>, request: Request<Incoming>) -> Result<Forward, Problem> {
        let received_at = self.clock.now();
        let table = self.table.borrow().clone().ok_or_else(not_ready)?;
        let (parts, body) = request.into_parts();
        let customer = table.customer(caller::credential(&parts.headers)?)?;
        let service = table.service(parts.uri.path())?;
        table::check_access(customer, &service.name)?;
        let state = self.services.borrow().get(&service.name).cloned();
        let state = state.ok_or_else(not_ready)?;
        let observation = self.observe(&state, received_at, &parts);
        let checked = self.check(&parts, body, service).await;
        let (options, uri, upload, prompt, body) = match checked {
            Ok(checked) => checked,
            Err(problem) => {
                observation.end(Ended::Outcome(Outcome::NotRun));
                return Err(problem);
            }
        };
        observation.set_attribute("customer", customer.name.as_str());
        let default_deadline = Duration::from_millis(service.decisions.deadline_ms);
        let fingerprint = body.map(|body| {
            let path = parts.uri.path_and_query();
            let path = path.map_or(parts.uri.path(), PathAndQuery::as_str);
            Fingerprint::of(Some(customer.name.as_str()), path, &body.concat())
        });
        let headers = exchange::forwarded_headers(parts.headers);
        Ok(Forward {
            idempotent: caller::is_idempotent(service, &parts.method, uri.path()),
            service: service.clone(),
            customer: customer.name.clone(),
            priority: options.priority,
            deadline: received_at + options.deadline.unwrap_or(default_deadline),
            deadline_from_caller: options.deadline.is_some(),
            key: options.key,
            queue: state.queue,
            method: parts.method,
            entry: self,
            uri,
            headers,
            upload,
            fingerprint,
            prompt,
            observation,
        })
    }

    /// Starts to observe a request.
    fn observe(&self, state: &ServiceState, received_at: Duration, parts: &Parts) -> Observation {
        let parent =
            exchange::header_text(&parts.headers, header::TRACEPARENT).and_then(Context::parse);
        let span = self
            .tracer
            .root(parent, "caller to entry", span::Kind::Server);
        Observation::new(state.meter.clone(), self.clock.clone(), received_at, span)
    }

    /// Checks what the caller says and begins to read its body.
    async fn check(
        &self,
        parts: &Parts,
        body: Incoming,
        service: &Service,
    ) -> Result<Checked, Problem> {
        let options = caller::read_options(&parts.headers)?;
        let uri = relative_uri(parts, service)?;
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > self.options.bounds.max_bytes) {
            return Err(Problem::not_run(Code::TooLarge, "The body is too large."));
        }
        let upload = Upload::new(body.into(), self.options.bounds, self.clock.clone());
        // A sender that gives only a head takes no place in the queue and no
        // slot of an upstream: the first of the body must be here.
        let first = upload.first_chunk().await.map_err(upload_problem)?;
        let prompt = match (&service.kind, first) {
            (Kind::Model(_), Some(first)) => prompt::estimate(&first, length),
            _ => Prompt::default(),
        };
        let body = match length {
            Some(length) if length <= upload::MAX_REPLAY_BYTES as u64 => {
                Some(upload.read_to_end().await.map_err(upload_problem)?)
            }
            _ => None,
        };
        Ok((options, uri, upload, prompt, body))
    }
}

/// A checked request: what its caller asks for, the path below its service's own, its body
/// and the estimate of its work, and the whole body where that is small.
type Checked = (caller::Options, Uri, Upload, Prompt, Option<Vec<Bytes>>);

impl Handler for Entry {
    fn handle(self: Rc<Self>, _peer: SocketAddr, request: Request<Incoming>) -> Answer {
        Box::pin(self.respond(request))
    }
}

/// The entry has no configuration yet.
fn not_ready() -> Problem {
    Problem::not_run(Code::NotReady, "The instance has no configuration yet.")
        .after(Duration::from_secs(1))
}

/// A body that was faulty before any of it was passed on.
fn upload_problem(fault: Fault) -> Problem {
    let (code, message) = match fault {
        Fault::TooLarge => (Code::TooLarge, "The body is too large."),
        Fault::Slow => (Code::SlowSender, "The body did not come in time."),
        Fault::Broken | Fault::NotReplayable => (Code::BadRequest, "The body broke off."),
    };
    Problem::not_run(code, message)
}

/// The path and query below the service's own path.
fn relative_uri(parts: &Parts, service: &Service) -> Result<Uri, Problem> {
    let path = parts.uri.path();
    let rest = &path[service.path.trim_end_matches('/').len()..];
    let rest = if rest.is_empty() { "/" } else { rest };
    let uri = match parts.uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    uri.parse()
        .map_err(|_| Problem::not_run(Code::BadRequest, "The path can't be understood."))
}
