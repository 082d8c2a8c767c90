//! Real entry processes of both firms, before a stand-in of the platform.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
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

use super::{Output, change::file, instances::upstream};

/// The places of each firm's four entries.
const ZONES: [&str; 4] = ["zone-1", "zone-1", "zone-2", "zone-3"];
/// Changes timed on today's sizes.
const CHANGES: u32 = 40;
/// How long processor time is measured.
const SPAN: Duration = Duration::from_secs(4);

/// What the stand-in's thread is asked to do.
enum Ask {
    /// Accept a file, and say when.
    Apply(Box<File>, Sender<Instant>),
    /// Count the calls so far.
    Count(Sender<Calls>),
    /// List so many upstream instances.
    List(usize),
}

/// The stand-in of the platform, on a thread of its own.
struct Store {
    address: SocketAddr,
    ask: Sender<Ask>,
}

impl Store {
    fn start() -> Self {
        let (ask, asked) = channel();
        let (tell, told) = channel();
        thread::spawn(move || runtime::run(serve(asked, tell)));
        let address = told.recv().expect("the stand-in starts");
        Self { address, ask }
    }

    /// Has a file accepted and says when it was.
    fn apply(&self, file: File) -> Instant {
        let (tell, told) = channel();
        self.ask
            .send(Ask::Apply(Box::new(file), tell))
            .expect("the stand-in runs");
        told.recv().expect("an answer")
    }

    fn calls(&self) -> Calls {
        let (tell, told) = channel();
        self.ask.send(Ask::Count(tell)).expect("the stand-in runs");
        told.recv().expect("an answer")
    }
}

/// Serves the object API and does what it is asked.
async fn serve(asked: Receiver<Ask>, tell: Sender<SocketAddr>) {
    let platform = Platform::start().expect("a free port");
    for firm in ["tidewater", "quetzal"] {
        platform.allow(firm, firm);
    }
    tell.send(platform.address()).expect("the bench waits");
    let mut number = 0_u32;
    loop {
        let ask = match asked.try_recv() {
            Ok(ask) => ask,
            Err(std::sync::mpsc::TryRecvError::Empty) => {
                monoio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
            Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
        };
        match ask {
            Ask::Apply(file, told) => {
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
                told.send(Instant::now()).expect("the bench waits");
            }
            Ask::Count(told) => told.send(platform.calls()).expect("the bench waits"),
            Ask::List(count) => platform.with(|objects| {
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

/// Where an entry stands, and whom it asks for the others.
struct Place<'a> {
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
    fn start(firm: &str, number: usize, place: &Place<'_>, store: &Store) -> Self {
        let (listen, admin) = (address::fresh(), address::fresh());
        let Place {
            zone,
            control,
            peers,
        } = place;
        let text = format!(
            "firm: {firm}\nname: entry-{number}\nzone: {zone}\nlisten: {listen}\n\
             control: {control}\nadmin: {admin}\npeers: [{peers}]\n\
             platform: {{address: '{}', token: {firm}}}\nlog: {{level: error}}\n",
            store.address
        );
        let name = format!(
            "verbenaspool-capacity-{}-{firm}-{number}.yaml",
            std::process::id()
        );
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, text).expect("a written file");
        let child = Command::new(env!("CARGO_BIN_EXE_verbenaspool"))
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

    /// The version in force, as the entry's metrics tell it.
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

    /// Processor time of the loop's thread in microseconds.
    fn processor(&self) -> f64 {
        let path = format!("/proc/{}/schedstat", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let ns = text
            .split_whitespace()
            .next()
            .and_then(|ns| ns.parse::<f64>().ok());
        ns.unwrap_or_default() / 1e3
    }

    /// Resident memory in megabytes.
    fn memory(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        kb.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or_default() / 1024.0
    }
}

/// Entries of a firm, spread over `zones`; each knows three others of its own.
fn entries(firm: &str, count: usize, zones: &[&str], store: &Store) -> Vec<Process> {
    let controls: Vec<SocketAddr> = (0..count).map(|_| address::fresh()).collect();
    let zone = |number: usize| zones[number % zones.len()];
    let start = |number: usize| {
        let others = (0..count).filter(|&n| n != number && zone(n) == zone(number));
        let peers: Vec<String> = others
            .take(3)
            .map(|n| format!("'{}'", controls[n]))
            .collect();
        let place = Place {
            zone: zone(number),
            control: controls[number],
            peers: peers.join(", "),
        };
        Process::start(firm, number, &place, store)
    };
    (0..count).map(start).collect()
}

/// Waits until all have a version in force.
fn reach(processes: &[Process], version: u64) {
    let end = Instant::now() + Duration::from_mins(2);
    while !processes.iter().all(|process| process.version() >= version) {
        assert!(Instant::now() < end, "version {version} comes in force");
        thread::sleep(Duration::from_millis(1));
    }
}

/// A firm's file with a mark that tells versions apart.
fn marked(firm: &str, customers: usize, mark: u32) -> File {
    let mut file = file(customers);
    file.firm = firm.parse().expect("a name");
    file.customers[0].share = 1 + mark;
    file
}

/// Measures processes.
pub fn run(output: &Output) {
    in_force(output);
    spread(output);
    memory(output);
    rate(output);
}

/// The time from acceptance to in force on both firms' four entries.
fn in_force(output: &Output) {
    let store = Store::start();
    let firms = ["tidewater", "quetzal"];
    let processes: Vec<Vec<Process>> = firms.map(|firm| entries(firm, 4, &ZONES, &store)).into();
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        for (firm, processes) in firms.iter().zip(&processes) {
            let accepted = store.apply(marked(firm, 10, change));
            reach(processes, u64::from(change));
            if change > 1 {
                times.push(accepted.elapsed().as_secs_f64() * 1e3);
            }
        }
    }
    times.sort_by(f64::total_cmp);
    let at = |part: usize| times[(times.len() - 1) * part / 100];
    for (name, part) in [("median", 50), ("95 in 100", 95), ("longest", 100)] {
        let quantity = format!("acceptance to in force, {name}");
        output.say("firm", &quantity, 4, at(part), "ms");
    }
    let before = store.calls();
    thread::sleep(SPAN);
    let after = store.calls();
    #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^53.
    let rate = |count: u64| count as f64 / SPAN.as_secs_f64() / 8.0;
    let watches = rate(after.watches - before.watches);
    output.say(
        "entry",
        "idle, watches of the platform",
        8,
        watches,
        "calls/s",
    );
    let reads = rate(after.reads - before.reads);
    output.say("entry", "idle, reads of the platform", 8, reads, "calls/s");
    let writes = rate(after.writes - before.writes);
    output.say(
        "entry",
        "idle, writes to the platform",
        8,
        writes,
        "calls/s",
    );
}

/// The time from acceptance to in force in one zone, by its members.
fn spread(output: &Output) {
    for members in [2, 12, 48] {
        let store = Store::start();
        store.apply(marked("tidewater", 10, 1));
        let processes = entries("tidewater", members, &ZONES[..1], &store);
        reach(&processes, 1);
        // The members find each other.
        thread::sleep(Duration::from_secs(8));
        let mut times = Vec::new();
        for change in 2..12 {
            let accepted = store.apply(marked("tidewater", 10, change));
            reach(&processes, u64::from(change));
            times.push(accepted.elapsed().as_secs_f64() * 1e3);
            thread::sleep(Duration::from_millis(100));
        }
        times.sort_by(f64::total_cmp);
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        output.say(
            "zone",
            "acceptance to in force, median",
            members,
            median,
            "ms",
        );
        output.say(
            "zone",
            "acceptance to in force, longest",
            members,
            longest,
            "ms",
        );
    }
}

/// The memory of an entry by customers and by upstream instances.
fn memory(output: &Output) {
    for customers in [10, 4_000, 16_000] {
        let store = Store::start();
        store.apply(marked("tidewater", customers, 1));
        let processes = entries("tidewater", 1, &ZONES, &store);
        reach(&processes, 1);
        output.say(
            "entry",
            "memory by customers",
            customers,
            processes[0].memory(),
            "MB",
        );
    }
    for instances in [19, 300, 900] {
        let store = Store::start();
        store.apply(marked("tidewater", 10, 1));
        store
            .ask
            .send(Ask::List(instances))
            .expect("the stand-in runs");
        let processes = entries("tidewater", 1, &ZONES, &store);
        reach(&processes, 1);
        // The list is read within the budget of calls, 45 a second.
        thread::sleep(Duration::from_millis(1_500) + Duration::from_secs(instances as u64 / 45));
        output.say(
            "entry",
            "memory by instances",
            instances,
            processes[0].memory(),
            "MB",
        );
    }
}

/// The processor time of two entries of a zone by changes a second.
fn rate(output: &Output) {
    let store = Store::start();
    store.apply(marked("tidewater", 4_000, 1));
    let processes = entries("tidewater", 2, &ZONES[..1], &store);
    reach(&processes, 1);
    thread::sleep(Duration::from_secs(2));
    let mut version = 1;
    for changes in [0_u32, 1, 4] {
        let before: f64 = processes.iter().map(Process::processor).sum();
        let start = Instant::now();
        let total = changes * u32::try_from(SPAN.as_secs()).unwrap_or_default();
        for change in 0..total {
            version += 1;
            store.apply(marked("tidewater", 4_000, version));
            let due = SPAN * (change + 1) / total;
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        thread::sleep(SPAN.saturating_sub(start.elapsed()));
        let spent: f64 = processes.iter().map(Process::processor).sum::<f64>() - before;
        let share = spent / 2.0 / start.elapsed().as_secs_f64() / 1e4;
        output.say(
            "entry",
            "processor by changes a second, 4,000 customers",
            changes,
            share,
            "%",
        );
        reach(&processes, u64::from(version));
    }
}
