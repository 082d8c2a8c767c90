//! Adoption of accepted files: the version active at an instance never decreases.
//!
//! Heads arrive from the platform and from peers, delayed, duplicated and out of order.
//! The instance targets the highest one: it fetches the pieces, waits until a second
//! instance of the zone holds them too, and activates the file.
//!
//! The wait prevents a version rollback: without it, an instance could activate a
//! version and be replaced during an outage of the platform, and its successor would
//! find only peers with the previous version. With a second holder, the successor finds
//! the newer version there. The wait is limited by [`Settings::max_wait`], because a
//! zone whose other instances are unreachable has to make progress; a rollback then
//! needs the loss of all holders at once.
//!
//! While one version waits for activation, only the highest of the later ones is kept
//! as the next. If each new version replaced the waiting one, a stream of changes could
//! prevent all of them from being activated.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use verbenaspool_state::{file::File, name::Name, version::Version};

use crate::{
    head::Head,
    piece::{self, Delta, Hash, Pieces},
};

/// Number of versions whose pieces are retained. Peers of a zone are at most a few
/// versions apart; one that is further behind receives pieces instead of a delta.
const RETAINED_VERSIONS: usize = 8;

/// Settings of the adoption.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Number of instances of the zone, including this one, that must hold a version
    /// before it is activated; fewer if fewer are alive.
    pub min_holders: usize,
    /// Longest wait for the other holders. A live peer answers in milliseconds, so a
    /// longer wait means that it is unreachable.
    pub max_wait: Duration,
    /// Minimum time between two activations, per customer. An activation costs about 3
    /// us per customer, so this limits the cost of a stream of changes to 2.4% of a
    /// core at any size: 1 ms between versions with 10 customers, 2 s with 16,000.
    pub min_interval_per_customer: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_holders: 2,
            max_wait: Duration::from_secs(1),
            min_interval_per_customer: Duration::from_micros(125),
        }
    }
}

/// An activated file.
#[derive(Debug, Clone, PartialEq)]
pub struct Adopted {
    /// The head that names the file.
    pub head: Head,
    /// The file.
    pub file: File,
}

impl Adopted {
    /// Returns the version of the file.
    ///
    /// ```no_run
    /// # use verbenaspool_coordination::adoption::Adopted;
    /// # fn example(adopted: Adopted) {
    /// println!("{}", adopted.version());
    /// # }
    /// ```
    #[must_use]
    pub fn version(&self) -> Version {
        self.head.version
    }
}

/// State of the adoption of one firm's files at one instance.
#[derive(Debug)]
pub struct Adoption {
    /// The firm.
    firm: Name,
    /// Settings of the adoption.
    settings: Settings,
    /// All pieces that this instance holds.
    pieces: Pieces,
    /// The head that waits for activation; all of its pieces are held.
    ready: Option<Ready>,
    /// The highest known head, if some of its pieces are missing or another head waits
    /// for activation before it.
    next: Option<Head>,
    /// The highest version that each peer of the zone holds.
    peer_versions: BTreeMap<Name, Version>,
    /// When the last version was activated.
    activated_at: Duration,
    /// The active file.
    current: Option<Rc<Adopted>>,
    /// Roots whose pieces are retained, newest last.
    retained_roots: VecDeque<Hash>,
}

/// A head whose pieces are all held.
#[derive(Debug)]
struct Ready {
    /// The head.
    head: Head,
    /// When its pieces were found to be complete.
    complete_since: Duration,
}

/// Result of offering a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is higher than all known heads.
    New,
    /// It is already known.
    Known,
    /// It is older than a known head.
    Old,
    /// Its checksum doesn't match, or it names another file under a known version. It
    /// is ignored.
    Corrupt,
}

/// Why a complete file can't be activated.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The pieces don't form a valid file.
    #[error("version {version} is invalid: {cause}")]
    Piece {
        /// The version.
        version: Version,
        /// Error of the pieces.
        cause: piece::Error,
    },
    /// The file belongs to another firm.
    #[error("version {version} belongs to another firm: {firm}")]
    Firm {
        /// The version.
        version: Version,
        /// The firm named in the file.
        firm: Name,
    },
}

impl Adoption {
    /// Creates an instance that holds no file.
    ///
    /// ```
    /// use verbenaspool_coordination::adoption::{Adoption, Settings};
    ///
    /// let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert!(adoption.current().is_none());
    /// ```
    #[must_use]
    pub fn new(firm: Name, settings: Settings) -> Self {
        Self {
            firm,
            settings,
            pieces: Pieces::default(),
            ready: None,
            next: None,
            peer_versions: BTreeMap::new(),
            activated_at: Duration::ZERO,
            current: None,
            retained_roots: VecDeque::new(),
        }
    }

    /// Returns the active file.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert_eq!(adoption.current(), None);
    /// ```
    #[must_use]
    pub fn current(&self) -> Option<&Rc<Adopted>> {
        self.current.as_ref()
    }

    /// Returns the highest head whose pieces are all held; it can be passed on to
    /// peers.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert_eq!(adoption.complete_head(), None);
    /// ```
    #[must_use]
    pub fn complete_head(&self) -> Option<&Head> {
        let next = self.next.as_ref().filter(|next| self.is_complete(next));
        let ready = self.ready.as_ref().map(|ready| &ready.head);
        let current = self.current.as_ref().map(|adopted| &adopted.head);
        next.or(ready).or(current)
    }

    /// Returns the highest known head.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert_eq!(adoption.highest_head(), None);
    /// ```
    #[must_use]
    pub fn highest_head(&self) -> Option<&Head> {
        let ready = self.ready.as_ref().map(|ready| &ready.head);
        let current = self.current.as_ref().map(|adopted| &adopted.head);
        self.next.as_ref().or(ready).or(current)
    }

    /// Handles a head from the platform or a peer.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings, Verdict};
    /// # use verbenaspool_coordination::{head::Head, piece::Hash};
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// let head = Head::first("apply-1", Hash::of(b"root"));
    /// assert_eq!(adoption.offer(head.clone()), Verdict::New);
    /// assert_eq!(adoption.offer(head), Verdict::Known);
    /// ```
    pub fn offer(&mut self, head: Head) -> Verdict {
        if !head.is_valid() {
            return Verdict::Corrupt;
        }
        if let Some(known) = self.highest_head() {
            if head.version < known.version {
                return Verdict::Old;
            }
            if head.version == known.version {
                return if head == *known {
                    Verdict::Known
                } else {
                    Verdict::Corrupt
                };
            }
        }
        self.next = Some(head);
        Verdict::New
    }

    /// Returns the pieces to fetch now; empty once all are held. A fetched node may
    /// reveal further missing pieces.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert!(adoption.missing_pieces().is_empty());
    /// ```
    #[must_use]
    pub fn missing_pieces(&self) -> BTreeSet<Hash> {
        let Some(next) = &self.next else {
            return BTreeSet::new();
        };
        // An unreadable piece is reported when the file is activated.
        self.pieces.missing(next.root).unwrap_or_default()
    }

    /// Adds a piece.
    ///
    /// # Errors
    /// If the content doesn't match the hash.
    ///
    /// ```
    /// # use verbenaspool_coordination::{adoption::{Adoption, Settings}, piece::Hash};
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert!(adoption.insert_piece(Hash::of(b"[]"), b"garbage").is_err());
    /// ```
    pub fn insert_piece(&mut self, hash: Hash, bytes: &[u8]) -> Result<(), piece::Error> {
        self.pieces.insert(hash, bytes)
    }

    /// Returns a held piece, to be passed on.
    ///
    /// ```
    /// # use verbenaspool_coordination::{adoption::{Adoption, Settings}, piece::Hash};
    /// # let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert!(adoption.piece(Hash::of(b"[]")).is_none());
    /// ```
    #[must_use]
    pub fn piece(&self, hash: Hash) -> Option<&[u8]> {
        self.pieces.get(hash)
    }

    /// Returns the root of the previous version, which most peers hold as well.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert_eq!(adoption.previous_root(), None);
    /// ```
    #[must_use]
    pub fn previous_root(&self) -> Option<Hash> {
        let has_pending = self.ready.is_some() || self.next.is_some();
        let offset = if has_pending { 1 } else { 2 };
        let index = self.retained_roots.len().checked_sub(offset)?;
        self.retained_roots.get(index).copied()
    }

    /// Returns the changes that lead from the root `from` to the root `to`, if both are
    /// held.
    ///
    /// ```
    /// # use verbenaspool_coordination::{adoption::{Adoption, Settings}, piece::Hash};
    /// # let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert!(adoption.delta(Hash::of(b"one"), Hash::of(b"two")).is_none());
    /// ```
    #[must_use]
    pub fn delta(&self, from: Hash, to: Hash) -> Option<Delta> {
        self.pieces.delta(from, to)
    }

    /// Applies a delta to a version that is held.
    ///
    /// # Errors
    /// If that version isn't held or the changes don't lead to the delta's target.
    ///
    /// ```
    /// # use verbenaspool_coordination::{adoption::{Adoption, Settings}, piece::{Delta, Hash}};
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// # let (from, to) = (Hash::of(b"one"), Hash::of(b"two"));
    /// let delta = Delta { from, to, base: None, changed: vec![], removed: vec![] };
    /// assert!(adoption.apply_delta(&delta).is_err());
    /// ```
    pub fn apply_delta(&mut self, delta: &Delta) -> Result<(), piece::Error> {
        self.pieces.apply(delta)
    }

    /// Records the version that a peer of the zone holds.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # use verbenaspool_state::version::Version;
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// adoption.set_peer_version(&"entry-2".parse().unwrap(), Version(1));
    /// ```
    pub fn set_peer_version(&mut self, peer: &Name, version: Version) {
        // A restarted peer may hold a lower version than before.
        self.peer_versions.insert(peer.clone(), version);
    }

    /// Activates the next file if it is due. `alive` is the number of live instances of
    /// the zone, including this one.
    ///
    /// # Errors
    /// If all pieces are held but don't form a valid file of the firm. That version is
    /// skipped; the active one stays.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert_eq!(adoption.poll(Duration::ZERO, 1), Ok(None));
    /// ```
    pub fn poll(&mut self, now: Duration, alive: usize) -> Result<Option<Rc<Adopted>>, Error> {
        self.advance(now)?;
        let Some(ready) = &self.ready else {
            return Ok(None);
        };
        let holds_ready = |version: &&Version| **version >= ready.head.version;
        let holders = 1 + self.peer_versions.values().filter(holds_ready).count();
        let enough = holders >= self.settings.min_holders.min(alive.max(1));
        if !enough && now.saturating_sub(ready.complete_since) < self.settings.max_wait {
            return Ok(None);
        }
        if now.saturating_sub(self.activated_at) < self.min_interval() {
            return Ok(None);
        }
        let adopted = self.activate()?;
        self.activated_at = now;
        self.advance(now)?;
        Ok(Some(adopted))
    }

    /// Returns the minimum time between two activations for the current number of
    /// customers.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # let adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert!(adoption.min_interval().is_zero());
    /// ```
    #[must_use]
    pub fn min_interval(&self) -> Duration {
        let customers = self.current.as_ref().map_or(0, |a| a.file.customers.len());
        self.settings.min_interval_per_customer * u32::try_from(customers).unwrap_or(u32::MAX)
    }

    /// Whether all pieces of a head are held.
    fn is_complete(&self, head: &Head) -> bool {
        let missing = self.pieces.missing(head.root);
        missing.is_ok_and(|missing| missing.is_empty())
    }

    /// Marks the highest head as ready if its pieces are complete and no other head is
    /// ready.
    fn advance(&mut self, now: Duration) -> Result<(), Error> {
        if self.ready.is_some() {
            return Ok(());
        }
        let Some(next) = &self.next else {
            return Ok(());
        };
        match self.pieces.missing(next.root) {
            Ok(missing) if missing.is_empty() => {
                let head = self.next.take();
                self.ready = head.map(|head| Ready {
                    head,
                    complete_since: now,
                });
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(cause) => {
                let head = self.next.take();
                let version = head.map(|head| head.version).unwrap_or_default();
                Err(Error::Piece { version, cause })
            }
        }
    }

    /// Activates the ready file.
    fn activate(&mut self) -> Result<Rc<Adopted>, Error> {
        // `poll` has checked that a head is ready.
        let Ready { head, .. } = self.ready.take().expect("a head is ready");
        let file = self.pieces.join(head.root).map_err(|cause| Error::Piece {
            version: head.version,
            cause,
        })?;
        if file.firm != self.firm {
            let (version, firm) = (head.version, file.firm);
            return Err(Error::Firm { version, firm });
        }
        self.retain_recent(head.root);
        let adopted = Rc::new(Adopted { head, file });
        self.current = Some(Rc::clone(&adopted));
        Ok(adopted)
    }

    /// Retains the pieces of `root` and of some previous versions, so that deltas can
    /// be built for peers that hold one of those.
    fn retain_recent(&mut self, root: Hash) {
        if self.retained_roots.len() == RETAINED_VERSIONS {
            self.retained_roots.pop_front();
        }
        self.retained_roots.push_back(root);
        let mut roots: Vec<Hash> = self.retained_roots.iter().copied().collect();
        // Pieces already held of the next file are retained as well.
        roots.extend(self.next.as_ref().map(|next| next.root));
        self.pieces.retain(&roots);
    }
}
