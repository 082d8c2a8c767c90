//! Where a process gets the files that are in force from.

use std::{
    cell::{Cell, RefCell},
    future,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use monoio::time::{self, Instant};
use verbenaspool_coordination::{
    adoption::{Adopted, Adoption, Settings, Verdict},
    head::Head,
    keys,
};
use verbenaspool_state::{name::Name, version::Version};

use crate::platform::{Error, Store, driver::Backoff};

/// How long one watch waits. Long, because each counts as a call.
const WATCH: Duration = Duration::from_secs(5);
/// How often a holder is looked for while a version waits to be in force.
const PAUSE: Duration = Duration::from_millis(5);

/// The files that come in force at this process.
///
/// A process takes no traffic before [`Source::current`] holds a file.
pub struct Source {
    /// The firm.
    firm: Name,
    /// The platform.
    store: Rc<dyn Store>,
    /// What is in force and what comes next.
    adoption: RefCell<Adoption>,
    /// Who waits for the next version.
    waiting: RefCell<Vec<Waker>>,
    /// Why the last read of the platform brought nothing.
    trouble: RefCell<Option<String>>,
    /// When the process started, as zero of the machines' time.
    start: Instant,
    /// Whether the source is to end.
    ended: Cell<bool>,
}

impl Source {
    /// Starts to follow a firm's configuration, within a monoio runtime.
    ///
    /// ```no_run
    /// # async fn example(store: std::rc::Rc<dyn verbenaspool_transport::platform::Store>) {
    /// use verbenaspool_state::version::Version;
    /// use verbenaspool_transport::config::source::Source;
    ///
    /// let source = Source::start(store, "quetzal".parse().unwrap(), 7);
    /// let adopted = source.above(Version(0)).await;
    /// println!("version {} of {} is in force", adopted.version(), adopted.file.firm);
    /// # }
    /// ```
    #[must_use]
    pub fn start(store: Rc<dyn Store>, firm: Name, seed: u64) -> Rc<Self> {
        let source = Rc::new(Self {
            adoption: RefCell::new(Adoption::new(firm.clone(), Settings::default())),
            firm,
            store,
            waiting: RefCell::default(),
            trouble: RefCell::default(),
            start: Instant::now(),
            ended: Cell::new(false),
        });
        monoio::spawn(Rc::clone(&source).follow(seed));
        source
    }

    /// The file in force; `None` until the first, while no traffic may be taken.
    ///
    /// ```no_run
    /// # let source: std::rc::Rc<verbenaspool_transport::config::source::Source> = unimplemented!();
    /// let ready = source.current().is_some();
    /// ```
    #[must_use]
    pub fn current(&self) -> Option<Rc<Adopted>> {
        self.adoption.borrow().current().cloned()
    }

    /// Waits until a version above `seen` is in force.
    ///
    /// ```no_run
    /// # async fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// let first = source.above(Default::default()).await;
    /// let next = source.above(first.version()).await;
    /// # }
    /// ```
    pub async fn above(&self, seen: Version) -> Rc<Adopted> {
        future::poll_fn(|context| {
            if let Some(adopted) = self.current().filter(|a| a.version() > seen) {
                return Poll::Ready(adopted);
            }
            self.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Why nothing newer can be learnt from the platform now, if so.
    ///
    /// ```no_run
    /// # let source: std::rc::Rc<verbenaspool_transport::config::source::Source> = unimplemented!();
    /// println!("{}", source.trouble().unwrap_or_default());
    /// ```
    #[must_use]
    pub fn trouble(&self) -> Option<String> {
        self.trouble.borrow().clone()
    }

    /// Ends the source's work; the file in force stays.
    ///
    /// ```no_run
    /// # let source: std::rc::Rc<verbenaspool_transport::config::source::Source> = unimplemented!();
    /// source.end();
    /// ```
    pub fn end(&self) {
        self.ended.set(true);
    }

    /// Follows the head until the source ends.
    async fn follow(self: Rc<Self>, seed: u64) {
        let mut backoff = Backoff::new(seed);
        let mut since = 0;
        while !self.ended.get() {
            match self.round(since).await {
                Ok(revision) => {
                    backoff.reset();
                    self.trouble.take();
                    since = revision;
                }
                Err(e) => {
                    self.trouble.replace(Some(e.to_string()));
                    time::sleep(backoff.pause()).await;
                }
            }
        }
    }

    /// Reads the head, adopts it, and waits for the next change. The watch is
    /// only a hint when to read, so gaps and stale or reordered events cost time
    /// and nothing else.
    async fn round(&self, since: u64) -> Result<u64, Error> {
        let key = keys::head(&self.firm);
        if let Some(object) = self.store.get(&key).await? {
            self.take(&object.value).await?;
        }
        let events = self.store.watch(&key, since, WATCH).await?;
        Ok(events.revision.max(since))
    }

    /// Takes a stored head and all that it names.
    async fn take(&self, value: &[u8]) -> Result<(), Error> {
        let head = Head::read(value).ok_or_else(|| garbled("the head"))?;
        if self.adoption.borrow_mut().offer(head) == Verdict::Garbled {
            return Err(garbled("the head"));
        }
        self.fetch().await?;
        while self.poll()? {
            time::sleep(PAUSE).await;
        }
        Ok(())
    }

    /// Fetches what is missing from the platform.
    async fn fetch(&self) -> Result<(), Error> {
        loop {
            let missing = self.adoption.borrow().missing();
            if missing.is_empty() {
                return Ok(());
            }
            for hash in missing {
                let key = keys::piece(&self.firm, hash);
                let object = self.store.get(&key).await?;
                // Collected, because a later head stands by now: read that.
                let object = object.ok_or_else(|| garbled("a piece"))?;
                let inserted = self.adoption.borrow_mut().insert(hash, &object.value);
                inserted.map_err(|e| Error::Unknown(e.to_string()))?;
            }
        }
    }

    /// Puts in force what is ready; whether something is still waiting.
    fn poll(&self) -> Result<bool, Error> {
        let mut adoption = self.adoption.borrow_mut();
        let adopted = adoption
            .poll(self.start.elapsed(), 1)
            .map_err(|e| Error::Unknown(e.to_string()))?;
        let current = adoption.current().map(|adopted| adopted.version());
        let highest = adoption.highest().map(|head| head.version);
        drop(adoption);
        if adopted.is_some() {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
        Ok(highest != current)
    }
}

/// The error for something stored that can't be read.
fn garbled(what: &str) -> Error {
    Error::Unknown(format!("{what} can't be read"))
}
