//! What happens while the callers are at work.

use std::time::Duration;

use futures_util::{future::join_all, join};
use verbenaspool_coordination::apply::Outcome;
use verbenaspool_state::file::File;
use verbenaspool_transport::config::status;

use crate::world::{Firm, World};

/// The time between two events.
const BETWEEN: Duration = Duration::from_millis(1_200);

/// The time between the two readings of the status. The outage has doubled the
/// time between two writes of it.
const READINGS: Duration = Duration::from_millis(4_500);

/// What the events brought.
#[derive(Debug, Default)]
pub struct Events {
    /// The longest time from acceptance until a version was in force everywhere.
    pub in_force: Duration,
    /// Applies that lost a race and were told so.
    pub conflicts: u32,
    /// Instances that left while they served.
    pub left: u32,
}

/// Plays the events one after the other.
pub async fn play(world: &World) -> Events {
    let mut events = Events::default();
    world.clock.sleep(BETWEEN).await;
    for firm in &world.firms {
        race(world, firm, &mut events).await;
        world.clock.sleep(BETWEEN).await;
    }
    for firm in &world.firms {
        leave(firm, &mut events);
        world.clock.sleep(BETWEEN).await;
    }
    println!("The platform is down for {} ms.", BETWEEN.as_millis());
    world.platform.set(|faults| faults.down = true);
    world.clock.sleep(BETWEEN).await;
    world.platform.set(|faults| faults.down = false);
    world.clock.sleep(BETWEEN).await;
    join_all(world.firms.iter().map(read_back)).await;
    events
}

/// Reads what is in force where, as `verbenaspool status` does.
async fn read_back(firm: &Firm) {
    let name = &firm.file.firm;
    match status::read(&*firm.store, name, READINGS).await {
        Err(error) => println!("{name}: the status can't be read: {error}"),
        Ok(report) => {
            let version = report.accepted;
            println!("{name}: version {version} is accepted.");
            for zone in &report.zones {
                let status = zone.status.as_ref().filter(|_| zone.heard);
                let word = match status {
                    Some(status) if status.is_active(version) => "has it in force everywhere",
                    Some(_) => "has instances that lag",
                    None => "isn't heard from (the demo plays two zones)",
                };
                println!("{name}: {} {word}.", zone.zone);
            }
        }
    }
}

/// Two operators of a firm apply different files at once.
async fn race(world: &World, firm: &Firm, events: &mut Events) {
    let (first, second) = (changed(&firm.file, 3), changed(&firm.file, 4));
    let (one, other) = join!(world.apply(firm, &first), world.apply(firm, &second));
    println!("{}: two operators race: {one:?}, {other:?}", firm.file.firm);
    let accepted = world.clock.now();
    for outcome in [one, other] {
        match outcome {
            Outcome::Accepted { version, .. } => {
                firm.in_force(version).await;
                events.in_force = events
                    .in_force
                    .max(world.clock.now().saturating_sub(accepted));
            }
            Outcome::Conflict { .. } => events.conflicts += 1,
            _ => {}
        }
    }
}

/// A file that differs in one customer's share.
fn changed(file: &File, share: u32) -> File {
    let mut file = file.clone();
    file.customers[0].share = share;
    file
}

/// Two upstreams of a firm leave while the platform's list still has them.
fn leave(firm: &Firm, events: &mut Events) {
    let (first, last) = (firm.upstreams.first(), firm.upstreams.last());
    for (upstream, stop) in first.into_iter().chain(last) {
        println!("{}: {} leaves.", firm.file.firm, upstream.name);
        stop.fire();
        events.left += 1;
    }
}
