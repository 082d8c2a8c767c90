//! The process of an entry on the direct path.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use monoio::net::{ListenerOpts, TcpListener};
use slog::{Logger, error, info, warn};
use tokio::sync::Notify;
use verbenaspool_platform::store;
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    http::server::{self, Connections, Handler, Limits},
    log,
    platform::client::Channel,
    rpc, runtime, settings,
    shutdown::{self, Signal, Signals},
};

use super::{
    follow::{Follower, Kind},
    gateway::Gateway,
    memory::Memory,
    peers, quarantine, rate_limit,
    readiness::{Metrics, Readiness},
    settings::Settings,
    standing, status, usage,
};
use crate::run::{Drained, Error};

/// Timeout of calls to the store, not counting the wait of a watch. The store answers within
/// milliseconds, or some hundred milliseconds if it is slow. An entry that has started lists the newest
/// configuration after 2 s at the latest, and must have it after 3 s, also if a first answer is lost.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// How often queued requests are processed and signals are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A longer interval between ticks shows that the process was suspended. Its watches may be
/// dead and its state outdated.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(700);

/// How long an entry still accepts new requests after it stops being ready. The platform
/// checks readiness once a second and acts on the second failure.
const READINESS_LINGER: Duration = Duration::from_millis(2_700);

/// The part of the grace period that is reserved for the exit of the process itself.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);

/// File descriptors reserved for upstreams, peers, the store and files. The others are for
/// callers.
const RESERVED_DESCRIPTORS: usize = 600;

/// Runs the entry until SIGTERM or SIGINT.
///
/// # Errors
/// The settings are invalid, or an address can't be bound.
pub fn main(path: &Path) -> Result<Drained, Error> {
    let settings: Settings = settings::load(path)?;
    let (log, _guard) = log::open_with_guard(settings.log);
    let signals = Signals::register()?;
    let path = path.to_owned();
    runtime::run(serve(settings, path, log, signals))?
}

/// Binds a listener to an address, which must not be used by another process.
fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).map_err(|why| Error::Listen { address, why })
}

/// Spawns a server for one handler.
fn spawn_server(listener: TcpListener, handler: Rc<dyn Handler>, finished: Signal, log: Logger) {
    let limits = Limits {
        max_connections: 64,
        ..Limits::default()
    };
    monoio::spawn(server::serve_and_log(
        listener,
        limits,
        handler,
        Connections::default(),
        finished,
        log,
    ));
}

/// Runs the entry until a stop signal, then drains it.
///
/// # Errors
/// An address can't be bound.
pub async fn serve(
    settings: Settings,
    path: PathBuf,
    log: Logger,
    signals: Signals,
) -> Result<Drained, Error> {
    let clock: Rc<dyn Clock> = Monotonic::start();
    let callers = listen(settings.listen)?;
    let readiness = listen(settings.readiness)?;
    let control = listen(settings.control)?;
    let metrics = settings.metrics.map(listen).transpose()?;
    info!(log, "entry started"; "name" => &settings.name, "zone" => &settings.zone,
        "listen" => settings.listen.to_string());
    let limits = Limits {
        max_connections: settings
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(64),
        ..caller_limits()
    };
    let memory = Memory::new(settings.memory_budget());
    let channel = Channel::new(settings.platform).with_budget(memory.systems.clone());
    let store = store::Client::new(channel, STORE_TIMEOUT);
    let gateway = Gateway::new(settings, clock.clone(), log.clone(), store, memory);
    let (finish, finished) = shutdown::channel();
    spawn_server(
        readiness,
        Rc::new(Readiness(gateway.clone())),
        finished.clone(),
        log.clone(),
    );
    if let Some(metrics) = metrics {
        let handler = Rc::new(Metrics(gateway.clone()));
        spawn_server(metrics, handler, finished.clone(), log.clone());
    }
    let mut module = rpc::Module::default().with_budget(gateway.memory.systems.clone());
    peers::register_methods(&gateway, &mut module);
    standing::register_methods(&gateway, &mut module);
    monoio::spawn(rpc::serve(control, Rc::new(module), finished.clone()));
    start_peer_tasks(&gateway);
    let relist = start_followers(&gateway);
    monoio::spawn(quarantine::attribute_crashes(gateway.clone()));
    monoio::spawn(status::save_changes(gateway.clone()));
    let (close, closed) = shutdown::channel();
    let open = gateway.memory.connections.clone();
    let served = monoio::spawn(server::serve_and_log(
        callers,
        gateway.memory.limit(&limits),
        gateway.clone(),
        open.clone(),
        closed,
        log.clone(),
    ));
    run_until_stopped(&gateway, &path, &signals, &relist).await;
    let grace = Duration::from_secs_f64(gateway.settings.borrow().limits.grace_s.max(1.0));
    let drain_deadline = clock.now() + grace.saturating_sub(SHUTDOWN_RESERVE);
    info!(log, "draining"; "connections" => open.count());
    gateway.leaving.set(true);
    open.close_after_response();
    let linger = READINESS_LINGER.min(grace / 2);
    process_queues_until(&gateway, clock.now() + linger).await;
    gateway.closed.set(true);
    close.fire();
    let ended = async {
        served.await;
    };
    let remaining = drain_deadline.saturating_sub(clock.now());
    let drained = monoio::select! {
        () = ended => Drained { cut: 0 },
        () = process_queues_until(&gateway, clock.now() + remaining) => Drained { cut: open.count() },
    };
    if drained.cut > 0 {
        warn!(log, "grace period over; closing connections with open requests"; "connections" => drained.cut);
    }
    finish.fire();
    info!(log, "entry stopped"; "cut" => drained.cut);
    Ok(drained)
}

/// Limits on callers' connections. The timeout for request heads also closes idle
/// connections. Callers reuse connections for up to four fifths of it.
fn caller_limits() -> Limits {
    Limits {
        header_timeout: Duration::from_secs(16),
        max_header_bytes: 32 * 1024,
        max_headers: 128,
        ..Limits::default()
    }
}

/// Spawns the tasks that follow the store. Returns the notifications that make them list all
/// objects again.
fn start_followers(gateway: &Rc<Gateway>) -> Vec<Rc<Notify>> {
    let can_evacuate = gateway.settings.borrow().limits.can_evacuate();
    let evacuations = can_evacuate.then_some(Kind::Evacuations);
    let kinds = [Kind::Configuration, Kind::Registry].into_iter();
    let follow = |kind| {
        let relist = match kind {
            Kind::Registry => gateway.relist_registry.clone(),
            Kind::Evacuations => gateway.relist_evacuations.clone(),
            Kind::Configuration => Rc::new(Notify::new()),
        };
        let follower = Follower::new(gateway.clone(), kind, relist.clone());
        monoio::spawn(follower.run());
        relist
    };
    kinds.chain(evacuations).map(follow).collect()
}

/// Spawns the tasks that exchange messages with peers and agents.
fn start_peer_tasks(gateway: &Rc<Gateway>) {
    match peers::bind(gateway) {
        Ok(socket) => {
            let socket = Rc::new(socket);
            gateway.reservations.set_socket(socket.clone());
            // Restarts increase the incarnation unless the system clock was set back.
            // Peers ignore digests with a lower incarnation for a short time.
            let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
            let incarnation = elapsed.map_or(0, |elapsed| elapsed.as_secs());
            monoio::spawn(peers::receive_messages(gateway.clone(), socket.clone()));
            monoio::spawn(peers::send_digests(
                gateway.clone(),
                socket.clone(),
                incarnation,
            ));
            monoio::spawn(quarantine::report(gateway.clone(), socket.clone()));
            monoio::spawn(quarantine::report_crashes(gateway.clone(), socket.clone()));
            monoio::spawn(rate_limit::report(gateway.clone(), socket.clone()));
            monoio::spawn(usage::exchange(
                gateway.clone(),
                socket.clone(),
                incarnation,
            ));
            monoio::spawn(peers::send_subscriptions(gateway.clone(), socket));
            monoio::spawn(peers::catch_up(gateway.clone()));
        }
        Err(why) => {
            error!(gateway.log, "peer socket unavailable; running without peers";
                "reason" => why.to_string());
        }
    }
}

/// Processes queued requests until a point in time.
async fn process_queues_until(gateway: &Rc<Gateway>, until: Duration) {
    while gateway.clock.now() < until {
        gateway.clock.sleep(TICK_INTERVAL).await;
        for queue in gateway.queues() {
            queue.process_queue();
        }
    }
}

/// Processes queued requests and reload signals until a stop signal.
async fn run_until_stopped(
    gateway: &Rc<Gateway>,
    path: &Path,
    signals: &Signals,
    relist: &[Rc<Notify>],
) {
    let clock = &gateway.clock;
    let mut last_tick = clock.now();
    while !signals.stop_requested() {
        clock.sleep(TICK_INTERVAL).await;
        let (entries, zone_entries) = (gateway.known_entries(), gateway.zone_entries());
        let sharing = gateway.sharing_entries(clock.now());
        let name = gateway.settings.borrow().name.clone();
        let learns_speed = gateway.settings.borrow().balancing.learn_speed;
        for queue in gateway.queues() {
            queue.with(|dispatcher, now| {
                // A subset consists mostly of upstreams that only entries of the zone use.
                let subset = queue.uses_subset.get();
                let entries = if subset { zone_entries } else { entries };
                dispatcher.update_entry_count(now, entries);
                dispatcher.set_sharing_entries(&name, sharing);
                dispatcher.update_balancing(now, learns_speed);
            });
        }
        gateway.expire_upstreams();
        gateway.expire_evacuations();
        let now = clock.now();
        gateway.memory.log_changes(now, &gateway.log);
        if now.saturating_sub(last_tick) > FREEZE_THRESHOLD {
            warn!(gateway.log, "process was suspended; listing all objects";
                "for_ms" => now.saturating_sub(last_tick).as_secs_f64() * 1e3);
            for relist in relist {
                relist.notify_one();
            }
        }
        last_tick = now;
        if signals.take_reload() {
            reload(gateway, path);
        }
    }
}

/// Reloads the settings. Listeners keep their addresses.
fn reload(gateway: &Gateway, path: &Path) {
    match settings::load::<Settings>(path) {
        Ok(settings) => {
            info!(gateway.log, "settings reloaded"; "seeds" => settings.seeds.len());
            gateway.memory.whole.set_limit(settings.memory_budget());
            gateway.settings.replace(settings);
        }
        Err(why) => {
            warn!(gateway.log, "invalid settings; keeping the previous ones";
                "reason" => why.to_string());
        }
    }
}
