//! The active configuration.

use std::rc::Rc;

use slog::{info, warn};
use verbenaspool_platform::{configuration, store::Stored};

use super::{gateway::Gateway, registry::Source};

impl Gateway {
    /// Activates a configuration if it is newer than the active one.
    ///
    /// Its version decides, since an older copy of the store has an older one. Only of the same
    /// version the one counts that was written last: after such a copy came back, the operator may
    /// have written other contents as that version.
    pub fn apply_configuration(&self, stored: &Stored, from: Source) {
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
        info!(self.log, "configuration activated";
            "version" => table.version, "before" => previous, "from" => %from, "routes" => table.len());
        let table = Rc::new(table);
        self.table.replace(Some(table.clone()));
        self.table_source.replace(Some(stored.clone()));
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
    }

    /// Whether a configuration was written after the active one, with other contents.
    fn is_rewritten(&self, stored: &Stored) -> bool {
        self.table_source.borrow().as_ref().is_none_or(|active| {
            stored.position() > active.position()
                && stored.object.specification != active.object.specification
        })
    }
}
