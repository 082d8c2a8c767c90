//! Simulates the entries of a fleet in one process, under simulated time and over a seeded
//! network. Membership, digests, the choice of watchers and the choice of upstreams are the
//! code that entries run; only sockets, the store and agents are simulated.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use verbenaspool::direct::peers::{Peers, Versions};
use verbenaspool_policy::subset;
use verbenaspool_protocol::{
    digest::{Digest, StoreAccess, hash},
    message::Message,
};

/// Number of availability zones.
const ZONES: usize = 5;

/// Number of entries that all others know from their settings.
const SEEDS: usize = 3;

/// Headers of a datagram: IP and UDP.
const HEADER_BYTES: usize = 28;

/// The probability that a datagram is lost.
const LOSS: f64 = 0.005;

/// Interval at which an entry checks whether a peer has newer state.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);

/// Time of a call to a peer.
const FETCH_TIME: Duration = Duration::from_millis(6);

/// Longest time until a watch returns a change, by the batching of changes.
const MAX_WATCH_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of a service's upstreams that an entry sends to.
const MAX_SERVICE_UPSTREAMS: usize = 192;

/// What entries send to each other, by whether it crosses zones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub datagrams: [u64; 2],
    pub bytes: [u64; 2],
}

/// One entry.
struct Entry {
    address: Ipv4Addr,
    zone: usize,
    peers: Peers,
    /// The revision of its registry.
    revision: u64,
    /// When its process started.
    started_at: Duration,
    alive: bool,
    traffic: Traffic,
}

/// What happens at a point in time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An entry sends its digest.
    SendDigest { entry: usize },
    /// A datagram reaches an entry.
    Receive {
        entry: usize,
        from: Ipv4Addr,
        bytes: Vec<u8>,
    },
    /// An entry checks whether a peer has newer state.
    CatchUp { entry: usize },
    /// An entry learns of a revision, from the store or a peer.
    Learn { entry: usize, revision: u64 },
}

/// The entries of a fleet.
pub struct Fleet {
    pub now: Duration,
    entries: Vec<Entry>,
    numbers: BTreeMap<Ipv4Addr, usize>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    last_event: u64,
    random: StdRng,
    /// The largest sum of all entries' shares of a limit so far.
    pub max_share_sum: f64,
}

impl Fleet {
    /// Starts all entries within 0.3 s.
    pub fn start(count: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let address =
            |number: usize| Ipv4Addr::from(u32::try_from(number).unwrap_or(0) + (10 << 24) + 1);
        let entry = |number: usize| {
            let zone = number % ZONES;
            Entry {
                address: address(number),
                zone,
                peers: Peers::new(IpAddr::V4(address(number)), zone_hash(zone)),
                revision: 1,
                started_at: Duration::ZERO,
                alive: true,
                traffic: Traffic::default(),
            }
        };
        let mut entries: Vec<Entry> = (0..count).map(entry).collect();
        for entry in &mut entries {
            entry.started_at = Duration::from_millis(random.random_range(0..300));
        }
        let mut fleet = Self {
            now: Duration::ZERO,
            numbers: (0..count).map(|number| (address(number), number)).collect(),
            entries,
            events: BinaryHeap::new(),
            last_event: 0,
            random,
            max_share_sum: 0.0,
        };
        for entry in 0..count {
            let at = fleet.entries[entry].started_at;
            fleet.schedule(at, Event::SendDigest { entry });
            fleet.schedule(at, Event::CatchUp { entry });
        }
        fleet
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    /// Runs until a point in time.
    pub fn run_until(&mut self, until: Duration) {
        let mut next_check = self.now;
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
            if self.now >= next_check {
                next_check = self.now + Duration::from_millis(100);
                self.max_share_sum = self.max_share_sum.max(self.share_sum());
            }
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendDigest { entry } => self.send_digest(entry),
            Event::Receive { entry, from, bytes } => {
                let age = self.age(entry);
                if let Some(Message::Digest(digest)) = Message::decode(&bytes)
                    && self.entries[entry].alive
                {
                    self.entries[entry].peers.receive(age, from, digest);
                }
            }
            Event::CatchUp { entry } => self.catch_up(entry),
            Event::Learn { entry, revision } => {
                let known = &mut self.entries[entry].revision;
                *known = revision.max(*known);
            }
        }
    }

    /// How long an entry's process has been running, which is its clock.
    fn age(&self, entry: usize) -> Duration {
        self.now.saturating_sub(self.entries[entry].started_at)
    }

    fn send_digest(&mut self, number: usize) {
        let (now, age) = (self.now, self.age(number));
        let seeds: Vec<Ipv4Addr> = self.entries[..SEEDS.min(self.len())]
            .iter()
            .map(|entry| entry.address)
            .collect();
        let entry = &mut self.entries[number];
        if !entry.alive {
            return;
        }
        for seed in seeds {
            entry
                .peers
                .add(age, seed, verbenaspool_protocol::digest::UNKNOWN_ZONE);
        }
        entry.peers.remove_silent(age);
        let store = if entry.peers.watches_store(age) {
            StoreAccess::Watching
        } else {
            StoreAccess::Idle
        };
        let own = Digest {
            incarnation: 1,
            registry_revision: entry.revision,
            store,
            ..Digest::default()
        };
        let bytes = Message::Digest(entry.peers.next_digest(age, own)).encode();
        let (from, zone) = (entry.address, entry.zone);
        let recipients = entry.peers.next_recipients();
        let interval = entry.peers.digest_interval();
        for recipient in recipients {
            let Some(&to) = self.numbers.get(&recipient) else {
                continue;
            };
            let crosses = self.entries[to].zone != zone;
            let traffic = &mut self.entries[number].traffic;
            traffic.datagrams[usize::from(crosses)] += 1;
            traffic.bytes[usize::from(crosses)] += (bytes.len() + HEADER_BYTES) as u64;
            if self.random.random_bool(LOSS) {
                continue;
            }
            let delay = Duration::from_micros(if crosses { 900 } else { 100 });
            let bytes = bytes.clone();
            self.schedule(
                now + delay,
                Event::Receive {
                    entry: to,
                    from,
                    bytes,
                },
            );
        }
        self.schedule(now + interval, Event::SendDigest { entry: number });
    }

    fn catch_up(&mut self, number: usize) {
        let (now, age) = (self.now, self.age(number));
        if !self.entries[number].alive {
            return;
        }
        self.schedule(now + CATCH_UP_INTERVAL, Event::CatchUp { entry: number });
        let entry = &self.entries[number];
        let newer = entry
            .peers
            .newer_peers(age, Versions::of_registry(entry.revision));
        let same_zone = newer.first().filter(|(_, same_zone)| *same_zone);
        let peer = same_zone.and_then(|(address, _)| self.numbers.get(address));
        if let Some(peer) = peer {
            let revision = self.entries[*peer].revision;
            self.schedule(
                now + FETCH_TIME,
                Event::Learn {
                    entry: number,
                    revision,
                },
            );
        }
    }

    /// Changes the registry in the store. The entries that watch it learn of the change.
    /// Returns how many these are.
    pub fn change_registry(&mut self, revision: u64) -> usize {
        let watching: Vec<usize> = (0..self.len())
            .filter(|number| self.watches_store(*number))
            .collect();
        for &entry in &watching {
            let delay = MAX_WATCH_DELAY.mul_f64(self.random.random());
            self.schedule(self.now + delay, Event::Learn { entry, revision });
        }
        watching.len()
    }

    fn watches_store(&self, number: usize) -> bool {
        let entry = &self.entries[number];
        entry.alive && entry.peers.watches_store(self.age(number))
    }

    /// Whether all live entries know a revision.
    pub fn all_know(&self, revision: u64) -> bool {
        let mut live = self.entries.iter().filter(|entry| entry.alive);
        live.all(|entry| entry.revision >= revision)
    }

    /// Ends an entry's process.
    pub fn kill(&mut self, number: usize) {
        self.entries[number].alive = false;
    }

    /// Whether any live entry still counts the requests of another one as in flight.
    pub fn is_counted(&self, number: usize) -> bool {
        let address = self.entries[number].address;
        let live = (0..self.len()).filter(|other| self.entries[*other].alive);
        let mut peers = live.map(|other| (&self.entries[other].peers, self.age(other)));
        peers.any(|(peers, age)| peers.is_live(age, address))
    }

    /// The sum of all entries' shares of a limit, 1 if none is left out or counted twice.
    fn share_sum(&self) -> f64 {
        let live = (0..self.len()).filter(|number| {
            self.entries[*number].alive && self.now >= self.entries[*number].started_at
        });
        let shares =
            live.filter_map(|number| self.entries[number].peers.sharing_entries(self.age(number)));
        #[allow(clippy::cast_precision_loss)] // Few entries.
        let shares = shares.map(|entries| 1.0 / entries as f64);
        shares.sum()
    }

    /// What the entries have sent so far, and forgets it.
    pub fn take_traffic(&mut self) -> Traffic {
        let mut sum = Traffic::default();
        for entry in &mut self.entries {
            let traffic = std::mem::take(&mut entry.traffic);
            for crosses in 0..2 {
                sum.datagrams[crosses] += traffic.datagrams[crosses];
                sum.bytes[crosses] += traffic.bytes[crosses];
            }
        }
        sum
    }
}

/// Hash of a zone's name.
fn zone_hash(zone: usize) -> u32 {
    hash(&format!("zone-{zone}"))
}

/// The upstreams that an entry sends to, of a service spread over the zones: how many in its
/// zone, and how many in others.
pub fn subset_sizes(entry: usize, upstreams: usize) -> [usize; 2] {
    let ids: Vec<String> = (0..upstreams).map(|number| format!("i-{number}")).collect();
    let members: Vec<(&str, bool)> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| (id.as_str(), number % ZONES == entry % ZONES))
        .collect();
    let name = format!("entry-{entry}");
    let chosen = subset::choose_by_hash(&name, &members, MAX_SERVICE_UPSTREAMS);
    let same_zone = chosen.iter().filter(|index| members[**index].1).count();
    [same_zone, chosen.len() - same_zone]
}
