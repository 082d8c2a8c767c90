//! A small deployment: the store, an entry as a process, and replicas as processes.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{client::Channel, store::Store};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The bounds of the site that the cases name.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_WINDOW_MS: u128 = 10_000;
pub const RETRY_SLACK: f64 = 94.0;

/// The client's key and its tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Sends a signal to a process that this program started.
pub fn signal(process: &Process, signal: i32) {
    let id = i32::try_from(process.0.id()).unwrap_or(0);
    // SAFETY: a plain system call. The child hasn't been waited for, so that its id is its own.
    unsafe { kill(id, signal) };
}

/// Milliseconds of Unix time.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// The record of what was sent, answered and run.
#[derive(Debug)]
pub struct Record(Mutex<File>, Instant);

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &str) -> Self {
        let file = File::create(Path::new(folder).join("record.txt")).expect("a record");
        Self(Mutex::new(file), Instant::now())
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// A process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    pub fn new(child: Child) -> Self {
        Self(child)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A temporary folder that is removed when this value is dropped.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
    listener.local_addr().expect("an address")
}

/// A free port for datagrams.
fn free_udp_port() -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address").port()
}

/// A configuration with a route for lookups and one for bookings, both of the service `records`.
pub fn configuration(version: u32, header_bytes: u32, target_ms: u32) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"r-{name}","host":"ficu95.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":3000,"targetLatencyMs":{target_ms},"priority":2,"service":"records","maxAttempts":{attempts},"publicAccess":false,"sessionAffinity":false}}"#
        )
    };
    let routes = [route("look", "safe", 2), route("book", "unsafe", 1)].join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"records","healthCheckPath":"/health","connectionLimit":110,"protocol":"h1","transportSecurity":false}}],"limits":{{"headerBytes":{header_bytes},"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","accessKeys":["{KEY}"]}}]}}"#
    )
}

/// An entry and its addresses.
#[derive(Debug, Clone)]
pub struct Entry {
    pub listen: SocketAddr,
    readiness: SocketAddr,
    control: SocketAddr,
    peer_port: u16,
    platform: SocketAddr,
}

impl Entry {
    pub fn new(platform: SocketAddr) -> Self {
        Self::at(Ipv4Addr::LOCALHOST.into(), free_udp_port(), platform)
    }

    /// An entry on the machine with this address.
    pub fn at(machine: IpAddr, peer_port: u16, platform: SocketAddr) -> Self {
        let free = || {
            let listener = TcpListener::bind((machine, 0)).expect("a free address");
            listener.local_addr().expect("an address")
        };
        Self {
            listen: free(),
            readiness: free(),
            control: free(),
            peer_port,
            platform,
        }
    }

    /// Starts the process with the deploy file's command and its template of settings.
    pub fn start(&self, folder: &Path, log: &str) -> Process {
        let template = fs::read_to_string("deploy/entry.yaml").expect("the template");
        let values = [
            ("{{nodeName|json}}", "\"frontend-a-1\"".to_owned()),
            ("{{zone|json}}", "\"zone-a\"".to_owned()),
            ("{{ipAddress}}", self.listen.ip().to_string()),
            (
                "{{listen.frontendAddress|json}}",
                format!("\"{}\"", self.listen),
            ),
            (
                "{{listen.readinessAddress|json}}",
                format!("\"{}\"", self.readiness),
            ),
            ("{{listen.control|json}}", format!("\"{}\"", self.control)),
            ("{{internalPorts.0}}", self.peer_port.to_string()),
            ("{{seeds|json}}", format!("[\"{}\"]", self.control)),
            (
                "{{platform.address|json}}",
                format!("\"{}\"", self.platform),
            ),
            ("{{limits.fileDescriptors}}", "8200".to_owned()),
            ("{{limits.memoryMb}}", "520".to_owned()),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{bounds.retryBudgetRatio}}", RETRY_RATIO.to_string()),
            (
                "{{bounds.budgetWindowS}}",
                (RETRY_WINDOW_MS / 1_000).to_string(),
            ),
            ("{{bounds.retryBudgetSlack}}", RETRY_SLACK.to_string()),
            ("{{bounds.evacuationMs}}", String::new()),
            ("{{heartbeatMs}}", "1200".to_owned()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| text.replace(name, value);
        let path = folder.join("entry.yaml");
        fs::write(&path, values.iter().fold(template, fill)).expect("the settings");
        let log = File::create(folder.join(log)).expect("a log");
        let child = Command::new("target/release/verbenaspool")
            .arg("run")
            .env_clear()
            .env("VERBENASPOOL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        Process(child.expect("the entry starts"))
    }

    /// Waits until the entry reports that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.readiness) else {
            return false;
        };
        let sent = channel.send(
            "GET /verbenaspool/readiness",
            &[("Host", "ready.example")],
            b"",
        );
        let answer = channel.receive(Duration::from_secs(1));
        sent.is_ok() && answer.is_ok_and(|answer| answer.head.status() == 200)
    }
}

/// A replica as a process.
#[derive(Debug)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    process: Process,
}

impl Replica {
    /// Starts a replica, which registers itself.
    pub fn start(store: &Store, id: &str, address: SocketAddr, mode: &str, log: &Path) -> Self {
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args(["replica", id, &address.to_string()])
            .arg(log)
            .arg(mode)
            .stdin(Stdio::null())
            .spawn();
        let process = Process(child.expect("the replica starts"));
        let until = Instant::now() + Duration::from_secs(5);
        while Channel::open(address).is_err() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        let born = unix_ms();
        let entry = format!(
            r#"{{"service":"records","address":"{address}","zone":"zone-a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born}}}"#
        );
        store.put("servers", id, &entry);
        Self {
            id: id.to_owned(),
            address,
            process,
        }
    }

    /// Kills the process at once.
    pub fn crash(self) {
        drop(self.process);
    }
}

/// A request that a replica ran.
#[derive(Debug)]
pub struct Run {
    pub request: String,
    pub at_ms: u128,
}

/// What the replicas ran, by their log.
pub fn runs(log: &Path) -> Vec<Run> {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| line.strip_prefix("run "));
    let run = |line: &str| {
        let (request, rest) = line.split_once(' ')?;
        let at_ms = rest.split(' ').next()?.parse().ok()?;
        Some(Run {
            request: request.to_owned(),
            at_ms,
        })
    };
    lines.filter_map(run).collect()
}
