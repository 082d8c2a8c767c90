//! Deployment under test: store, upstreams, entries and agents, with proxies between them.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{IpAddr, SocketAddr},
    ops::Range,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use monoio::net::TcpListener;
use verbenaspool_platform_standin::{
    group::{Group, Member},
    process::Process as CrashingProcess,
    store::{self, HistoryLoss, Store},
    text,
    upstream::{Behaviour, Upstream},
};
use verbenaspool_standin::address;
use verbenaspool_transport::{
    http::server::{self, Connections, Handler, Limits},
    shutdown::{self, Trigger},
};

use crate::{check::Checks, process::Process, proxy::Proxy};

/// Upstreams of each service.
pub const UPSTREAMS: usize = 3;

/// The service whose upstreams are the ranks of the group.
const RANK_SERVICE: &str = "ranks";

/// The service whose upstreams crash on some requests.
const FRAGILE_SERVICE: &str = "fragile";

/// Upstreams of [`FRAGILE_SERVICE`].
const FRAGILE_UPSTREAMS: usize = 4;

/// How long one of these upstreams takes to restart.
const RESTART_TIME: Duration = Duration::from_millis(400);

/// Route paths of [`FRAGILE_SERVICE`]: streams, and requests that may run at most once.
pub const FRAGILE_PATHS: [&str; 2] = ["stream/fragile", "fragile"];

/// The service whose upstream sends events without end.
const ENDLESS_SERVICE: &str = "endless";

/// The service for which customers compete: two upstreams with six slots each.
const CONTESTED_SERVICE: &str = "contested";

/// How long a request to [`CONTESTED_SERVICE`] takes.
const CONTESTED_WORK_TIME: Duration = Duration::from_millis(60);

/// Route path of [`ENDLESS_SERVICE`].
pub const ENDLESS_PATH: &str = "stream/endless";

/// Route path of [`CONTESTED_SERVICE`].
pub const CONTESTED_PATH: &str = "contested";

/// Route path that each version moves to another service.
pub const MOVED_PATH: &str = "moved";

/// Services between which it moves.
const MOVED_SERVICES: [&str; 2] = ["jobs", "model"];

/// Number of customers that compete.
pub const COMPETING_CUSTOMERS: usize = 4;

/// Memory of an entry's instance in megabytes.
pub const MEMORY_MB: u64 = 160;

/// Availability zones of entries. All upstreams are in the first one.
const ENTRY_ZONES: [&str; 3] = ["a", "b", "c"];

/// API key of the customer.
pub const KEY: &str = "key-1";

/// An upstream with a proxy in front of it.
#[derive(Debug)]
pub struct Server {
    /// Stand-in of the upstream.
    pub upstream: Rc<Upstream>,
    /// Proxy between entries and upstream.
    pub proxy: Rc<Proxy>,
    /// Service of the upstream.
    pub service: &'static str,
    /// When it named a limit, and until when.
    pub limited: RefCell<Vec<Range<Instant>>>,
    /// When it started again under its id, the first time aside.
    pub restarts: RefCell<Vec<Instant>>,
    /// Whether it is leaving.
    pub leaving: Cell<bool>,
    /// When the store accepted that it is leaving, each time.
    pub departures: RefCell<Vec<Instant>>,
    /// When the proxy last held up or lost requests or responses.
    pub last_cut: Cell<Option<Instant>>,
    address: SocketAddr,
}

impl Server {
    /// The entry of the upstream's current start in the registry.
    fn listed(&self, state: &str) -> String {
        let starts = self.restarts.borrow().len() + 1;
        let entry = text::registry_entry(self.service, self.address, state);
        entry.replace('{', &format!(r#"{{"born":{starts},"#))
    }
}

/// One entry of the deployment.
#[derive(Debug)]
pub struct Entry {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Process of the entry.
    pub process: Process,
}

/// Paths of the programs.
#[derive(Debug)]
pub struct Programs {
    /// Program of the entries.
    pub entry: PathBuf,
    /// Program of the agents.
    pub agent: PathBuf,
}

/// Processes, stand-ins and checks of one run.
pub struct Deployment {
    /// Stand-in of the platform's store.
    pub store: Rc<Store>,
    /// Proxy between each entry and the store.
    pub store_proxies: Vec<Rc<Proxy>>,
    /// The upstreams: first those of streams, then those of requests that may run at most once.
    pub servers: Vec<Server>,
    /// The upstreams for which customers compete, and the one that sends without end.
    pub load_upstreams: Vec<Rc<Upstream>>,
    /// The upstreams that crash on some requests.
    pub fragile: Vec<Rc<CrashingProcess>>,
    /// The entries.
    pub entries: RefCell<Vec<Entry>>,
    /// The ranks that run passes together.
    pub group: Rc<Group>,
    /// What each rank answers to its agent.
    pub members: Vec<Rc<Member>>,
    /// The agents of the ranks.
    pub agents: RefCell<Vec<Process>>,
    /// Observations and violations.
    pub checks: Checks,
    /// Version of the configuration written last.
    pub version: Cell<u64>,
    triggers: Vec<Trigger>,
}

/// Serves a handler at an unused address.
fn serve(handler: Rc<dyn Handler>, triggers: &mut Vec<Trigger>) -> io::Result<SocketAddr> {
    let address = address::fresh();
    let listener = TcpListener::bind(address)?;
    let (trigger, signal) = shutdown::channel();
    triggers.push(trigger);
    let (limits, connections) = (Limits::default(), Connections::default());
    monoio::spawn(server::serve(
        listener,
        limits,
        handler,
        connections,
        signal,
    ));
    Ok(address)
}

impl Deployment {
    /// Starts a deployment with the given numbers of entries, of availability zones that they
    /// are in, and of ranks, each with an agent. What becomes of watches as the store's history is
    /// dropped is that of the entries outside of the first zone of three.
    ///
    /// # Errors
    /// An address can't be bound, or a program can't be started.
    pub fn start(
        entries: usize,
        zones: usize,
        ranks: usize,
        loss: HistoryLoss,
        programs: &Programs,
        folder: &Path,
    ) -> io::Result<Rc<Self>> {
        let mut triggers = Vec::new();
        let store = Store::new();
        let platform = serve(store.clone(), &mut triggers)?;
        let server = store::Server {
            store: store.clone(),
            loss,
        };
        let other_platform = serve(Rc::new(server), &mut triggers)?;
        let mut servers = Vec::new();
        for number in 0..2 * UPSTREAMS {
            let service = if number < UPSTREAMS { "model" } else { "jobs" };
            let upstream = Upstream::new(&format!("i-{number}"));
            let target = serve(upstream.clone(), &mut triggers)?;
            let address = address::fresh();
            let proxy = Proxy::start(address, target)?;
            let server = Server {
                upstream,
                proxy,
                service,
                limited: RefCell::default(),
                restarts: RefCell::default(),
                leaving: Cell::default(),
                departures: RefCell::default(),
                last_cut: Cell::default(),
                address,
            };
            store.put("servers", &server.upstream.id, &server.listed("ready"));
            servers.push(server);
        }
        let endless = Upstream::new("e-0");
        endless.behaviour.set(Behaviour::Endless);
        let contested = ["c-0", "c-1"].map(Upstream::new);
        for upstream in &contested {
            upstream.work_time.set(CONTESTED_WORK_TIME);
        }
        let of_service = contested
            .iter()
            .map(|upstream| (CONTESTED_SERVICE, upstream));
        for (service, upstream) in of_service.chain([(ENDLESS_SERVICE, &endless)]) {
            let address = serve(upstream.clone(), &mut triggers)?;
            let entry = text::registry_entry(service, address, "ready");
            let slots = if service == ENDLESS_SERVICE { 500 } else { 6 };
            let entry = entry.replace(r#""slots":6"#, &format!(r#""slots":{slots}"#));
            store.put("servers", &upstream.id, &entry);
        }
        let fragile = (0..FRAGILE_UPSTREAMS).map(|number| {
            let (store, name) = (store.clone(), format!("f-{number}"));
            CrashingProcess::start(
                store,
                FRAGILE_SERVICE,
                &name,
                address::fresh(),
                RESTART_TIME,
            )
        });
        let fragile = fragile.collect();
        let addresses: Vec<SocketAddr> = (0..entries).map(|_| address::fresh()).collect();
        // Entries and agents use one peer port on different IP addresses.
        let peer_port = peer_port(&addresses);
        let control = |ip: IpAddr| SocketAddr::new(ip, peer_port + 1);
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|a| control(a.ip())).collect();
        let initial_version = 2;
        store.put("config", "main", &configuration(initial_version));
        let platforms = [platform, other_platform];
        let (store_proxies, processes) =
            start_entries(&addresses, zones, platforms, &seeds, programs, folder)?;
        let group = Group::start(ranks);
        let (mut members, mut agents) = (Vec::new(), Vec::new());
        for rank in 0..ranks {
            let member = Member::new(group.clone(), rank);
            members.push(member.clone());
            let upstream = serve(member, &mut triggers)?;
            let id = format!("r-{rank}");
            store.put(
                "servers",
                &id,
                &text::registry_entry(RANK_SERVICE, upstream, "ready"),
            );
            let text = agent_settings(rank, upstream, peer_port);
            let name = format!("agent-{rank}");
            agents.push(Process::start(&programs.agent, folder, &name, &text)?);
        }
        Ok(Rc::new(Self {
            store,
            store_proxies,
            servers,
            load_upstreams: contested.into_iter().chain([endless]).collect(),
            fragile,
            entries: RefCell::new(processes),
            group,
            members,
            agents: RefCell::new(agents),
            checks: Checks::default(),
            version: Cell::new(initial_version),
            triggers,
        }))
    }

    /// Writes the next version of the configuration, which adds a route named after it.
    pub fn change_configuration(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.checks.record_accepted(version);
        self.store.put("config", "main", &configuration(version));
    }

    /// Removes an upstream from the registry.
    pub fn unlist(&self, server: usize) {
        let id = &self.servers[server].upstream.id;
        self.store.remove("servers", id);
    }

    /// Sets the state of an upstream in the registry.
    pub fn set_listed_state(&self, server: usize, state: &str) {
        let server = &self.servers[server];
        self.store
            .put("servers", &server.upstream.id, &server.listed(state));
    }

    /// Checks the limits that upstreams named. The last ones may not have ended.
    pub fn check_limits(&self) {
        for server in &self.servers {
            for period in server.limited.borrow().iter() {
                let end = period.end.min(Instant::now());
                let cut = server.last_cut.get().is_some_and(|at| at >= period.start);
                if !cut {
                    self.checks
                        .check_limit(&server.upstream, &(period.start..end));
                }
            }
        }
    }

    /// Checks that each entry and agent did as the answers of upstreams asked.
    pub fn check_notices(&self) {
        for server in &self.servers {
            let restarts = server.restarts.borrow();
            let cut_until = server.last_cut.get();
            self.checks
                .check_notices(&server.upstream, &restarts, cut_until);
            let departures = server.departures.borrow();
            self.checks
                .check_departures(&server.upstream, &departures, &restarts, cut_until);
        }
        for (agent, member) in self.members.iter().enumerate() {
            self.checks.check_reads(agent, &member.rejections.borrow());
        }
    }

    /// Checks the resident memory of the entries.
    pub fn check_memory(&self) {
        for (number, entry) in self.entries.borrow().iter().enumerate() {
            if let Some(resident_kb) = entry.process.resident_kb() {
                self.checks
                    .check_memory(number, resident_kb, MEMORY_MB * 1_000);
            }
        }
    }

    /// Whether a request ran at the service to which a version moved its route; `None` if it didn't run.
    #[must_use]
    pub fn ran_at_moved_service(&self, id: &str, version: u64) -> Option<bool> {
        let mut servers = self.servers.iter();
        let ran = servers.find(|server| server.upstream.run_count(id) > 0)?;
        Some(ran.service == moved_service(version))
    }

    /// Returns how often upstreams ran a request.
    #[must_use]
    pub fn run_count(&self, id: &str) -> usize {
        let servers = self.servers.iter();
        let servers: usize = servers.map(|server| server.upstream.run_count(id)).sum();
        let fragile = self.fragile.iter();
        let fragile: usize = fragile.map(|process| process.run_count(id)).sum();
        let load = self.load_upstreams.iter();
        let load: usize = load.map(|upstream| upstream.run_count(id)).sum();
        servers + fragile + load
    }

    /// Stops the processes and the stand-ins.
    pub fn stop(&self) {
        self.entries.borrow_mut().clear();
        self.agents.borrow_mut().clear();
        for trigger in &self.triggers {
            trigger.fire();
        }
    }
}

/// The peer port of all entries and agents.
fn peer_port(addresses: &[SocketAddr]) -> u16 {
    addresses
        .first()
        .map_or(0, |address| address.port() ^ 0x4000)
}

/// Starts entries at these addresses, each with a proxy between it and the store: the first server of
/// the store for the entries of the first zone of three, the second one for the others.
fn start_entries(
    addresses: &[SocketAddr],
    zones: usize,
    platforms: [SocketAddr; 2],
    seeds: &[SocketAddr],
    programs: &Programs,
    folder: &Path,
) -> io::Result<(Vec<Rc<Proxy>>, Vec<Entry>)> {
    let (mut store_proxies, mut processes) = (Vec::new(), Vec::new());
    for (number, &listen) in addresses.iter().enumerate() {
        let proxy_address = address::fresh();
        let is_first_zone = number.is_multiple_of(ENTRY_ZONES.len());
        let platform = platforms[usize::from(!is_first_zone)];
        store_proxies.push(Proxy::start(proxy_address, platform)?);
        let zone = ENTRY_ZONES[number % zones.clamp(1, ENTRY_ZONES.len())];
        let port = peer_port(addresses);
        let text = entry_settings(number, zone, listen, port, proxy_address, seeds);
        let name = format!("entry-{number}");
        let process = Process::start(&programs.entry, folder, &name, &text)?;
        processes.push(Entry { listen, process });
    }
    Ok((store_proxies, processes))
}

/// Settings of an entry.
fn entry_settings(
    number: usize,
    zone: &str,
    listen: SocketAddr,
    peer_port: u16,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    let address = listen.ip();
    let readiness = SocketAddr::new(address, listen.port() + 1);
    let control = SocketAddr::new(address, peer_port + 1);
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("'{seed}'")).collect();
    format!(
        "path: direct\nname: entry-{number}\nzone: {zone}\naddress: {address}\n\
         listen: '{listen}'\nreadiness: '{readiness}'\ncontrol: '{control}'\n\
         peer_port: {peer_port}\nseeds: [{}]\nplatform: '{platform}'\n\
         memory_mb: {MEMORY_MB}\n\
         bounds: {{grace_s: 5, retry_ratio: 0.5, retry_slack: 200}}\nlog: {{form: json}}\n",
        seeds.join(", ")
    )
}

/// Settings of an agent. It has the IP address of its rank.
fn agent_settings(rank: usize, upstream: SocketAddr, peer_port: u16) -> String {
    format!(
        "path: direct\nname: agent-{rank}\naddress: {}\nupstream: '{upstream}'\n\
         service: {RANK_SERVICE}\npeer_port: {peer_port}\n\
         log: {{form: json}}\n",
        upstream.ip()
    )
}

/// Configuration of a version: the default routes, one and an API key named after the version, one that
/// each version moves, and those of [`FRAGILE_SERVICE`].
fn configuration(version: u64) -> String {
    let mut routes = text::routes();
    routes.push(text::route(&version_path(version), "safe", "jobs"));
    routes.push(text::route(MOVED_PATH, "safe", moved_service(version)));
    let kinds = ["streaming", "unsafe"];
    let fragile = FRAGILE_PATHS.iter().zip(kinds);
    routes.extend(fragile.map(|(path, kind)| text::route(path, kind, FRAGILE_SERVICE)));
    let endless = text::route(ENDLESS_PATH, "streaming", ENDLESS_SERVICE);
    routes.push(endless.replace("1500", "60000"));
    routes.push(text::route(CONTESTED_PATH, "safe", CONTESTED_SERVICE));
    let services = [
        text::group_service(RANK_SERVICE),
        text::service(FRAGILE_SERVICE),
        text::service(ENDLESS_SERVICE),
        text::service(CONTESTED_SERVICE),
    ];
    let customers = (0..COMPETING_CUSTOMERS).map(|customer| {
        let key = customer_key(customer);
        format!(r#"{{"name":"customer-{customer}","accessKeys":["{key}"]}},"#)
    });
    let customers: String = customers.collect();
    let text = text::configuration_with(version, &routes, &[KEY, &version_key(version)], &services);
    text.replace(r#""tenants":["#, &format!(r#""tenants":[{customers}"#))
}

/// API key of a customer that competes.
#[must_use]
pub fn customer_key(customer: usize) -> String {
    format!("key-customer-{customer}")
}

/// API key that only this version of the configuration has.
#[must_use]
pub fn version_key(version: u64) -> String {
    format!("key-v{version}")
}

/// The service to which a version moves [`MOVED_PATH`].
fn moved_service(version: u64) -> &'static str {
    MOVED_SERVICES[usize::from(version.is_multiple_of(2))]
}

/// First segment of the path that only this version of the configuration routes.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("v{version}")
}
