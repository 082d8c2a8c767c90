//! Real entry processes of two firms with a stand-in of the platform: time until a version
//! is active, memory and processor time.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{self, Child, Stdio},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::{Duration, Instant},
};

use verbenaspool_coordination::{
    apply::{Outcome, Request},
    piece,
};
use verbenaspool_standin::{
    address,
    platform::{Calls, Platform},
};
use verbenaspool_state::file::File;
use verbenaspool_transport::{
    config,
    platform::client::{Client, Settings},
    runtime,
};

use super::{Output, change::file_with_customers, instances::upstream};

/// The zones of each firm's four entries.
const ZONES: [&str; 4] = ["zone-1", "zone-1", "zone-2", "zone-3"];
/// Number of timed changes with ten customers.
const CHANGES: u32 = 40;
/// Duration of the measurements of processor time and of calls while idle.
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);

/// Command to the stand-in's thread.
enum Command {
    /// Applies a file and returns when it was accepted.
    Apply(Box<File>, Sender<Instant>),
    /// Returns the number of calls so far.
    Count(Sender<Calls>),
    /// Adds this many upstream instances to the list.
    List(usize),
}

/// Stand-in of the platform, which runs on its own thread.
struct Store {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl Store {
    fn start() -> Self {
        let (commands, receiver) = channel();
        let (sender, reply) = channel();
        thread::spawn(move || runtime::run(serve(receiver, sender)));
        let address = reply.recv().expect("the stand-in starts");
        Self { address, commands }
    }

    /// Applies a file and returns when it was accepted.
    fn apply(&self, file: File) -> Instant {
        let (sender, reply) = channel();
        self.commands
            .send(Command::Apply(Box::new(file), sender))
            .expect("the stand-in runs");
        reply.recv().expect("an answer")
    }

    fn calls(&self) -> Calls {
        let (sender, reply) = channel();
        self.commands
            .send(Command::Count(sender))
            .expect("the stand-in runs");
        reply.recv().expect("an answer")
    }
}

/// Serves the object API and executes commands.
async fn serve(commands: Receiver<Command>, address: Sender<SocketAddr>) {
    let platform = Platform::start().expect("a free port");
    for firm in ["tidewater", "quetzal"] {
        platform.allow(firm, firm);
    }
    address.send(platform.address()).expect("the bench waits");
    let mut number = 0_u32;
    loop {
        let command = match commands.try_recv() {
            Ok(command) => command,
            Err(std::sync::mpsc::TryRecvError::Empty) => {
                monoio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
            Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
        };
        match command {
            Command::Apply(file, reply) => {
                number += 1;
                let store = Client::new(Settings {
                    address: platform.address(),
                    token: file.firm.to_string().into(),
                    timeout: Duration::from_secs(5),
                });
                let request = Request {
                    firm: file.firm.clone(),
                    id: format!("{number:016x}"),
                    expected_version: None,
                    split: piece::split(&file).expect("the file fits"),
                };
                let outcome = config::apply(&store, request, Duration::from_mins(2), 7).await;
                assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
                reply.send(Instant::now()).expect("the bench waits");
            }
            Command::Count(reply) => reply.send(platform.calls()).expect("the bench waits"),
            Command::List(count) => platform.with(|objects| {
                for number in 0..count {
                    let upstream = upstream(number);
                    let key = format!("firms/tidewater/instances/{}", upstream.name);
                    let value = serde_json::to_vec(&upstream).expect("plain data");
                    objects.put(&key, value.into());
                }
            }),
        }
    }
}

/// Zone and control address of an entry, and the peers in its settings.
struct Location<'a> {
    zone: &'a str,
    control: SocketAddr,
    peers: String,
}

/// An entry process.
struct Process {
    child: Child,
    admin: SocketAddr,
    settings: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

impl Process {
    /// Starts an entry.
    fn start(firm: &str, number: usize, location: &Location<'_>, store: &Store) -> Self {
        let (listen, admin) = (address::fresh(), address::fresh());
        let Location {
            zone,
            control,
            peers,
        } = location;
        let text = format!(
            "firm: {firm}\nname: entry-{number}\nzone: {zone}\nlisten: {listen}\n\
             control: {control}\nadmin: {admin}\npeers: [{peers}]\n\
             platform: {{address: '{}', token: {firm}}}\nlog: {{level: error}}\n",
            store.address
        );
        let name = format!(
            "verbenaspool-capacity-{}-{firm}-{number}.yaml",
            process::id()
        );
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, text).expect("a written file");
        let child = process::Command::new(env!("CARGO_BIN_EXE_verbenaspool"))
            .args(["run", "--settings"])
            .arg(&settings)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the entry starts");
        Self {
            child,
            admin,
            settings,
        }
    }

    /// Returns the active version from the entry's metrics, and 0 while they can't be read.
    fn version(&self) -> u64 {
        let Ok(mut stream) = TcpStream::connect(self.admin) else {
            return 0;
        };
        let request = b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let mut text = String::new();
        if stream.write_all(request).is_err() || stream.read_to_string(&mut text).is_err() {
            return 0;
        }
        let line = text
            .lines()
            .find(|l| l.starts_with("verbenaspool_config_version"));
        let value = line.and_then(|line| line.split_whitespace().last());
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or_default()
    }

    /// Returns the processor time of the event loop's thread in microseconds.
    fn processor_micros(&self) -> f64 {
        let path = format!("/proc/{}/schedstat", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let ns = text
            .split_whitespace()
            .next()
            .and_then(|ns| ns.parse::<f64>().ok());
        ns.unwrap_or_default() / 1e3
    }

    /// Returns the resident memory in megabytes.
    fn resident_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        kb.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or_default() / 1024.0
    }
}

/// Starts entries of a firm, distributed over `zones`; each has up to three peers of its
/// own zone.
fn entries(firm: &str, count: usize, zones: &[&str], store: &Store) -> Vec<Process> {
    let controls: Vec<SocketAddr> = (0..count).map(|_| address::fresh()).collect();
    let zone = |number: usize| zones[number % zones.len()];
    let start = |number: usize| {
        let others = (0..count).filter(|&n| n != number && zone(n) == zone(number));
        let peers: Vec<String> = others
            .take(3)
            .map(|n| format!("'{}'", controls[n]))
            .collect();
        let location = Location {
            zone: zone(number),
            control: controls[number],
            peers: peers.join(", "),
        };
        Process::start(firm, number, &location, store)
    };
    (0..count).map(start).collect()
}

/// Waits until a version is active in all processes.
fn wait_for_version(processes: &[Process], version: u64) {
    let deadline = Instant::now() + Duration::from_mins(2);
    while !processes.iter().all(|process| process.version() >= version) {
        assert!(
            Instant::now() < deadline,
            "version {version} is not active in time"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// Returns a firm's file that differs by `revision` in one customer's share.
fn file_revision(firm: &str, customers: usize, revision: u32) -> File {
    let mut file = file_with_customers(customers);
    file.firm = firm.parse().expect("a name");
    file.customers[0].share = 1 + revision;
    file
}

/// Runs all measurements.
pub fn run(output: &Output) {
    activation(output);
    propagation(output);
    memory(output);
    change_rate(output);
}

/// Measures the time from acceptance until a version is active on all four entries of a
/// firm, and the platform calls of idle entries.
fn activation(output: &Output) {
    let store = Store::start();
    let firms = ["tidewater", "quetzal"];
    let processes: Vec<Vec<Process>> = firms.map(|firm| entries(firm, 4, &ZONES, &store)).into();
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        for (firm, processes) in firms.iter().zip(&processes) {
            let accepted = store.apply(file_revision(firm, 10, change));
            wait_for_version(processes, u64::from(change));
            if change > 1 {
                times.push(accepted.elapsed().as_secs_f64() * 1e3);
            }
        }
    }
    times.sort_by(f64::total_cmp);
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
    for (name, percent) in [("median", 50), ("95 in 100", 95), ("longest", 100)] {
        let quantity = format!("acceptance to in force, {name}");
        output.print("firm", &quantity, 4, percentile(percent), "ms");
    }
    let before = store.calls();
    thread::sleep(MEASUREMENT_TIME);
    let after = store.calls();
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^53.
    let rate = |count: u64| count as f64 / MEASUREMENT_TIME.as_secs_f64() / 8.0;
    let watches = rate(after.watches - before.watches);
    output.print(
        "entry",
        "idle, watches of the platform",
        8,
        watches,
        "calls/s",
    );
    let reads = rate(after.reads - before.reads);
    output.print("entry", "idle, reads of the platform", 8, reads, "calls/s");
    let writes = rate(after.writes - before.writes);
    output.print(
        "entry",
        "idle, writes to the platform",
        8,
        writes,
        "calls/s",
    );
}

/// Measures the time from acceptance until a version is active in one zone, by the number
/// of its members.
fn propagation(output: &Output) {
    for members in [2, 12, 48] {
        let store = Store::start();
        store.apply(file_revision("tidewater", 10, 1));
        let processes = entries("tidewater", members, &ZONES[..1], &store);
        wait_for_version(&processes, 1);
        // Lets the members discover each other.
        thread::sleep(Duration::from_secs(8));
        let mut times = Vec::new();
        for change in 2..12 {
            let accepted = store.apply(file_revision("tidewater", 10, change));
            wait_for_version(&processes, u64::from(change));
            times.push(accepted.elapsed().as_secs_f64() * 1e3);
            thread::sleep(Duration::from_millis(100));
        }
        times.sort_by(f64::total_cmp);
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        output.print(
            "zone",
            "acceptance to in force, median",
            members,
            median,
            "ms",
        );
        output.print(
            "zone",
            "acceptance to in force, longest",
            members,
            longest,
            "ms",
        );
    }
}

/// Measures the memory of an entry by customers and by upstream instances.
fn memory(output: &Output) {
    for customers in [10, 4_000, 16_000] {
        let store = Store::start();
        store.apply(file_revision("tidewater", customers, 1));
        let processes = entries("tidewater", 1, &ZONES, &store);
        wait_for_version(&processes, 1);
        output.print(
            "entry",
            "memory by customers",
            customers,
            processes[0].resident_mb(),
            "MB",
        );
    }
    for instances in [19, 300, 900] {
        let store = Store::start();
        store.apply(file_revision("tidewater", 10, 1));
        store
            .commands
            .send(Command::List(instances))
            .expect("the stand-in runs");
        let processes = entries("tidewater", 1, &ZONES, &store);
        wait_for_version(&processes, 1);
        // Reading the list is limited to 45 calls per second.
        thread::sleep(Duration::from_millis(1_500) + Duration::from_secs(instances as u64 / 45));
        output.print(
            "entry",
            "memory by instances",
            instances,
            processes[0].resident_mb(),
            "MB",
        );
    }
}

/// Measures the mean processor share of two entries of a zone by changes per second.
fn change_rate(output: &Output) {
    let store = Store::start();
    store.apply(file_revision("tidewater", 4_000, 1));
    let processes = entries("tidewater", 2, &ZONES[..1], &store);
    wait_for_version(&processes, 1);
    thread::sleep(Duration::from_secs(2));
    let mut version = 1;
    for changes in [0_u32, 1, 4] {
        let before: f64 = processes.iter().map(Process::processor_micros).sum();
        let start = Instant::now();
        let change_count = changes * u32::try_from(MEASUREMENT_TIME.as_secs()).unwrap_or_default();
        for change in 0..change_count {
            version += 1;
            store.apply(file_revision("tidewater", 4_000, version));
            let due = MEASUREMENT_TIME * (change + 1) / change_count;
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        thread::sleep(MEASUREMENT_TIME.saturating_sub(start.elapsed()));
        let micros: f64 = processes.iter().map(Process::processor_micros).sum::<f64>() - before;
        let share = micros / 2.0 / start.elapsed().as_secs_f64() / 1e4;
        output.print(
            "entry",
            "processor by changes a second, 4,000 customers",
            changes,
            share,
            "%",
        );
        wait_for_version(&processes, u64::from(version));
    }
}
