//! Availability zones whose upstreams get no requests, by the operator's order.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use verbenaspool_platform::store::Object;
use verbenaspool_protocol::digest;
use verbenaspool_state::{position::Position, provenance::Provenance};

use super::{gateway::Gateway, registry::Source};

/// How long zones stay evacuated that are missing after the store came back from an older copy. The
/// operator writes them again; requests in a zone that is being switched off are worse than a zone
/// that gets requests some seconds later.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// The evacuated zones, and the store's revision of their list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The revision; 0 until the list was read from the store or a peer.
    pub revision: u64,
    /// The era of the store that the revision is of.
    #[serde(default)]
    pub era: u64,
    /// The zones.
    pub zones: BTreeSet<String>,
    /// The revision of the store's listing from which the zones follow; 0 if unknown.
    #[serde(default)]
    pub listed: u64,
}

impl Evacuations {
    /// The store's position of the list.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }

    /// What is known of the zones.
    pub fn provenance(&self) -> Provenance {
        let hashes = self.zones.iter().map(|zone| digest::hash(zone));
        let hash = hashes.fold(0, u32::wrapping_add).max(1);
        Provenance {
            position: self.position(),
            listed: self.listed,
            hash: if self.position().is_known() { hash } else { 0 },
        }
    }

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
    /// Replaces the evacuated zones, unless the given list is older than the one in use, or is as old
    /// and doesn't show that the other one is wrong.
    pub fn update_evacuations(&self, evacuations: Evacuations, from: Source) {
        let current = self.evacuations.borrow().clone();
        let refutes = current.provenance().is_refuted_by(evacuations.provenance());
        if evacuations.position() <= current.position() && !refutes {
            return;
        }
        let zones_before = self.zones_in_evacuation();
        if current.position().is_known() && evacuations.era > current.era {
            let until = self.clock.now() + REWRITE_TIME;
            let missing = zones_before.difference(&evacuations.zones);
            let kept = missing.map(|zone| (zone.clone(), until));
            self.kept_evacuations.borrow_mut().extend(kept);
        }
        let is_missing = |zone: &String| !evacuations.zones.contains(zone);
        self.kept_evacuations
            .borrow_mut()
            .retain(|zone, _| is_missing(zone));
        self.evacuations.replace(evacuations);
        self.apply_evacuations(&zones_before, from);
    }

    /// Passes the evacuated zones to the queues if they have changed.
    fn apply_evacuations(&self, zones_before: &BTreeSet<String>, from: Source) {
        let zones = self.zones_in_evacuation();
        if zones == *zones_before {
            return;
        }
        let position = self.evacuations.borrow().position();
        info!(self.log, "evacuated zones changed"; "era" => position.era,
            "revision" => position.revision, "from" => %from, "zones" => format!("{zones:?}"));
        for zone in zones.difference(zones_before) {
            if !self.has_upstream_in(zone) {
                warn!(self.log, "evacuated zone has no upstreams"; "zone" => zone);
            }
        }
        for queue in self.queues() {
            queue.with(|dispatcher, _| dispatcher.set_evacuated_zones(&zones));
        }
    }

    /// The zones whose upstreams get no requests: those that are listed, and those that were before
    /// the store came back from an older copy.
    pub fn zones_in_evacuation(&self) -> BTreeSet<String> {
        let mut zones = self.evacuations.borrow().zones.clone();
        zones.extend(self.kept_evacuations.borrow().keys().cloned());
        zones
    }

    /// Ends the evacuation of zones that the operator hasn't listed again in time.
    pub fn expire_evacuations(&self) {
        if self.kept_evacuations.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        let zones_before = self.zones_in_evacuation();
        let mut kept = self.kept_evacuations.borrow_mut();
        kept.retain(|_, until| now < *until);
        drop(kept);
        self.apply_evacuations(&zones_before, Source::Listing);
    }

    /// Requests of this entry at the upstreams of each evacuated zone.
    pub fn evacuated_zones(&self) -> Vec<(String, u32)> {
        let requests_in = |zone: &str| {
            let queues = self.queues().into_iter();
            let counts =
                queues.map(|queue| queue.with(|dispatcher, _| dispatcher.requests_in_zone(zone)));
            counts.sum()
        };
        let zones = self.zones_in_evacuation().into_iter();
        zones
            .map(|zone| {
                let requests = requests_in(&zone);
                (zone, requests)
            })
            .collect()
    }
}
