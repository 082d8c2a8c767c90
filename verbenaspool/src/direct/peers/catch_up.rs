//! Fetches newer configurations, registries and evacuations from peers.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use verbenaspool_platform::store::Object;
use verbenaspool_transport::rpc;

use crate::direct::{evacuation::Evacuations, gateway::Gateway, registry};

/// How long to wait for a newer version from the store before it is fetched from a peer. The
/// store usually delivers changes within milliseconds.
const CATCH_UP_DELAY: Duration = Duration::from_millis(150);

/// Timeout of RPC calls to peers.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The RPC method by which peers fetch newer versions.
pub const LATEST_METHOD: &str = "latest";

/// Versions of an entry's state.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Versions {
    /// The version of its routing table.
    pub(super) table: u64,
    /// The revision of its registry.
    pub(super) registry: u64,
    /// The revision of the evacuated zones.
    #[serde(default)]
    pub(super) evacuations: u64,
}

/// State of a peer that is newer than the requested versions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Update {
    configuration: Option<Object>,
    revision: u64,
    upstreams: Option<Vec<Object>>,
    #[serde(default)]
    evacuations: Option<Evacuations>,
}

impl Gateway {
    /// The versions of this entry's state.
    pub(super) fn versions(&self) -> Versions {
        Versions {
            table: self.table_version(),
            registry: self.registry_revision(),
            evacuations: self.evacuations.borrow().revision,
        }
    }

    /// The state that is newer than a peer's versions.
    fn update_since(&self, versions: Versions) -> Update {
        let newer = self.table_version() > versions.table;
        let (revision, objects) = self.registry_objects();
        Update {
            configuration: newer.then(|| self.configuration()).flatten(),
            revision,
            upstreams: (revision > versions.registry).then_some(objects),
            evacuations: (self.versions().evacuations > versions.evacuations)
                .then(|| self.evacuations.borrow().clone()),
        }
    }

    /// Fetches newer state from a peer and applies it.
    async fn fetch_update(&self, peer: Ipv4Addr) {
        let address = SocketAddr::from((peer, self.settings.borrow().control.port()));
        let result: Result<Update, _> = self
            .rpc
            .call(address, LATEST_METHOD, &self.versions(), CALL_TIMEOUT)
            .await;
        let update = match result {
            Ok(update) => update,
            Err(why) => {
                warn!(self.log, "can't fetch newer state from peer";
                    "peer" => peer.to_string(), "reason" => why.to_string());
                return;
            }
        };
        let from = format!("peer {peer}");
        if let Some(evacuations) = update.evacuations {
            self.update_evacuations(evacuations, &from);
        }
        if let Some(object) = &update.configuration {
            self.apply_quarantine(&object.status);
            self.apply_configuration(object, &from);
        }
        if let Some(upstreams) = update.upstreams {
            let objects: BTreeMap<String, Object> = upstreams
                .into_iter()
                .map(|object| (object.name.clone(), object))
                .collect();
            let retain_missing_until = registry::missing_deadline(self.clock.now());
            self.update_registry(retain_missing_until, update.revision, &objects, &from);
        }
    }
}

/// Registers the RPC method for peers.
pub fn register_methods(gateway: &Rc<Gateway>, module: &mut rpc::Module) {
    let gateway = gateway.clone();
    module.register(LATEST_METHOD, move |versions: Versions| {
        let update = gateway.update_since(versions);
        async move { Ok::<_, String>(update) }
    });
}

/// Fetches newer versions from peers, for as long as the process runs.
pub async fn catch_up(gateway: Rc<Gateway>) {
    loop {
        gateway.clock.sleep(CATCH_UP_DELAY / 3).await;
        let now = gateway.clock.now();
        let newer = gateway.peers.borrow().newer_peers(now, gateway.versions());
        let Some(&peer) = newer.first() else {
            gateway.peers.borrow_mut().behind_since = None;
            continue;
        };
        let since = *gateway.peers.borrow_mut().behind_since.get_or_insert(now);
        if now.saturating_sub(since) >= CATCH_UP_DELAY {
            info!(gateway.log, "peer has newer state; fetching it"; "peer" => peer.to_string());
            gateway.fetch_update(peer).await;
            gateway.peers.borrow_mut().behind_since = None;
        }
    }
}
