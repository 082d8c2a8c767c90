//! Changes and failures during the traffic.

use std::time::Duration;

use futures_util::{future::join_all, join};
use verbenaspool_coordination::apply::Outcome;
use verbenaspool_state::file::File;
use verbenaspool_transport::config::status;

use crate::deployment::{Deployment, Firm};

/// Time between two events, and duration of the platform outage.
const EVENT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time between the two reads of the status. The outage has doubled the interval at which
/// entries write it.
const STATUS_READ_INTERVAL: Duration = Duration::from_millis(4_500);

/// Results of the events.
#[derive(Debug, Default)]
pub struct Events {
    /// Longest time from acceptance until a version was active on all entries.
    pub max_activation_time: Duration,
    /// Applies that were rejected with a conflict.
    pub conflicts: u32,
    /// Upstream instances whose agents were stopped during the traffic.
    pub left: u32,
}

/// Runs all events in order.
pub async fn run(deployment: &Deployment) -> Events {
    let mut events = Events::default();
    deployment.clock.sleep(EVENT_INTERVAL).await;
    for firm in &deployment.firms {
        race_applies(deployment, firm, &mut events).await;
        deployment.clock.sleep(EVENT_INTERVAL).await;
    }
    for firm in &deployment.firms {
        stop_upstreams(firm, &mut events);
        deployment.clock.sleep(EVENT_INTERVAL).await;
    }
    println!(
        "The platform is down for {} ms.",
        EVENT_INTERVAL.as_millis()
    );
    deployment.platform.set(|faults| faults.down = true);
    deployment.clock.sleep(EVENT_INTERVAL).await;
    deployment.platform.set(|faults| faults.down = false);
    deployment.clock.sleep(EVENT_INTERVAL).await;
    join_all(deployment.firms.iter().map(print_status)).await;
    events
}

/// Prints which version is active in which zone, as `verbenaspool status` does.
async fn print_status(firm: &Firm) {
    let name = &firm.file.firm;
    match status::read(&*firm.store, name, STATUS_READ_INTERVAL).await {
        Err(error) => println!("{name}: the status can't be read: {error}"),
        Ok(report) => {
            let version = report.accepted;
            println!("{name}: version {version} is accepted.");
            for zone in &report.zones {
                let status = zone.status.as_ref().filter(|_| zone.is_reporting);
                let state = match status {
                    Some(status) if status.is_active(version) => "has it in force everywhere",
                    Some(_) => "has instances that lag",
                    None => "isn't heard from (the demo plays two zones)",
                };
                println!("{name}: {} {state}.", zone.zone);
            }
        }
    }
}

/// Has two operators of a firm apply different files at the same time.
async fn race_applies(deployment: &Deployment, firm: &Firm, events: &mut Events) {
    let (first_file, second_file) = (with_share(&firm.file, 3), with_share(&firm.file, 4));
    let (first_outcome, second_outcome) = join!(
        deployment.apply(firm, &first_file),
        deployment.apply(firm, &second_file)
    );
    println!(
        "{}: two operators race: {first_outcome:?}, {second_outcome:?}",
        firm.file.firm
    );
    let accepted_at = deployment.clock.now();
    for outcome in [first_outcome, second_outcome] {
        match outcome {
            Outcome::Accepted { version, .. } => {
                firm.wait_for_version(version).await;
                events.max_activation_time = events
                    .max_activation_time
                    .max(deployment.clock.now().saturating_sub(accepted_at));
            }
            Outcome::Conflict { .. } => events.conflicts += 1,
            _ => {}
        }
    }
}

/// Returns a copy of the file with another share for its first customer.
fn with_share(file: &File, share: u32) -> File {
    let mut file = file.clone();
    file.customers[0].share = share;
    file
}

/// Stops the agents of two upstreams of a firm that the platform's list still contains.
fn stop_upstreams(firm: &Firm, events: &mut Events) {
    let (first, last) = (firm.upstreams.first(), firm.upstreams.last());
    for (upstream, stop) in first.into_iter().chain(last) {
        println!("{}: {} leaves.", firm.file.firm, upstream.name);
        stop.fire();
        events.left += 1;
    }
}
