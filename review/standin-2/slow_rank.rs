//! A rank turns slow while it has streams that may be sent to one replica only.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process::{Command, Stdio},
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};

use crate::{
    client::Channel,
    deployment::{self, Entry, Folder, KEY, Process, Record},
    http::End,
    rank::whole_stream,
    store::Store,
};

const RANKS: usize = 6;
const CLIENTS: usize = 54;

/// After the requests are sent, and before the first events.
const SLOW_AFTER: Duration = Duration::from_millis(60);

/// How long the rank is slow. The site allows 6.5 s.
const SLOW_FOR: Duration = Duration::from_millis(6_000);

/// A client's time budget, and a second.
const PATIENCE: Duration = Duration::from_secs(9);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"ficu95.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"model","maxAttempts":1,"publicAccess":false,"sessionAffinity":true,"resumable":true,"targetGapMs":120}],"services":[{"name":"model","healthCheckPath":"/health","connectionLimit":188,"protocol":"h1","transportSecurity":false,"engine":{"slots":12,"kvCacheTokens":494000,"tokenKvBytes":35136,"linkMbps":92000.0,"stride":6,"models":[{"name":"m"}],"step_ms":4.84,"per_seq_ms":0.362,"context_per_k":0.011,"read_per_s":74800.0,"pairs_per_m":0.232,"chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":158},"layerSets":6,"experts":48,"maxPlacements":11,"spare":4,"expertMb":1700.0,"expertShare":0.85,"form_ms":600.0}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","accessKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

/// The address of the entry's machine, and those of the machines beside the ranks.
fn machine(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 78, 0, number)
}

/// A port that is free for datagrams on all machines.
fn peer_port() -> Option<u16> {
    (0..20).find_map(|_| {
        let first = UdpSocket::bind((machine(1), 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        let numbers = 11..11 + u8::try_from(RANKS).unwrap_or(0);
        let free = numbers.map(|n| UdpSocket::bind((machine(n), port)));
        free.collect::<Result<Vec<_>, _>>().ok().map(|_| port)
    })
}

/// Starts the agent beside a rank with the deploy file's command and its template of settings.
fn start_agent(folder: &Folder, number: u8, upstream: SocketAddr, port: u16) -> Process {
    let template = fs::read_to_string("deploy/agent.yaml").expect("the template");
    let values = [
        ("{{nodeName|json}}", format!("\"side-a-{number}\"")),
        ("{{zone|json}}", "\"zone-a\"".to_owned()),
        ("{{ipAddress}}", machine(number).to_string()),
        ("{{app|json}}", format!("\"{upstream}\"")),
        ("{{service|json}}", "\"model\"".to_owned()),
        ("{{internalPorts.0}}", port.to_string()),
        ("{{limits.linkMbps}}", "20.0".to_owned()),
    ];
    let fill = |text: String, (name, value): &(&str, String)| text.replace(name, value);
    let path = folder.0.join(format!("agent-{number}.yaml"));
    fs::write(&path, values.iter().fold(template, fill)).expect("the settings");
    let log = fs::File::create(folder.0.join(format!("agent-{number}.log"))).expect("a log");
    let child = Command::new("target/release/verbenaspool-agent")
        .arg("run")
        .env_clear()
        .env("VERBENASPOOL_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn();
    Process::new(child.expect("the agent starts"))
}

pub fn main(folder: &str) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::create();
    let (slow, log) = (temporary.0.join("slow"), temporary.0.join("replicas.txt"));
    let (store, platform) = Store::start();
    store.put("config", "main", CONFIGURATION);
    let Some(port) = peer_port() else { return 2 };
    let mut processes = Vec::new();
    for number in 0..RANKS {
        let side = 11 + u8::try_from(number).unwrap_or(0);
        let listener = TcpListener::bind((machine(side), 0)).expect("a free address");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let id = format!("i-{number}");
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args([
                "rank",
                &id,
                &address.to_string(),
                &number.to_string(),
                &RANKS.to_string(),
            ])
            .arg(&slow)
            .arg(&log)
            .stdin(Stdio::null())
            .spawn();
        processes.push(Process::new(child.expect("the rank starts")));
        let born = deployment::unix_ms();
        let entry = format!(
            r#"{{"service":"model","address":"{address}","zone":"zone-a","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
        );
        store.put("servers", &id, &entry);
        processes.push(start_agent(&temporary, side, address, port));
    }
    let entry = Entry::at(machine(1).into(), port, platform);
    processes.push(entry.start(&temporary.0, "entry.log"));
    if !entry.wait_ready() {
        record.line("the entry did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let record = Arc::new(record);
    let barrier = Arc::new(Barrier::new(CLIENTS + 1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, barrier, listen) = (record.clone(), barrier.clone(), entry.listen);
            thread::spawn(move || run_client(&record, &barrier, listen, number))
        })
        .collect();
    barrier.wait();
    thread::sleep(SLOW_AFTER);
    if !deployment::is_calm() {
        fs::write(&slow, "i-2").expect("a file");
        record.line("rank i-2 is slow");
        thread::sleep(SLOW_FOR);
        fs::write(&slow, "").expect("a file");
        record.line("rank i-2 isn't slow any more");
    }
    let results: Vec<Option<bool>> = clients
        .into_iter()
        .map(|c| c.join().ok().flatten())
        .collect();
    drop(processes);
    for line in fs::read_to_string(&log).unwrap_or_default().lines() {
        record.line(&format!("replicas: {line}"));
    }
    if results.contains(&None) {
        return 2;
    }
    let lost = results.iter().filter(|lost| **lost == Some(true)).count();
    record.line(&format!(
        "{lost} kept channels were closed without an answer, 3 are allowed"
    ));
    i32::from(lost > 3)
}

/// Sends two streams on one channel, the second one together with the other clients. Returns whether
/// its channel was closed without an answer; `None` if the first one failed.
fn run_client(
    record: &Record,
    barrier: &Barrier,
    listen: SocketAddr,
    number: usize,
) -> Option<bool> {
    let channel = warm_up(listen, number);
    barrier.wait();
    let mut channel = channel?;
    let id = format!("stream-{number}");
    send(&mut channel, &id)?;
    let answer = channel.receive(PATIENCE);
    let text = match &answer {
        Ok(answer) => format!(
            "{} with {} bytes of {}, end {:?}",
            answer.head.status(),
            answer.body.len(),
            whole_stream().len(),
            answer.end
        ),
        Err(why) => format!("no answer: {why}"),
    };
    record.line(&format!("{id} got {text}"));
    Some(answer.is_err_and(|why| why.kind() != std::io::ErrorKind::WouldBlock))
}

/// Opens a channel and sends a first stream on it, as a channel is kept for many requests.
fn warm_up(listen: SocketAddr, number: usize) -> Option<Channel> {
    thread::sleep(Duration::from_millis(70) * u32::try_from(number).unwrap_or(0));
    let mut channel = Channel::open(listen).ok()?;
    send(&mut channel, &format!("first-{number}"))?;
    let answer = channel.receive(PATIENCE).ok()?;
    (answer.end == End::Delimited && answer.body == whole_stream().as_bytes()).then_some(channel)
}

fn send(channel: &mut Channel, id: &str) -> Option<()> {
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Request-Id", id),
        ("X-Model", "m"),
        ("X-Token-Counts", "674,60"),
        ("X-Deadline-Milliseconds", "8000"),
        ("X-Api-Key", KEY),
    ];
    channel
        .send(&format!("POST /draft/{id}"), &headers, b"prompt")
        .ok()
}
