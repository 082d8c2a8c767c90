//! A group's status as metrics.

use verbenaspool_protocol::group::Status;
use verbenaspool_transport::metrics::Registry;

/// Sets the gauges to the status of the group.
pub(crate) fn set(status: &Status, registry: &Registry) {
    let labels = [("group", status.group.as_str())];
    let gauge = |name, help, value| registry.gauge(name, help, &labels).set(value);
    #[allow(clippy::cast_precision_loss)] // Gauges need no exact values.
    let count = |name, help, value: u64| gauge(name, help, value as f64);
    let help = "Whether this agent leads its group.";
    count("verbenaspool_group_leads", help, status.leads.into());
    let help = "The highest fence of a lead heard of.";
    count("verbenaspool_group_fence", help, status.fence);
    let help = "The last step that the rank has run.";
    count("verbenaspool_group_step", help, status.step);
    let help = "The epoch of the map of that step.";
    count("verbenaspool_group_epoch", help, status.epoch.unwrap_or(0));
    let help = "Changes of map that took effect under this agent's lead.";
    count("verbenaspool_group_changes", help, status.changes);
    let help = "Changes of map that were given up.";
    count("verbenaspool_group_aborts", help, status.aborts);
    let help = "Steps that an engine had from someone else.";
    count("verbenaspool_group_diverged", help, status.diverged);
    let help = "Experts that changes of map loaded.";
    count("verbenaspool_group_moves", help, status.moves);
    let help = "Bytes that changes of map loaded.";
    count("verbenaspool_group_bytes_moved", help, status.bytes_moved);
    let help = "Samples of tokens that were ignored.";
    count(
        "verbenaspool_group_samples_ignored",
        help,
        status.samples_ignored,
    );
    let help = "The part by which the last change's loading slowed steps.";
    gauge("verbenaspool_group_slowdown", help, status.slowdown);
    if let Some(skew) = status.skew {
        let help = "The slowest rank's time over the mean of all, less one.";
        gauge("verbenaspool_group_skew", help, skew);
    }
}
