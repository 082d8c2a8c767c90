//! Status of an entry, as shown to operators.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use verbenaspool_transport::rpc;

use super::gateway::Gateway;

/// The RPC method that returns the [`Standing`].
pub const STANDING_METHOD: &str = "standing";

/// Status of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// The entry's name.
    pub name: String,
    /// The entry's availability zone.
    pub zone: String,
    /// Whether it answers readiness checks with success.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The version of the active configuration.
    pub version: u64,
    /// The revision of its registry of upstreams.
    pub revision: u64,
    /// The era of the store that the revision is of.
    #[serde(default)]
    pub era: u64,
    /// Number of live entries as seen by this one, including itself.
    pub entries: usize,
    /// Number of quarantined requests, which are rejected because upstreams crashed while
    /// processing them.
    #[serde(default)]
    pub quarantined: usize,
    /// Bytes held for callers, the store and peers.
    #[serde(default)]
    pub held_bytes: usize,
    /// Number of callers that were disconnected because they read too slowly.
    #[serde(default)]
    pub slow_readers: u64,
    /// Evacuated zones, whose upstreams get no requests.
    #[serde(default)]
    pub evacuated: Vec<Evacuated>,
    /// Services by name.
    pub services: Vec<Service>,
}

/// An evacuated zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evacuated {
    /// The zone.
    pub zone: String,
    /// Requests of this entry that the zone's upstreams still have.
    pub requests: u32,
}

/// Status of a service at an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Number of available upstreams.
    pub upstreams: u32,
    /// Number of available upstreams that are ejected: they get no requests for now, because
    /// they failed.
    #[serde(rename = "shunned")]
    pub ejected: u32,
    /// Requests in flight from all entries, as far as known.
    pub busy: u32,
    /// Requests queued at this entry.
    pub waiting: usize,
    /// Measured pass time as a multiple of the time with evenly loaded ranks.
    pub pace: f64,
    /// Number of upstreams that take at least twice the median service time, where speed is
    /// learned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow: Option<u32>,
    /// Number of upstreams that were ejected and get few requests yet, where speed is learned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub returning: Option<u32>,
}

impl Gateway {
    /// The status of this entry.
    fn standing(&self) -> Standing {
        let now = self.clock.now();
        let services = self.queues().into_iter().map(|queue| {
            let snapshot = queue.with(|dispatcher, now| dispatcher.snapshot(now));
            let balancing = queue.balancing_state();
            Service {
                name: queue.service.to_string(),
                upstreams: snapshot.upstreams,
                ejected: snapshot.ejected,
                busy: snapshot.in_flight,
                waiting: snapshot.waiting,
                pace: snapshot.pace,
                slow: balancing.map(|state| state.slow),
                returning: balancing.map(|state| state.returning),
            }
        });
        let mut services: Vec<Service> = services.collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let evacuated = self.evacuated_zones().into_iter();
        let evacuated = evacuated.map(|(zone, requests)| Evacuated { zone, requests });
        let settings = self.settings.borrow();
        Standing {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            leaving: self.leaving.get(),
            version: self.table_version(),
            revision: self.registry_position().revision,
            era: self.registry_position().era,
            entries: self.peers.borrow().live_entries(now),
            quarantined: self.quarantine.borrow().quarantined(now).count(),
            held_bytes: self.memory.whole.used(),
            slow_readers: self.memory.connections.slow_readers(),
            evacuated: evacuated.collect(),
            services,
        }
    }
}

/// Registers the RPC method for operators.
pub fn register_methods(gateway: &Rc<Gateway>, module: &mut rpc::Module) {
    let gateway = gateway.clone();
    module.register(STANDING_METHOD, move |(): ()| {
        let standing = gateway.standing();
        async move { Ok::<_, String>(standing) }
    });
}
