//! What the demo runs: the platform, and for each firm its upstreams with their
//! agents and its entries.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::TcpListener;
use slog::{Discard, Logger, o};
use verbenaspool::{entry::Entry, settings::Settings};
use verbenaspool_agent::{agent::Agent, settings as agent_settings};
use verbenaspool_coordination::{
    apply::{Order, Outcome},
    keys, piece,
};
use verbenaspool_standin::{
    engine::{self, Engine},
    platform::Platform,
    service::{Book, Service},
};
use verbenaspool_state::{
    file::File,
    name::Name,
    service::Kind,
    upstream::{State, Upstream},
    version::Version,
};
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    config::{self, source::Source},
    platform::{
        Store,
        client::{Client, Settings as StoreSettings},
    },
    settings,
    shutdown::{self, Trigger},
};

/// The firms and their files.
const FILES: [&str; 2] = [
    include_str!("../tidewater.yaml"),
    include_str!("../quetzal.yaml"),
];
/// How many of a firm's zones the demo plays.
const ZONES: usize = 2;
/// Entries of a firm in each zone.
const ENTRIES: usize = 2;
/// Model replicas of a firm in each zone.
const REPLICAS: usize = 8;
/// Plain instances of a firm in each zone.
const PLAIN: usize = 2;
/// How long an apply may take.
const APPLY: Duration = Duration::from_secs(5);
/// How often an entry reads the platform's list of instances.
const LIST: Duration = Duration::from_millis(500);

/// Everything that runs.
pub struct World {
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// The platform.
    pub platform: Platform,
    /// The firms.
    pub firms: Vec<Firm>,
    applies: Cell<u64>,
}

/// One firm's part.
pub struct Firm {
    /// The firm's first file.
    pub file: File,
    /// The platform as the firm's operators reach it.
    pub store: Rc<dyn Store>,
    /// The entries, each with its address.
    pub entries: Vec<(Rc<Entry>, SocketAddr)>,
    /// The upstreams, each with the trigger that tells its agent to stop.
    pub upstreams: Vec<(Upstream, Trigger)>,
    /// What the plain service wrote.
    pub book: Rc<Book>,
}

impl World {
    /// Starts everything and has the firms' files accepted.
    pub async fn start() -> Result<Self, Box<dyn std::error::Error>> {
        let clock = Monotonic::start();
        let platform = Platform::start()?;
        let mut world = Self {
            clock: clock.clone(),
            platform,
            firms: Vec::new(),
            applies: Cell::new(0),
        };
        for text in FILES {
            let file: File = settings::parse("example".as_ref(), text)?;
            let firm = Firm::start(&world.platform, &clock, file)?;
            world.firms.push(firm);
        }
        for firm in &world.firms {
            let outcome = world.apply(firm, &firm.file).await;
            println!("{}: first file: {outcome:?}", firm.file.firm);
        }
        for firm in &world.firms {
            firm.in_force(Version(1)).await;
        }
        Ok(world)
    }

    /// Applies a file as one operator.
    pub async fn apply(&self, firm: &Firm, file: &File) -> Outcome {
        let number = self.applies.get() + 1;
        self.applies.set(number);
        let split = match piece::split(file) {
            Ok(split) => split,
            Err(error) => return Outcome::Failed(error.to_string()),
        };
        let order = Order {
            firm: file.firm.clone(),
            id: format!("demo-{number}"),
            expect: None,
            split,
        };
        config::apply(&*firm.store, order, APPLY, number).await
    }
}

impl Firm {
    /// Starts a firm's upstreams and entries.
    fn start(platform: &Platform, clock: &Rc<Monotonic>, file: File) -> io::Result<Self> {
        let token = format!("demo-{}", file.firm);
        platform.allow(&token, file.firm.as_str());
        let store: Rc<dyn Store> = Rc::new(Client::new(StoreSettings {
            address: platform.address(),
            token,
            timeout: Duration::from_secs(1),
        }));
        let book = Book::new(Duration::from_millis(2), clock.clone());
        let mut firm = Self {
            file,
            store,
            entries: Vec::new(),
            upstreams: Vec::new(),
            book,
        };
        let zones: Vec<Name> = firm
            .file
            .places
            .iter()
            .map(|place| place.zone.clone())
            .collect();
        for zone in zones.iter().take(ZONES) {
            firm.start_upstreams(platform, clock, zone)?;
            for number in 0..ENTRIES {
                firm.start_entry(clock, zone, number)?;
            }
        }
        Ok(firm)
    }

    /// Starts the upstream instances of a zone, each with its agent, and enters
    /// them in the platform's list.
    fn start_upstreams(
        &mut self,
        platform: &Platform,
        clock: &Rc<Monotonic>,
        zone: &Name,
    ) -> io::Result<()> {
        for service in self.file.services.clone() {
            let model = matches!(service.kind, Kind::Model(_));
            for number in 0..if model { REPLICAS } else { PLAIN } {
                let address = if model {
                    start_engine(clock)?
                } else {
                    start_plain(&self.book)?
                };
                let kind = if model { "engine" } else { "plain" };
                let text = format!(
                    "instance: {}-{zone}-{number}\nlisten: 127.0.0.1:0\ncontrol: 127.0.0.1:0\n\
                     upstream: {{address: '{address}', kind: {kind}}}\n",
                    service.name
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
                list(platform, &self.file.firm, &upstream);
                let (trigger, signal) = shutdown::channel();
                monoio::spawn(agent.run(signal));
                self.upstreams.push((upstream, trigger));
            }
        }
        Ok(())
    }

    /// Starts an entry that follows the firm's configuration and instances.
    fn start_entry(&mut self, clock: &Rc<Monotonic>, zone: &Name, number: usize) -> io::Result<()> {
        let firm = &self.file.firm;
        let text = format!(
            "firm: {firm}\nname: entry-{zone}-{number}\nzone: {zone}\nlisten: 127.0.0.1:0\n"
        );
        let settings: Settings =
            settings::parse("entry".as_ref(), &text).map_err(io::Error::other)?;
        let entry = Entry::new(settings.options(), clock.clone());
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let (_, signal) = shutdown::channel();
        monoio::spawn(entry.clone().serve(listener, signal));
        let source = Source::start(self.store.clone(), firm.clone(), number as u64);
        monoio::spawn(follow(entry.clone(), source));
        monoio::spawn(follow_list(entry.clone(), self.store.clone(), firm.clone()));
        self.entries.push((entry, address));
        Ok(())
    }

    /// Waits until every entry has this version in force.
    pub async fn in_force(&self, version: Version) {
        while self
            .entries
            .iter()
            .any(|(entry, _)| entry.version() < version)
        {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Starts a model engine.
fn start_engine(clock: &Rc<Monotonic>) -> io::Result<SocketAddr> {
    let engine = Engine::bind(engine::Config::default(), clock.clone())?;
    let address = engine.address();
    monoio::spawn(engine.run(shutdown::channel().1));
    Ok(address)
}

/// Starts an instance of the plain service.
fn start_plain(book: &Rc<Book>) -> io::Result<SocketAddr> {
    let service = Service::bind(([127, 0, 0, 1], 0).into(), book.clone())?;
    let address = service.address();
    monoio::spawn(service.run(shutdown::channel().1));
    Ok(address)
}

/// Enters an upstream in the platform's list, as the platform itself does.
fn list(platform: &Platform, firm: &Name, upstream: &Upstream) {
    let key = format!("{}{}", keys::instances(firm), upstream.name);
    let value = serde_json::to_vec(upstream).expect("plain data");
    platform.with(|objects| objects.put(&key, value.into()));
}

/// Puts each version in force at an entry.
async fn follow(entry: Rc<Entry>, source: Rc<Source>) {
    loop {
        let adopted = source.above(entry.version()).await;
        entry.adopt(adopted.version(), &adopted.file);
    }
}

/// Keeps an entry's list of upstreams.
async fn follow_list(entry: Rc<Entry>, store: Rc<dyn Store>, firm: Name) {
    loop {
        if let Ok(listed) = read_list(&*store, &firm).await {
            entry.members(&listed);
        }
        monoio::time::sleep(LIST).await;
    }
}

/// Reads the platform's list of instances.
async fn read_list(
    store: &dyn Store,
    firm: &Name,
) -> Result<Vec<Upstream>, Box<dyn std::error::Error>> {
    let mut upstreams = Vec::new();
    for listed in store.list(&keys::instances(firm)).await? {
        if let Some(object) = store.get(&listed.key).await? {
            upstreams.push(serde_json::from_slice(&object.value)?);
        }
    }
    Ok(upstreams)
}
