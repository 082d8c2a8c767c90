//! Membership and failure detection of the entry instances of a zone.
//!
//! Each instance orders the live instances by the hash of their names, so no
//! election is needed. The first few watch the platform. The order defines a tree
//! in which each instance has one parent and a few children. It exchanges
//! heartbeats with these alone, and so sends the same number of bytes a second in
//! a zone of three as in one of a hundred.
//!
//! The member table is exchanged along the tree whenever digests differ. An entry
//! with a higher incarnation always replaces one with a lower: a process that
//! resumes after a pause finds its successor in the table and leaves instead of
//! overwriting it. Within one incarnation a later state (live, leaving, dead)
//! replaces an earlier one. A process that is wrongly declared dead takes a higher
//! incarnation.

use std::{collections::BTreeMap, time::Duration};

use verbenaspool_state::{name::Name, version::Version};
use xxhash_rust::xxh3::xxh3_64;

pub use message::{Member, OwnStanding, ReceiveOutcome, State, Status};
pub use summary::{LaggingInstance, SubtreeSummary, Summary};

mod message;
mod summary;
#[cfg(test)]
mod tests;

/// Membership settings.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Interval between heartbeats to the parent in a small zone.
    pub heartbeat_interval: Duration,
    /// Maximum number of members of a small zone. In a larger one, inner instances
    /// have 4 children and exchange 5 heartbeats of some 800 bytes each, with request,
    /// response and packet headers, compared to one or two in a small zone. The
    /// interval is doubled there to stay within 4 KB a second.
    pub small_zone_size: usize,
    /// Number of heartbeats that may be missed before a neighbour counts as dead.
    /// Three tolerate a lost packet or a stalled event loop, and detect a crash within
    /// 4 s in a small zone and 8 s in a large one.
    pub max_missed_heartbeats: u32,
    /// Number of children of an instance. With four, a change reaches a hundred
    /// instances in four hops and is sent by each four times at most.
    pub fanout: usize,
    /// Number of instances that watch the platform. With two, one may crash without
    /// effect.
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

/// The members of a zone as known to one of them.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    /// The name of this instance.
    own_name: Name,
    /// All known members, dead ones included.
    table: BTreeMap<Name, Member>,
    /// The last status received from each peer, and when.
    statuses: BTreeMap<Name, (Duration, Status)>,
    /// The time since which each neighbour is expected to send heartbeats.
    expected_since: BTreeMap<Name, Duration>,
    /// When the next heartbeat is due.
    next_heartbeat: Duration,
    /// Whether a peer's table has shown the entry of this process. Before that, a higher
    /// incarnation in a table belongs to a predecessor; after that, to a successor.
    acknowledged: bool,
}

impl Membership {
    /// Creates the membership of an instance that knows only itself.
    ///
    /// ```
    /// use verbenaspool_coordination::membership::{Member, State, Membership, Settings};
    ///
    /// let me = Member {
    ///     name: "entry-1".parse().unwrap(),
    ///     incarnation: 1,
    ///     address: ([127, 0, 0, 1], 7001).into(),
    ///     state: State::Live,
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

    /// The entry of this instance.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert_eq!(membership.own().incarnation, 1);
    /// ```
    #[must_use]
    pub fn own(&self) -> &Member {
        // The entry is inserted by `new` and never removed.
        &self.table[&self.own_name]
    }

    /// The last status received from a peer.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.last_status(&"entry-2".parse().unwrap()).is_none());
    /// ```
    #[must_use]
    pub fn last_status(&self, neighbour: &Name) -> Option<&Status> {
        self.statuses.get(neighbour).map(|(_, status)| status)
    }

    /// All members in the table, dead ones included.
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

    /// The number of instances of the zone that are live or leaving, this one included.
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

    /// The names of the live instances of the zone, this one included.
    ///
    /// ```
    /// # use verbenaspool_coordination::membership::{Member, Membership, Settings};
    /// # let me = Member::live("entry-1".parse().unwrap(), 1, ([127, 0, 0, 1], 7001).into());
    /// # let membership = Membership::new(me, Settings::default());
    /// assert!(membership.live_names().contains(&membership.own().name));
    /// ```
    #[must_use]
    pub fn live_names(&self) -> Vec<Name> {
        let live = self.table.values().filter(|m| m.state == State::Live);
        live.map(|member| member.name.clone()).collect()
    }

    /// The live and leaving instances in tree order. Leaving ones come last, so that few
    /// others depend on them.
    fn ordered_members(&self) -> Vec<&Member> {
        let live = self
            .table
            .values()
            .filter(|member| member.state != State::Dead);
        let mut order: Vec<&Member> = live.collect();
        order.sort_by_cached_key(|member| (member.state, xxh3_64(member.name.as_str().as_bytes())));
        order
    }

    /// The position of this instance in the order.
    fn position(&self, order: &[&Member]) -> usize {
        let found = order.iter().position(|member| member.name == self.own_name);
        found.unwrap_or(order.len())
    }

    /// Whether this instance is one of the first in the order, which watch the platform.
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

    /// Whether this instance is the first in the order, which writes the zone's status.
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

    /// Whether this instance has to watch the platform, because it is a watcher or its
    /// parent has no fresh information from the platform.
    ///
    /// Failure guarded against: the watchers have lost the platform, or have crashed
    /// without being detected yet, while other instances can reach it. An accepted
    /// version would not come into force in the zone. Each level of the tree takes over
    /// from the one above and stops watching when that has fresh information again.
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

    /// Whether the parent recently reported fresh information from the platform.
    fn has_fresh_parent(&self, now: Duration) -> bool {
        let Some(parent) = self.parent() else {
            return false;
        };
        let status = self.statuses.get(&parent.name);
        let timeout = self.effective_heartbeat_interval() * self.settings.max_missed_heartbeats;
        status.is_some_and(|(at, status)| status.fresh && now.saturating_sub(*at) < timeout)
    }

    /// The interval between heartbeats for the size of the zone.
    fn effective_heartbeat_interval(&self) -> Duration {
        let members = self.table.len();
        let factor = if members <= self.settings.small_zone_size {
            1
        } else {
            2
        };
        self.settings.heartbeat_interval * factor
    }

    /// The time without a heartbeat after which a neighbour counts as dead.
    fn neighbour_timeout(&self) -> Duration {
        self.effective_heartbeat_interval() * (self.settings.max_missed_heartbeats + 1)
    }

    /// The parent of this instance in the tree. The first instance has none.
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

    /// The children of `member` in the tree.
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

    /// The instances with which this one exchanges heartbeats and changes.
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

    /// Returns the instances to send a heartbeat now. Once in each interval, see
    /// [`Settings::heartbeat_interval`], these are the parent and all children whose
    /// heartbeats are overdue. An instance that no peer has acknowledged yet sends
    /// heartbeats to all it knows.
    ///
    /// Failure guarded against: two instances know different members, so that one waits
    /// for a heartbeat that the other sends elsewhere. If the silent instance is asked
    /// before it is declared dead, it answers and the tables converge.
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

    /// When a neighbour sent its last heartbeat, or was first expected to send one.
    fn last_heard(&self, neighbour: &Member) -> Option<Duration> {
        let received_at = self.statuses.get(&neighbour.name).map(|(at, _)| *at);
        received_at.max(self.expected_since.get(&neighbour.name).copied())
    }

    /// The status that this instance sends with heartbeats and their answers.
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
        complete_version: Version,
        active_version: Version,
        reaches_platform: bool,
    ) -> Status {
        Status {
            from: self.own().clone(),
            digest: self.digest(),
            complete_version,
            fresh: reaches_platform || self.has_fresh_parent(now),
            summary: self.summary(now, active_version),
        }
    }

    /// Summary of the active versions at this instance and below it in the tree.
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
    pub fn summary(&self, now: Duration, active_version: Version) -> Summary {
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
        Summary::aggregate(&self.own_name, active_version, &subtrees)
    }

    /// Digest of the member table.
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

    /// Whether a peer's table differs from this one, so that it has to be sent.
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
    pub fn digest_differs(&self, status: &Status) -> bool {
        status.digest != self.digest()
    }

    /// Processes the status in a heartbeat or in the answer to one.
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
    pub fn receive(&mut self, now: Duration, status: Status) -> ReceiveOutcome {
        let name = status.from.name.clone();
        if let Some(known) = self.table.get(&name)
            && known.incarnation > status.from.incarnation
        {
            return ReceiveOutcome::Superseded;
        }
        // The sender's own entry is merged like any other, so a process that was declared
        // dead has to return with a higher incarnation.
        self.merge(std::slice::from_ref(&status.from));
        self.statuses.insert(name, (now, status));
        ReceiveOutcome::Current
    }

    /// Merges a peer's table into this one.
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

    /// Merges a peer's entry for this instance.
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

    /// Marks this instance as leaving.
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
            own.state = State::Leaving;
        }
    }

    /// Declares neighbours dead that sent no heartbeat for too long. Returns their names.
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
                member.state = State::Dead;
                dead.push(neighbour.name);
            }
        }
        dead
    }
}
