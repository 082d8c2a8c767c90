//! Clients that send lookups at a steady rate.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::Channel,
    deployment::{KEY, unix_ms},
};

/// The clients, and what they sent and got.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
    seen: Arc<Mutex<Seen>>,
}

/// What clients sent and got.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// When each request was sent, in milliseconds of Unix time.
    pub sent_ms: Vec<u128>,
    /// Number of requests by result.
    pub results: BTreeMap<String, u32>,
}

impl Load {
    /// Starts to send a request at each interval, each on a channel of its own.
    pub fn start(entry: SocketAddr, interval: Duration) -> Self {
        let (stop, seen) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<Mutex<Seen>>::default(),
        );
        let (stopped, recorded) = (stop.clone(), seen.clone());
        let sender = thread::spawn(move || {
            let (begin, mut number, mut clients) = (Instant::now(), 0, Vec::new());
            while !stopped.load(Ordering::Relaxed) {
                number += 1;
                let seen = recorded.clone();
                clients.push(thread::spawn(move || call(entry, number, &seen)));
                let next = begin + interval * number;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Self {
            stop,
            sender: Some(sender),
            seen,
        }
    }

    /// Stops to send, and waits for the last answers.
    pub fn stop(mut self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
        self.seen.lock().unwrap().clone()
    }
}

/// Sends one lookup and records its result.
fn call(entry: SocketAddr, number: u32, seen: &Mutex<Seen>) {
    seen.lock().unwrap().sent_ms.push(unix_ms());
    let id = format!("look-{number}");
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Request-Id", &*id),
        ("X-Deadline-Milliseconds", "3000"),
        ("X-Api-Key", KEY),
    ];
    let result = Channel::open(entry).and_then(|mut channel| {
        channel.send(&format!("GET /look/{number}"), &headers, b"")?;
        channel.receive(Duration::from_secs(4))
    });
    let result = result.map_or("no answer".to_owned(), |answer| {
        answer.head.status().to_string()
    });
    *seen.lock().unwrap().results.entry(result).or_default() += 1;
}
