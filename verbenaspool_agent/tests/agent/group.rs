//! Tests of a group of ranks whose agents are real processes.

use std::{
    cell::RefCell,
    fs::{self, OpenOptions},
    net::SocketAddr,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    rc::Rc,
    thread,
    time::Duration,
};

use http::Request;
use http_body_util::BodyExt;
use monoio::net::{ListenerOpts, TcpListener};

use verbenaspool_protocol::group::{STATUS_METHOD, Status};
use verbenaspool_standin::{
    address,
    history::steps,
    platform::Platform,
    ranks::{Group, Settings},
    seat::{self, Seat},
    weights::Store,
};
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    http::{body::Body, client::Client},
    rpc, shutdown,
};

use crate::rig;

/// Number of ranks in the group.
const RANKS: u16 = 3;
/// Duration of a step.
const STEP_TIME: Duration = Duration::from_millis(10);

/// A simulated group, its agents and the platform.
struct Fleet {
    name: &'static str,
    group: Rc<RefCell<Group>>,
    platform: Platform,
    engines: Vec<SocketAddr>,
    controls: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    agents: Vec<Child>,
    clock: Rc<dyn Clock>,
    rpc: rpc::Client,
}

impl Drop for Fleet {
    /// Kills the agents, and prints their logs if the test fails.
    fn drop(&mut self) {
        for agent in &mut self.agents {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        for seat in 0..RANKS {
            let path = self.file(seat, "log");
            if thread::panicking()
                && let Ok(log) = fs::read_to_string(&path)
            {
                eprintln!("log of the agent at seat {seat}:\n{log}");
            }
            let _ = fs::remove_file(&path);
        }
    }
}

impl Fleet {
    fn start(name: &'static str, checks_fences: bool) -> Self {
        let clock: Rc<dyn Clock> = Monotonic::start();
        let settings = Settings {
            ranks: RANKS,
            step_time: STEP_TIME,
            checks_fences,
            expert_bytes: 1_000,
        };
        let group = Rc::new(RefCell::new(Group::new(settings, Store::new(1_000_000))));
        monoio::spawn(seat::advance(group.clone(), clock.clone()));
        let engine = |index| {
            let options = ListenerOpts::new().reuse_port(false);
            let listener = TcpListener::bind_with_config("127.0.0.1:0", &options).expect("a port");
            let address = listener.local_addr().expect("an address");
            let (trigger, signal) = shutdown::channel();
            let seat = Seat::new(group.clone(), index, clock.clone());
            monoio::spawn(async move {
                seat.serve(listener, signal).await;
                drop(trigger);
            });
            address
        };
        let platform = Platform::start().expect("a platform");
        platform.allow("token", "quetzal");
        let mut fleet = Self {
            name,
            engines: (0..RANKS).map(engine).collect(),
            controls: (0..RANKS).map(|_| address::fresh()).collect(),
            admins: (0..RANKS).map(|_| address::fresh()).collect(),
            agents: Vec::new(),
            group,
            platform,
            clock,
            rpc: rpc::Client::default(),
        };
        for seat in 0..RANKS {
            let agent = fleet.start_agent(seat, checks_fences);
            fleet.agents.push(agent);
        }
        fleet
    }

    /// The path of a file of the agent at a seat.
    fn file(&self, seat: u16, kind: &str) -> PathBuf {
        let (name, process) = (self.name, process::id());
        PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("group-{name}-{process}-{seat}.{kind}"))
    }

    /// Starts the agent at a seat.
    fn start_agent(&self, seat: u16, checks_fences: bool) -> Child {
        let index = usize::from(seat);
        let members: Vec<String> = self.controls.iter().map(|a| format!("'{a}'")).collect();
        let fences = if checks_fences { "checked" } else { "ignored" };
        let text = format!(
            "firm: quetzal\ninstance: rank-{seat}\n\
             listen: 127.0.0.1:0\n\
             control: {control}\n\
             admin: {admin}\n\
             upstream: {{address: '{engine}', kind: plain}}\n\
             log: {{form: json}}\n\
             group:\n\
            \x20 name: inspection-1\n\
            \x20 seat: {seat}\n\
            \x20 members: [{members}]\n\
            \x20 engine: {engine}\n\
            \x20 fences: {fences}\n\
            \x20 platform: {{address: '{platform}', token: token, lease_seconds: 3}}\n\
            \x20 experts:\n\
            \x20   ranks: {RANKS}\n\
            \x20   experts: 6\n\
            \x20   layers: 1\n\
            \x20   slots: 3\n\
            \x20   expert_bytes: 1000\n\
            \x20   rebalancing: {{pause_s: 1}}\n",
            control = self.controls[index],
            admin = self.admins[index],
            engine = self.engines[index],
            members = members.join(", "),
            platform = self.platform.address(),
        );
        let path = self.file(seat, "yaml");
        fs::write(&path, text).expect("settings are written");
        let mut log = OpenOptions::new();
        let log = log.create(true).append(true).open(self.file(seat, "log"));
        let program = Command::new(env!("CARGO_BIN_EXE_verbenaspool-agent"))
            .args(["run", "--settings"])
            .arg(&path)
            .stdout(log.expect("a log"))
            .stderr(Stdio::null())
            .spawn();
        program.expect("the program starts")
    }

    /// The status of the agent at a seat, if it answers.
    async fn status(&self, seat: u16) -> Option<Status> {
        let address = self.controls[usize::from(seat)];
        let timeout = Duration::from_secs(1);
        self.rpc
            .call(address, STATUS_METHOD, &(), timeout)
            .await
            .ok()
    }

    /// The metrics of the agent at a seat.
    async fn metrics(&self, seat: u16) -> String {
        let client = Client::new(Duration::from_secs(1));
        let request = Request::get("/metrics").header("host", "agent");
        let request = request.body(Body::empty()).expect("a request");
        let address = self.admins[usize::from(seat)];
        let response = client.send(address, request).await.expect("an answer");
        let body = response.into_body().collect().await.expect("a body");
        String::from_utf8_lossy(&body.to_bytes()).into_owned()
    }

    /// Waits until an agent leads, and returns its status.
    async fn wait_for_lead(&self) -> Status {
        loop {
            for seat in 0..RANKS {
                if let Some(status) = self.status(seat).await.filter(|status| status.leads) {
                    return status;
                }
            }
            self.clock.sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until all engines run on a map other than this one.
    async fn wait_for_change(&self, epoch: Option<u64>) -> Option<u64> {
        loop {
            let running = self.group.borrow().state(RANKS - 1, 0).running;
            if running.is_some() && running != epoch {
                return running;
            }
            self.clock.sleep(Duration::from_millis(10)).await;
        }
    }

    /// Routes most tokens to one expert of the first rank.
    fn shift_popularity(&self, hot: usize) {
        let mut tokens = vec![100; 6];
        tokens[hot] = 2_000;
        tokens[(hot + 3) % 6] = 1_000;
        self.group.borrow_mut().set_popularity(vec![tokens]);
    }

    /// Checks the history and returns the number of steps run.
    fn check_history(&self) -> usize {
        let group = self.group.borrow();
        steps::check(group.history()).expect("every step runs on one map")
    }
}

/// Shifts the experts' popularity while a group serves. Guards against map changes that
/// make a step wait or run on different maps, also after the agent of a rank was killed
/// and restarted, which learns the rank's state from its engine and its peers.
fn change_maps_while_serving(name: &'static str, checks_fences: bool) {
    rig::run(async {
        let mut fleet = Fleet::start(name, checks_fences);
        let lead = fleet.wait_for_lead().await;
        let first = fleet.wait_for_change(None).await;
        fleet.shift_popularity(0);
        let second = fleet.wait_for_change(first).await;
        assert_eq!(fleet.group.borrow().idle_time(), Duration::ZERO);
        let other = (lead.seat + 1) % RANKS;
        let agent = &mut fleet.agents[usize::from(other)];
        agent.kill().expect("the agent is killed");
        agent.wait().expect("the agent ends");
        fleet.agents[usize::from(other)] = fleet.start_agent(other, checks_fences);
        fleet.shift_popularity(1);
        fleet.wait_for_change(second).await;
        assert!(fleet.check_history() > 300);
        let status = fleet.status(lead.seat).await.expect("the lead answers");
        assert!(status.changes >= 3, "{status:?}");
        assert_eq!(status.diverged, 0);
        let metrics = fleet.metrics(lead.seat).await;
        let expected = format!(
            "verbenaspool_group_changes{{group=\"inspection-1\"}} {}",
            status.changes
        );
        assert!(metrics.contains(&expected), "{metrics}");
        assert!(metrics.contains("verbenaspool_group_skew"), "{metrics}");
    });
}

#[test]
fn maps_change_under_way() {
    change_maps_while_serving("checked", true);
}

/// The same with engines that ignore fences, where a new agent has to wait until the orders
/// of its predecessor have expired.
#[test]
fn maps_change_under_way_without_fences() {
    change_maps_while_serving("ignored", false);
}

/// Guards against a group that changes its lead because a single renewal of the lease got no
/// answer.
#[test]
fn one_lost_renewal_keeps_the_lead() {
    rig::run(async {
        let fleet = Fleet::start("renewal", true);
        let lead = fleet.wait_for_lead().await;
        // The delay exceeds the timeout of any call, and lasts until one renewal is due.
        fleet
            .platform
            .set(|faults| faults.delay = Duration::from_secs(10));
        fleet.clock.sleep(Duration::from_secs(1)).await;
        fleet.platform.set(|faults| faults.delay = Duration::ZERO);
        fleet.clock.sleep(Duration::from_secs(4)).await;
        let status = fleet.status(lead.seat).await.expect("the lead answers");
        assert!(status.leads && status.fence == lead.fence, "{status:?}");
    });
}

/// Guards against a group that stops, or whose maps no longer change, after its lead was
/// killed. The group runs the granted steps, waits until another agent has acquired the
/// lease, and continues; the new lead then changes the map.
#[test]
fn lead_dies_and_another_takes_over() {
    rig::run(async {
        let mut fleet = Fleet::start("lead", true);
        let lead = fleet.wait_for_lead().await;
        let first = fleet.wait_for_change(None).await;
        let agent = &mut fleet.agents[usize::from(lead.seat)];
        agent.kill().expect("the agent is killed");
        agent.wait().expect("the agent ends");
        fleet.agents[usize::from(lead.seat)] = fleet.start_agent(lead.seat, true);
        let next = loop {
            let next = fleet.wait_for_lead().await;
            if next.fence > lead.fence {
                break next;
            }
            fleet.clock.sleep(Duration::from_millis(50)).await;
        };
        fleet.shift_popularity(0);
        let second = fleet.wait_for_change(first).await;
        assert!(
            second.is_some_and(|epoch| epoch / 1_000_000 == next.fence),
            "{second:?}"
        );
        assert!(fleet.check_history() > 300);
    });
}

/// Guards against a lead that goes on without a lease, and whose fence another one may get: the
/// store has come back from a copy that is older than the lease.
#[test]
fn the_lead_acquires_its_lease_anew_when_the_store_came_back() {
    rig::run(async {
        let fleet = Fleet::start("restore", true);
        let copy = fleet.platform.with(|objects| objects.clone());
        let lead = fleet.wait_for_lead().await;
        let first = fleet.wait_for_change(None).await;
        // One that was made before any agent's first write.
        assert!(copy.list("").is_empty());
        fleet.platform.with(|objects| objects.restore(copy));
        let renewed = async {
            loop {
                let next = fleet.wait_for_lead().await;
                if next.fence > lead.fence {
                    return next;
                }
                fleet.clock.sleep(Duration::from_millis(50)).await;
            }
        };
        let limit = fleet.clock.sleep(Duration::from_secs(8));
        let next = monoio::select! {
            next = renewed => next,
            () = limit => panic!("the lead's fence is still {}", lead.fence),
        };
        fleet.shift_popularity(0);
        let second = fleet.wait_for_change(first).await;
        assert!(
            second.is_some_and(|epoch| epoch / 1_000_000 == next.fence),
            "{second:?}"
        );
        assert!(fleet.check_history() > 100);
    });
}
