//! The active configuration.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use slog::{info, warn};
use verbenaspool_platform::{configuration, store::Stored};

use super::{answer::Failure, gateway::Gateway, registry::Source};

/// Retry-After of an entry that knows only an outdated configuration. It lists the newest one, or learns
/// from a peer that it has it, 1 to 2 s after its start; another entry may know it at once.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Gateway {
    /// Where the active configuration came from, and how long ago it was activated.
    pub fn table_source(&self) -> (Source, Duration) {
        let (source, activated_at) = self.table_activation.get();
        (source, self.clock.now().saturating_sub(activated_at))
    }

    /// Records that the active configuration was the newest one: it, or an older one, was just read from
    /// the store, or a peer knows so.
    pub fn confirm_configuration(&self) {
        if !self.table_confirmed.replace(true) {
            info!(self.log, "configuration confirmed"; "version" => self.table_version());
        }
    }

    /// Confirms a configuration from an outdated listing by a peer whose confirmed one isn't newer, so
    /// that it needn't be fetched.
    pub fn confirm_configuration_by_peers(&self) {
        let (now, version) = (self.clock.now(), self.table_version());
        let is_confirmed = || self.peers.borrow().confirms_configuration(now, version);
        if !self.table_confirmed.get() && version > 0 && is_confirmed() {
            self.confirm_configuration();
        }
    }

    /// The failure of a request that the active configuration doesn't allow. A newer one may allow it as
    /// long as the active one isn't confirmed.
    pub fn refusal(&self, status: StatusCode, reason: &'static str) -> Failure {
        if self.table_confirmed.get() {
            Failure::new(status, reason)
        } else {
            Failure::unavailable("outdated-configuration", UNCONFIRMED_RETRY_AFTER)
        }
    }

    /// Activates a configuration if it is newer than the active one.
    ///
    /// Its version decides, since an older copy of the store has an older one. Only of the same
    /// version the one counts that was written last: after such a copy came back, the operator may
    /// have written other contents as that version.
    pub fn apply_configuration(&self, stored: &Stored, from: Source) {
        let received_at = self.clock.now();
        let object = &stored.object;
        let table = match configuration::decode(&object.specification) {
            Ok(table) => table,
            Err(why) => {
                let revision = Some(object.revision);
                if self.invalid_configuration.replace(revision) != revision {
                    warn!(self.log, "invalid configuration; keeping the active one";
                        "revision" => object.revision, "from" => %from, "reason" => why.to_string());
                }
                return;
            }
        };
        self.invalid_configuration.set(None);
        let previous = self.table_version();
        if table.version < previous || table.version == previous && !self.is_rewritten(stored) {
            return;
        }
        let table = Rc::new(table);
        self.table.replace(Some(table.clone()));
        self.table_object.replace(Some(stored.clone()));
        self.table_activation.set((from, received_at));
        let services = table.service_names();
        self.registry.borrow_mut().set_services(services);
        for service in table.services() {
            let queue = self.queue(&service.name);
            queue.with(|dispatcher, _| {
                dispatcher.set_engine(service.engine.as_ref());
                dispatcher.set_warm_up(service.warm_up);
            });
        }
        self.distribute_upstreams();
        let took = self.clock.now().saturating_sub(received_at);
        info!(self.log, "configuration activated";
            "version" => table.version, "before" => previous, "from" => %from,
            "era" => stored.era, "revision" => object.revision,
            "routes" => table.len(), "took_ms" => took.as_secs_f64() * 1e3);
        let activation = self.metrics.histogram(
            "verbenaspool_configuration_activation_seconds",
            "Time from the arrival of a new configuration until it was in force.",
            &[],
        );
        activation.record(took);
    }

    /// Whether a configuration was written after the active one, with other contents.
    fn is_rewritten(&self, stored: &Stored) -> bool {
        self.table_object.borrow().as_ref().is_none_or(|active| {
            stored.position() > active.position()
                && stored.object.specification != active.object.specification
        })
    }
}
