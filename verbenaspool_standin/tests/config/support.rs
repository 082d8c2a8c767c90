//! What the tests of this binary share.

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

/// The firm that most tests speak of.
pub const FIRM: &str = "tidewater";

/// Runs a test on a loop of its own.
pub fn run(test: impl Future<Output = ()>) {
    runtime::run(test).expect("a loop starts");
}

/// A name from text that is known to be one.
pub fn name(text: &str) -> Name {
    text.parse().expect("the tests' names are names")
}

/// A platform that lets a token of each firm in.
pub fn platform() -> Platform {
    let platform = Platform::start().expect("a loopback port is free");
    platform.allow("tidewater-token", "tidewater");
    platform.allow("quetzal-token", "quetzal");
    platform
}

/// A client of the platform for one firm.
pub fn client(platform: &Platform, firm: &str) -> Rc<Client> {
    client_at(platform.address(), firm)
}

/// A client of whatever listens at an address.
pub fn client_at(address: SocketAddr, firm: &str) -> Rc<Client> {
    Rc::new(Client::new(Settings {
        address,
        token: format!("{firm}-token").into(),
        timeout: Duration::from_millis(200),
    }))
}

/// A file whose customers differ with `marker`.
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

/// What a file says, by its marker.
pub fn marker(file: &File) -> u32 {
    let first = file.customers.iter().find(|c| c.name == name("customer-0"));
    first.map_or(0, |customer| customer.share - 1)
}

/// Builds a request to apply that file.
pub fn request(firm: &str, marker: u32, id: &str) -> Request {
    Request {
        firm: name(firm),
        id: id.to_owned(),
        expected_version: None,
        split: piece::split(&file(firm, marker)).expect("the file fits"),
    }
}

/// Applies a file within a bound that is long beside the faults of the tests.
pub async fn apply(store: &dyn Store, request: Request) -> Outcome {
    config::apply(store, request, Duration::from_secs(5), 7).await
}

/// The version of an accepted outcome.
pub fn accepted(outcome: &Outcome) -> Option<Version> {
    match outcome {
        Outcome::Accepted { version, .. } => Some(*version),
        _ => None,
    }
}

/// An entry instance of a test: its source, and its control methods served.
pub struct Instance {
    pub source: Rc<Source>,
    pub control: SocketAddr,
    stop: Trigger,
}

impl Instance {
    /// Starts an instance that looks for its peers at `seeds`.
    pub fn start(number: u32, store: Rc<dyn Store>, seeds: &[SocketAddr], seed: u64) -> Self {
        Self::named(
            &format!("entry-{number}"),
            store,
            seeds,
            seed,
            Monotonic::start(),
        )
    }

    /// Starts an instance with a clock of its own.
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
        // The tests' zones are small and their time is short.
        options.membership.heartbeat_interval = Duration::from_millis(100);
        let source = Source::start(store, clock, options);
        let mut module = rpc::Module::default();
        source.methods(&mut module);
        let (stop, signal) = shutdown::channel();
        monoio::spawn(rpc::serve(listener, Rc::new(module), signal));
        Self {
            source,
            control,
            stop,
        }
    }

    /// Ends the instance as a crash does: no goodbye, and nobody listens.
    pub fn crash(self) {
        self.source.end();
        self.stop.fire();
    }
}

/// Waits until all instances have `version` or a later one in force; false if
/// that takes over 9 s.
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
