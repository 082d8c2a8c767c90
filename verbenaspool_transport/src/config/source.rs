//! Where a process gets the files that are in force from.

use std::{
    cell::{Cell, RefCell},
    fmt, future,
    net::SocketAddr,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use monoio::time;
use verbenaspool_coordination::{
    adoption::{self, Adopted, Adoption, Verdict},
    head::Head,
    keys,
    membership::{self, Member, MemberState, Membership, Summary},
};
use verbenaspool_state::{name::Name, version::Version};

use super::{bundle, peers};
use crate::{
    clock::Clock,
    platform::{Error, Store, driver::Backoff},
    rpc,
};

/// How long one watch waits. Each counts as a call, so longer is cheaper; but a
/// watch that lost its events brings nothing until it ends, and an accepted file
/// must be in force within 9 s all the same.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// How old the last word from the platform may be to count as fresh: a watch
/// with time for its answer.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(6);
/// How often a process that doesn't watch looks whether it has to.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a process waits for its peers' word before it reads the platform.
/// Without the wait, a zone that restarts reads everything once an instance.
const PEER_WAIT: Duration = Duration::from_millis(300);

/// What a source is for.
#[derive(Debug, Clone)]
pub struct Options {
    /// The firm.
    pub firm: Name,
    /// The instance's name, unique among the firm's entry instances.
    pub name: Name,
    /// Where peers reach the instance's control methods.
    pub control: SocketAddr,
    /// Control addresses of some peers of the zone, to find the others by.
    pub seeds: Vec<SocketAddr>,
    /// A number that tells this process from others: it sets the jitter, and the
    /// first guess at the incarnation, which peers correct.
    pub seed: u64,
    /// When a held file comes in force.
    pub adoption: adoption::Settings,
    /// Who counts as alive.
    pub membership: membership::Settings,
}

impl Options {
    /// Options with the usual settings and no peers.
    ///
    /// ```
    /// use verbenaspool_transport::config::source::Options;
    ///
    /// let control = ([127, 0, 0, 1], 7001).into();
    /// let options = Options::new("quetzal".parse().unwrap(), "entry-1".parse().unwrap(), control);
    /// assert!(options.seeds.is_empty());
    /// ```
    #[must_use]
    pub fn new(firm: Name, name: Name, control: SocketAddr) -> Self {
        Self {
            firm,
            name,
            control,
            seeds: Vec::new(),
            seed: 1,
            adoption: adoption::Settings::default(),
            membership: membership::Settings::default(),
        }
    }
}

/// The files that come in force at this process, found together with the peers
/// of its zone.
///
/// A process takes no traffic before [`Source::current`] holds a file.
pub struct Source {
    /// What the source is for.
    pub(super) options: Options,
    /// The platform.
    store: Rc<dyn Store>,
    /// The source of time.
    clock: Rc<dyn Clock>,
    /// What is in force and what comes next.
    pub(super) adoption: RefCell<Adoption>,
    /// The zone's members.
    pub(super) membership: RefCell<Membership>,
    /// Calls to peers.
    pub(super) calls: rpc::Client,
    /// Who waits for the next version.
    wakers: RefCell<Vec<Waker>>,
    /// When the platform last answered.
    answered_at: Cell<Option<Duration>>,
    /// Why the last read of the platform brought nothing.
    last_error: RefCell<Option<String>>,
    /// Whether a successor has taken over under the same name.
    pub(super) replaced: Cell<bool>,
    /// Whether the source is to end.
    stopped: Cell<bool>,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version();
        f.debug_struct("Source")
            .field("version", &version)
            .finish_non_exhaustive()
    }
}

impl Source {
    /// Starts to follow a firm's configuration, within a monoio runtime. Where
    /// the zone has other instances, serve [`Source::register_methods`] at the control
    /// address as well.
    ///
    /// ```no_run
    /// # async fn example(store: std::rc::Rc<dyn verbenaspool_transport::platform::Store>,
    /// #     options: verbenaspool_transport::config::source::Options) {
    /// use verbenaspool_state::version::Version;
    /// use verbenaspool_transport::{clock::Monotonic, config::source::Source};
    ///
    /// let source = Source::start(store, Monotonic::start(), options);
    /// let adopted = source.wait_for_newer(Version(0)).await;
    /// println!("version {} of {} is in force", adopted.version(), adopted.file.firm);
    /// # }
    /// ```
    #[must_use]
    pub fn start(store: Rc<dyn Store>, clock: Rc<dyn Clock>, options: Options) -> Rc<Self> {
        let me = Member {
            name: options.name.clone(),
            incarnation: options.seed,
            address: options.control,
            state: MemberState::Live,
        };
        let source = Rc::new(Self {
            adoption: RefCell::new(Adoption::new(options.firm.clone(), options.adoption)),
            membership: RefCell::new(Membership::new(me, options.membership)),
            options,
            store,
            clock,
            calls: rpc::Client::default(),
            wakers: RefCell::default(),
            answered_at: Cell::default(),
            last_error: RefCell::default(),
            replaced: Cell::default(),
            stopped: Cell::default(),
        });
        monoio::spawn(Rc::clone(&source).follow());
        monoio::spawn(peers::run(Rc::clone(&source)));
        source
    }

    /// Adds the methods that peers call to a module.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// let mut module = verbenaspool_transport::rpc::Module::default();
    /// source.register_methods(&mut module);
    /// # }
    /// ```
    pub fn register_methods(self: &Rc<Self>, module: &mut rpc::Module) {
        peers::register_methods(self, module);
    }

    /// The file in force; `None` until the first, while no traffic may be taken.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// let ready = source.current().is_some();
    /// # }
    /// ```
    #[must_use]
    pub fn current(&self) -> Option<Rc<Adopted>> {
        self.adoption.borrow().current().cloned()
    }

    /// The version in force, 0 for none.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// println!("{}", source.version());
    /// # }
    /// ```
    #[must_use]
    pub fn version(&self) -> Version {
        let adoption = self.adoption.borrow();
        adoption
            .current()
            .map(|adopted| adopted.version())
            .unwrap_or_default()
    }

    /// Waits until a version above `seen` is in force.
    ///
    /// ```no_run
    /// # async fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// let first = source.wait_for_newer(Default::default()).await;
    /// let next = source.wait_for_newer(first.version()).await;
    /// # }
    /// ```
    pub async fn wait_for_newer(&self, seen: Version) -> Rc<Adopted> {
        future::poll_fn(|context| {
            if let Some(adopted) = self.current().filter(|a| a.version() > seen) {
                return Poll::Ready(adopted);
            }
            self.wakers.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Why nothing newer can be learnt from the platform now, if so.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// println!("{}", source.last_error().unwrap_or_default());
    /// # }
    /// ```
    #[must_use]
    pub fn last_error(&self) -> Option<String> {
        self.last_error.borrow().clone()
    }

    /// Whether another process has taken over under this instance's name. This
    /// one was paused for so long that it was given up: it must take no more work.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// if source.is_replaced() {
    ///     source.stop();
    /// }
    /// # }
    /// ```
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.replaced.get()
    }

    /// The versions in force at this instance and those it gathers word of; the
    /// zone's whole where [`Source::is_first`] holds.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// println!("{} instances", source.summary().instances);
    /// # }
    /// ```
    #[must_use]
    pub fn summary(&self) -> Summary {
        let membership = self.membership.borrow();
        membership.summary(self.clock.now(), self.version())
    }

    /// Whether this instance is the zone's first, who writes its status.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// println!("{}", source.is_first());
    /// # }
    /// ```
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.membership.borrow().is_first()
    }

    /// The instances of the zone that take part, this one included, by name.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// println!("{} entries share the zone's callers", source.live_names().len());
    /// # }
    /// ```
    #[must_use]
    pub fn live_names(&self) -> Vec<Name> {
        self.membership.borrow().live_names()
    }

    /// How many instances of the zone are alive, as far as this one knows.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// println!("{}", source.alive_count());
    /// # }
    /// ```
    #[must_use]
    pub fn alive_count(&self) -> usize {
        self.membership.borrow().alive_count()
    }

    /// Tells the zone that this instance goes; what it holds stays to be fetched.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// source.leave();
    /// # }
    /// ```
    pub fn leave(&self) {
        self.membership.borrow_mut().leave();
    }

    /// Ends the source's work; the file in force stays.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// source.stop();
    /// # }
    /// ```
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Whether the source's work has stopped.
    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.get() || self.replaced.get()
    }

    /// The time since the process started.
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Waits by the source's clock.
    pub(super) async fn sleep(&self, wait: Duration) {
        self.clock.sleep(wait).await;
    }

    /// Whether the platform answered a moment ago.
    pub(super) fn reaches_platform(&self) -> bool {
        let age = |at| self.now().saturating_sub(at);
        self.answered_at
            .get()
            .is_some_and(|at| age(at) < MAX_ANSWER_AGE)
    }

    /// Takes in a head, wherever it comes from.
    pub(super) fn offer(&self, head: Head) -> Verdict {
        self.adoption.borrow_mut().offer(head)
    }

    /// Puts in force what is ready, and tells who waits for it.
    pub(super) fn activate_ready(&self) {
        let alive = self.alive_count();
        let polled = self.adoption.borrow_mut().poll(self.now(), alive);
        match polled {
            Ok(Some(_)) => self.wakers.take().into_iter().for_each(Waker::wake),
            Ok(None) => {}
            Err(e) => {
                self.last_error.replace(Some(e.to_string()));
            }
        }
    }

    /// Follows the head in the platform, as long as it falls to this instance.
    async fn follow(self: Rc<Self>) {
        let mut backoff = Backoff::new(self.options.seed);
        let mut since = 0;
        if !self.options.seeds.is_empty() {
            self.sleep(PEER_WAIT).await;
        }
        while !self.is_stopped() {
            if !self.membership.borrow().must_watch(self.now()) {
                self.sleep(WATCH_CHECK_INTERVAL).await;
                continue;
            }
            match self.poll_store(since).await {
                Ok(revision) => {
                    backoff.reset();
                    self.last_error.take();
                    since = revision;
                    // Changes that come meanwhile are read together.
                    let pause = self.adoption.borrow().min_interval();
                    self.sleep(pause).await;
                }
                Err(e) => {
                    self.answered_at.take();
                    self.last_error.replace(Some(e.to_string()));
                    time::sleep(backoff.pause()).await;
                }
            }
        }
    }

    /// Reads the head, adopts it, and waits for the next change. The watch is
    /// only a hint when to read, so gaps and stale or reordered events cost time
    /// and nothing else.
    async fn poll_store(self: &Rc<Self>, since: u64) -> Result<u64, Error> {
        let key = keys::head(&self.options.firm);
        if let Some(object) = self.store.get(&key).await? {
            self.accept_head(&object.value).await?;
        }
        self.answered_at.set(Some(self.now()));
        let events = self.store.watch(&key, since, WATCH_WAIT).await?;
        self.answered_at.set(Some(self.now()));
        Ok(events.revision.max(since))
    }

    /// Takes a stored head and all that it names.
    async fn accept_head(self: &Rc<Self>, value: &[u8]) -> Result<(), Error> {
        let head = Head::from_bytes(value).ok_or_else(|| unreadable("the head"))?;
        match self.offer(head.clone()) {
            Verdict::Corrupt => return Err(unreadable("the head")),
            Verdict::Old => return Ok(()),
            Verdict::New | Verdict::Known => {}
        }
        let is_new = self.adoption.borrow().complete_head() != Some(&head);
        self.fetch_missing().await?;
        self.activate_ready();
        if is_new {
            peers::offer_to_neighbours(self, None);
        }
        Ok(())
    }

    /// Takes the pieces of the bundles, for who holds next to none. Those that the
    /// head doesn't refer to go once its file is in force.
    async fn read_bundles(&self) -> Result<(), Error> {
        bundle::read(&*self.store, &self.options.firm, |piece| {
            let mut adoption = self.adoption.borrow_mut();
            // One that doesn't fit its hash is read by itself.
            let _ = adoption.insert_piece(piece.hash, piece.text.as_bytes());
        })
        .await
    }

    /// Fetches what is missing from the platform.
    async fn fetch_missing(&self) -> Result<(), Error> {
        let mut bundles = true;
        loop {
            let missing = self.adoption.borrow().missing_pieces();
            if missing.is_empty() {
                return Ok(());
            }
            if bundles && missing.len() >= bundle::MIN_MISSING_PIECES {
                bundles = false;
                self.read_bundles().await?;
                continue;
            }
            for hash in missing {
                let key = keys::piece(&self.options.firm, hash);
                let object = self.store.get(&key).await?;
                // Collected, because a later head stands by now: read that.
                let object = object.ok_or_else(|| unreadable("a piece"))?;
                let inserted = self.adoption.borrow_mut().insert_piece(hash, &object.value);
                inserted.map_err(|e| Error::Unknown(e.to_string()))?;
            }
        }
    }
}

/// The error for something stored that can't be read.
fn unreadable(what: &str) -> Error {
    Error::Unknown(format!("{what} can't be read"))
}
