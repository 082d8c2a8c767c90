//! The deployment under test: one firm in two zones, with two entries and four agents as
//! processes. Platform, engines and services are simulated in the test's process.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use http::Request;
use http_body_util::BodyExt;
use verbenaspool_coordination::{apply, keys, piece};
use verbenaspool_standin::{
    engine::{Config, Engine, Parts},
    platform::Platform,
    service::{Journal, Service},
};
use verbenaspool_state::{
    credential::Digest,
    file::File,
    name::Name,
    upstream::{State, Upstream},
};
use verbenaspool_transport::{
    clock::Monotonic,
    config,
    http::{body::Body, client::Client},
    platform::client,
    settings,
    shutdown::{self, Trigger},
};

use crate::process::{Log, Process, agent_program, entry_program, instance_address};

/// The customer's credential.
pub const CREDENTIAL: &str = "a-long-random-token";
/// Number of entries.
pub const ENTRY_COUNT: u8 = 2;
/// Number of upstreams of each of the two services.
pub const UPSTREAMS_PER_SERVICE: u8 = 2;

/// Indices of the listeners of a process, for [`instance_address`].
const LISTEN_PORT: u8 = 0;
const CONTROL_PORT: u8 = 1;
const ADMIN_PORT: u8 = 2;

/// The zones; instances are assigned to them alternately.
const ZONES: [&str; 2] = ["bowen", "tweed"];

/// Index of the zone of an instance.
pub fn zone_index(number: u8) -> usize {
    usize::from(number) % ZONES.len()
}

/// A running deployment.
pub struct Deployment {
    /// The simulated platform.
    pub platform: Platform,
    /// The writes of the plain service.
    pub journal: Rc<Journal>,
    /// The simulated engines.
    pub engines: Vec<Rc<Parts>>,
    /// The entry processes.
    pub entries: RefCell<Vec<Process>>,
    /// The agent processes: first those of the engines, then those of the plain service.
    pub agents: RefCell<Vec<Process>>,
    /// The entries' addresses for callers.
    pub addresses: Vec<SocketAddr>,
    client: Client,
    admin_addresses: Vec<SocketAddr>,
    _stop: Trigger,
}

/// The firm's configuration.
fn configuration_file() -> File {
    let text = format!(
        "firm: tidewater
places: [{{zone: bowen, region: queensland}}, {{zone: tweed, region: queensland}}]
services:
- name: assistant
  path: /loft/
  kind: !model {{fences: checked, resume: true}}
- name: jobs
  path: /jobs/
  kind: !plain {{}}
customers:
- name: bowen-loft
  credentials: ['{}']
",
        Digest::of(CREDENTIAL)
    );
    settings::parse("tidewater.yaml".as_ref(), &text).expect("a valid file")
}

fn parse_name(text: &str) -> Name {
    text.parse().expect("a name")
}

impl Deployment {
    /// Starts all processes and waits until the entries know all upstreams. Concurrent tests
    /// must have different numbers.
    pub async fn start(test: u8) -> Self {
        let clock = Monotonic::start();
        let platform = Platform::start().expect("a port");
        platform.allow("token", "tidewater");
        let (stop, signal) = shutdown::channel();
        let journal = Journal::new(Duration::from_millis(3), clock.clone());
        let mut deployment = Self {
            platform,
            journal: journal.clone(),
            engines: Vec::new(),
            entries: RefCell::default(),
            agents: RefCell::default(),
            addresses: Vec::new(),
            client: Client::new(Duration::from_secs(1)),
            admin_addresses: Vec::new(),
            _stop: stop,
        };
        for number in 0..UPSTREAMS_PER_SERVICE {
            let engine = Engine::bind(Config::default(), clock.clone()).expect("a port");
            deployment.engines.push(engine.parts());
            deployment.start_agent(test, number, "assistant", engine.address(), "engine");
            monoio::spawn(engine.run(signal.clone()));
        }
        for number in UPSTREAMS_PER_SERVICE..2 * UPSTREAMS_PER_SERVICE {
            let any = ([127, 0, 0, 1], 0).into();
            let service = Service::bind(any, journal.clone()).expect("a port");
            deployment.start_agent(test, number, "jobs", service.address(), "plain");
            monoio::spawn(service.run(signal.clone()));
        }
        deployment.apply().await;
        for number in 0..ENTRY_COUNT {
            deployment.start_entry(test, number);
        }
        for admin in deployment.admin_addresses.clone() {
            while !deployment.knows_all_upstreams(admin).await {
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        deployment
    }

    /// Starts an agent and adds its instance to the platform's list.
    fn start_agent(
        &self,
        test: u8,
        number: u8,
        service: &str,
        upstream_address: SocketAddr,
        kind: &str,
    ) {
        let at = |port| instance_address(test, number + 1, port);
        let (listen, control) = (at(LISTEN_PORT), at(CONTROL_PORT));
        let instance = format!("{service}-{number}");
        let yaml = format!(
            "firm: tidewater\ninstance: {instance}\nlisten: {listen}\ncontrol: {control}\n\
             upstream: {{address: '{upstream_address}', kind: {kind}}}\n\
             drain: {{deadline_seconds: 10, linger_ms: 300}}\n"
        );
        let process = Process::start(
            agent_program(),
            &format!("{}-{test}-{instance}", std::process::id()),
            &yaml,
        );
        self.agents.borrow_mut().push(process);
        let upstream = Upstream {
            name: parse_name(&instance),
            service: parse_name(service),
            zone: parse_name(ZONES[zone_index(number)]),
            agent: listen,
            control,
            state: State::Live,
            incarnation: 1,
            rank: None,
        };
        let key = format!("{}{instance}", keys::instances(&parse_name("tidewater")));
        let value = serde_json::to_vec(&upstream).expect("plain data");
        self.platform
            .with(|objects| objects.put(&key, value.into()));
    }

    /// Starts an entry.
    fn start_entry(&mut self, test: u8, number: u8) {
        let at = |port| instance_address(test, 100 + number, port);
        let zone = ZONES[zone_index(number)];
        let yaml = format!(
            "firm: tidewater\nname: entry-{number}\nzone: {zone}\n\
             listen: {}\ncontrol: {}\nadmin: {}\n\
             platform: {{address: '{}', token: token, timeout_ms: 300}}\n\
             drain: {{linger_ms: 300, deadline_ms: 10000}}\n",
            at(LISTEN_PORT),
            at(CONTROL_PORT),
            at(ADMIN_PORT),
            self.platform.address(),
        );
        let process = Process::start(
            entry_program(),
            &format!("{}-{test}-entry-{number}", std::process::id()),
            &yaml,
        );
        self.entries.borrow_mut().push(process);
        self.addresses.push(at(LISTEN_PORT));
        self.admin_addresses.push(at(ADMIN_PORT));
    }

    /// The logs of all processes.
    pub fn logs(&self) -> Vec<Rc<Log>> {
        let (agents, entries) = (self.agents.borrow(), self.entries.borrow());
        agents.iter().chain(&*entries).map(Process::log).collect()
    }

    /// Applies a function to each process of a zone.
    pub fn for_each_in_zone(&self, zone: usize, act: impl Fn(&mut Process)) {
        let (mut agents, mut entries) = (self.agents.borrow_mut(), self.entries.borrow_mut());
        let agents = agents.iter_mut().enumerate();
        let all = agents.chain(entries.iter_mut().enumerate());
        let numbered = all.map(|(number, process)| (number % ZONES.len(), process));
        for (_, process) in numbered.filter(|(index, _)| *index == zone) {
            act(process);
        }
    }

    /// Applies the firm's configuration.
    async fn apply(&self) {
        let store = client::Client::new(client::Settings {
            address: self.platform.address(),
            token: "token".to_owned().into(),
            timeout: Duration::from_secs(1),
        });
        let request = apply::Request {
            firm: parse_name("tidewater"),
            id: "first".to_owned(),
            expected_version: None,
            split: piece::split(&configuration_file()).expect("the file fits"),
        };
        config::apply(&store, request, Duration::from_secs(5), 7).await;
    }

    /// Whether an entry answers and knows all upstreams.
    async fn knows_all_upstreams(&self, admin: SocketAddr) -> bool {
        let request = Request::get("/metrics").header("host", "entry");
        let request = request.body(Body::empty()).expect("a request");
        let Ok(response) = self.client.send(admin, request).await else {
            return false;
        };
        let Ok(body) = response.into_body().collect().await else {
            return false;
        };
        let body = body.to_bytes();
        let text = String::from_utf8_lossy(&body);
        ["assistant", "jobs"].iter().all(|service| {
            let line = format!(
                "verbenaspool_upstreams{{service=\"{service}\"}} {UPSTREAMS_PER_SERVICE}\n"
            );
            text.contains(&line)
        })
    }
}
