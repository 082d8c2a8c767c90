//! Adopting accepted files: the version in force at an instance only goes up.
//!
//! Heads come from the platform and from peers, late, twice and out of order.
//! The highest one heard of is what the instance works towards: it gathers the
//! pieces, then waits until a second peer of the zone holds them too, and puts
//! the file in force.
//!
//! Failure guarded against by that wait: an instance puts a version in force,
//! is replaced during an outage of the platform, and its successor finds only
//! peers at the version before. Callers would see the zone go back. With a
//! second holder the successor finds the version there. The wait is bounded by
//! [`Settings::max_wait`], because a zone whose other instances can't be reached
//! has to go on; what remains possible then is the loss of all holders at once.
//!
//! While one version waits to be in force, later ones gather behind it and only
//! the highest of them is next. Were the waiting one replaced by each that comes,
//! a stream of changes could keep all of them from ever being in force.

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

/// Versions whose pieces are kept. Peers of a zone are a few versions apart at
/// most; one that is further behind is sent pieces in place of differences.
const RETAINED_VERSIONS: usize = 8;

/// Settings of adoption.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Instances of the zone that have to hold a version before it is in force,
    /// this one counted; fewer where fewer are alive.
    pub min_holders: usize,
    /// The longest wait for the other holders. A peer that is alive answers in
    /// milliseconds, so a wait over this means it can't be reached.
    pub max_wait: Duration,
    /// The least time between two versions in force, for each customer. Putting
    /// a version in force costs about 3 us a customer, so this bounds what a
    /// stream of changes takes to 2.4% of a core at any size: 1 ms passes
    /// between the versions of 10 customers, 2 s between those of 16,000.
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

/// A file in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Adopted {
    /// The head that names it.
    pub head: Head,
    /// The file.
    pub file: File,
}

impl Adopted {
    /// The version in force.
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

/// The adoption of one firm's files at one instance.
#[derive(Debug)]
pub struct Adoption {
    /// The firm.
    firm: Name,
    /// The settings.
    settings: Settings,
    /// All pieces held.
    pieces: Pieces,
    /// The head that waits to be in force, all of whose pieces are held.
    ready: Option<Ready>,
    /// The highest head heard of, if some of its pieces are missing or another
    /// one is ready before it.
    next: Option<Head>,
    /// Peers of the zone, with the highest version that each holds.
    peer_versions: BTreeMap<Name, Version>,
    /// When the last version came in force.
    activated_at: Duration,
    /// The file in force.
    current: Option<Rc<Adopted>>,
    /// Roots whose pieces are kept, the latest last.
    retained_roots: VecDeque<Hash>,
}

/// A head whose pieces are all held.
#[derive(Debug)]
struct Ready {
    /// The head.
    head: Head,
    /// Since when its pieces are held.
    complete_since: Duration,
}

/// What became of an offered head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is higher than all heard of before.
    New,
    /// It is known already.
    Known,
    /// It is older than one that is known.
    Old,
    /// Its content doesn't fit its seal, or it names another file under a known
    /// version. It isn't used.
    Corrupt,
}

/// Why a held file can't be put in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The pieces make no file.
    #[error("version {version} can't be read: {cause}")]
    Piece {
        /// The version.
        version: Version,
        /// What is wrong.
        cause: piece::Error,
    },
    /// The file is another firm's.
    #[error("version {version} is a file of {firm}")]
    Firm {
        /// The version.
        version: Version,
        /// The firm that the file names.
        firm: Name,
    },
}

impl Adoption {
    /// An instance that holds nothing yet.
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

    /// The file in force.
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

    /// The highest head whose pieces are all held, which may be passed on.
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

    /// The highest head heard of.
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

    /// Takes in a head from the platform or a peer.
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

    /// The pieces to fetch now; empty once all are held. Fetching some may bring
    /// to light that more are missing.
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
        // A held piece that can't be read shows when the file is put together.
        self.pieces.missing(next.root).unwrap_or_default()
    }

    /// Takes a piece in.
    ///
    /// # Errors
    /// When the content isn't what the hash names.
    ///
    /// ```
    /// # use verbenaspool_coordination::{adoption::{Adoption, Settings}, piece::Hash};
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// assert!(adoption.insert_piece(Hash::of(b"[]"), b"garbage").is_err());
    /// ```
    pub fn insert_piece(&mut self, hash: Hash, bytes: &[u8]) -> Result<(), piece::Error> {
        self.pieces.insert(hash, bytes)
    }

    /// A held piece, to be passed on.
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

    /// The root that was held before the latest, which most peers hold as well.
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

    /// What a peer that holds `from` has to be told to hold `to` as well, if both
    /// are held here.
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

    /// Takes in what differs from a version held here.
    ///
    /// # Errors
    /// When that version isn't held or the changes don't lead to the next one.
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

    /// Takes in that a peer of the zone holds `version`.
    ///
    /// ```
    /// # use verbenaspool_coordination::adoption::{Adoption, Settings};
    /// # use verbenaspool_state::version::Version;
    /// # let mut adoption = Adoption::new("quetzal".parse().unwrap(), Settings::default());
    /// adoption.set_peer_version(&"entry-2".parse().unwrap(), Version(1));
    /// ```
    pub fn set_peer_version(&mut self, peer: &Name, version: Version) {
        // A peer that started again may hold less than its predecessor did.
        self.peer_versions.insert(peer.clone(), version);
    }

    /// Puts the next file in force if it is time to. `alive` counts the zone's
    /// live instances, this one included.
    ///
    /// # Errors
    /// When the pieces are held and yet make no file of the firm. The version is
    /// then left out; what was in force stays.
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

    /// The least time between two versions in force, at the present size.
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

    /// Makes the highest head ready, if none is and its pieces are held.
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

    /// Puts the ready file in force.
    fn activate(&mut self) -> Result<Rc<Adopted>, Error> {
        // `poll` has seen that one is ready.
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

    /// Keeps the pieces of `root` and of some versions before, so that a peer that
    /// holds one of those can be told what differs.
    fn retain_recent(&mut self, root: Hash) {
        if self.retained_roots.len() == RETAINED_VERSIONS {
            self.retained_roots.pop_front();
        }
        self.retained_roots.push_back(root);
        let mut roots: Vec<Hash> = self.retained_roots.iter().copied().collect();
        // What is held of the next file already stays.
        roots.extend(self.next.as_ref().map(|next| next.root));
        self.pieces.retain(&roots);
    }
}
