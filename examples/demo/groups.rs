//! Groups of ranks: simulated engines whose expert popularity shifts.

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

/// Number of simulated layers; sampling all layers of the files' models would be slow.
const LAYERS: u16 = 2;
/// Duration of a step.
const STEP_TIME: Duration = Duration::from_millis(5);
/// Interval between two shifts of popularity.
const SHIFT_INTERVAL: Duration = Duration::from_secs(3);
/// Bandwidth of the weight store in bytes per second.
const STORE_BYTES_PER_SECOND: u64 = 100_000_000_000;

/// A group whose ranks are in one zone.
pub struct RankGroup {
    /// The group's name.
    name: String,
    /// Expert layout of the model.
    experts: Experts,
    /// Simulated engines of the ranks.
    group: Rc<RefCell<Group>>,
    /// Order addresses of the engines, by rank.
    engines: Vec<SocketAddr>,
    /// Control addresses of the agents, by rank.
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
        // The demo takes only seconds, so map changes must be allowed within seconds.
        experts.rebalancing.pause_s = 1;
        let settings = ranks::Settings {
            ranks: experts.ranks,
            step_time: STEP_TIME,
            checks_fences,
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

    /// Returns the control address of the agent of a rank.
    pub fn control(&self, rank: usize) -> SocketAddr {
        self.controls[rank]
    }

    /// Returns the number of ranks.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns the part of an agent's settings that assigns it to a rank of the group.
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

    /// Returns how often the map changed, and 1 if the ranks used different maps in a step,
    /// repeated a step or returned to an older map, otherwise 0.
    pub fn check_maps(&self) -> (usize, usize) {
        let group = self.group.borrow();
        let epochs: BTreeSet<u64> = group.history().iter().map(|entry| entry.epoch).collect();
        let mixed_steps = usize::from(steps::check(group.history()).is_err());
        (epochs.len().saturating_sub(1), mixed_steps)
    }

    /// Returns how many steps were run.
    pub fn steps(&self) -> usize {
        self.group.borrow().history().len() / self.engines.len()
    }
}

/// Shifts the popularity of experts: first uniform, then concentrated on some experts, then on
/// others.
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
        group.borrow_mut().set_popularity(layers);
        clock.sleep(SHIFT_INTERVAL).await;
    }
}
