//! Closed-loop load: each caller sends its next request when the previous one is answered.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use http::{Method, Request, Uri};
use http_body_util::BodyExt;
use verbenaspool_transport::{
    http::{body::Body, client::Client},
    runtime,
};

use super::deployment::CREDENTIAL;

/// Body of each request: a short search.
const BODY: &str = r#"{"loft":"bowen","net":"prawn trawl, 45 mm mesh","tear_m":2.4}"#;

/// Time in which all streams must open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Destination of requests.
#[derive(Clone)]
pub struct Target {
    address: SocketAddr,
    path: Uri,
    with_credential: bool,
}

impl Target {
    /// A server called directly.
    pub fn direct(address: SocketAddr, path: &str) -> Self {
        let path = path.parse().expect("a path");
        Self {
            address,
            path,
            with_credential: false,
        }
    }

    /// A route of the entry, called with the customer's credential.
    pub fn entry(address: SocketAddr, path: &str) -> Self {
        Self {
            with_credential: true,
            ..Self::direct(address, path)
        }
    }

    fn request(&self, body: &'static str) -> Request<Body> {
        let mut request = Request::new(Body::full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.path.clone();
        let headers = request.headers_mut();
        headers.insert("host", "bench".parse().expect("a header value"));
        if self.with_credential {
            let value = format!("Bearer {CREDENTIAL}");
            headers.insert("authorization", value.parse().expect("a header value"));
        }
        request
    }
}

/// Results of one or several rounds.
pub struct Load {
    times: Histogram<u64>,
    /// Requests that were not answered with 200.
    pub failed: u64,
    /// Total duration of the rounds.
    pub seconds: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            times: Histogram::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds"),
            failed: 0,
            seconds: 0.0,
        }
    }
}

impl Load {
    /// Adds the results of a later round.
    pub fn add(&mut self, other: &Self) {
        self.merge(other);
        self.seconds += other.seconds;
    }

    fn merge(&mut self, other: &Self) {
        self.times.add(&other.times).expect("the same bounds");
        self.failed += other.failed;
    }

    /// Number of answered requests.
    pub fn count(&self) -> u64 {
        self.times.len()
    }

    /// Answered requests per second.
    pub fn rate(&self) -> f64 {
        to_f64(self.count()) / self.seconds
    }

    /// Quantile of the response time in microseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        to_f64(self.times.value_at_quantile(quantile))
    }
}

/// Converts a count to a floating-point number.
#[allow(clippy::cast_precision_loss)] // Counts are far below 2^53.
pub fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Runs a round with the connections distributed over threads.
pub fn run(target: &Target, threads: usize, connections: usize, duration: Duration) -> Load {
    let started_at = Instant::now();
    let connections_per_thread = connections / threads;
    let workers: Vec<_> = (0..threads)
        .map(|_| {
            let target = target.clone();
            thread::spawn(move || runtime::run(worker(target, connections_per_thread, duration)))
        })
        .collect();
    let mut load = Load::default();
    for worker in workers {
        let thread_load = worker
            .join()
            .expect("a worker ends")
            .expect("a loop starts");
        load.merge(&thread_load);
    }
    load.seconds = started_at.elapsed().as_secs_f64();
    load
}

/// Runs the callers of one thread.
async fn worker(target: Target, connections: usize, duration: Duration) -> Load {
    let deadline = Instant::now() + duration;
    let callers: Vec<_> = (0..connections)
        .map(|_| monoio::spawn(caller(target.clone(), deadline)))
        .collect();
    let mut load = Load::default();
    for caller in callers {
        load.merge(&caller.await);
    }
    load
}

/// Runs one caller on its own connection.
async fn caller(target: Target, deadline: Instant) -> Load {
    let client = Client::new(Duration::from_secs(1));
    let mut load = Load::default();
    while Instant::now() < deadline {
        let started_at = Instant::now();
        let succeeded = match client.send(target.address, target.request(BODY)).await {
            Ok(response) => {
                let is_ok = response.status() == 200;
                response.into_body().collect().await.is_ok() && is_ok
            }
            Err(_) => false,
        };
        if succeeded {
            let micros = u64::try_from(started_at.elapsed().as_micros()).expect("a short time");
            load.times.saturating_record(micros.max(1));
        } else {
            load.failed += 1;
        }
    }
    load
}

/// Streams that stay open until this value is dropped.
pub struct Streams {
    stop: Option<mpsc::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Opens `count` streams and waits until each has returned a token.
pub fn open_streams(entry: SocketAddr, count: usize) -> Streams {
    let (stop, stopped) = mpsc::channel();
    let (open_sender, open_count) = mpsc::channel();
    let thread = thread::spawn(move || {
        runtime::run(hold_streams(entry, count, &open_sender, &stopped)).expect("a loop starts");
    });
    let open = open_count
        .recv_timeout(OPEN_TIMEOUT)
        .expect("the streams open in time");
    assert_eq!(open, count, "streams are open");
    Streams {
        stop: Some(stop),
        thread: Some(thread),
    }
}

/// Opens streams, reports how many returned data, and keeps them open until the other end of
/// `stop` is dropped.
async fn hold_streams(
    entry: SocketAddr,
    count: usize,
    open_count: &mpsc::Sender<usize>,
    stop: &mpsc::Receiver<()>,
) {
    let open = Rc::new(Cell::new(0));
    let bodies = Rc::new(RefCell::new(Vec::new()));
    let target = Target::entry(entry, "/loft/v1/completions");
    for _ in 0..count {
        let (target, open, bodies) = (target.clone(), open.clone(), bodies.clone());
        monoio::spawn(async move {
            let client = Client::new(Duration::from_secs(5));
            let body = r#"{"prompt":"Splice the net.","max_tokens":200,"stream":true}"#;
            let sent = client.send(target.address, target.request(body)).await;
            let mut body = sent.expect("an answer").into_body();
            if matches!(body.frame().await, Some(Ok(_))) {
                open.set(open.get() + 1);
            }
            bodies.borrow_mut().push((client, body));
        });
    }
    let deadline = Instant::now() + OPEN_TIMEOUT;
    while bodies.borrow().len() < count && Instant::now() < deadline {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    let _ = open_count.send(open.get());
    while matches!(stop.try_recv(), Err(mpsc::TryRecvError::Empty)) {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}
