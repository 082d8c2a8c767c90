//! Deployment of the demo: the platform, and for each firm its entries and its upstreams
//! with their agents.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use http::Request;
use http_body_util::BodyExt;
use slog::{Discard, Logger, o};
use verbenaspool::{run, settings::Settings};
use verbenaspool_agent::{agent::Agent, settings as agent_settings};
use verbenaspool_coordination::{
    apply::{self, Outcome},
    keys, piece,
};
use verbenaspool_standin::{
    engine::{self, Engine},
    platform::Platform,
    service::{Journal, Service},
};
use verbenaspool_state::{
    file::File,
    name::Name,
    service::{Experts, Fences, Kind},
    upstream::{State, Upstream},
    version::Version,
};
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    config,
    http::{self as wire, body::Body},
    platform::{
        Store,
        client::{Client, Settings as StoreSettings},
    },
    settings,
    shutdown::{self, Trigger},
};

use crate::groups::RankGroup;

/// The files of the firms.
const FILES: [&str; 2] = [
    include_str!("../tidewater.yaml"),
    include_str!("../quetzal.yaml"),
];
/// Number of zones of a firm that the demo runs.
const ZONES_PER_FIRM: usize = 2;
/// Entries of a firm in each zone.
const ENTRIES_PER_ZONE: u8 = 2;
/// Port of an entry for callers.
const LISTEN_PORT: u16 = 18_080;
/// Port of an entry for metrics.
const ADMIN_PORT: u16 = 18_081;
/// Port of an entry for other entries.
const CONTROL_PORT: u16 = 18_082;
/// Model replicas of a firm in each zone.
const REPLICAS_PER_ZONE: usize = 8;
/// Plain instances of a firm in each zone.
const PLAIN_PER_ZONE: usize = 2;
/// Timeout of an apply.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// The platform and the firms.
pub struct Deployment {
    /// Clock of all parts.
    pub clock: Rc<dyn Clock>,
    /// Stand-in of the platform.
    pub platform: Platform,
    /// The firms.
    pub firms: Vec<Firm>,
    apply_count: Cell<u64>,
}

/// The entries and upstreams of a firm.
pub struct Firm {
    /// The firm's first file.
    pub file: File,
    /// The platform's store with the firm's credential.
    pub store: Rc<dyn Store>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The upstreams, each with the trigger that stops its agent.
    pub upstreams: Vec<(Upstream, Trigger)>,
    /// Writes that the plain service ran.
    pub journal: Rc<Journal>,
    /// Groups of ranks among the upstreams.
    pub groups: Vec<RankGroup>,
}

/// Addresses of a running entry.
pub struct Entry {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for metrics.
    pub admin: SocketAddr,
}

/// Name and addresses of an entry before it starts.
struct EntryConfig {
    name: String,
    listen: SocketAddr,
    admin: SocketAddr,
    control: SocketAddr,
    peers: Vec<String>,
}

impl Deployment {
    /// Starts all firms, applies their files and waits until these are active.
    pub async fn start() -> Result<Self, Box<dyn std::error::Error>> {
        let clock = Monotonic::start();
        let platform = Platform::start()?;
        let mut deployment = Self {
            clock: clock.clone(),
            platform,
            firms: Vec::new(),
            apply_count: Cell::new(0),
        };
        for (number, text) in (0..).zip(FILES) {
            let file: File = settings::parse("example".as_ref(), text)?;
            let firm = Firm::start(&deployment.platform, &clock, file, number)?;
            deployment.firms.push(firm);
        }
        for firm in &deployment.firms {
            let outcome = deployment.apply(firm, &firm.file).await;
            println!("{}: first file: {outcome:?}", firm.file.firm);
        }
        for firm in &deployment.firms {
            firm.wait_for_version(Version(1)).await;
        }
        Ok(deployment)
    }

    /// Applies a file as an operator of the firm.
    pub async fn apply(&self, firm: &Firm, file: &File) -> Outcome {
        let number = self.apply_count.get() + 1;
        self.apply_count.set(number);
        let split = match piece::split(file) {
            Ok(split) => split,
            Err(error) => return Outcome::Failed(error.to_string()),
        };
        let request = apply::Request {
            firm: file.firm.clone(),
            id: format!("demo-{number}"),
            expected_version: None,
            split,
        };
        config::apply(&*firm.store, request, APPLY_TIMEOUT, number).await
    }
}

impl Firm {
    /// Starts a firm's upstreams and entries.
    fn start(
        platform: &Platform,
        clock: &Rc<Monotonic>,
        file: File,
        number: u8,
    ) -> io::Result<Self> {
        let token = format!("demo-{}", file.firm);
        platform.allow(&token, file.firm.as_str());
        let store: Rc<dyn Store> = Rc::new(Client::new(StoreSettings {
            address: platform.address(),
            token: token.into(),
            timeout: Duration::from_secs(1),
        }));
        let journal = Journal::new(Duration::from_millis(2), clock.clone());
        let mut firm = Self {
            file,
            store,
            entries: Vec::new(),
            upstreams: Vec::new(),
            journal,
            groups: Vec::new(),
        };
        let zones: Vec<Name> = firm
            .file
            .places
            .iter()
            .map(|place| place.zone.clone())
            .collect();
        for (index, zone) in (0..).zip(zones.iter().take(ZONES_PER_FIRM)) {
            firm.start_upstreams(platform, clock, zone)?;
            for entry in EntryConfig::for_zone(number, zone, index) {
                firm.start_entry(platform, clock, zone, &entry)?;
            }
        }
        Ok(firm)
    }

    /// Starts the upstream instances of a zone, each with its agent, and adds them to the
    /// platform's list.
    fn start_upstreams(
        &mut self,
        platform: &Platform,
        clock: &Rc<Monotonic>,
        zone: &Name,
    ) -> io::Result<()> {
        for service in self.file.services.clone() {
            let model = matches!(service.kind, Kind::Model(_));
            let checks_fences = checks_fences(&service.kind);
            if let Some(experts) = experts(&service.kind) {
                let (name, clock) = (format!("{}-{zone}", service.name), clock.clone());
                let clock: Rc<dyn Clock> = clock;
                self.groups
                    .push(RankGroup::start(name, experts, checks_fences, &clock)?);
            }
            for number in 0..if model {
                REPLICAS_PER_ZONE
            } else {
                PLAIN_PER_ZONE
            } {
                let address = if model {
                    start_engine(clock)?
                } else {
                    start_plain(&self.journal)?
                };
                let kind = if model { "engine" } else { "plain" };
                // The last replicas of a zone form the group, since the agent of a firm's first
                // upstream is stopped during the demo.
                let group = self.groups.last().filter(|_| model);
                let group = group.and_then(|group| {
                    let rank = (number + group.len()).checked_sub(REPLICAS_PER_ZONE)?;
                    Some((group, rank))
                });
                let control = group.map(|(group, rank)| group.control(rank));
                let control = control.unwrap_or(([127, 0, 0, 1], 0).into());
                let group_settings = group.map(|(group, rank)| {
                    group.settings(&self.file.firm, rank, checks_fences, platform.address())
                });
                let text = format!(
                    "firm: {}\ninstance: {}-{zone}-{number}\nlisten: 127.0.0.1:0\ncontrol: {control}\n\
                     upstream: {{address: '{address}', kind: {kind}}}\n{}",
                    self.file.firm,
                    service.name,
                    group_settings.unwrap_or_default(),
                );
                let settings = agent_settings::read(&text).map_err(io::Error::other)?;
                let name = settings.instance.clone();
                let agent = Agent::bind(settings, Logger::root(Discard, o!()), clock.clone())?;
                let upstream = Upstream {
                    name,
                    service: service.name.clone(),
                    zone: zone.clone(),
                    agent: agent.address(),
                    control: agent.control(),
                    state: State::Live,
                    incarnation: 1,
                    rank: None,
                };
                register_upstream(platform, &self.file.firm, &upstream);
                let (trigger, signal) = shutdown::channel();
                monoio::spawn(agent.run(signal));
                self.upstreams.push((upstream, trigger));
            }
        }
        Ok(())
    }

    /// Starts an entry, which discovers the other entries of its zone by their control
    /// addresses.
    fn start_entry(
        &mut self,
        platform: &Platform,
        clock: &Rc<Monotonic>,
        zone: &Name,
        entry: &EntryConfig,
    ) -> io::Result<()> {
        let (firm, name) = (&self.file.firm, &entry.name);
        let EntryConfig {
            listen,
            admin,
            control,
            peers,
            ..
        } = entry;
        let text = format!(
            "firm: {firm}\nname: {name}\nzone: {zone}\nlisten: {listen}\nadmin: {admin}\n\
             control: {control}\npeers: {peers:?}\n\
             platform: {{address: '{}', token: demo-{firm}}}\n",
            platform.address(),
        );
        let settings: Settings =
            settings::parse("entry".as_ref(), &text).map_err(io::Error::other)?;
        let log = Logger::root(Discard, o!());
        let (_, signal) = shutdown::channel();
        let clock: Rc<dyn Clock> = clock.clone();
        monoio::spawn(async move {
            let result = run::serve(settings, log, clock, signal).await;
            if let Err(error) = result {
                println!("An entry could not run: {error}");
            }
        });
        self.entries.push(Entry {
            listen: *listen,
            admin: *admin,
        });
        Ok(())
    }

    /// Waits until the metrics of every entry report at least this version as active.
    pub async fn wait_for_version(&self, version: Version) {
        let client = wire::client::Client::new(Duration::from_secs(1));
        for entry in &self.entries {
            while entry.version(&client).await < version {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

impl Entry {
    /// Returns the active version of the entry, and zero while its metrics can't be read.
    async fn version(&self, client: &wire::client::Client) -> Version {
        let request = Request::get("/metrics").header("host", "entry");
        let request = request.body(Body::empty()).expect("a plain request");
        let Ok(response) = client.send(self.admin, request).await else {
            return Version::default();
        };
        let Ok(body) = response.into_body().collect().await else {
            return Version::default();
        };
        let body = body.to_bytes();
        let text = String::from_utf8_lossy(&body);
        let version = text
            .lines()
            .find_map(|line| line.strip_prefix("verbenaspool_config_version "));
        Version(version.and_then(|number| number.parse().ok()).unwrap_or(0))
    }
}

impl EntryConfig {
    /// Returns the entries of a zone, with all of them as peers. Every entry has its own
    /// loopback address, as each would have its own IP address in production.
    fn for_zone(firm: u8, zone: &Name, index: u8) -> Vec<Self> {
        // The process id separates the addresses of demos that run at the same time.
        let demo_octet = u8::try_from(std::process::id() % 250).expect("below 250") + 1;
        let at =
            |number: u8, port| ([127, demo_octet, firm + 1, index * 16 + number + 1], port).into();
        let controls: Vec<SocketAddr> =
            (0..ENTRIES_PER_ZONE).map(|n| at(n, CONTROL_PORT)).collect();
        let entry = |number| Self {
            name: format!("entry-{zone}-{number}"),
            listen: at(number, LISTEN_PORT),
            admin: at(number, ADMIN_PORT),
            control: at(number, CONTROL_PORT),
            peers: controls.iter().map(ToString::to_string).collect(),
        };
        (0..ENTRIES_PER_ZONE).map(entry).collect()
    }
}

/// Returns the expert layout of a model, if it has one.
fn experts(kind: &Kind) -> Option<&Experts> {
    match kind {
        Kind::Model(model) => model.experts.as_ref(),
        Kind::Plain(_) => None,
    }
}

/// Returns whether a model's engines reject stale fences.
fn checks_fences(kind: &Kind) -> bool {
    matches!(kind, Kind::Model(model) if model.fences == Fences::Checked)
}

/// Starts a simulated model engine.
fn start_engine(clock: &Rc<Monotonic>) -> io::Result<SocketAddr> {
    let engine = Engine::bind(engine::Config::default(), clock.clone())?;
    let address = engine.address();
    monoio::spawn(engine.run(shutdown::channel().1));
    Ok(address)
}

/// Starts an instance of the plain service.
fn start_plain(journal: &Rc<Journal>) -> io::Result<SocketAddr> {
    let service = Service::bind(([127, 0, 0, 1], 0).into(), journal.clone())?;
    let address = service.address();
    monoio::spawn(service.run(shutdown::channel().1));
    Ok(address)
}

/// Adds an upstream to the platform's list, as the platform does itself.
fn register_upstream(platform: &Platform, firm: &Name, upstream: &Upstream) {
    let key = format!("{}{}", keys::instances(firm), upstream.name);
    let value = serde_json::to_vec(upstream).expect("plain data");
    platform.with(|objects| objects.put(&key, value.into()));
}
