//! The platform's store: objects by kind and name, with listings and watches.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String, String)>,
    /// The revision, kind, whether it was removed, and object of each change.
    changes: Vec<(u64, String, bool, String)>,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn encode(name: &str, (revision, specification, status): &(u64, String, String)) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deletionPending":false}},"specification":{specification},"status":{status}}}"#
    )
}

impl Store {
    /// Starts a store at a free address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.state.0.lock().unwrap().revision = 5;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
        let address = listener.local_addr().expect("an address");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes the specification of an object.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let status = state
            .objects
            .get(&key)
            .map_or("null".to_owned(), |o| o.2.clone());
        let object = (state.revision, specification.to_owned(), status);
        let change = (
            state.revision,
            kind.to_owned(),
            false,
            encode(name, &object),
        );
        state.changes.push(change);
        state.objects.insert(key, object);
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let change = (state.revision, kind.to_owned(), true, encode(name, &object));
            state.changes.push(change);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (body, _) = http::read_body(&mut reader, &head, false);
            let (status, text) = self.answer(head.method(), head.target(), &body);
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["verbenaspool", "objects", kind]) => match parameter("watch") {
                Some(since) => {
                    let wait = parameter("waitMs").and_then(|ms| ms.parse().ok());
                    let since = since.parse().unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind, &parameter("after").unwrap_or_default()),
            },
            ("PUT", ["verbenaspool", "objects", kind, name, "status"]) => {
                self.set_status(kind, name, &String::from_utf8_lossy(body))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter();
        let items = items.filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<String> = items.map(|((_, name), o)| encode(name, o)).collect();
        let at = state.revision;
        (
            200,
            format!(
                r#"{{"items":[{}],"hasMore":false,"at":{at}}}"#,
                items.join(",")
            ),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changes = state.changes.iter();
            let events: Vec<String> = changes
                .filter(|(revision, k, _, _)| *revision > since && k == kind)
                .map(|(_, _, removed, object)| {
                    format!(r#"{{"removed":{removed},"object":{object}}}"#)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (
                    200,
                    format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Replaces a status. The body is as the pages show it, with the status last.
    fn set_status(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let number = |text: &str| {
            let rest = text.split(r#""revision":"#).nth(1)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let status = body
            .split_once(r#""status":"#)
            .map(|(_, rest)| rest.trim_end());
        let status = status
            .and_then(|rest| rest.strip_suffix('}'))
            .unwrap_or("null");
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.get(&key).cloned() else {
            return (404, "{}".to_owned());
        };
        if number(body).is_some_and(|expected| expected != object.0) {
            return (409, encode(name, &object));
        }
        state.revision += 1;
        let object = (state.revision, object.1, status.to_owned());
        let text = encode(name, &object);
        let change = (state.revision, kind.to_owned(), false, text.clone());
        state.changes.push(change);
        state.objects.insert(key, object);
        self.state.1.notify_all();
        (200, text)
    }
}
