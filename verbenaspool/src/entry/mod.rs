//! The entry: takes callers' requests and passes each to an upstream.

pub mod answer;
pub mod caller;
pub mod forward;
pub mod queue;
pub mod reply;
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
use http::{Request, Response, Uri, request::Parts};
use http_body::Body as _;
use hyper::body::Incoming;
use monoio::net::TcpListener;
use rand::Rng;
use verbenaspool_policy::balancer::Balancer;
use verbenaspool_protocol::{
    attempt,
    problem::{Code, Problem},
};
use verbenaspool_state::{
    file::File, name::Name, service::Kind, service::Service, upstream::Upstream, version::Version,
};
use verbenaspool_transport::{
    clock::Clock,
    http::{
        body::Body,
        client::Client,
        server::{self, Answer, Handler, Limits, Open},
    },
    rpc,
    shutdown::Signal,
};

use self::{
    forward::Forward,
    queue::Queue,
    table::Table,
    upload::{Bounds, Fault, Upload},
    upstreams::Book,
};

/// Bytes of a prompt to a token, roughly, for the estimate of its work.
const BYTES_PER_TOKEN: u64 = 4;

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
#[derive(Debug)]
pub struct Entry {
    options: Options,
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// Connections to agents.
    pub client: Client,
    /// Control calls to agents.
    pub rpc: rpc::Client,
    /// The upstreams.
    pub upstreams: Book,
    /// The ids of attempts.
    pub attempts: Attempts,
    /// The callers' open connections.
    pub open: Open,
    table: RefCell<Option<Rc<Table>>>,
    queues: RefCell<HashMap<Name, Rc<Queue>>>,
}

impl Entry {
    /// An entry without a configuration, which refuses all requests.
    #[must_use]
    pub fn new(options: Options, clock: Rc<dyn Clock>) -> Rc<Self> {
        let client = Client::new(options.connect);
        Rc::new(Self {
            options,
            clock,
            client,
            rpc: rpc::Client::default(),
            upstreams: Book::default(),
            attempts: Attempts::default(),
            open: Open::default(),
            table: RefCell::default(),
            queues: RefCell::default(),
        })
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
    pub fn adopt(&self, version: Version, file: &File) {
        if version <= self.version() || file.firm != self.options.firm {
            return;
        }
        let table = Rc::new(Table::new(version, file));
        self.requeue(&table);
        self.table.replace(Some(table));
    }

    /// Takes the firm's whole list of upstreams.
    pub fn members(&self, upstreams: &[Upstream]) {
        self.upstreams.replace(upstreams);
        for (service, queue) in self.queues.borrow().iter() {
            let members = self.upstreams.members(service);
            queue.with(|balancer, now| balancer.members(now, &members));
        }
    }

    /// Serves callers until the signal comes and the last request has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, signal: Signal) {
        let limits = self.options.limits.clone();
        let open = self.open.clone();
        server::serve(listener, limits, self, open, signal).await;
    }

    /// Gives each service of a file its queue; a queue that was there goes on
    /// with the new settings, and so do those who wait in it.
    fn requeue(&self, table: &Table) {
        let shares: Vec<_> = table
            .customers
            .iter()
            .map(|customer| (customer.name.clone(), customer.share))
            .collect();
        let mut queues = self.queues.borrow_mut();
        let mut before = std::mem::take(&mut *queues);
        for service in &table.services {
            let kept = before.remove(&service.name);
            let queue = kept.unwrap_or_else(|| self.queue(service));
            let members = self.upstreams.members(&service.name);
            queue.with(|balancer, now| {
                balancer.configure(now, &service.decisions, &shares);
                balancer.members(now, &members);
            });
            queues.insert(service.name.clone(), queue);
        }
    }

    /// A new queue for a service.
    fn queue(&self, service: &Service) -> Rc<Queue> {
        let options = &self.options;
        let seed = rand::rng().random();
        let balancer = Balancer::new(
            &service.decisions,
            options.name.clone(),
            options.zone.clone(),
            seed,
        );
        Queue::start(balancer, self.clock.clone())
    }

    /// Answers one request.
    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        match self.admit(request).await {
            Ok(forward) => forward.run().await,
            Err(problem) => reply::problem(&problem),
        }
    }

    /// Checks a request and finds its service.
    async fn admit(self: Rc<Self>, request: Request<Incoming>) -> Result<Forward, Problem> {
        let began = self.clock.now();
        let table = self.table.borrow().clone().ok_or_else(not_ready)?;
        let (parts, body) = request.into_parts();
        let customer = table.customer(caller::credential(&parts.headers)?)?;
        let service = table.service(parts.uri.path())?;
        table::permit(customer, &service.name)?;
        let wish = caller::wish(&parts.headers)?;
        let uri = below(&parts, service)?;
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > self.options.bounds.bytes) {
            return Err(Problem::not_run(Code::TooLarge, "The body is too large."));
        }
        let upload = Upload::new(body.into(), self.options.bounds, self.clock.clone());
        // A sender that gives only a head takes no place in the queue and no
        // slot of an upstream: the first of the body must be here.
        let first = upload.first().await.map_err(faulty)?;
        let wait = wish
            .deadline
            .unwrap_or(Duration::from_millis(service.decisions.deadline_ms));
        let queue = self.queues.borrow().get(&service.name).cloned();
        Ok(Forward {
            idempotent: caller::repeatable(service, &parts.method, uri.path()),
            prompt_tokens: prompt_tokens(service, length, first.as_ref()),
            max_tokens: max_tokens(service, first.as_ref()),
            prefixes: Vec::new(),
            customer: customer.name.clone(),
            priority: wish.priority,
            deadline: began + wait,
            queue: queue.ok_or_else(not_ready)?,
            method: parts.method,
            uri,
            headers: parts.headers,
            upload,
            entry: self,
        })
    }
}

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
fn faulty(fault: Fault) -> Problem {
    let (code, message) = match fault {
        Fault::TooLarge => (Code::TooLarge, "The body is too large."),
        Fault::Slow => (Code::SlowSender, "The body did not come in time."),
        Fault::Broken | Fault::Gone => (Code::BadRequest, "The body broke off."),
    };
    Problem::not_run(code, message)
}

/// The path and query below the service's own path.
fn below(parts: &Parts, service: &Service) -> Result<Uri, Problem> {
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

/// The estimated length of a prompt.
fn prompt_tokens(service: &Service, length: Option<u64>, first: Option<&Bytes>) -> u32 {
    if !matches!(service.kind, Kind::Model(_)) {
        return 0;
    }
    let bytes = length.unwrap_or_else(|| first.map_or(0, |first| first.len() as u64));
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

/// The most tokens that a request may generate, where its body says it early.
fn max_tokens(service: &Service, first: Option<&Bytes>) -> u32 {
    const KEY: &[u8] = b"\"max_tokens\"";
    if !matches!(service.kind, Kind::Model(_)) {
        return 0;
    }
    let Some(first) = first else { return 0 };
    let Some(at) = first.windows(KEY.len()).position(|window| window == KEY) else {
        return 0;
    };
    first[at + KEY.len()..]
        .iter()
        .skip_while(|byte| byte.is_ascii_whitespace() || **byte == b':')
        .take_while(|byte| byte.is_ascii_digit())
        .fold(0_u32, |number, byte| {
            number
                .saturating_mul(10)
                .saturating_add(u32::from(byte - b'0'))
        })
}
