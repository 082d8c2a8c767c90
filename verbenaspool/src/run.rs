//! `verbenaspool run`: the entry as a process.

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

/// How often the process looks whether another has taken its name over, and who
/// else serves its zone.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long spans may take to go out at the end.
const TRACE_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the entry could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings can't be taken.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// An address can't be listened at.
    #[error("{address} can't be listened at: {why}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        why: io::Error,
    },
    /// The loop can't start.
    #[error("the loop can't start: {0}")]
    Runtime(#[from] io::Error),
    /// Signals can't be heard.
    #[error(transparent)]
    Signal(#[from] shutdown::Error),
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Connections that were cut off at the drain's deadline.
    pub cut: usize,
}

/// The part of the settings that tells which path requests take.
#[derive(Debug, Deserialize)]
struct PathChoice {
    #[serde(default)]
    path: Option<direct::settings::Path>,
}

/// Runs the entry until SIGTERM, SIGINT or SIGHUP.
///
/// # Errors
/// The settings can't be taken, or an address can't be listened at.
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

/// Opens an address that no other process has.
fn bind_listener(address: SocketAddr) -> Result<TcpListener, Error> {
    // Two processes that share a port by mistake would split the callers
    // between them, so the second must fail instead.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).map_err(|why| Error::Listen { address, why })
}

/// Runs an entry with these settings until the signal comes, then drains.
///
/// # Errors
/// An address can't be listened at.
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
    // What is needed until the last request has ended stops behind it.
    let (finish, finish_signal) = shutdown::channel();
    if let Some(admin) = admin {
        monoio::spawn(Admin(entry.clone()).serve(admin, finish_signal.clone()));
    }
    // Claims of callers' writes go past the budget: they have deadlines.
    let budget = Budget::new(store, clock.clone(), budget::Settings::default());
    let source = follow_configuration(&settings, &entry, budget, control, &finish_signal);
    let (close, close_signal) = shutdown::channel();
    let mut serving = Box::pin(entry.clone().serve(listener, close_signal));
    info!(log, "Entry: Started."; "name" => settings.name.as_str(), "listen" => settings.listen);
    let stop = Box::pin(wait_for_stop(&mut signal, &source, &log));
    if let Either::Left(_) = select(serving.as_mut(), stop).await {
        return Ok(Drained { cut: 0 });
    }
    source.leave();
    let drained = drain(&settings, &entry, &close, serving, &log).await;
    if let Some(exporter) = exporter {
        let _ = monoio::time::timeout(TRACE_FLUSH_TIMEOUT, exporter.flush()).await;
    }
    source.end();
    finish.fire();
    info!(log, "Entry: Stopped."; "cut" => drained.cut);
    Ok(drained)
}

/// The exporter of spans, where there is a collector.
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

/// Follows the firm's configuration and its upstreams.
fn follow_configuration(
    settings: &Settings,
    entry: &Rc<Entry>,
    store: Rc<dyn Store>,
    control: Option<TcpListener>,
    finish_signal: &Signal,
) -> Rc<Source> {
    let seed = entry.attempts.seed();
    let own = settings.control.unwrap_or(settings.listen);
    let options = source::Options {
        seeds: settings.peers.clone(),
        seed,
        ..source::Options::new(settings.firm.clone(), settings.name.clone(), own)
    };
    let source = Source::start(store.clone(), entry.clock.clone(), options);
    if let Some(listener) = control {
        let mut module = rpc::Module::default();
        source.methods(&mut module);
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
    let changed = move |list: &[_]| entry.set_upstreams(list);
    monoio::spawn(follower.run(clock, seed, finish_signal.clone(), changed));
    source
}

/// Puts in force what the source brings.
async fn apply_configurations(source: Rc<Source>, entry: Rc<Entry>) {
    let mut seen = Version::default();
    loop {
        let adopted = source.above(seen).await;
        seen = adopted.version();
        entry.apply_configuration(seen, &adopted.file);
    }
}

/// Tells the entry who else serves its zone.
async fn update_peers(source: Rc<Source>, entry: Rc<Entry>, finish_signal: Signal) {
    let mut known = Vec::new();
    while !finish_signal.fired() {
        let live = source.live();
        if live != known {
            entry.set_peers(&live);
            known = live;
        }
        entry.clock.sleep(POLL_INTERVAL).await;
    }
}

/// Waits for the word to stop, or for a successor of the same name.
async fn wait_for_stop(signal: &mut Signal, source: &Source, log: &Logger) {
    loop {
        if source.replaced() {
            warn!(log, "Entry: Another process has taken over this name.");
            return;
        }
        let heard = monoio::time::timeout(POLL_INTERVAL, signal.wait()).await;
        if heard.is_ok() {
            return;
        }
    }
}

/// Lets the requests in flight end.
async fn drain(
    settings: &Settings,
    entry: &Rc<Entry>,
    close: &Trigger,
    serving: impl Future<Output = ()>,
    log: &Logger,
) -> Drained {
    info!(log, "Entry: Draining."; "connections" => entry.connections.count());
    entry.start_draining();
    entry.connections.close();
    let mut serving = Box::pin(serving);
    let linger = Box::pin(
        entry
            .clock
            .sleep(Duration::from_millis(settings.drain.linger_ms)),
    );
    // Until the platform's balancer has noticed, callers still come and are served.
    select(serving.as_mut(), linger).await;
    close.fire();
    let deadline = Duration::from_millis(settings.drain.deadline_ms);
    if monoio::time::timeout(deadline, serving).await.is_ok() {
        return Drained { cut: 0 };
    }
    let cut = entry.connections.count();
    warn!(log, "Entry: The drain's deadline cuts requests off."; "connections" => cut);
    Drained { cut }
}
