//! A stand-in for the platform's store: objects by kind and name, one revision counter, lists,
//! watches, and the header that counts how often it came back from a copy.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{Record, http};

/// Reading calls that the store answers in a second, as the sheets of the small deployments say.
/// Further ones get 429.
const READS_PER_SECOND: u64 = 2_000;

/// How often a watch, or a connection that is silent, looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    specification: Vec<u8>,
    status: Vec<u8>,
}

impl Object {
    fn encode(&self, name: &str) -> Vec<u8> {
        let mut text = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"created":1,"finalizers":[],"deletionPending":false}},"specification":"#,
            self.revision
        )
        .into_bytes();
        text.extend_from_slice(&self.specification);
        text.extend_from_slice(br#","status":"#);
        text.extend_from_slice(&self.status);
        text.push(b'}');
        text
    }
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: Vec<u8>,
}

/// What the store keeps.
#[derive(Clone)]
pub struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

struct State {
    content: Content,
    era: u64,
    /// Connections with a number up to this one get no answers.
    silent_through: u64,
    last_connection: u64,
    /// The current second and the calls that were answered in it.
    second: (u64, u64),
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let content = Content {
            revision: 100,
            objects: BTreeMap::new(),
            changes: Vec::new(),
        };
        let store = Self {
            state: Arc::new(Mutex::new(State {
                content,
                era: 1,
                silent_through: 0,
                last_connection: 0,
                second: (0, 0),
            })),
            changed: Arc::default(),
            record: record.clone(),
            address: listener.local_addr()?,
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.accept(stream);
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes an object. A write that changes nothing has no effect.
    pub fn put(&self, kind: &str, name: &str, specification: &[u8]) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.content.objects.get(&key);
        if known.is_some_and(|known| known.specification == specification) {
            return;
        }
        let status = known.map_or_else(|| b"null".to_vec(), |known| known.status.clone());
        state.content.revision += 1;
        let object = Object {
            revision: state.content.revision,
            specification: specification.to_vec(),
            status,
        };
        let revision = object.revision;
        state.content.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            object: object.encode(name),
        });
        state.content.objects.insert(key, object);
        self.record.write(&format!(
            "store acknowledged {kind}/{name} at revision {revision}: {}",
            String::from_utf8_lossy(specification)
                .chars()
                .take(150)
                .collect::<String>()
        ));
        self.changed.notify_all();
    }

    /// A copy of what the store keeps.
    pub fn copy(&self) -> Content {
        let state = self.lock();
        self.record.write(&format!(
            "store copied at revision {}",
            state.content.revision
        ));
        state.content.clone()
    }

    /// Goes away: calls get no answers any more, and connections stay open.
    pub fn go_away(&self) {
        let mut state = self.lock();
        state.silent_through = u64::MAX;
        let revision = state.content.revision;
        self.record
            .write(&format!("store away at revision {revision}"));
    }

    /// Comes back from a copy. Connections from before stay silent.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.lock();
        state.content = copy;
        state.era += 1;
        state.silent_through = state.last_connection;
        let (revision, era) = (state.content.revision, state.era);
        self.record
            .write(&format!("store back at revision {revision}, era {era}"));
    }

    fn accept(&self, stream: TcpStream) {
        let mut state = self.lock();
        state.last_connection += 1;
        let number = state.last_connection;
        drop(state);
        let store = self.clone();
        thread::spawn(move || {
            let _ = store.serve(number, &stream);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }

    fn serve(&self, number: u64, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let (status, answer) = if self.admits_call() {
                self.answer(&head, &body)
            } else {
                ("429 Too Many Requests", b"{}".to_vec())
            };
            while self.lock().silent_through >= number {
                thread::sleep(POLL_INTERVAL);
            }
            let era = self.lock().era.to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            http::respond(stream, status, &headers, &answer)?;
        }
        Ok(())
    }

    /// Counts a call. Returns whether it is within the rate.
    fn admits_call(&self) -> bool {
        let mut state = self.lock();
        let second = self.record.now().as_secs();
        if state.second.0 != second {
            state.second = (second, 0);
        }
        state.second.1 += 1;
        state.second.1 <= READS_PER_SECOND
    }

    /// The answer to a call.
    fn answer(&self, head: &http::Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let mut words = path.trim_start_matches("/verbenaspool/objects/").split('/');
        let (kind, name) = (words.next().unwrap_or_default(), words.next());
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == wanted)
                .map(|(_, value)| value.to_owned())
        };
        if head.word(0) == "PUT" {
            return self.put_status(kind, name.unwrap_or_default(), body);
        }
        let Some(since) = parameter("watch").and_then(|text| text.parse::<u64>().ok()) else {
            return self.list(kind);
        };
        let wait = parameter("waitMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.watch(kind, since, Duration::from_millis(wait))
    }

    fn list(&self, kind: &str) -> (&'static str, Vec<u8>) {
        let state = self.lock();
        let items = state
            .content
            .objects
            .iter()
            .filter(|((known, _), _)| known == kind);
        let items: Vec<Vec<u8>> = items
            .map(|((_, name), object)| object.encode(name))
            .collect();
        let mut text = br#"{"items":["#.to_vec();
        text.extend_from_slice(&items.join(&b','));
        let end = format!(r#"],"hasMore":false,"at":{}}}"#, state.content.revision);
        text.extend_from_slice(end.as_bytes());
        ("200 OK", text)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if since > state.content.revision {
                return ("410 Gone", b"{}".to_vec());
            }
            let changes = state.content.changes.iter();
            let changes = changes.filter(|c| c.kind == kind && c.revision > since);
            let events: Vec<Vec<u8>> = changes
                .map(|change| {
                    let mut event = br#"{"removed":false,"object":"#.to_vec();
                    event.extend_from_slice(&change.object);
                    event.push(b'}');
                    event
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let mut text = br#"{"events":["#.to_vec();
                text.extend_from_slice(&events.join(&b','));
                let end = format!(r#"],"at":{}}}"#, state.content.revision);
                text.extend_from_slice(end.as_bytes());
                return ("200 OK", text);
            }
            let waited = self.changed.wait_timeout(state, POLL_INTERVAL);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }

    /// Replaces a status if the call names the object's revision.
    fn put_status(&self, kind: &str, name: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let text = String::from_utf8_lossy(body).into_owned();
        let revision = text.split_once(r#""revision":"#).map(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().unwrap_or_default()
        });
        let status = text.split_once(r#""status":"#).map(|(_, rest)| rest);
        let mut state = self.lock();
        let next = state.content.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.content.objects.get_mut(&key) else {
            return ("404 Not Found", b"{}".to_vec());
        };
        if revision != Some(object.revision) {
            return ("409 Conflict", object.encode(name));
        }
        object.revision = next;
        object.status = status
            .unwrap_or("null}")
            .trim_end_matches('}')
            .as_bytes()
            .to_vec();
        let encoded = object.encode(name);
        state.content.revision = next;
        state.content.changes.push(Change {
            revision: next,
            kind: kind.to_owned(),
            object: encoded.clone(),
        });
        self.changed.notify_all();
        ("200 OK", encoded)
    }
}
