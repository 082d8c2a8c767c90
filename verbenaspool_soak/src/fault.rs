//! Faults from outside, one after another and overlapping.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use verbenaspool_platform_standin::{store::Condition, upstream::Behaviour};

use crate::{process::Process, proxy::Mode, site::Site};

/// What upstreams do at times.
const WAYS: [Behaviour; 9] = [
    Behaviour::Reject,
    Behaviour::LoseAnswer,
    Behaviour::WrongId,
    Behaviour::Unsigned,
    Behaviour::Fail,
    Behaviour::Unclear,
    Behaviour::BreakOff(2),
    Behaviour::Stall(3),
    Behaviour::RepeatEvent,
];

/// What connections do at times.
const MODES: [Mode; 4] = [
    Mode::Delay(Duration::from_millis(80)),
    Mode::Reset,
    Mode::Silent,
    Mode::OneWay,
];

/// Kinds of faults around entries.
const ENTRY_KINDS: u32 = 12;

/// All kinds of faults.
const KINDS: u32 = ENTRY_KINDS + 5;

/// Of a hundred orders to ranks, how many get no answer while that is the fault.
const LATE: u32 = 35;

/// How long an entry may take to end behind SIGTERM: its grace and a second.
const GRACE: Duration = Duration::from_secs(6);

/// Makes faults until the deadline.
pub async fn run(site: Rc<Site>, mut rng: SmallRng, until: Instant, note: impl Fn(String)) {
    while Instant::now() < until {
        let kind = rng.random_range(0..KINDS);
        let lasts = Duration::from_millis(rng.random_range(100..2_500));
        let server = rng.random_range(0..site.servers.len());
        let entry = rng.random_range(0..site.ways.len());
        let agent = rng.random_range(0..site.agents.borrow().len().max(1));
        note(format!(
            "fault {kind}: server {server}, entry {entry}, agent {agent}, {lasts:?}"
        ));
        if kind < ENTRY_KINDS {
            let task = strike(site.clone(), kind, server, entry, lasts, pick(&mut rng));
            monoio::spawn(task);
        } else {
            monoio::spawn(strike_group(site.clone(), kind - ENTRY_KINDS, agent, lasts));
        }
        let pause = rng.random_range(50..900);
        monoio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// The ways that a fault may take.
#[derive(Debug, Clone, Copy)]
struct Picked {
    way: Behaviour,
    mode: Mode,
}

fn pick(rng: &mut SmallRng) -> Picked {
    Picked {
        way: WAYS.choose(rng).copied().unwrap_or(Behaviour::Fail),
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
            at.upstream.behaviour.set(picked.way);
            monoio::time::sleep(lasts).await;
            at.upstream.behaviour.set(Behaviour::Healthy);
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
            let mood = if busy {
                Condition::Busy
            } else {
                Condition::Silent
            };
            site.store.condition.set(mood);
            monoio::time::sleep(lasts).await;
            site.store.condition.set(Condition::Healthy);
        }
        6 => site.change(),
        7 => {
            site.change();
            site.store.drop_history();
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
            revive_entry(&site, entry).await;
        }
        _ => {
            signal(&site, entry, Signal::SIGHUP);
            signal(&site, entry, Signal::SIGTERM);
            revive_entry(&site, entry).await;
        }
    }
}

/// Makes one fault of a group or an agent and ends it.
async fn strike_group(site: Rc<Site>, kind: u32, agent: usize, lasts: Duration) {
    let tell = |signal| {
        if let Some(process) = site.agents.borrow().get(agent) {
            process.signal(signal);
        }
    };
    match kind {
        0 | 1 => {
            tell(Signal::SIGSTOP);
            monoio::time::sleep(lasts).await;
            tell(Signal::SIGCONT);
        }
        2 => {
            tell(Signal::SIGKILL);
            revive(&site, |site| {
                site.agents.borrow_mut().get_mut(agent).map(again)
            })
            .await;
        }
        3 => {
            site.group.late_percent.set(LATE);
            monoio::time::sleep(lasts).await;
            site.group.late_percent.set(0);
        }
        _ => site.group.break_up(),
    }
}

/// Sends a signal to an entry's process.
fn signal(site: &Site, entry: usize, signal: Signal) {
    if let Some(entry) = site.entries.borrow().get(entry) {
        entry.process.signal(signal);
    }
}

/// Starts an entry anew once its process has ended; ends it after its grace.
async fn revive_entry(site: &Site, entry: usize) {
    let began = Instant::now();
    let entry = |site: &Site| {
        let mut entries = site.entries.borrow_mut();
        let entry = entries.get_mut(entry)?;
        if began.elapsed() > GRACE {
            entry.process.signal(Signal::SIGKILL);
        }
        Some(again(&mut entry.process))
    };
    revive(site, entry).await;
}

/// Whether a program runs anew whose process has ended.
fn again(process: &mut Process) -> io::Result<bool> {
    if process.ended().is_none() {
        return Ok(false);
    }
    process.restart().map(|()| true)
}

/// Starts a program anew once its process has ended.
async fn revive(site: &Site, again: impl Fn(&Site) -> Option<io::Result<bool>>) {
    loop {
        monoio::time::sleep(Duration::from_millis(20)).await;
        match again(site) {
            Some(Ok(false)) => {}
            Some(Err(why)) => {
                site.checks.broke("a program starts again", why.to_string());
                return;
            }
            None | Some(Ok(true)) => return,
        }
    }
}
