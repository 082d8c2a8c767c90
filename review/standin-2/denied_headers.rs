//! The operator raises the limit on the size of request heads, and clients send larger ones.

use std::{thread, time::Duration};

use crate::{
    client::Channel,
    deployment::{self, Entry, Folder, KEY, Record, Replica},
    store::Store,
};

const REPLICAS: usize = 3;
const REQUESTS: usize = 40;

/// The limits before and after the change.
const HEADER_BYTES: [u32; 2] = [16_384, 65_536];

/// The size of heads as a share of the limit in force.
const USED_SHARE: f64 = 0.7;

/// `configPropagationMs` of 2 s, and a second.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

pub fn main(folder: &str) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::create();
    let log = temporary.0.join("replicas.txt");
    let (store, platform) = Store::start();
    let [before, after] = HEADER_BYTES;
    store.put("config", "main", &deployment::configuration(7, before, 300));
    let start = |number: usize| {
        let address = deployment::free_address();
        Replica::start(&store, &format!("i-{number}"), address, "length", &log)
    };
    let replicas: Vec<Replica> = (0..REPLICAS).map(start).collect();
    let entry = Entry::new(platform);
    let process = entry.start(&temporary.0, "entry.log");
    if !entry.wait_ready() {
        record.line("the entry did not become ready");
        return 2;
    }
    // The entry and the store are undisturbed for `stableWindowMs` of 3 s.
    thread::sleep(Duration::from_millis(3_500));
    let mut limit = before;
    if !deployment::is_calm() {
        limit = after;
        store.put("config", "main", &deployment::configuration(8, limit, 300));
        record.line(&format!(
            "version 8 is acknowledged, with headerBytes {limit}"
        ));
        thread::sleep(PROPAGATION_TIME);
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bytes = (f64::from(limit) * USED_SHARE) as usize;
    let mut denied = 0;
    for number in 0..REQUESTS {
        let Some(status) = call(&entry, number, bytes) else {
            return 2;
        };
        record.line(&format!(
            "look-{number} with a head of {bytes} bytes is answered {status}"
        ));
        denied += usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    drop(process);
    drop(replicas);
    record.line(&format!(
        "replicas ran {} requests",
        deployment::runs(&log).len()
    ));
    // More than 5 + one in 500 of all requests.
    let allowed = 5 + REQUESTS / 500;
    record.line(&format!(
        "{denied} of {REQUESTS} requests were denied, {allowed} are allowed"
    ));
    i32::from(denied > allowed)
}

/// Sends a lookup whose prompt has many parts, and returns the status of its answer.
fn call(entry: &Entry, number: usize, bytes: usize) -> Option<u16> {
    let id = format!("look-{number}");
    let part = "5c1e07a2:800,";
    let prefix = part.repeat((bytes - 300) / part.len()) + "e4402b7d:250";
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Request-Id", &*id),
        ("X-Prompt-Prefix", &*prefix),
        ("X-Deadline-Milliseconds", "3000"),
        ("X-Api-Key", KEY),
    ];
    let mut channel = Channel::open(entry.listen).ok()?;
    channel
        .send(&format!("GET /look/{number}"), &headers, b"")
        .ok()?;
    let answer = channel.receive(Duration::from_secs(4)).ok()?;
    Some(answer.head.status())
}
