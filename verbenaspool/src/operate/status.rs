//! `verbenaspool status`: what is accepted, and where it is in force.

use std::path::Path;

use verbenaspool_state::version::Version;
use verbenaspool_transport::{
    config::status::{self, Report, Zone},
    platform::client::Client,
    runtime, settings,
};

use super::{Error, Settings};

/// Reads a firm's status, which takes some seconds: zones that don't write
/// meanwhile aren't heard from.
///
/// # Errors
/// When the settings can't be taken or the platform can't be read.
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
        status::read(&store, &settings.firm, status::PERIOD * 3 / 2).await
    });
    Ok(report.map_err(Error::Runtime)??)
}

/// The report as a table.
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
        None => format!("{}: nothing accepted yet", report.firm),
    }];
    lines.push(format!(
        "in force everywhere: {}",
        if report.in_force { "yes" } else { "no" }
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

/// A zone's line.
fn row(zone: &Zone, accepted: Version) -> String {
    let name = &zone.zone;
    let Some(status) = &zone.status else {
        return format!("{name:<20} {:>9} {:>9}  never heard from", "-", "-");
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
    if !zone.heard {
        notes.push("not heard from".to_owned());
    }
    notes.push(format!("as of {} ms ago", summary.age_ms));
    notes.extend(
        status
            .behind(accepted)
            .map(|seen| format!("{} at {}", seen.name, seen.version)),
    );
    notes.extend(status.trouble.iter().cloned());
    format!(
        "{name:<20} {instances:>9} {versions:>9}  {}",
        notes.join("; ")
    )
    .trim_end()
    .to_owned()
}
