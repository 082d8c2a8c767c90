//! Who of a zone's entry instances is alive, and who talks to whom.
//!
//! The live instances stand in an order that each works out by itself from the
//! hash of their names: nobody is elected. The first few watch the platform;
//! each instance has one parent and a few children in the tree that the order
//! makes, exchanges heartbeats with these alone, and so spends the same bytes a
//! second in a zone of three as in one of a hundred.
//!
//! The table of members travels along the tree whenever digests differ. An entry
//! of a higher incarnation replaces one of a lower, whatever it says: a process
//! that was paused and comes back finds its successor there and leaves, instead
//! of overwriting it. At one incarnation a later state (live, leaving, dead)
//! replaces an earlier one; a process that finds itself called dead by mistake
//! takes a higher incarnation.

use std::{collections::BTreeMap, time::Duration};

use verbenaspool_state::{name::Name, version::Version};
use xxhash_rust::xxh3::xxh3_64;

pub use message::{Heard, Member, Message, Standing, State};
pub use summary::{Part, Seen, Summary};

mod message;
mod summary;
#[cfg(test)]
mod tests;

/// Settings of membership.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The time between heartbeats to the parent in a small zone.
    pub beat: Duration,
    /// Members up to which a zone is small. In a larger one inner instances have
    /// 4 children and exchange 5 heartbeats of some 800 bytes, question, answer
    /// and packets together, where a small zone's exchange one or two; the time
    /// between them is doubled to stay within 4 KB a second.
    pub small: usize,
    /// Heartbeats that may be missed before a neighbour counts as dead. Three
    /// ride out a lost packet or a stalled loop, and find a death within 4 s in a
    /// small zone and 8 s in a large one.
    pub missed: u32,
    /// Children of an instance. Four reach a hundred instances in four hops and
    /// make an instance send a change four times at most.
    pub fanout: usize,
    /// Instances that watch the platform. Two, so that one may die unnoticed.
    pub watchers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            beat: Duration::from_secs(1),
            small: 5,
            missed: 3,
            fanout: 4,
            watchers: 2,
        }
    }
}

/// The members of a zone, as one of them knows them.
#[derive(Debug)]
pub struct Membership {
    /// The settings.
    settings: Settings,
    /// The instance itself.
    me: Name,
    /// Everyone ever heard of, by name.
    table: BTreeMap<Name, Member>,
    /// What each neighbour said last, and when.
    heard: BTreeMap<Name, (Duration, Message)>,
    /// Since when each neighbour is expected to be heard of.
    expected: BTreeMap<Name, Duration>,
    /// When the next heartbeat is due.
    due: Duration,
    /// Whether a peer has taken this process in. Before, a higher incarnation in
    /// the table is a predecessor's; after, a successor's.
    settled: bool,
}

impl Membership {
    /// An instance that knows nobody but itself.
    ///
    /// ```
    /// use verbenaspool_coordination::membership::{Member, Membership, Settings, State};
    ///
    /// let me = Member {
    ///     name: "entry-1".parse().unwrap(),
    ///     incarnation: 1,
    ///     address: ([127, 0, 0, 1], 7001).into(),
    ///     state: State::Live,
    /// };
    /// let membership = Membership::new(me, Settings::default());
    /// assert!(membership.watcher());
    /// ```
    #[must_use]
    pub fn new(me: Member, settings: Settings) -> Self {
        Self {
            settings,
            me: me.name.clone(),
            table: BTreeMap::from([(me.name.clone(), me)]),
            heard: BTreeMap::new(),
            expected: BTreeMap::new(),
            due: Duration::ZERO,
            settled: false,
        }
    }

    /// The instance itself.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert_eq!(membership.own().incarnation, 1);
    /// ```
    #[must_use]
    pub fn own(&self) -> &Member {
        // It is put in when the table is made and never taken out.
        &self.table[&self.me]
    }

    /// What a neighbour said last.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.heard(&"entry-2".parse().unwrap()).is_none());
    /// ```
    #[must_use]
    pub fn heard(&self, neighbour: &Name) -> Option<&Message> {
        self.heard.get(neighbour).map(|(_, word)| word)
    }

    /// Everyone in the table.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert_eq!(membership.table().count(), 1);
    /// ```
    pub fn table(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    /// How many instances of the zone are alive, this one included.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert_eq!(membership.alive(), 1);
    /// ```
    #[must_use]
    pub fn alive(&self) -> usize {
        self.order().len()
    }

    /// The instances of the zone that take part, this one included, by name.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.live().contains(&membership.own().name));
    /// ```
    #[must_use]
    pub fn live(&self) -> Vec<Name> {
        let live = self.table.values().filter(|m| m.state == State::Live);
        live.map(|member| member.name.clone()).collect()
    }

    /// The live instances in their order; leaving ones last, so that little hangs
    /// on them.
    fn order(&self) -> Vec<&Member> {
        let live = self
            .table
            .values()
            .filter(|member| member.state != State::Dead);
        let mut order: Vec<&Member> = live.collect();
        order.sort_by_cached_key(|member| (member.state, xxh3_64(member.name.as_str().as_bytes())));
        order
    }

    /// This instance's place in the order.
    fn position(&self, order: &[&Member]) -> usize {
        let found = order.iter().position(|member| member.name == self.me);
        found.unwrap_or(order.len())
    }

    /// Whether this instance is among the first, who watch the platform.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.watcher());
    /// ```
    #[must_use]
    pub fn watcher(&self) -> bool {
        self.position(&self.order()) < self.settings.watchers
    }

    /// Whether this instance is the first of all, who writes the zone's status.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.first());
    /// ```
    #[must_use]
    pub fn first(&self) -> bool {
        self.position(&self.order()) == 0
    }

    /// Whether this instance has to watch the platform: it is a watcher, or its
    /// parent has no fresh word from one.
    ///
    /// Failure guarded against: the watchers are cut off from the platform, or
    /// dead and not yet missed, while others could reach it; an accepted version
    /// would not come in force in the zone. Each level of the tree takes over
    /// from the one above and stands down when that has fresh word again.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// # let now = std::time::Duration::ZERO;
    /// let watch = membership.watching(now);
    /// ```
    #[must_use]
    pub fn watching(&self, now: Duration) -> bool {
        self.watcher() || !self.informed(now)
    }

    /// Whether the parent said lately that it has fresh word of the platform.
    fn informed(&self, now: Duration) -> bool {
        let Some(parent) = self.parent() else {
            return false;
        };
        let said = self.heard.get(&parent.name);
        let bound = self.period() * self.settings.missed;
        said.is_some_and(|(at, word)| word.fresh && now.saturating_sub(*at) < bound)
    }

    /// The time between heartbeats.
    fn period(&self) -> Duration {
        let members = self.table.len();
        let factor = if members <= self.settings.small { 1 } else { 2 };
        self.settings.beat * factor
    }

    /// How long a neighbour may be silent.
    fn patience(&self) -> Duration {
        self.period() * (self.settings.missed + 1)
    }

    /// The instance above this one in the tree; the first has none.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.parent().is_none());
    /// ```
    #[must_use]
    pub fn parent(&self) -> Option<&Member> {
        let order = self.order();
        let position = self.position(&order).checked_sub(1)?;
        order.get(position / self.settings.fanout).copied()
    }

    /// The instances below `member` in the tree.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// # let me = "entry-1".parse().unwrap();
    /// assert!(membership.children(&me).is_empty());
    /// ```
    #[must_use]
    pub fn children(&self, member: &Name) -> Vec<Member> {
        let order = self.order();
        let Some(position) = order.iter().position(|other| other.name == *member) else {
            return Vec::new();
        };
        let first = position * self.settings.fanout + 1;
        let below = order.iter().skip(first).take(self.settings.fanout);
        below.map(|&member| member.clone()).collect()
    }

    /// The instances that heartbeats and changes are exchanged with.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.neighbours().is_empty());
    /// ```
    #[must_use]
    pub fn neighbours(&self) -> Vec<Member> {
        let mut neighbours = self.children(&self.me);
        neighbours.extend(self.parent().cloned());
        neighbours
    }

    /// Whom to send a heartbeat now: once in [`Settings::beat`] the parent, and
    /// any child that should have sent one and hasn't. An instance that nobody
    /// has taken in yet sends to everyone it knows.
    ///
    /// Failure guarded against: two instances know different members, so that
    /// one waits for a heartbeat that the other sends elsewhere. Asked before it
    /// is given up, the silent one answers, and the tables come together.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let mut membership = Membership::new(me, Settings::default());
    /// # let now = std::time::Duration::ZERO;
    /// for peer in membership.beat(now) {
    ///     println!("to {}", peer.address);
    /// }
    /// ```
    pub fn beat(&mut self, now: Duration) -> Vec<Member> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + self.period();
        if !self.settled {
            let others = self.order().into_iter().filter(|m| m.name != self.me);
            return others.cloned().collect();
        }
        let mut peers: Vec<Member> = self.parent().cloned().into_iter().collect();
        let children = self.children(&self.me).into_iter();
        let late = |child: &Member| {
            let last = self.last(child);
            last.is_none_or(|last| now.saturating_sub(last) > self.period() * 2)
        };
        peers.extend(children.filter(late));
        peers
    }

    /// When a neighbour was heard of last, or was first expected to be.
    fn last(&self, neighbour: &Member) -> Option<Duration> {
        let heard = self.heard.get(&neighbour.name).map(|(at, _)| *at);
        heard.max(self.expected.get(&neighbour.name).copied())
    }

    /// What this instance says of itself.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// # use verbenaspool_state::version::Version;
    /// # let now = std::time::Duration::ZERO;
    /// let word = membership.word(now, Version(7), Version(7), true);
    /// ```
    #[must_use]
    pub fn word(&self, now: Duration, held: Version, in_force: Version, reaches: bool) -> Message {
        Message {
            from: self.own().clone(),
            digest: self.digest(),
            held,
            fresh: reaches || self.informed(now),
            summary: self.summary(now, in_force),
        }
    }

    /// The versions in force here and below.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// # use verbenaspool_state::version::Version;
    /// # let now = std::time::Duration::ZERO;
    /// let summary = membership.summary(now, Version(7));
    /// ```
    #[must_use]
    pub fn summary(&self, now: Duration, in_force: Version) -> Summary {
        let children = self.children(&self.me);
        let said = |child: &Member| self.heard.get_key_value(&child.name);
        let parts: Vec<Part> = children
            .iter()
            .filter_map(said)
            .map(|(name, (at, word))| Part {
                name,
                summary: &word.summary,
                age: now.saturating_sub(*at),
            })
            .collect();
        Summary::gather(&self.me, in_force, &parts)
    }

    /// The digest of the table.
    fn digest(&self) -> u64 {
        let members = self.table.values().map(|member| {
            let Member {
                name,
                incarnation,
                state,
                ..
            } = member;
            format!("{name} {incarnation} {state:?};")
        });
        xxh3_64(members.collect::<Vec<_>>().concat().as_bytes())
    }

    /// Whether a peer's table differs from this one, so that it has to be told.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// # let version = verbenaspool_state::version::Version(1);
    /// # let word = membership.word(std::time::Duration::ZERO, version, version, true);
    /// assert!(!membership.differs(&word));
    /// ```
    #[must_use]
    pub fn differs(&self, word: &Message) -> bool {
        word.digest != self.digest()
    }

    /// Takes in a heartbeat or the answer to one.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let mut membership = Membership::new(me, Settings::default());
    /// # let version = verbenaspool_state::version::Version(1);
    /// # let word = membership.word(std::time::Duration::ZERO, version, version, true);
    /// # let now = std::time::Duration::ZERO;
    /// let heard = membership.hear(now, word);
    /// ```
    pub fn hear(&mut self, now: Duration, word: Message) -> Heard {
        let name = word.from.name.clone();
        if let Some(known) = self.table.get(&name)
            && known.incarnation > word.from.incarnation
        {
            return Heard::Superseded;
        }
        // What a process says of itself goes before what others said of it,
        // except that a dead one has to come back under a higher incarnation.
        self.merge(std::slice::from_ref(&word.from));
        self.heard.insert(name, (now, word));
        Heard::Current
    }

    /// Takes a peer's table in.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let mut membership = Membership::new(me, Settings::default());
    /// # let members = vec![];
    /// let standing = membership.merge(&members);
    /// ```
    pub fn merge(&mut self, members: &[Member]) -> Standing {
        let mut standing = Standing::Good;
        for member in members {
            if member.name == self.me {
                standing = self.reconsider(member, standing);
                continue;
            }
            let newer = self.table.get(&member.name).is_none_or(|known| {
                let rank = |member: &Member| (member.incarnation, member.state);
                rank(member) > rank(known)
            });
            if newer {
                self.heard.remove(&member.name);
                self.expected.remove(&member.name);
                self.table.insert(member.name.clone(), member.clone());
            }
        }
        standing
    }

    /// Takes in what a peer holds of this instance itself.
    fn reconsider(&mut self, said: &Member, standing: Standing) -> Standing {
        let settled = self.settled;
        let own = self.own().clone();
        if said.incarnation > own.incarnation && settled && said.address != own.address {
            return Standing::Replaced;
        }
        let mistaken = said.incarnation == own.incarnation
            && (said.state > own.state || (said.address != own.address && !settled));
        if said.incarnation > own.incarnation || mistaken {
            let incarnation = said.incarnation + 1;
            self.table
                .insert(self.me.clone(), Member { incarnation, ..own });
        } else if *said == own {
            self.settled = true;
        }
        standing
    }

    /// Notes that this process goes.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let mut membership = Membership::new(me, Settings::default());
    /// membership.leave();
    /// assert!(membership.live().is_empty());
    /// ```
    pub fn leave(&mut self) {
        let me = self.me.clone();
        if let Some(own) = self.table.get_mut(&me) {
            own.state = State::Leaving;
        }
    }

    /// Notes that a neighbour can't be reached or has been silent for too long.
    /// Returns who was declared dead.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let mut membership = Membership::new(me, Settings::default());
    /// # let now = std::time::Duration::ZERO;
    /// assert!(membership.miss(now).is_empty());
    /// ```
    pub fn miss(&mut self, now: Duration) -> Vec<Name> {
        let patience = self.patience();
        let neighbours = self.neighbours();
        self.expected
            .retain(|name, _| neighbours.iter().any(|n| n.name == *name));
        let mut dead = Vec::new();
        for neighbour in neighbours {
            self.expected.entry(neighbour.name.clone()).or_insert(now);
            let last = self.last(&neighbour).unwrap_or(now);
            if now.saturating_sub(last) >= patience
                && let Some(member) = self.table.get_mut(&neighbour.name)
            {
                member.state = State::Dead;
                dead.push(neighbour.name);
            }
        }
        dead
    }
}
