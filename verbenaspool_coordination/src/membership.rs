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

pub use message::{Member, MemberState, OwnStanding, PeerStatus, ReceiveOutcome};
pub use summary::{LaggingInstance, SubtreeSummary, Summary};

mod message;
mod summary;
#[cfg(test)]
mod tests;

/// Settings of membership.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The time between heartbeats to the parent in a small zone.
    pub heartbeat_interval: Duration,
    /// Members up to which a zone is small. In a larger one inner instances have
    /// 4 children and exchange 5 heartbeats of some 800 bytes, question, answer
    /// and packets together, where a small zone's exchange one or two; the time
    /// between them is doubled to stay within 4 KB a second.
    pub small_zone_size: usize,
    /// Heartbeats that may be missed before a neighbour counts as dead. Three
    /// ride out a lost packet or a stalled loop, and find a death within 4 s in a
    /// small zone and 8 s in a large one.
    pub max_missed_heartbeats: u32,
    /// Children of an instance. Four reach a hundred instances in four hops and
    /// make an instance send a change four times at most.
    pub fanout: usize,
    /// Instances that watch the platform. Two, so that one may die unnoticed.
    pub watchers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            small_zone_size: 5,
            max_missed_heartbeats: 3,
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
    own_name: Name,
    /// Everyone ever heard of, by name.
    table: BTreeMap<Name, Member>,
    /// What each neighbour said last, and when.
    statuses: BTreeMap<Name, (Duration, PeerStatus)>,
    /// Since when each neighbour is expected to be heard of.
    expected_since: BTreeMap<Name, Duration>,
    /// When the next heartbeat is due.
    next_heartbeat: Duration,
    /// Whether a peer has taken this process in. Before, a higher incarnation in
    /// the table is a predecessor's; after, a successor's.
    acknowledged: bool,
}

impl Membership {
    /// An instance that knows nobody but itself.
    ///
    /// ```
    /// use verbenaspool_coordination::membership::{Member, Membership, Settings, MemberState};
    ///
    /// let me = Member {
    ///     name: "entry-1".parse().unwrap(),
    ///     incarnation: 1,
    ///     address: ([127, 0, 0, 1], 7001).into(),
    ///     state: MemberState::Live,
    /// };
    /// let membership = Membership::new(me, Settings::default());
    /// assert!(membership.is_watcher());
    /// ```
    #[must_use]
    pub fn new(me: Member, settings: Settings) -> Self {
        Self {
            settings,
            own_name: me.name.clone(),
            table: BTreeMap::from([(me.name.clone(), me)]),
            statuses: BTreeMap::new(),
            expected_since: BTreeMap::new(),
            next_heartbeat: Duration::ZERO,
            acknowledged: false,
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
        &self.table[&self.own_name]
    }

    /// What a neighbour said last.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.last_status(&"entry-2".parse().unwrap()).is_none());
    /// ```
    #[must_use]
    pub fn last_status(&self, neighbour: &Name) -> Option<&PeerStatus> {
        self.statuses.get(neighbour).map(|(_, status)| status)
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
    /// assert_eq!(membership.alive_count(), 1);
    /// ```
    #[must_use]
    pub fn alive_count(&self) -> usize {
        self.ordered_members().len()
    }

    /// The instances of the zone that take part, this one included, by name.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.live_names().contains(&membership.own().name));
    /// ```
    #[must_use]
    pub fn live_names(&self) -> Vec<Name> {
        let live = self.table.values().filter(|m| m.state == MemberState::Live);
        live.map(|member| member.name.clone()).collect()
    }

    /// The live instances in their order; leaving ones last, so that little hangs
    /// on them.
    fn ordered_members(&self) -> Vec<&Member> {
        let live = self
            .table
            .values()
            .filter(|member| member.state != MemberState::Dead);
        let mut order: Vec<&Member> = live.collect();
        order.sort_by_cached_key(|member| (member.state, xxh3_64(member.name.as_str().as_bytes())));
        order
    }

    /// This instance's place in the order.
    fn position(&self, order: &[&Member]) -> usize {
        let found = order.iter().position(|member| member.name == self.own_name);
        found.unwrap_or(order.len())
    }

    /// Whether this instance is among the first, who watch the platform.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.is_watcher());
    /// ```
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.position(&self.ordered_members()) < self.settings.watchers
    }

    /// Whether this instance is the first of all, who writes the zone's status.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.is_first());
    /// ```
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.position(&self.ordered_members()) == 0
    }

    /// Whether this instance has to watch the platform: it is a watcher, or its
    /// parent has no fresh status from one.
    ///
    /// Failure guarded against: the watchers are cut off from the platform, or
    /// dead and not yet missed, while others could reach it; an accepted version
    /// would not come in force in the zone. Each level of the tree takes over
    /// from the one above and stands down when that has fresh status again.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// # let now = std::time::Duration::ZERO;
    /// let watch = membership.must_watch(now);
    /// ```
    #[must_use]
    pub fn must_watch(&self, now: Duration) -> bool {
        self.is_watcher() || !self.has_fresh_parent(now)
    }

    /// Whether the parent said lately that it has fresh status of the platform.
    fn has_fresh_parent(&self, now: Duration) -> bool {
        let Some(parent) = self.parent() else {
            return false;
        };
        let status = self.statuses.get(&parent.name);
        let timeout = self.effective_heartbeat_interval() * self.settings.max_missed_heartbeats;
        status.is_some_and(|(at, status)| status.fresh && now.saturating_sub(*at) < timeout)
    }

    /// The time between heartbeats.
    fn effective_heartbeat_interval(&self) -> Duration {
        let members = self.table.len();
        let factor = if members <= self.settings.small_zone_size {
            1
        } else {
            2
        };
        self.settings.heartbeat_interval * factor
    }

    /// How long a neighbour may be silent.
    fn neighbour_timeout(&self) -> Duration {
        self.effective_heartbeat_interval() * (self.settings.max_missed_heartbeats + 1)
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
        let order = self.ordered_members();
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
        let order = self.ordered_members();
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
        let mut neighbours = self.children(&self.own_name);
        neighbours.extend(self.parent().cloned());
        neighbours
    }

    /// Whom to send a heartbeat now: once in [`Settings::heartbeat_interval`] the parent, and
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
    /// for peer in membership.heartbeat_targets(now) {
    ///     println!("to {}", peer.address);
    /// }
    /// ```
    pub fn heartbeat_targets(&mut self, now: Duration) -> Vec<Member> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + self.effective_heartbeat_interval();
        if !self.acknowledged {
            let others = self
                .ordered_members()
                .into_iter()
                .filter(|m| m.name != self.own_name);
            return others.cloned().collect();
        }
        let mut peers: Vec<Member> = self.parent().cloned().into_iter().collect();
        let children = self.children(&self.own_name).into_iter();
        let late = |child: &Member| {
            let last = self.last_heard(child);
            last.is_none_or(|last| {
                now.saturating_sub(last) > self.effective_heartbeat_interval() * 2
            })
        };
        peers.extend(children.filter(late));
        peers
    }

    /// When a neighbour was heard of last, or was first expected to be.
    fn last_heard(&self, neighbour: &Member) -> Option<Duration> {
        let heard = self.statuses.get(&neighbour.name).map(|(at, _)| *at);
        heard.max(self.expected_since.get(&neighbour.name).copied())
    }

    /// What this instance says of itself.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// # use verbenaspool_state::version::Version;
    /// # let now = std::time::Duration::ZERO;
    /// let status = membership.own_status(now, Version(7), Version(7), true);
    /// ```
    #[must_use]
    pub fn own_status(
        &self,
        now: Duration,
        held: Version,
        in_force: Version,
        reaches_platform: bool,
    ) -> PeerStatus {
        PeerStatus {
            from: self.own().clone(),
            digest: self.digest(),
            held,
            fresh: reaches_platform || self.has_fresh_parent(now),
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
        let children = self.children(&self.own_name);
        let status_of = |child: &Member| self.statuses.get_key_value(&child.name);
        let subtrees: Vec<SubtreeSummary> = children
            .iter()
            .filter_map(status_of)
            .map(|(name, (at, status))| SubtreeSummary {
                name,
                summary: &status.summary,
                age: now.saturating_sub(*at),
            })
            .collect();
        Summary::aggregate(&self.own_name, in_force, &subtrees)
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
    /// # let status = membership.own_status(std::time::Duration::ZERO, version, version, true);
    /// assert!(!membership.digest_differs(&status));
    /// ```
    #[must_use]
    pub fn digest_differs(&self, status: &PeerStatus) -> bool {
        status.digest != self.digest()
    }

    /// Takes in a heartbeat or the answer to one.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let mut membership = Membership::new(me, Settings::default());
    /// # let version = verbenaspool_state::version::Version(1);
    /// # let status = membership.own_status(std::time::Duration::ZERO, version, version, true);
    /// # let now = std::time::Duration::ZERO;
    /// let outcome = membership.receive(now, status);
    /// ```
    pub fn receive(&mut self, now: Duration, status: PeerStatus) -> ReceiveOutcome {
        let name = status.from.name.clone();
        if let Some(known) = self.table.get(&name)
            && known.incarnation > status.from.incarnation
        {
            return ReceiveOutcome::Superseded;
        }
        // What a process says of itself goes before what others said of it,
        // except that a dead one has to come back under a higher incarnation.
        self.merge(std::slice::from_ref(&status.from));
        self.statuses.insert(name, (now, status));
        ReceiveOutcome::Current
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
    pub fn merge(&mut self, members: &[Member]) -> OwnStanding {
        let mut standing = OwnStanding::Current;
        for member in members {
            if member.name == self.own_name {
                standing = self.merge_own(member, standing);
                continue;
            }
            let newer = self.table.get(&member.name).is_none_or(|known| {
                let rank = |member: &Member| (member.incarnation, member.state);
                rank(member) > rank(known)
            });
            if newer {
                self.statuses.remove(&member.name);
                self.expected_since.remove(&member.name);
                self.table.insert(member.name.clone(), member.clone());
            }
        }
        standing
    }

    /// Takes in what a peer holds of this instance itself.
    fn merge_own(&mut self, reported: &Member, standing: OwnStanding) -> OwnStanding {
        let acknowledged = self.acknowledged;
        let own = self.own().clone();
        if reported.incarnation > own.incarnation && acknowledged && reported.address != own.address
        {
            return OwnStanding::Replaced;
        }
        let conflicting = reported.incarnation == own.incarnation
            && (reported.state > own.state || (reported.address != own.address && !acknowledged));
        if reported.incarnation > own.incarnation || conflicting {
            let incarnation = reported.incarnation + 1;
            self.table
                .insert(self.own_name.clone(), Member { incarnation, ..own });
        } else if *reported == own {
            self.acknowledged = true;
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
    /// assert!(membership.live_names().is_empty());
    /// ```
    pub fn leave(&mut self) {
        let me = self.own_name.clone();
        if let Some(own) = self.table.get_mut(&me) {
            own.state = MemberState::Leaving;
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
    /// assert!(membership.expire_neighbours(now).is_empty());
    /// ```
    pub fn expire_neighbours(&mut self, now: Duration) -> Vec<Name> {
        let timeout = self.neighbour_timeout();
        let neighbours = self.neighbours();
        self.expected_since
            .retain(|name, _| neighbours.iter().any(|n| n.name == *name));
        let mut dead = Vec::new();
        for neighbour in neighbours {
            self.expected_since
                .entry(neighbour.name.clone())
                .or_insert(now);
            let last = self.last_heard(&neighbour).unwrap_or(now);
            if now.saturating_sub(last) >= timeout
                && let Some(member) = self.table.get_mut(&neighbour.name)
            {
                member.state = MemberState::Dead;
                dead.push(neighbour.name);
            }
        }
        dead
    }
}
