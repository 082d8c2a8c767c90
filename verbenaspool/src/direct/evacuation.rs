//! Availability zones whose upstreams get no requests, by the operator's order.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use verbenaspool_platform::store::Object;

use super::{gateway::Gateway, registry::Source};

/// The evacuated zones, and the store's revision of their list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The revision; 0 until the list was read from the store or a peer.
    pub revision: u64,
    /// The zones.
    pub zones: BTreeSet<String>,
}

impl Evacuations {
    /// The evacuated zones as objects of the store.
    pub fn objects(&self) -> BTreeMap<String, Object> {
        let object = |name: &String| Object {
            name: name.clone(),
            revision: self.revision,
            specification: String::new(),
            status: String::new(),
        };
        let zones = self.zones.iter();
        zones.map(|name| (name.clone(), object(name))).collect()
    }
}

impl Gateway {
    /// Replaces the evacuated zones, unless the given list is older than the one in use.
    pub fn update_evacuations(&self, evacuations: Evacuations, from: Source) {
        let current = self.evacuations.borrow().clone();
        if evacuations.revision <= current.revision {
            return;
        }
        if evacuations.zones != current.zones {
            info!(self.log, "evacuated zones changed"; "revision" => evacuations.revision,
                "from" => %from, "zones" => format!("{:?}", evacuations.zones));
            for zone in &evacuations.zones {
                if !self.has_upstream_in(zone) {
                    warn!(self.log, "evacuated zone has no upstreams"; "zone" => zone);
                }
            }
            for queue in self.queues() {
                queue.with(|dispatcher, _| dispatcher.set_evacuated_zones(&evacuations.zones));
            }
        }
        self.evacuations.replace(evacuations);
    }

    /// Requests of this entry at the upstreams of each evacuated zone.
    pub fn evacuated_zones(&self) -> Vec<(String, u32)> {
        let evacuations = self.evacuations.borrow();
        let requests_in = |zone: &str| {
            let queues = self.queues().into_iter();
            let counts =
                queues.map(|queue| queue.with(|dispatcher, _| dispatcher.requests_in_zone(zone)));
            counts.sum()
        };
        let zones = evacuations.zones.iter();
        zones
            .map(|zone| (zone.clone(), requests_in(zone)))
            .collect()
    }
}
