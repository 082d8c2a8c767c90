//! The firms' groups of ranks: their engines, and popularity that shifts.

use std::{cell::RefCell, collections::BTreeSet, io, net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::{ListenerOpts, TcpListener};
use verbenaspool_standin::{
    address,
    history::steps,
    ranks::{self, Group},
    seat::{self, Seat},
    weights::Store,
};
use verbenaspool_state::{name::Name, service::Experts};
use verbenaspool_transport::{clock::Clock, shutdown};

/// Layers that the demo plays; engines of the files' size would sample slowly.
const LAYERS: u16 = 2;
/// How long a step takes.
const STEP_TIME: Duration = Duration::from_millis(5);
/// When popularity shifts after the start, and again.
const SHIFT_INTERVAL: Duration = Duration::from_secs(3);
/// The rate of the weight store, in bytes a second.
const STORE_BYTES_PER_SECOND: u64 = 100_000_000_000;

/// A group whose ranks stand in one zone.
pub struct RankGroup {
    /// The group's name.
    name: String,
    /// Its layout.
    experts: Experts,
    /// Its engines.
    group: Rc<RefCell<Group>>,
    /// Where the engines take orders, by seat.
    engines: Vec<SocketAddr>,
    /// Where the agents take control calls, by seat.
    controls: Vec<SocketAddr>,
}

impl RankGroup {
    /// Starts the engines of a group.
    pub fn start(
        name: String,
        experts: &Experts,
        checks_fences: bool,
        clock: &Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let mut experts = experts.clone();
        experts.layers = LAYERS;
        // The demo lasts seconds, so maps may change within them.
        experts.rebalancing.pause_s = 1;
        let settings = ranks::Settings {
            ranks: experts.ranks,
            step: STEP_TIME,
            checked: checks_fences,
            expert_bytes: experts.expert_bytes,
        };
        let group = Rc::new(RefCell::new(Group::new(
            settings,
            Store::new(STORE_BYTES_PER_SECOND),
        )));
        let (mut engines, mut controls) = (Vec::new(), Vec::new());
        for index in 0..experts.ranks {
            let options = ListenerOpts::new().reuse_port(false);
            let listener = TcpListener::bind_with_config("127.0.0.1:0", &options)?;
            engines.push(listener.local_addr()?);
            controls.push(address::fresh());
            let seat = Seat::new(group.clone(), index, clock.clone());
            monoio::spawn(seat.serve(listener, shutdown::channel().1));
        }
        monoio::spawn(seat::advance(group.clone(), clock.clone()));
        monoio::spawn(shift_popularity(
            group.clone(),
            experts.experts,
            clock.clone(),
        ));
        Ok(Self {
            name,
            experts,
            group,
            engines,
            controls,
        })
    }

    /// Where the agent of a seat takes control calls.
    pub fn control(&self, rank: usize) -> SocketAddr {
        self.controls[rank]
    }

    /// How many ranks there are.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// The part of an agent's settings that names its seat.
    pub fn settings(
        &self,
        firm: &Name,
        rank: usize,
        checks_fences: bool,
        platform: SocketAddr,
    ) -> String {
        let fences = if checks_fences { "checked" } else { "ignored" };
        let experts = serde_json::to_string(&self.experts).expect("plain data");
        let members: Vec<String> = self.controls.iter().map(ToString::to_string).collect();
        format!(
            "group: {{name: {}, seat: {rank}, members: {members:?}, \
             engine: '{}', fences: {fences}, experts: {experts}, \
             platform: {{address: '{platform}', token: demo-{firm}}}}}\n",
            self.name, self.engines[rank],
        )
    }

    /// How often the map changed, and how many steps were mixed.
    pub fn check_maps(&self) -> (usize, usize) {
        let group = self.group.borrow();
        let epochs: BTreeSet<u64> = group.history().iter().map(|entry| entry.epoch).collect();
        let mixed_steps = usize::from(steps::check(group.history()).is_err());
        (epochs.len().saturating_sub(1), mixed_steps)
    }

    /// How many steps were run.
    pub fn steps(&self) -> usize {
        self.group.borrow().history().len() / self.engines.len()
    }
}

/// Popularity is even at first, crowds some experts, and then others.
async fn shift_popularity(group: Rc<RefCell<Group>>, experts: u16, clock: Rc<dyn Clock>) {
    let turns = [0, 1, 2].into_iter().cycle().take(6);
    for turn in turns {
        let tokens = |expert: u16| match turn {
            0 => 100,
            turn if expert % 8 == turn => 1_000,
            _ => 50,
        };
        let layer: Vec<u64> = (0..experts).map(tokens).collect();
        let layers = vec![layer; usize::from(LAYERS)];
        group.borrow_mut().drift(layers);
        clock.sleep(SHIFT_INTERVAL).await;
    }
}
