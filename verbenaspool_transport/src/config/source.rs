//! The source from which a process gets the active configuration files.

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
    membership::{self, Member, Membership, Summary},
};
use verbenaspool_state::{name::Name, version::Version};

use super::{bundle, peers};
use crate::{
    clock::Clock,
    platform::{Error, Store, driver::Backoff},
    rpc,
};

/// Wait of one watch. A longer wait costs fewer calls, but a watch that lost its events
/// returns nothing until it ends, and an accepted file must be active within 9 s even then.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Maximum age of the platform's last answer for the platform to count as reachable: the
/// wait of a watch and time for its answer.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(6);
/// Interval at which a process that doesn't watch the platform checks whether it must.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a starting process waits for its peers before it reads the platform.
/// Without it, every instance of a restarting zone reads the whole file from the platform.
const PEER_WAIT: Duration = Duration::from_millis(300);

/// Options of a source.
#[derive(Debug, Clone)]
pub struct Options {
    /// The firm.
    pub firm: Name,
    /// The instance's name, unique among the firm's entry instances.
    pub name: Name,
    /// The address at which peers call this instance's control methods.
    pub control: SocketAddr,
    /// Control addresses of some peers of the zone, for discovery of the others.
    pub seeds: Vec<SocketAddr>,
    /// A number that differs between processes. It seeds the jitter and is the initial
    /// incarnation, which peers correct.
    pub seed: u64,
    /// Settings for when a complete file becomes active.
    pub adoption: adoption::Settings,
    /// Settings for which members count as alive.
    pub membership: membership::Settings,
}

impl Options {
    /// Returns options with default settings and no seeds.
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

/// Follows a firm's configuration together with the peers of the zone, and yields the file
/// that is active in this process.
///
/// A process serves no traffic before [`Source::current`] returns a file.
pub struct Source {
    /// The options.
    pub(super) options: Options,
    /// The platform.
    store: Rc<dyn Store>,
    /// The clock.
    clock: Rc<dyn Clock>,
    /// The active file and the one to activate next.
    pub(super) adoption: RefCell<Adoption>,
    /// The zone's members.
    pub(super) membership: RefCell<Membership>,
    /// The RPC client for calls to peers.
    pub(super) rpc: rpc::Client,
    /// Tasks that wait for the next version.
    wakers: RefCell<Vec<Waker>>,
    /// The time of the platform's last answer; `None` after a failed call.
    answered_at: Cell<Option<Duration>>,
    /// The last error while reading or activating a file, until the next successful read.
    last_error: RefCell<Option<String>>,
    /// Whether another process has taken over this instance's name.
    pub(super) replaced: Cell<bool>,
    /// Whether the source has been told to stop.
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
    /// Starts to follow a firm's configuration, within a monoio runtime. If the zone has
    /// other instances, the methods of [`Source::register_methods`] must be served at the
    /// control address.
    ///
    /// ```no_run
    /// # async fn example(store: std::rc::Rc<dyn verbenaspool_transport::platform::Store>,
    /// #     options: verbenaspool_transport::config::source::Options) {
    /// use verbenaspool_state::version::Version;
    /// use verbenaspool_transport::{clock::Monotonic, config::source::Source};
    ///
    /// let source = Source::start(store, Monotonic::start(), options);
    /// let adopted = source.wait_for_newer(Version(0)).await;
    /// println!("version {} of {} is active", adopted.version(), adopted.file.firm);
    /// # }
    /// ```
    #[must_use]
    pub fn start(store: Rc<dyn Store>, clock: Rc<dyn Clock>, options: Options) -> Rc<Self> {
        let me = Member {
            name: options.name.clone(),
            incarnation: options.seed,
            address: options.control,
            state: membership::State::Live,
        };
        let source = Rc::new(Self {
            adoption: RefCell::new(Adoption::new(options.firm.clone(), options.adoption)),
            membership: RefCell::new(Membership::new(me, options.membership)),
            options,
            store,
            clock,
            rpc: rpc::Client::default(),
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

    /// Registers the methods that peers call.
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

    /// The active file; `None` before the first, while no traffic may be served.
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

    /// The active version, or 0 if there is none.
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

    /// Waits until a version above `seen` is active.
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

    /// The error that currently prevents reading or activating a newer file, if any.
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

    /// Whether another process has taken over this instance's name. This one was paused for
    /// so long that it was considered dead, and must accept no more work.
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

    /// A summary of the active versions of this instance and its descendants in the tree;
    /// it covers the whole zone where [`Source::is_first`] is true.
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

    /// Whether this instance is the zone's first, which writes the zone's status.
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

    /// The names of the zone's live instances, including this one.
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

    /// The number of the zone's instances that this one considers alive.
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

    /// Announces to the zone that this instance is leaving. Peers can still fetch its pieces.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// source.leave();
    /// # }
    /// ```
    pub fn leave(&self) {
        self.membership.borrow_mut().leave();
    }

    /// Stops following the configuration. The active file stays available.
    ///
    /// ```no_run
    /// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>) {
    /// source.stop();
    /// # }
    /// ```
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Whether the source has been stopped or its instance replaced.
    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.get() || self.replaced.get()
    }

    /// The current time of the source's clock.
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Sleeps by the source's clock.
    pub(super) async fn sleep(&self, wait: Duration) {
        self.clock.sleep(wait).await;
    }

    /// Whether the platform has answered within [`MAX_ANSWER_AGE`].
    pub(super) fn reaches_platform(&self) -> bool {
        let age = |at| self.now().saturating_sub(at);
        self.answered_at
            .get()
            .is_some_and(|at| age(at) < MAX_ANSWER_AGE)
    }

    /// Offers a head from a peer or the platform to the adoption.
    pub(super) fn offer(&self, head: Head) -> Verdict {
        self.adoption.borrow_mut().offer(head)
    }

    /// Activates the next file if it is ready, and wakes the tasks that wait for it.
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

    /// Follows the stored head while this instance is one of those that must watch it.
    async fn follow(self: Rc<Self>) {
        let mut backoff = Backoff::new(self.options.seed);
        let (mut since, mut era) = (0, 0);
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
                    // A store that came back from a copy gives out revisions again.
                    let before = std::mem::replace(&mut era, self.store.era());
                    since = if before == era { revision } else { 0 };
                    // Changes during this pause are read together.
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

    /// Reads and adopts the stored head, then waits for the next change. Events are only
    /// hints to read, so missing, stale or reordered events cause delay but no error.
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

    /// Adopts a stored head and reads the pieces that it refers to.
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

    /// Inserts the pieces of the bundles. Those that the head doesn't refer to are dropped
    /// once its file is active.
    async fn read_bundles(&self) -> Result<(), Error> {
        bundle::read(&*self.store, &self.options.firm, |piece| {
            let mut adoption = self.adoption.borrow_mut();
            // A piece that doesn't match its hash is read individually.
            let _ = adoption.insert_piece(piece.hash, piece.text.as_bytes());
        })
        .await
    }

    /// Reads the missing pieces from the platform.
    async fn fetch_missing(&self) -> Result<(), Error> {
        let mut try_bundles = true;
        loop {
            let missing = self.adoption.borrow().missing_pieces();
            if missing.is_empty() {
                return Ok(());
            }
            if try_bundles && missing.len() >= bundle::MIN_MISSING_PIECES {
                try_bundles = false;
                self.read_bundles().await?;
                continue;
            }
            for hash in missing {
                let key = keys::piece(&self.options.firm, hash);
                let object = self.store.get(&key).await?;
                // The piece was garbage collected, so a later head exists: read that one.
                let object = object.ok_or_else(|| unreadable("a piece"))?;
                let inserted = self.adoption.borrow_mut().insert_piece(hash, &object.value);
                inserted.map_err(|e| Error::Unknown(e.to_string()))?;
            }
        }
    }
}

/// The error for a stored object that is missing or invalid.
fn unreadable(what: &str) -> Error {
    Error::Unknown(format!("{what} can't be read"))
}
