//! The site under test: the store, upstreams and entries, with proxies between.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
    rc::Rc,
};

use monoio::net::TcpListener;
use verbenaspool_platform_standin::{store::Store, text, upstream::Upstream};
use verbenaspool_standin::address;
use verbenaspool_transport::{
    http::server::{self, Handler, Limits, Open},
    shutdown::{self, Trigger},
};

use crate::{
    check::Checks,
    process::{Process, Settings},
    proxy::Proxy,
};

/// Upstreams of each service.
pub const UPSTREAMS: usize = 3;

/// The customer's key.
pub const KEY: &str = "key-1";

/// An upstream with the proxy before it.
#[derive(Debug)]
pub struct Server {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// What stands before it.
    pub proxy: Rc<Proxy>,
    /// Its service.
    pub service: &'static str,
    address: SocketAddr,
}

/// The site.
pub struct Site {
    /// The platform's store.
    pub store: Rc<Store>,
    /// The way of each entry to the store.
    pub ways: Vec<Rc<Proxy>>,
    /// The upstreams: first those of streams, then those of bookings.
    pub servers: Vec<Server>,
    /// The entries.
    pub entries: RefCell<Vec<Process>>,
    /// What was seen.
    pub checks: Checks,
    /// The version of the configuration that was written last.
    pub version: Cell<u64>,
    triggers: Vec<Trigger>,
}

/// Serves a handler at a fresh address.
fn serve(handler: Rc<dyn Handler>, triggers: &mut Vec<Trigger>) -> io::Result<SocketAddr> {
    let address = address::fresh();
    let listener = TcpListener::bind(address)?;
    let (trigger, signal) = shutdown::channel();
    triggers.push(trigger);
    let (limits, open) = (Limits::default(), Open::default());
    monoio::spawn(server::serve(listener, limits, handler, open, signal));
    Ok(address)
}

impl Site {
    /// Starts a site with so many entries.
    ///
    /// # Errors
    /// An address can't be listened at, or a program can't be started.
    pub fn start(entries: usize, program: &Path, folder: &Path) -> io::Result<Rc<Self>> {
        let mut triggers = Vec::new();
        let store = Store::new();
        let platform = serve(store.clone(), &mut triggers)?;
        let mut servers = Vec::new();
        for number in 0..2 * UPSTREAMS {
            let service = if number < UPSTREAMS { "model" } else { "jobs" };
            let upstream = Upstream::new(&format!("i-{number}"));
            let target = serve(upstream.clone(), &mut triggers)?;
            let address = address::fresh();
            let proxy = Proxy::start(address, target)?;
            store.put(
                "servers",
                &upstream.id,
                &text::listed(service, address, "ready"),
            );
            servers.push(Server {
                upstream,
                proxy,
                service,
                address,
            });
        }
        let addresses: Vec<SocketAddr> = (0..entries).map(|_| address::fresh()).collect();
        // All entries have the same port for each other; their addresses differ.
        let peer_port = addresses
            .first()
            .map_or(0, |address| address.port() ^ 0x4000);
        let control = |ip: IpAddr| SocketAddr::new(ip, peer_port + 1);
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|a| control(a.ip())).collect();
        let (mut ways, mut processes) = (Vec::new(), Vec::new());
        let site_version = 2;
        store.put("config", "main", &configuration(site_version));
        for (number, listen) in addresses.into_iter().enumerate() {
            let way = address::fresh();
            ways.push(Proxy::start(way, platform)?);
            processes.push(Process::start(&Settings {
                number,
                listen,
                peer_port,
                platform: way,
                seeds: &seeds,
                folder,
                program,
            })?);
        }
        Ok(Rc::new(Self {
            store,
            ways,
            servers,
            entries: RefCell::new(processes),
            checks: Checks::default(),
            version: Cell::new(site_version),
            triggers,
        }))
    }

    /// Writes the next version of the configuration, which adds a route of its own.
    pub fn change(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.store.put("config", "main", &configuration(version));
    }

    /// Says in the registry whether an upstream leaves.
    pub fn list(&self, server: usize, state: &str) {
        let server = &self.servers[server];
        let entry = text::listed(server.service, server.address, state);
        self.store.put("servers", &server.upstream.id, &entry);
    }

    /// How often upstreams ran a request.
    #[must_use]
    pub fn runs(&self, id: &str) -> usize {
        self.servers
            .iter()
            .map(|server| server.upstream.runs(id))
            .sum()
    }

    /// Ends the stand-ins.
    pub fn end(&self) {
        self.entries.borrow_mut().clear();
        for trigger in &self.triggers {
            trigger.fire();
        }
    }
}

/// The configuration of a version: the usual routes, and one that tells it.
fn configuration(version: u64) -> String {
    let mut routes = text::routes();
    routes.push(text::route(&version_path(version), "safe", "jobs"));
    text::configuration(version, &routes, &[KEY])
}

/// The first part of the path that a version adds. Versions keep the one before.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("v{version}")
}
