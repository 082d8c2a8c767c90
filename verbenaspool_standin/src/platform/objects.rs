//! The objects of the platform stand-in and the log of their changes.

use std::collections::BTreeMap;

use bytes::Bytes;
use verbenaspool_transport::platform::{Entry, Event, Events};

/// Number of changes kept for watches. A watcher that falls further behind misses changes.
const MAX_LOG_EVENTS: usize = 10_000;

/// The stored objects and the log of their changes.
#[derive(Debug, Default, Clone)]
pub struct Objects {
    /// Version and value by key.
    values: BTreeMap<String, (u64, Bytes)>,
    /// The revision of the last change.
    revision: u64,
    /// The last [`MAX_LOG_EVENTS`] changes, oldest first.
    log: std::collections::VecDeque<Event>,
    /// How often the objects came back from a copy.
    era: u64,
}

impl Objects {
    /// Returns an object's value.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// assert!(Objects::default().get("firms/a/head").is_none());
    /// ```
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.values.get(key).map(|(_, value)| value.clone())
    }

    /// Returns an object's version, or 0 if it doesn't exist.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// let mut objects = Objects::default();
    /// assert_eq!(objects.put("a", "1".into()), objects.version("a"));
    /// ```
    #[must_use]
    pub fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(version, _)| *version)
    }

    /// Writes an object and returns its version.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// let mut objects = Objects::default();
    /// assert!(objects.put("a", "1".into()) < objects.put("a", "2".into()));
    /// ```
    pub fn put(&mut self, key: &str, value: Bytes) -> u64 {
        let version = self.record(key, false);
        self.values.insert(key.to_owned(), (version, value));
        version
    }

    /// Deletes an object and returns the store's revision.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// let mut objects = Objects::default();
    /// objects.put("a", "1".into());
    /// objects.delete("a");
    /// assert_eq!(objects.version("a"), 0);
    /// ```
    pub fn delete(&mut self, key: &str) -> u64 {
        match self.values.remove(key) {
            Some(_) => self.record(key, true),
            None => self.revision,
        }
    }

    /// Lists the objects whose key starts with `prefix`.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// let mut objects = Objects::default();
    /// objects.put("a/1", "1".into());
    /// assert_eq!(objects.list("a/").len(), 1);
    /// ```
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        self.values
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| Entry {
                key: key.clone(),
                version: *version,
                size: value.len(),
            })
            .collect()
    }

    /// Returns the logged changes after `since` of keys that start with `prefix`.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// let mut objects = Objects::default();
    /// objects.put("a/1", "1".into());
    /// assert_eq!(objects.events("a/", 0).events.len(), 1);
    /// ```
    #[must_use]
    pub fn events(&self, prefix: &str, since: u64) -> Events {
        Events {
            revision: self.revision,
            events: self
                .log
                .iter()
                .filter(|event| event.version > since && event.key.starts_with(prefix))
                .cloned()
                .collect(),
        }
    }

    /// Comes back from a copy, so that versions are given out again.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// let mut objects = Objects::default();
    /// let copy = objects.clone();
    /// let version = objects.put("a", "1".into());
    /// objects.restore(copy);
    /// assert_eq!(objects.put("b", "1".into()), version);
    /// assert_eq!(objects.era(), 1);
    /// ```
    pub fn restore(&mut self, copy: Self) {
        let era = self.era + 1;
        *self = Self { era, ..copy };
    }

    /// Returns how often the objects came back from a copy.
    ///
    /// ```
    /// # use verbenaspool_standin::platform::Objects;
    /// assert_eq!(Objects::default().era(), 0);
    /// ```
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Logs a change and returns its revision.
    fn record(&mut self, key: &str, deleted: bool) -> u64 {
        self.revision += 1;
        if self.log.len() == MAX_LOG_EVENTS {
            self.log.pop_front();
        }
        self.log.push_back(Event {
            key: key.to_owned(),
            version: self.revision,
            deleted,
        });
        self.revision
    }
}
