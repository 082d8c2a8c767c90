//! A replica crashes in the middle of an answer without a length, while the entry that relays it
//! stands still, and a new replica runs at its address before the entry wakes.

use std::{
    fs,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Answer, Channel},
    deployment::{self, Entry, Folder, KEY, Process, Record, Replica, SIGCONT, SIGSTOP},
    replica::whole_body,
    store::Store,
};

const REPLICAS: usize = 8;

/// The requests, one after the other.
const REQUESTS: [&str; 4] = ["GET /look/1", "POST /book/2", "GET /look/3", "POST /book/4"];

/// How long the entry stands still. The site allows 4 s, and the request's time budget is 3 s.
const FREEZE: Duration = Duration::from_millis(2_600);

/// How long the replica is down. The site allows 4.5 s; its `reuseAfterS`, after which even another
/// service may get the address, is 2 s.
const DOWNTIME: Duration = Duration::from_millis(2_100);

/// Three check-in intervals of silence, after which a replica's registration is removed.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// The pause between two requests.
const PAUSE: Duration = Duration::from_secs(4);

/// A client's time budget, and a second.
const PATIENCE: Duration = Duration::from_secs(4);

struct Case {
    record: Record,
    folder: Folder,
    store: Store,
    entry: Entry,
    process: Process,
    replicas: Vec<Replica>,
    /// Number of replicas started so far.
    started: usize,
}

pub fn main(folder: &str) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::create();
    let (store, platform) = Store::start();
    store.put("config", "main", &deployment::configuration(7, 16_384, 300));
    let entry = Entry::new(platform);
    let process = entry.start(&temporary.0, "entry.log");
    let mut case = Case {
        record,
        folder: temporary,
        store,
        entry,
        process,
        replicas: Vec::new(),
        started: 0,
    };
    for _ in 0..REPLICAS {
        case.start_replica(deployment::free_address());
    }
    if !case.entry.wait_ready() {
        case.record.line("the entry did not become ready");
        return 2;
    }
    let mut broken = 0;
    for (number, request) in REQUESTS.iter().enumerate() {
        match case.play(&format!("request-{}", number + 1), request) {
            Some(is_broken) => broken += usize::from(is_broken),
            None => return 2,
        }
        thread::sleep(PAUSE);
    }
    for line in fs::read_to_string(case.log()).unwrap_or_default().lines() {
        case.record.line(&format!("replicas: {line}"));
    }
    case.record.line(&format!(
        "{broken} of {} answers broke the rule",
        REQUESTS.len()
    ));
    i32::from(broken > 0)
}

impl Case {
    fn log(&self) -> std::path::PathBuf {
        self.folder.0.join("replicas.txt")
    }

    fn start_replica(&mut self, address: std::net::SocketAddr) -> String {
        let id = format!("i-{}", self.started);
        self.started += 1;
        let replica = Replica::start(&self.store, &id, address, "unframed", &self.log());
        self.replicas.push(replica);
        id
    }

    /// Plays one request. Returns whether its answer broke the rule; `None` if it couldn't run.
    fn play(&mut self, id: &str, request: &str) -> Option<bool> {
        let mut channel = Channel::open(self.entry.listen).ok()?;
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Request-Id", id),
            ("X-Deadline-Milliseconds", "3000"),
            ("X-Api-Key", KEY),
        ];
        self.record
            .line(&format!("the client sends {request} as {id}"));
        channel.send(request, &headers, b"").ok()?;
        let Some(replica) = wait_for(&self.log(), &format!("half {id} ")) else {
            self.record.line("no replica ran the request");
            return None;
        };
        if !deployment::is_calm() {
            self.disrupt(&replica)?;
        }
        match channel.receive(PATIENCE) {
            Ok(answer) => Some(self.judge(id, &answer)),
            Err(why) => {
                self.record.line(&format!("{id} got no answer: {why}"));
                Some(false)
            }
        }
    }

    /// Stops the entry, crashes the replica and starts its successor, and continues the entry.
    fn disrupt(&mut self, replica: &str) -> Option<()> {
        let index = self.replicas.iter().position(|known| known.id == replica)?;
        deployment::signal(&self.process, SIGSTOP);
        self.record.line("the entry stands still");
        let crashed = self.replicas.swap_remove(index);
        let (id, address) = (crashed.id.clone(), crashed.address);
        crashed.crash();
        self.record.line(&format!(
            "replica {id} is killed in the middle of its answer"
        ));
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.remove("servers", &id);
        });
        thread::sleep(DOWNTIME);
        let successor = self.start_replica(address);
        self.record.line(&format!(
            "replica {successor} runs at the address of {replica}"
        ));
        thread::sleep(FREEZE - DOWNTIME);
        deployment::signal(&self.process, SIGCONT);
        self.record.line("the entry wakes");
        Some(())
    }

    /// Whether an answer is a success that looks complete and isn't the replica's whole body.
    fn judge(&self, id: &str, answer: &Answer) -> bool {
        let status = answer.head.status();
        let whole = whole_body(id);
        self.record.line(&format!(
            "{id} is answered {status} with {} bytes of {}, seal {}, end {:?}",
            answer.body.len(),
            whole.len(),
            answer.head.get("x-response-seal").unwrap_or("none"),
            answer.end
        ));
        let is_success = (200..300).contains(&status);
        is_success && answer.looks_complete() && answer.body != whole.as_bytes()
    }
}

/// Waits until a line with this prefix is in the replicas' log, and returns its last word.
fn wait_for(log: &Path, prefix: &str) -> Option<String> {
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        let text = fs::read_to_string(log).unwrap_or_default();
        let mut lines = text
            .split_inclusive('\n')
            .filter(|line| line.ends_with('\n'));
        if let Some(line) = lines.find(|line| line.starts_with(prefix)) {
            return line.trim_end().rsplit(' ').next().map(str::to_owned);
        }
        thread::sleep(Duration::from_millis(1));
    }
    None
}
