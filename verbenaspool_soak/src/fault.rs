//! Faults from outside, one after another and overlapping.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use verbenaspool_platform_standin::{store::Mood, upstream::Way};

use crate::{proxy::Mode, site::Site};

/// What upstreams do at times.
const WAYS: [Way; 9] = [
    Way::TurnAway,
    Way::Lose,
    Way::Crossed,
    Way::Unsigned,
    Way::Fail,
    Way::Vague,
    Way::Break(2),
    Way::Stall(3),
    Way::Double,
];

/// What connections do at times.
const MODES: [Mode; 4] = [
    Mode::Delay(Duration::from_millis(80)),
    Mode::Reset,
    Mode::Silent,
    Mode::OneWay,
];

/// How long an entry may take to end behind SIGTERM: its grace and a second.
const GRACE: Duration = Duration::from_secs(6);

/// Makes faults until the deadline.
pub async fn run(site: Rc<Site>, mut rng: SmallRng, until: Instant, note: impl Fn(String)) {
    while Instant::now() < until {
        let kind = rng.random_range(0..12);
        let lasts = Duration::from_millis(rng.random_range(100..2_500));
        let server = rng.random_range(0..site.servers.len());
        let entry = rng.random_range(0..site.ways.len());
        note(format!(
            "fault {kind}: server {server}, entry {entry}, {lasts:?}"
        ));
        let task = strike(site.clone(), kind, server, entry, lasts, pick(&mut rng));
        monoio::spawn(task);
        let pause = rng.random_range(50..900);
        monoio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// The ways that a fault may take.
#[derive(Debug, Clone, Copy)]
struct Picked {
    way: Way,
    mode: Mode,
}

fn pick(rng: &mut SmallRng) -> Picked {
    Picked {
        way: WAYS.choose(rng).copied().unwrap_or(Way::Fail),
        mode: MODES.choose(rng).copied().unwrap_or(Mode::Reset),
    }
}

/// Makes one fault and ends it.
async fn strike(
    site: Rc<Site>,
    kind: u32,
    server: usize,
    entry: usize,
    lasts: Duration,
    picked: Picked,
) {
    let at = &site.servers[server];
    match kind {
        0 | 1 => {
            at.upstream.way.set(picked.way);
            monoio::time::sleep(lasts).await;
            at.upstream.way.set(Way::Well);
        }
        2 | 3 => {
            at.proxy.mode.set(picked.mode);
            monoio::time::sleep(lasts).await;
            at.proxy.mode.set(Mode::Pass);
        }
        4 => {
            site.ways[entry].mode.set(picked.mode);
            monoio::time::sleep(lasts).await;
            site.ways[entry].mode.set(Mode::Pass);
        }
        5 => {
            let busy = lasts.as_millis().is_multiple_of(2);
            let mood = if busy { Mood::Busy } else { Mood::Silent };
            site.store.mood.set(mood);
            monoio::time::sleep(lasts).await;
            site.store.mood.set(Mood::Well);
        }
        6 => site.change(),
        7 => {
            site.change();
            site.store.forget();
        }
        8 => {
            site.list(server, "draining");
            monoio::time::sleep(lasts).await;
            site.list(server, "ready");
        }
        9 => {
            signal(&site, entry, Signal::SIGSTOP);
            monoio::time::sleep(lasts).await;
            signal(&site, entry, Signal::SIGCONT);
        }
        10 => {
            signal(&site, entry, Signal::SIGKILL);
            revive(&site, entry, GRACE).await;
        }
        _ => {
            signal(&site, entry, Signal::SIGHUP);
            signal(&site, entry, Signal::SIGTERM);
            revive(&site, entry, GRACE).await;
        }
    }
}

/// Sends a signal to an entry's process.
fn signal(site: &Site, entry: usize, signal: Signal) {
    if let Some(process) = site.entries.borrow().get(entry) {
        process.signal(signal);
    }
}

/// Starts an entry anew once its process has ended; ends it after its grace.
async fn revive(site: &Site, entry: usize, grace: Duration) {
    let began = Instant::now();
    loop {
        monoio::time::sleep(Duration::from_millis(20)).await;
        let mut entries = site.entries.borrow_mut();
        let Some(process) = entries.get_mut(entry) else {
            return;
        };
        if process.ended().is_some() {
            if let Err(why) = process.restart() {
                let what = format!("entry {entry}: {why}");
                site.checks.broke("a program starts again", what);
            }
            return;
        }
        if began.elapsed() > grace {
            process.signal(Signal::SIGKILL);
        }
    }
}
