//! Stand-in clients, which keep their channels open for many requests.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{Record, http};

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The API key of all requests.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// What a client saw of one request.
#[derive(Clone)]
pub struct Answer {
    pub id: String,
    pub path: String,
    /// The status; 0 if the channel ended before the answer.
    pub status: u16,
    /// Whether the answer came whole.
    pub whole: bool,
}

/// Sends a request and returns the status.
pub fn get(address: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(
        format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    let head = http::read_head(&mut BufReader::new(&stream))?;
    Ok(head.map_or(0, |head| head.word(1).parse().unwrap_or(0)))
}

/// A group of clients.
#[derive(Clone)]
pub struct Callers {
    answers: Arc<Mutex<Vec<Answer>>>,
    stopped: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
    record: Record,
}

impl Callers {
    pub fn new(record: &Record) -> Self {
        Self {
            answers: Arc::default(),
            stopped: Arc::default(),
            next_id: Arc::new(AtomicU64::new(1)),
            record: record.clone(),
        }
    }

    /// Starts a client that sends a request on this path each `interval`.
    pub fn start(&self, entry: SocketAddr, path: &str, interval: Duration) {
        let (callers, path) = (self.clone(), path.to_owned());
        thread::spawn(move || {
            let mut channel = None;
            while !callers.stopped.load(Ordering::Relaxed) {
                callers.call(entry, &path, &mut channel);
                thread::sleep(interval);
            }
        });
    }

    /// Stops all clients.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// What the clients saw so far.
    pub fn answers(&self) -> Vec<Answer> {
        let answers = self.answers.lock();
        answers.unwrap_or_else(|error| error.into_inner()).clone()
    }

    fn call(&self, entry: SocketAddr, path: &str, channel: &mut Option<TcpStream>) {
        let id = format!("q-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let sent_at = self.record.now();
        self.record
            .write(&format!("client sends {id} {path} to {entry}"));
        let mut answer = Answer {
            id,
            path: path.to_owned(),
            status: 0,
            whole: false,
        };
        let result = self.exchange(entry, path, channel, &mut answer);
        if result.is_err() {
            *channel = None;
        }
        let end = match &result {
            Ok(()) => "whole".to_owned(),
            Err(error) => format!("ended early: {error}"),
        };
        let took = self.record.now().saturating_sub(sent_at).as_millis();
        self.record.write(&format!(
            "client got {} {} {end} after {took} ms",
            answer.id, answer.status
        ));
        let answers = self.answers.lock();
        answers
            .unwrap_or_else(|error| error.into_inner())
            .push(answer);
    }

    fn exchange(
        &self,
        entry: SocketAddr,
        path: &str,
        channel: &mut Option<TcpStream>,
        answer: &mut Answer,
    ) -> io::Result<()> {
        let stream = match channel.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(Duration::from_secs(6)))?;
                stream
            }
        };
        let body = "a slot, please";
        let id = &answer.id;
        let text = format!(
            "POST {path}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Api-Key: {KEY}\r\n\
             X-Deadline-Milliseconds: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        (&stream).write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let head = http::read_head(&mut reader)?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = head.word(1).parse().unwrap_or(0);
        http::read_body(&mut reader, &head)?;
        answer.whole = true;
        if !head.get("connection").eq_ignore_ascii_case("close") {
            *channel = Some(stream);
        }
        Ok(())
    }
}
