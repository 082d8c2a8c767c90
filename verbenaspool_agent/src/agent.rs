//! An agent process: its listeners, its tasks and its graceful shutdown.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::{ListenerOpts, TcpListener};
use slog::{Logger, info, warn};

use verbenaspool_transport::{
    clock::Clock,
    http::server::{self, Connections, Limits},
    rpc::{self, Module},
    shutdown::{self, Signal},
    trace::export::Exporter,
};

use crate::{
    admin::{self, Admin},
    control,
    executor::Executor,
    group,
    orders::Sender,
    poll,
    proxy::Proxy,
    settings::Settings,
    shared::Shared,
};

/// How often a stopping agent checks whether its last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An agent whose listeners are open.
#[derive(Debug)]
pub struct Agent {
    shared: Rc<Shared>,
    data: TcpListener,
    control: TcpListener,
    address: SocketAddr,
    control_address: SocketAddr,
    module: Module,
    orders: Rc<Sender>,
    admin: Option<TcpListener>,
    group: Option<Rc<group::Driver>>,
}

/// How an agent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Number of requests that were cut off at the deadline.
    pub cut: usize,
}

impl Agent {
    /// Opens the listeners. Must be called on the event loop.
    ///
    /// # Errors
    /// Listening on an address failed.
    ///
    /// ```
    /// use slog::{Discard, Logger, o};
    /// use verbenaspool_agent::{agent::Agent, settings};
    /// use verbenaspool_transport::{clock::Monotonic, runtime};
    ///
    /// let settings = settings::read(
    ///     "firm: tidewater
    /// instance: loft-1
    /// listen: 127.0.0.1:0
    /// control: 127.0.0.1:0
    /// upstream: {address: '127.0.0.1:7100', kind: plain}
    /// ",
    /// )
    /// .unwrap();
    /// runtime::run(async {
    ///     let log = Logger::root(Discard, o!());
    ///     let agent = Agent::bind(settings, log, Monotonic::start()).unwrap();
    ///     assert_ne!(agent.address(), agent.control());
    /// })
    /// .unwrap();
    /// ```
    pub fn bind(settings: Settings, log: Logger, clock: Rc<dyn Clock>) -> io::Result<Self> {
        // Without port reuse, a second process that is configured with the same port by
        // mistake fails instead of receiving part of the requests.
        let options = ListenerOpts::new().reuse_port(false);
        let data = TcpListener::bind_with_config(settings.listen, &options)?;
        let control = TcpListener::bind_with_config(settings.control, &options)?;
        let admin = settings
            .admin
            .map(|address| TcpListener::bind_with_config(address, &options))
            .transpose()?;
        let shared = Rc::new(Shared::new(settings, log, clock));
        let (client, clock) = (shared.client.clone(), shared.clock.clone());
        let orders = Rc::new(Sender::new(
            shared.upstream(),
            client.clone(),
            clock.clone(),
        ));
        let mut module = Module::default();
        control::register(&mut module, &shared);
        let (engine, log) = (shared.upstream(), shared.log.clone());
        let executor = Executor::new(engine, orders.clone(), client.clone(), clock, log);
        executor.register(&mut module);
        let group = shared.settings.group.clone();
        let group = group.map(|group| {
            let firm = shared.settings.firm.clone();
            let (log, clock) = (shared.log.clone(), shared.clock.clone());
            let driver = group::Driver::new(firm, group, client, log, clock);
            driver.register(&mut module);
            driver
        });
        Ok(Self {
            address: data.local_addr()?,
            control_address: control.local_addr()?,
            shared,
            data,
            control,
            module,
            orders,
            admin,
            group,
        })
    }

    /// The address at which the agent accepts requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address at which the agent accepts control calls.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control_address
    }

    /// The random number of this process, which requests to it must carry.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.shared.number
    }

    /// The control methods; callers may register more.
    pub fn module(&mut self) -> &mut Module {
        &mut self.module
    }

    /// The sender of the engine's orders, except for the steps of a group.
    #[must_use]
    pub fn orders(&self) -> Rc<Sender> {
        self.orders.clone()
    }

    /// Runs until the signal arrives and the requests in flight have ended.
    pub async fn run(self, mut signal: Signal) -> Drained {
        let shared = self.shared;
        let (stop_data, data) = shutdown::channel();
        let (stop_control, control) = shutdown::channel();
        let admin_stop = control.clone();
        let limits = Limits {
            max_connections: shared.settings.limits.connections,
            ..Limits::default()
        };
        let proxy = Rc::new(Proxy(shared.clone()));
        let connections = Connections::default();
        monoio::spawn(server::serve_and_log(
            self.data,
            limits,
            proxy,
            connections.clone(),
            data,
            shared.log.clone(),
        ));
        monoio::spawn(rpc::serve(self.control, Rc::new(self.module), control));
        let group = self.group;
        if let Some(group) = group.clone() {
            monoio::spawn(group.run());
        }
        if let Some(path) = shared.settings.upstream.state.clone() {
            monoio::spawn(poll::run(shared.clone(), path));
        }
        if let Some(listener) = self.admin {
            let limits = Limits {
                max_connections: admin::MAX_CONNECTIONS,
                ..Limits::default()
            };
            let admin = Rc::new(Admin {
                shared: shared.clone(),
                group: group.clone(),
            });
            monoio::spawn(server::serve_and_log(
                listener,
                limits,
                admin,
                Connections::default(),
                admin_stop,
                shared.log.clone(),
            ));
        }
        spawn_exporter(&shared);
        info!(shared.log, "agent started";
            "instance" => shared.settings.instance.as_str(),
            "address" => self.address,
            "control" => self.control_address,
            "agent" => shared.number);
        signal.wait().await;
        shared.leave();
        let drained = drain(&shared, &connections, &stop_data).await;
        // Entries ask here about attempts whose response was lost, so this listener closes last.
        stop_control.fire();
        info!(shared.log, "agent stopped"; "cut" => drained.cut);
        drained
    }
}

/// Starts the export of spans if a collector is configured.
fn spawn_exporter(shared: &Shared) {
    let Some(traces) = &shared.settings.traces else {
        return;
    };
    let resource = vec![
        ("service.name", "verbenaspool-agent".to_owned()),
        ("service.instance.id", shared.settings.instance.to_string()),
    ];
    let exporter = Exporter::new(shared.tracer.clone(), traces.collector, resource);
    monoio::spawn(exporter.run(shared.clock.clone()));
}

/// Waits for the requests in flight to end.
///
/// The data listener stays open for the linger time: an entry that does not know yet
/// that the instance is leaving gets a rejection, after which it can retry elsewhere,
/// rather than a broken connection. A request sent on a connection while it closes
/// still fails, and its entry asks for the status of the attempt. The process
/// therefore keeps answering control calls for another linger time, so that the
/// status is "refused" rather than "unknown".
async fn drain(
    shared: &Shared,
    connections: &Connections,
    stop_data: &shutdown::Trigger,
) -> Drained {
    let clock = &shared.clock;
    let started = clock.now();
    let deadline = started + shared.settings.drain.deadline();
    let linger_until = started + shared.settings.drain.linger();
    connections.close_after_response();
    while clock.now() < linger_until.min(deadline) || shared.ledger.borrow().running() > 0 {
        if clock.now() >= deadline {
            break;
        }
        clock.sleep(DRAIN_POLL_INTERVAL).await;
    }
    stop_data.fire();
    while connections.count() > 0 && clock.now() < deadline {
        clock.sleep(DRAIN_POLL_INTERVAL).await;
    }
    // A connection that is still open has a response that its entry has not fully read.
    let cut = shared.ledger.borrow().running().max(connections.count());
    if cut > 0 {
        warn!(shared.log, "drain deadline passed; cutting off requests"; "cut" => cut);
    }
    clock.sleep(shared.settings.drain.linger()).await;
    Drained { cut }
}
