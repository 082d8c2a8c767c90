//! `verbenaspool status`: the accepted version and where it is active.

use std::path::Path;

use verbenaspool_state::version::Version;
use verbenaspool_transport::{
    config::status::{self, Report, Zone},
    platform::client::Client,
    runtime, settings,
};

use super::{Error, Settings};

/// Reads a firm's status. This takes some seconds, as a zone counts as silent if it doesn't
/// update its status within that time.
///
/// # Errors
/// The settings are invalid, or the platform can't be read.
///
/// ```no_run
/// use std::path::Path;
/// use verbenaspool::operate::status;
///
/// println!("{}", status::table(&status::main(Path::new("operator.yaml")).unwrap()));
/// ```
pub fn main(settings: &Path) -> Result<Report, Error> {
    let settings: Settings = settings::load(settings)?;
    let report = runtime::run(async {
        let store = Client::new(settings.platform.client());
        status::read(&store, &settings.firm, status::WRITE_INTERVAL * 3 / 2).await
    });
    Ok(report.map_err(Error::Runtime)??)
}

/// Formats the report as a table.
///
/// ```no_run
/// # fn example(report: verbenaspool_transport::config::status::Report) {
/// println!("{}", verbenaspool::operate::status::table(&report));
/// # }
/// ```
#[must_use]
pub fn table(report: &Report) -> String {
    let mut lines = vec![match &report.apply {
        Some(apply) => format!(
            "{}: version {} accepted (apply {apply})",
            report.firm, report.accepted
        ),
        None => format!("{}: no version accepted yet", report.firm),
    }];
    lines.push(format!(
        "active on all instances: {}",
        if report.is_active { "yes" } else { "no" }
    ));
    lines.push(format!(
        "{:<20} {:>9} {:>9}  {}",
        "ZONE", "INSTANCES", "IN FORCE", "NOTES"
    ));
    for zone in &report.zones {
        lines.push(row(zone, report.accepted));
    }
    lines.join("\n")
}

/// The row of a zone.
fn row(zone: &Zone, accepted: Version) -> String {
    let name = &zone.zone;
    let Some(status) = &zone.status else {
        return format!("{name:<20} {:>9} {:>9}  no status yet", "-", "-");
    };
    let summary = &status.summary;
    let instances = format!("{}/{}", summary.instances, status.alive);
    let lowest = summary.lowest;
    let versions = if lowest == summary.highest {
        lowest.to_string()
    } else {
        format!("{lowest}-{}", summary.highest)
    };
    let mut notes = Vec::new();
    if !zone.is_reporting {
        notes.push("status not updated".to_owned());
    }
    notes.push(format!("data up to {} ms old", summary.age_ms));
    if summary.highest > accepted {
        notes.push(format!(
            "the store has lost version {}: apply the file again",
            summary.highest
        ));
    }
    notes.extend(
        status
            .behind(accepted)
            .map(|seen| format!("{} at {}", seen.name, seen.version)),
    );
    notes.extend(status.last_error.iter().cloned());
    format!(
        "{name:<20} {instances:>9} {versions:>9}  {}",
        notes.join("; ")
    )
    .trim_end()
    .to_owned()
}
