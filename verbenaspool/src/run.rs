//! `verbenaspool run`: the entry process.

use std::{io, net::SocketAddr, path::Path, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use monoio::net::{ListenerOpts, TcpListener};
use serde::Deserialize;
use slog::{Logger, info, warn};
use verbenaspool_state::version::Version;
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    config::{
        source::{self, Source},
        status,
        upstreams::Follower,
    },
    log,
    metrics::Registry,
    platform::{
        Store,
        budget::{self, Budget},
        client::Client,
    },
    rpc, runtime, settings,
    shutdown::{self, Signal, Trigger},
    trace::{Tracer, export::Exporter},
};

use crate::{
    direct,
    entry::{Dependencies, Entry, admin::Admin},
    settings::Settings,
};

/// How often the process checks whether another one has taken over its name, and which
/// other entries serve its zone.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for exporting the last spans at shutdown.
const TRACE_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the entry failed to run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// An address can't be bound.
    #[error("can't listen on {address}: {why}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        why: io::Error,
    },
    /// The event loop can't start.
    #[error("can't start the event loop: {0}")]
    Runtime(#[from] io::Error),
    /// Signal handlers can't be installed.
    #[error(transparent)]
    Signal(#[from] shutdown::Error),
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Number of connections that were still open at the drain deadline and were aborted.
    pub cut: usize,
}

/// The setting that selects the request path.
#[derive(Debug, Deserialize)]
struct PathChoice {
    #[serde(default)]
    path: Option<direct::settings::Path>,
}

/// Runs the entry until SIGTERM, SIGINT or SIGHUP.
///
/// # Errors
/// The settings are invalid, or an address can't be bound.
pub fn main(path: &Path) -> Result<Drained, Error> {
    if settings::load::<PathChoice>(path)?.path.is_some() {
        return direct::run::main(path);
    }
    let settings: Settings = settings::load(path)?;
    let log = log::open(settings.log);
    runtime::run(async {
        let (trigger, signal) = shutdown::channel();
        shutdown::on_signal(trigger)?;
        serve(settings, log, Monotonic::start(), signal).await
    })?
}

/// Binds an address exclusively.
fn bind_listener(address: SocketAddr) -> Result<TcpListener, Error> {
    // With SO_REUSEPORT, two processes that are given the same port by mistake would
    // share its connections. Without it the second one fails to start.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).map_err(|why| Error::Listen { address, why })
}

/// Runs an entry until the signal fires, then drains it.
///
/// # Errors
/// An address can't be bound.
pub async fn serve(
    settings: Settings,
    log: Logger,
    clock: Rc<dyn Clock>,
    mut signal: Signal,
) -> Result<Drained, Error> {
    let listener = bind_listener(settings.listen)?;
    let admin = settings.admin.map(bind_listener).transpose()?;
    let control = settings.control.map(bind_listener).transpose()?;
    let store: Rc<dyn Store> = Rc::new(Client::new(settings.platform.client()));
    let tracer = Tracer::new(settings.traces.as_ref(), clock.clone());
    let exporter = exporter(&settings, &tracer);
    if let Some(exporter) = &exporter {
        monoio::spawn(exporter.clone().run(clock.clone()));
    }
    let dependencies = Dependencies {
        clock: clock.clone(),
        log: log.clone(),
        tracer,
        metrics: Registry::default(),
        store: Some(store.clone()),
    };
    let entry = Entry::with_dependencies(settings.options(), dependencies);
    // Stops the tasks that are needed until the last request has ended.
    let (finish, finish_signal) = shutdown::channel();
    if let Some(admin) = admin {
        monoio::spawn(Admin(entry.clone()).serve(admin, finish_signal.clone()));
    }
    monoio::spawn(entry.clone().restore_claims());
    // Claims of callers' writes have deadlines and aren't subject to the call budget.
    let budget = Budget::new(store, clock.clone(), budget::Settings::default());
    let source = follow_configuration(&settings, &entry, budget, control, &finish_signal);
    let (close, close_signal) = shutdown::channel();
    let mut serving = Box::pin(entry.clone().serve(listener, close_signal));
    info!(log, "entry started"; "name" => settings.name.as_str(), "listen" => settings.listen);
    let stop = Box::pin(wait_for_stop(&mut signal, &source, &log));
    if let Either::Left(_) = select(serving.as_mut(), stop).await {
        return Ok(Drained { cut: 0 });
    }
    source.leave();
    let drained = drain(&settings, &entry, &close, serving, &log).await;
    if let Some(exporter) = exporter {
        let _ = monoio::time::timeout(TRACE_FLUSH_TIMEOUT, exporter.flush()).await;
    }
    source.stop();
    finish.fire();
    info!(log, "entry stopped"; "cut" => drained.cut);
    Ok(drained)
}

/// The span exporter, if a collector is configured.
fn exporter(settings: &Settings, tracer: &Rc<Tracer>) -> Option<Rc<Exporter>> {
    let collector = settings.traces.as_ref()?.collector;
    let resource = vec![
        ("service.name", "verbenaspool".to_owned()),
        ("service.instance.id", settings.name.to_string()),
        ("service.namespace", settings.firm.to_string()),
        ("cloud.availability_zone", settings.zone.to_string()),
    ];
    Some(Exporter::new(tracer.clone(), collector, resource))
}

/// Starts the tasks that follow the firm's configuration and its upstreams.
fn follow_configuration(
    settings: &Settings,
    entry: &Rc<Entry>,
    store: Rc<dyn Store>,
    control: Option<TcpListener>,
    finish_signal: &Signal,
) -> Rc<Source> {
    let seed = entry.attempts.seed();
    let own_address = settings.control.unwrap_or(settings.listen);
    let options = source::Options {
        seeds: settings.peers.clone(),
        seed,
        ..source::Options::new(settings.firm.clone(), settings.name.clone(), own_address)
    };
    let source = Source::start(store.clone(), entry.clock.clone(), options);
    if let Some(listener) = control {
        let mut module = rpc::Module::default();
        source.register_methods(&mut module);
        monoio::spawn(rpc::serve(listener, Rc::new(module), finish_signal.clone()));
    }
    monoio::spawn(apply_configurations(source.clone(), entry.clone()));
    monoio::spawn(update_peers(
        source.clone(),
        entry.clone(),
        finish_signal.clone(),
    ));
    let zone = settings.zone.clone();
    monoio::spawn(status::publish(source.clone(), store.clone(), zone));
    let follower = Follower::new(store, &settings.firm);
    let (entry, clock) = (entry.clone(), entry.clock.clone());
    let on_change = move |list: &[_]| entry.set_upstreams(list);
    monoio::spawn(follower.run(clock, seed, finish_signal.clone(), on_change));
    source
}

/// Applies each new version of the configuration to the entry.
async fn apply_configurations(source: Rc<Source>, entry: Rc<Entry>) {
    let mut version = Version::default();
    loop {
        let adopted = source.wait_for_newer(version).await;
        version = adopted.version();
        entry.apply_configuration(version, &adopted.file);
    }
}

/// Keeps the entry's list of the live entries of its zone up to date.
async fn update_peers(source: Rc<Source>, entry: Rc<Entry>, finish_signal: Signal) {
    let mut peers = Vec::new();
    while !finish_signal.fired() {
        let live = source.live_names();
        if live != peers {
            entry.set_peers(&live);
            peers = live;
        }
        entry.clock.sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the signal fires or another process has taken over this entry's name.
async fn wait_for_stop(signal: &mut Signal, source: &Source, log: &Logger) {
    loop {
        if source.is_replaced() {
            warn!(log, "another process has taken over this name");
            return;
        }
        let signalled = monoio::time::timeout(POLL_INTERVAL, signal.wait()).await;
        if signalled.is_ok() {
            return;
        }
    }
}

/// Waits for the requests in flight, up to the drain deadline.
async fn drain(
    settings: &Settings,
    entry: &Rc<Entry>,
    close: &Trigger,
    serving: impl Future<Output = ()>,
    log: &Logger,
) -> Drained {
    info!(log, "draining"; "connections" => entry.connections.count());
    entry.start_draining();
    entry.connections.close_after_response();
    let mut serving = Box::pin(serving);
    let linger = Box::pin(
        entry
            .clock
            .sleep(Duration::from_millis(settings.drain.linger_ms)),
    );
    // New connections are accepted until the platform's load balancer has noticed that
    // the entry isn't ready any more.
    select(serving.as_mut(), linger).await;
    info!(log, "closing listener"; "connections" => entry.connections.count());
    close.fire();
    let deadline = Duration::from_millis(settings.drain.deadline_ms);
    if monoio::time::timeout(deadline, serving).await.is_ok() {
        return Drained { cut: 0 };
    }
    let cut = entry.connections.count();
    warn!(log, "drain deadline passed; closing connections with open requests"; "connections" => cut);
    Drained { cut }
}
