//! How an entry stands, for operators.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use verbenaspool_transport::rpc;

use super::gateway::Gateway;

/// The RPC method that tells it.
pub const STANDING_METHOD: &str = "standing";

/// How an entry stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// The entry's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The version of the configuration in force.
    pub version: u64,
    /// The revision of the registry that it works with.
    pub revision: u64,
    /// How many entries it hears, itself included.
    pub entries: usize,
    /// Requests that it rejects because upstreams crashed under them.
    #[serde(default)]
    pub quarantined: usize,
    /// Its services.
    pub services: Vec<Service>,
}

/// How a service stands at an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Upstreams that take requests.
    pub upstreams: u32,
    /// Those of them that nothing is sent to for now.
    pub shunned: u32,
    /// Requests in flight, of all entries as far as known.
    pub busy: u32,
    /// Requests that wait here.
    pub waiting: usize,
    /// How much longer passes take than on even ranks.
    pub pace: f64,
}

impl Gateway {
    /// How this entry stands.
    fn standing(&self) -> Standing {
        let now = self.clock.now();
        let services = self.queues().into_iter().map(|queue| {
            let snapshot = queue.with(|dispatcher, now| dispatcher.snapshot(now));
            Service {
                name: queue.service.to_string(),
                upstreams: snapshot.upstreams,
                shunned: snapshot.ejected,
                busy: snapshot.in_flight,
                waiting: snapshot.waiting,
                pace: snapshot.pace,
            }
        });
        let mut services: Vec<Service> = services.collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let settings = self.settings.borrow();
        Standing {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            leaving: self.leaving.get(),
            version: self.table_version(),
            revision: self.registry_revision(),
            entries: self.peers.borrow().live_entries(now),
            quarantined: self.quarantine.borrow().quarantined(now).count(),
            services,
        }
    }
}

/// Answers operators' calls.
pub fn register_methods(gateway: &Rc<Gateway>, module: &mut rpc::Module) {
    let gateway = gateway.clone();
    module.on(STANDING_METHOD, move |(): ()| {
        let standing = gateway.standing();
        async move { Ok::<_, String>(standing) }
    });
}
