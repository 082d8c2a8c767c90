//! Metrics of what the platform's store answers.

use slog::warn;

use super::gateway::Gateway;

impl Gateway {
    /// Logs the first object whose name can't be read. Others can't be told from it, and the same
    /// ones come with each listing.
    pub fn log_unnamed_objects(&self) {
        let has_any = self.store.unnamed_objects() > 0;
        if has_any && !self.has_logged_unnamed.replace(true) {
            warn!(
                self.log,
                "object of the store without a readable name; ignoring it"
            );
        }
    }

    /// Updates the metrics before they are exported.
    pub fn update_store_metrics(&self) {
        let gauge = |name, help, pairs: &[(&str, &str)], value: u64| {
            #[allow(clippy::cast_precision_loss)] // Eras and counts stay far below 2^52.
            self.metrics.gauge(name, help, pairs).set(value as f64);
        };
        let counter = |name, help, value| self.metrics.counter(name, help, &[]).set(value);
        gauge(
            "verbenaspool_store_era",
            "How often the platform's store came back from an older copy, as it counts.",
            &[],
            self.store.era.known(),
        );
        counter(
            "verbenaspool_store_late_answers_total",
            "Answers of the store that were dropped because they were of an earlier era.",
            self.store.era.late_answers(),
        );
        counter(
            "verbenaspool_store_unreadable_eras_total",
            "Answers of the store without a readable era, although earlier ones had one.",
            self.store.era.unreadable(),
        );
        counter(
            "verbenaspool_store_unnamed_objects_total",
            "Objects in answers of the store whose name couldn't be read.",
            self.store.unnamed_objects(),
        );
        let unreadable = [
            ("registry", self.unreadable_upstreams()),
            (
                "configuration",
                usize::from(self.invalid_configuration.get().is_some()),
            ),
        ];
        for (kind, objects) in unreadable {
            gauge(
                "verbenaspool_store_unreadable_objects",
                "Objects of the store that can't be read, and are ignored.",
                &[("kind", kind)],
                u64::try_from(objects).unwrap_or(u64::MAX),
            );
        }
    }
}
