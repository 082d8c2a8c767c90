//! Starts the entry program with the command and the settings of the deploy file.

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio, id},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{Run, caller};

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// How long an entry may take until it is ready.
const START_TIME: Duration = Duration::from_secs(15);

/// The folder of settings and logs.
fn folder() -> PathBuf {
    env::temp_dir().join(format!("verbenaspool-review-{}", id()))
}

/// Kills all processes that were started, and removes their files.
pub fn kill_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
    let _ = fs::remove_dir_all(folder());
}

/// One entry.
pub struct Entry {
    pub name: String,
    pub listen: SocketAddr,
    readiness: SocketAddr,
    /// The id of its process.
    process: u32,
    settings: PathBuf,
    log: PathBuf,
}

/// The ports that all entries use on their addresses.
struct Ports {
    listen: u16,
    readiness: u16,
    control: u16,
    peers: u16,
}

/// Finds ports that are free on all addresses.
fn free_ports(addresses: &[Ipv4Addr]) -> io::Result<Ports> {
    let free_everywhere = |port: u16| {
        addresses.iter().all(|address| {
            TcpListener::bind((*address, port)).is_ok() && UdpSocket::bind((*address, port)).is_ok()
        })
    };
    let mut ports = Vec::new();
    while ports.len() < 4 {
        let port = TcpListener::bind((addresses[0], 0))?.local_addr()?.port();
        if !ports.contains(&port) && free_everywhere(port) {
            ports.push(port);
        }
    }
    Ok(Ports {
        listen: ports[0],
        readiness: ports[1],
        control: ports[2],
        peers: ports[3],
    })
}

/// Starts entries in these availability zones and waits until they are ready.
pub fn start(run: &Run, store: SocketAddr, zones: &[&str]) -> io::Result<Vec<Entry>> {
    let [_, _, high, low] = id().to_be_bytes();
    let address = |number: usize| {
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, high.max(1), low, last)
    };
    let addresses: Vec<Ipv4Addr> = (0..zones.len()).map(address).collect();
    let ports = free_ports(&addresses)?;
    let seeds = addresses.iter().take(3);
    let seeds: Vec<String> = seeds
        .map(|a| format!("\"{a}:{}\"", ports.control))
        .collect();
    let folder = folder();
    fs::create_dir_all(&folder)?;
    let mut entries = Vec::new();
    for (number, (ip, zone)) in addresses.iter().zip(zones).enumerate() {
        let name = format!("frontend-{zone}-{number}");
        let Ports {
            listen,
            readiness,
            control,
            peers,
        } = ports;
        let text = format!(
            "path: direct\nname: \"{name}\"\nzone: \"{zone}\"\naddress: {ip}\nlisten: \"{ip}:{listen}\"\n\
             readiness: \"{ip}:{readiness}\"\ncontrol: \"{ip}:{control}\"\npeer_port: {peers}\n\
             seeds: [{}]\nplatform: \"{store}\"\ndescriptors: 6150\nmemory_mb: 390\n\
             bounds: {{ grace_s: 8, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 92, evacuation_ms:  }}\n\
             shares: {{ enabled: true }}\nbalancing: {{ learn_speed: true }}\nlog: {{ form: json }}\n",
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let mut entry = Entry {
            name,
            listen: (*ip, listen).into(),
            readiness: (*ip, readiness).into(),
            process: 0,
            settings,
            log,
        };
        entry.launch(run)?;
        entries.push(entry);
    }
    wait_ready(run, &entries, START_TIME)?;
    Ok(entries)
}

/// Waits until all entries are ready.
fn wait_ready(run: &Run, entries: &[Entry], limit: Duration) -> io::Result<()> {
    let until = Instant::now() + limit;
    for entry in entries {
        while !entry.is_ready() {
            if Instant::now() >= until {
                return Err(io::Error::other(format!("{} isn't ready", entry.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        run.record.write(&format!("{} is ready", entry.name));
    }
    Ok(())
}

impl Entry {
    /// Starts the process.
    fn launch(&mut self, run: &Run) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/verbenaspool")
            .arg("run")
            .current_dir(&run.root)
            .env_clear()
            .env("VERBENASPOOL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = child.id();
        run.record.write(&format!("{} started", self.name));
        CHILDREN
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .push(child);
        Ok(())
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self, run: &Run) -> io::Result<()> {
        let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
        for child in children
            .iter_mut()
            .filter(|child| child.id() == self.process)
        {
            child.kill()?;
            child.wait()?;
        }
        drop(children);
        run.record.write(&format!("{} killed", self.name));
        self.launch(run)
    }

    /// Whether it answers the platform's readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let asked = caller::get(self.readiness, "/verbenaspool/readiness");
        asked.is_ok_and(|status| status == 200)
    }
}
