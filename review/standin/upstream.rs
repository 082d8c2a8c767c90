//! A stand-in for a replica: runs requests that name it as their target, and keeps a list of what
//! arrived.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{Record, http};

/// How long a request takes.
const WORK_TIME: Duration = Duration::from_millis(20);

/// A request that arrived.
#[derive(Clone)]
pub struct Arrival {
    pub at: Duration,
    pub ran: bool,
}

/// A replica.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// The Unix millisecond of its start.
    born: u64,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
}

impl Upstream {
    /// Starts a replica.
    pub fn start(id: &str, service: &str, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let upstream = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            born: unix_ms(),
            arrivals: Arc::default(),
            record: record.clone(),
        };
        let accepting = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = accepting.clone();
                thread::spawn(move || {
                    let _ = upstream.serve(&stream);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(upstream)
    }

    /// Its entry in the registry.
    pub fn entry(&self, state: &str, cold_ms: u64) -> String {
        entry(&self.service, self.address, state, cold_ms, self.born)
    }

    /// The requests that arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            self.answer(stream, &head)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &TcpStream, head: &http::Head) -> std::io::Result<()> {
        let id = head.get("x-request-id").to_owned();
        let ran = head.get("x-target-instance") == self.id;
        let at = self.record.now();
        self.record.write(&format!(
            "{} {} {id} for {}",
            self.id,
            if ran { "runs" } else { "rejects with 421" },
            head.get("x-target-instance")
        ));
        lock(&self.arrivals).push(Arrival { at, ran });
        if !ran {
            let headers = [("X-Instance-Id", self.id.as_str()), ("X-Not-Executed", "1")];
            return http::respond(stream, "421 Misdirected Request", &headers, b"");
        }
        let seal = format!("seal-{}-{id}", self.id);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Seal", seal.as_str()),
            ("X-Instance-Id", self.id.as_str()),
        ];
        thread::sleep(WORK_TIME);
        let body = format!("ran {id}");
        http::respond(stream, "200 OK", &headers, body.as_bytes())
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// An entry of the registry. `born` is the Unix millisecond of the replica's start.
pub fn entry(service: &str, address: SocketAddr, state: &str, cold_ms: u64, born: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":6,"state":"{state}","coldRemainingMs":{cold_ms},"sequence":0,"born":{born}}}"#
    )
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}
