//! The entry: accepts callers' requests and forwards each to an upstream.

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
mod recent_claims;
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
    balancer::Balancer,
    member::Peer,
    quarantine::{Quarantine, Subject},
    share,
    snapshot::Snapshot,
};
use verbenaspool_protocol::{
    attempt, digest, header,
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
        server::{self, Connections, Handler, Limits, ResponseFuture},
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
    recent_claims::RecentClaims,
    table::Table,
    upload::{Bounds, Fault, Upload},
    upstreams::Directory,
};

/// Options of an entry process.
#[derive(Debug, Clone)]
pub struct Options {
    /// The firm that the entry serves.
    pub firm: Name,
    /// The entry's own name among the firm's entry instances.
    pub name: Name,
    /// The availability zone that the entry runs in.
    pub zone: Name,
    /// Limits on connections and request heads.
    pub limits: Limits,
    /// Limits on request bodies.
    pub bounds: Bounds,
    /// Timeout for connecting to an agent.
    pub connect_timeout: Duration,
}

/// The services of the process that the entry uses.
#[derive(Clone)]
pub struct Dependencies {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The logger.
    pub log: Logger,
    /// The tracer that records spans.
    pub tracer: Rc<Tracer>,
    /// The metrics.
    pub metrics: Registry,
    /// The platform's object store, if there is one.
    pub store: Option<Rc<dyn Store>>,
}

impl Dependencies {
    /// Dependencies without a log, spans or a platform, for tests.
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

/// Generates the ids of this process's attempts.
#[derive(Debug)]
pub struct Attempts {
    incarnation: u64,
    counter: Cell<u64>,
}

impl Attempts {
    /// Returns the id of the next attempt.
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

    /// Returns a random seed that differs between processes and changes with each new attempt.
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

/// The state of the entry process.
pub struct Entry {
    options: Options,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The logger.
    pub log: Logger,
    /// The tracer that records spans.
    pub tracer: Rc<Tracer>,
    /// The metrics.
    pub metrics: Registry,
    /// The platform's object store, if there is one.
    pub store: Option<Rc<dyn Store>>,
    /// The client for requests to agents.
    pub client: Client,
    /// The client for control calls to agents.
    pub rpc: rpc::Client,
    /// The known upstreams and their addresses.
    pub upstreams: Directory,
    /// The generator of attempt ids.
    pub attempts: Attempts,
    /// The open connections of callers.
    pub connections: Connections,
    table: RefCell<Option<Rc<Table>>>,
    services: RefCell<HashMap<Name, ServiceState>>,
    peers: RefCell<Vec<Peer>>,
    draining: Cell<bool>,
    quarantine: RefCell<Quarantine>,
    /// The claims that this entry made lately.
    recent_claims: RecentClaims,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

/// The queue and the metrics of one service.
#[derive(Clone)]
struct ServiceState {
    queue: Rc<Queue>,
    meter: Rc<Meter>,
}

impl Entry {
    /// Creates an entry without a configuration, which rejects all requests.
    #[must_use]
    pub fn new(options: Options, clock: Rc<dyn Clock>) -> Rc<Self> {
        Self::with_dependencies(options, Dependencies::minimal(clock))
    }

    /// Creates an entry with the given dependencies.
    #[must_use]
    pub fn with_dependencies(options: Options, dependencies: Dependencies) -> Rc<Self> {
        let client = Client::new(options.connect_timeout);
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
            connections: Connections::default(),
            table: RefCell::default(),
            services: RefCell::default(),
            peers: RefCell::default(),
            draining: Cell::new(false),
            quarantine: RefCell::default(),
            recent_claims: RecentClaims::default(),
        })
    }

    /// Writes claims again that the store has lost by coming back from an older copy, for as long
    /// as the process runs.
    pub async fn restore_claims(self: Rc<Self>) {
        if let Some(store) = self.store.clone() {
            recent_claims::write_again(self, store).await;
        }
    }

    /// The firm that the entry serves.
    #[must_use]
    pub fn firm(&self) -> &Name {
        &self.options.firm
    }

    /// Whether the entry is ready for new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining.get() && self.version() > Version::default()
    }

    /// Marks the entry as not ready because the process is about to stop. Requests that still
    /// arrive are served.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// The version of the active configuration; zero before the first.
    #[must_use]
    pub fn version(&self) -> Version {
        self.table
            .borrow()
            .as_ref()
            .map_or(Version::default(), |table| table.version)
    }

    /// Activates a version of the firm's file. A version that is not newer than the active one,
    /// or that is for another firm, is ignored.
    pub fn apply_configuration(&self, version: Version, file: &File) {
        if version <= self.version() || file.firm != self.options.firm {
            return;
        }
        let table = Rc::new(Table::new(version, file));
        self.update_queues(&table);
        self.table.replace(Some(table));
        info!(self.log, "configuration activated"; "version" => version.0);
    }

    /// Replaces the list of the firm's upstreams.
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

    /// Replaces the names of the zone's entries, which include this one.
    ///
    /// For a large service, each entry uses a subset of the upstreams, which every entry
    /// computes from the list of entries. Entries that didn't know of each other would all
    /// choose the same few upstreams, and the others would be idle.
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

    /// Serves callers until the signal fires and the last request has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, signal: Signal) {
        monoio::spawn(reports::run(Rc::downgrade(&self), signal.clone()));
        let limits = self.options.limits.clone();
        let (connections, log) = (self.connections.clone(), self.log.clone());
        server::serve_and_log(listener, limits, self, connections, signal, log).await;
    }

    /// Creates or reconfigures the queue of each service. An existing queue keeps its waiting
    /// requests and gets the new settings.
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

    /// The upstreams in the subsets of all services' balancers.
    #[must_use]
    pub fn subset_upstreams(&self) -> Vec<Name> {
        let snapshots = self.snapshots().into_iter();
        let upstreams = snapshots.flat_map(|(_, snapshot)| snapshot.upstreams);
        upstreams.map(|upstream| upstream.name).collect()
    }

    /// Snapshots of the decisions of each service's balancer.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(Name, Snapshot)> {
        let services = self.services.borrow();
        let snapshots = services.iter().map(|(name, state)| {
            let snapshot = state.queue.snapshot();
            (name.clone(), snapshot)
        });
        snapshots.collect()
    }

    /// Records the load that an agent reported for its upstream.
    pub fn record_load(&self, upstream: &Name, load: &Load) {
        let Some((service, load)) = self.upstreams.record_load(upstream, load) else {
            return;
        };
        if let Some(queue) = self.service_queue(&service) {
            queue.with(|balancer, now| balancer.load_report(now, upstream, &load));
        }
    }

    /// The queue of a service, if the service is configured.
    fn service_queue(&self, service: &Name) -> Option<Rc<Queue>> {
        let services = self.services.borrow();
        services.get(service).map(|state| state.queue.clone())
    }

    /// Creates the queue and the metrics of a service.
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

    /// Checks a request, finds its service and prepares it for forwarding.
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
        let subject = body.map(|body| {
            let path = parts.uri.path_and_query();
            let path = path.map_or(parts.uri.path(), PathAndQuery::as_str);
            let (customer, service) = (customer.name.as_str(), service.name.as_str());
            let blocks = prompt.blocks.iter();
            Subject {
                request: Fingerprint::of(Some(customer), path, &body.concat()),
                service: digest::hash(service),
                customer: digest::hash(customer),
                parts: blocks
                    .map(|block| Fingerprint::of_part(service, &block.to_le_bytes()))
                    .collect(),
            }
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
            subject,
            prompt,
            observation,
        })
    }

    /// Starts the span and the measurement of a request.
    fn observe(&self, state: &ServiceState, received_at: Duration, parts: &Parts) -> Observation {
        let parent =
            exchange::header_text(&parts.headers, header::TRACEPARENT).and_then(Context::parse);
        let span = self
            .tracer
            .root(parent, "caller to entry", span::Kind::Server);
        Observation::new(state.meter.clone(), self.clock.clone(), received_at, span)
    }

    /// Checks the request's headers and starts to read its body.
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
        // Waits for the first bytes of the body, so that a sender that sends only a head takes
        // no place in the queue and no slot of an upstream.
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

/// A checked request: the caller's options, the URI relative to the service's path, the body,
/// the estimate of its work, and the whole body if it is small.
type Checked = (caller::Options, Uri, Upload, Prompt, Option<Vec<Bytes>>);

impl Handler for Entry {
    fn handle(self: Rc<Self>, _peer: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        Box::pin(self.respond(request))
    }
}

/// The rejection while the entry has no configuration.
fn not_ready() -> Problem {
    Problem::not_run(Code::NotReady, "The instance has no configuration yet.")
        .with_retry_after(Duration::from_secs(1))
}

/// The rejection for a body that failed before any of it was forwarded.
fn upload_problem(fault: Fault) -> Problem {
    let (code, message) = match fault {
        Fault::TooLarge => (Code::TooLarge, "The body is too large."),
        Fault::Slow => (Code::SlowSender, "The body did not come in time."),
        Fault::Broken | Fault::NotReplayable => (Code::BadRequest, "The body broke off."),
    };
    Problem::not_run(code, message)
}

/// The path and query relative to the service's path.
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
