//! Shared helpers of the configuration tests.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::TcpListener;
use verbenaspool_coordination::{
    apply::{Outcome, Request},
    piece,
};
use verbenaspool_standin::platform::Platform;
use verbenaspool_state::{customer::Customer, file::File, name::Name, version::Version};
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    config::{
        self,
        source::{Options, Source},
    },
    platform::{
        Store,
        client::{Client, Settings},
    },
    rpc, runtime,
    shutdown::{self, Trigger},
};

/// The firm that most tests use.
pub const FIRM: &str = "tidewater";

/// Runs a test on an event loop of its own.
pub fn run(test: impl Future<Output = ()>) {
    runtime::run(test).expect("the event loop starts");
}

/// Parses a name that is known to be valid.
pub fn name(text: &str) -> Name {
    text.parse().expect("the tests' names are valid")
}

/// Starts a platform with a token for each firm.
pub fn platform() -> Platform {
    let platform = Platform::start().expect("a loopback port is free");
    platform.allow("tidewater-token", "tidewater");
    platform.allow("quetzal-token", "quetzal");
    platform
}

/// Creates a client of the platform for one firm.
pub fn client(platform: &Platform, firm: &str) -> Rc<Client> {
    client_at(platform.address(), firm)
}

/// Creates a client for one firm of the platform at an address.
pub fn client_at(address: SocketAddr, firm: &str) -> Rc<Client> {
    Rc::new(Client::new(Settings {
        address,
        token: format!("{firm}-token").into(),
        timeout: Duration::from_millis(200),
    }))
}

/// Creates a file whose content depends on `marker`.
pub fn file(firm: &str, marker: u32) -> File {
    let customer = |i: u32| Customer {
        name: name(&format!("customer-{i}")),
        share: 1 + marker * u32::from(i == 0),
        credentials: Vec::new(),
        services: Vec::new(),
    };
    File {
        firm: name(firm),
        places: Vec::new(),
        services: Vec::new(),
        customers: (0..10).map(customer).collect(),
    }
}

/// Returns the marker of a file.
pub fn marker(file: &File) -> u32 {
    let first = file.customers.iter().find(|c| c.name == name("customer-0"));
    first.map_or(0, |customer| customer.share - 1)
}

/// Builds a request to apply the file with a marker.
pub fn request(firm: &str, marker: u32, id: &str) -> Request {
    Request {
        firm: name(firm),
        id: id.to_owned(),
        expected_version: None,
        split: piece::split(&file(firm, marker)).expect("the file fits"),
    }
}

/// Applies a file with a timeout that is long compared to the faults of the tests.
pub async fn apply(store: &dyn Store, request: Request) -> Outcome {
    config::apply(store, request, Duration::from_secs(5), 7).await
}

/// Returns the version if the outcome is `Accepted`.
pub fn accepted(outcome: &Outcome) -> Option<Version> {
    match outcome {
        Outcome::Accepted { version, .. } => Some(*version),
        _ => None,
    }
}

/// An entry instance: its configuration source, and a server for its control methods.
pub struct Instance {
    pub source: Rc<Source>,
    pub control: SocketAddr,
    stop: Trigger,
}

impl Instance {
    /// Starts an instance that discovers its peers through `seeds`.
    pub fn start(number: u32, store: Rc<dyn Store>, seeds: &[SocketAddr], seed: u64) -> Self {
        Self::named(
            &format!("entry-{number}"),
            store,
            seeds,
            seed,
            Monotonic::start(),
        )
    }

    /// Starts an instance with the given name and clock.
    pub fn named(
        text: &str,
        store: Rc<dyn Store>,
        seeds: &[SocketAddr],
        seed: u64,
        clock: Rc<dyn Clock>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let control = listener.local_addr().expect("a bound port has an address");
        let mut options = Options::new(name(FIRM), name(text), control);
        options.seeds = seeds.to_vec();
        options.seed = seed;
        // A shorter interval than the default keeps the tests fast.
        options.membership.heartbeat_interval = Duration::from_millis(100);
        let source = Source::start(store, clock, options);
        let mut module = rpc::Module::default();
        source.register_methods(&mut module);
        let (stop, signal) = shutdown::channel();
        monoio::spawn(rpc::serve(listener, Rc::new(module), signal));
        Self {
            source,
            control,
            stop,
        }
    }

    /// Crashes the instance: it doesn't say that it leaves, and its listener closes.
    pub fn crash(self) {
        self.source.stop();
        self.stop.fire();
    }
}

/// Waits until `version` or a later one is active on all instances; returns false if that takes
/// more than 9 s.
pub async fn all_activate(instances: &[Instance], version: u64) -> bool {
    for _ in 0..900 {
        let has_activated = |i: &Instance| i.source.version() >= Version(version);
        if instances.iter().all(has_activated) {
            return true;
        }
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}
