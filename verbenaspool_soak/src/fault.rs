//! Injects faults from outside, which may overlap.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use verbenaspool_platform_standin::{store::Condition, upstream::Behaviour};

use crate::{
    check::RATE_LIMIT,
    deployment::{Deployment, Server},
    process::Process,
    proxy::Mode,
};

mod silence;
mod store;

pub use self::{
    silence::SILENT_FAULTS,
    store::{COPY_FAULTS, STORE_FAULTS},
};

/// Faulty behaviours of upstreams.
const BEHAVIOURS: [Behaviour; 9] = [
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

/// Faulty modes of proxies.
const PROXY_MODES: [Mode; 4] = [
    Mode::Delay(Duration::from_millis(80)),
    Mode::Reset,
    Mode::Silent,
    Mode::OneWay,
];

/// Number of fault kinds around entries.
const ENTRY_FAULT_KINDS: u32 = 18;

/// Number of fault kinds of groups and agents.
const GROUP_FAULT_KINDS: u32 = 6;

/// Number of all fault kinds. The last ones are an upstream that is slow and a store that sends
/// without end.
pub const FAULT_KINDS: u32 = ENTRY_FAULT_KINDS + GROUP_FAULT_KINDS + 2;

/// How long each request to a slow upstream takes before its answer begins: several times as long as
/// its callers expect.
const SLOW_WORK_TIME: Duration = Duration::from_millis(400);

/// How much longer than other faults an upstream limits its requests.
const LIMIT_TIME: Duration = Duration::from_secs(5);

/// For how long an upstream wants nothing from an entry or agent that it rejected.
pub const BACKOFF_TIME: Duration = Duration::from_millis(1_500);

/// How much longer than other faults an upstream says that it is leaving.
const LEAVING_TIME: Duration = Duration::from_secs(3);

/// How much longer than other faults an upstream that has left still serves.
const SERVING_TIME: Duration = Duration::from_secs(5);

/// How long an upstream's entry is missing before it starts again.
const ABSENCE_TIME: Duration = Duration::from_millis(500);

/// How much longer than other faults listings are outdated.
const LAG_TIME: Duration = Duration::from_secs(4);

/// How long it takes to restart all entries one after the other.
const ROLL_TIME: Duration = Duration::from_millis(2_500);

/// Percentage of orders to ranks that get no answer during this fault.
const LATE_PERCENT: u32 = 35;

/// How long an entry may take to terminate after SIGTERM: its grace period and a second.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Injects faults of the given kinds until the deadline.
pub async fn run(
    deployment: Rc<Deployment>,
    mut rng: SmallRng,
    deadline: Instant,
    kinds: &[u32],
    mean_pause: Duration,
    write_fault: impl Fn(String),
) {
    while Instant::now() < deadline {
        let kind = kinds.choose(&mut rng).copied().unwrap_or_default();
        let duration = Duration::from_millis(rng.random_range(100..2_500));
        let server = rng.random_range(0..deployment.servers.len());
        let entry = rng.random_range(0..deployment.store_proxies.len());
        let agent = rng.random_range(0..deployment.agents.borrow().len().max(1));
        write_fault(format!(
            "fault {kind}: server {server}, entry {entry}, agent {agent}, {duration:?}"
        ));
        if COPY_FAULTS.contains(&kind) {
            let notice = choose_fault(&mut rng).notice;
            let task = store::inject_copy_fault(deployment.clone(), kind, server, duration, notice);
            monoio::spawn(task);
        } else if STORE_FAULTS.contains(&kind) {
            monoio::spawn(store::inject_fault(deployment.clone(), kind, duration));
        } else if SILENT_FAULTS.contains(&kind) {
            let task = silence::inject_fault(deployment.clone(), kind, server, duration);
            monoio::spawn(task);
        } else if kind < ENTRY_FAULT_KINDS {
            let task = inject_entry_fault(
                deployment.clone(),
                kind,
                server,
                entry,
                duration,
                choose_fault(&mut rng),
            );
            monoio::spawn(task);
        } else if kind >= ENTRY_FAULT_KINDS + GROUP_FAULT_KINDS {
            let is_store = kind > ENTRY_FAULT_KINDS + GROUP_FAULT_KINDS;
            monoio::spawn(inject_load_fault(
                deployment.clone(),
                is_store,
                server,
                duration,
            ));
        } else {
            monoio::spawn(inject_group_fault(
                deployment.clone(),
                kind - ENTRY_FAULT_KINDS,
                agent,
                duration,
            ));
        }
        let pause = mean_pause.mul_f64(rng.random_range(0.1..1.9));
        monoio::time::sleep(pause).await;
    }
}

/// Randomly chosen forms of a fault.
#[derive(Debug, Clone, Copy)]
struct FaultChoice {
    behaviour: Behaviour,
    mode: Mode,
    notice: DepartureNotice,
}

/// How an upstream that is leaving says so.
#[derive(Debug, Clone, Copy)]
struct DepartureNotice {
    /// Its entry says so before it is removed.
    listed: bool,
    /// Its answers say so.
    answers: bool,
}

impl DepartureNotice {
    /// Its entry is removed, and nothing else says that it is leaving.
    const NO_NOTICE: Self = Self {
        listed: false,
        answers: false,
    };
}

fn choose_fault(rng: &mut SmallRng) -> FaultChoice {
    FaultChoice {
        behaviour: BEHAVIOURS.choose(rng).copied().unwrap_or(Behaviour::Fail),
        mode: PROXY_MODES.choose(rng).copied().unwrap_or(Mode::Reset),
        notice: DepartureNotice {
            listed: rng.random(),
            answers: rng.random(),
        },
    }
}

/// Injects one fault around an entry and ends it after its duration.
async fn inject_entry_fault(
    deployment: Rc<Deployment>,
    kind: u32,
    server: usize,
    entry: usize,
    duration: Duration,
    choice: FaultChoice,
) {
    let target = &deployment.servers[server];
    match kind {
        0 | 1 => {
            target.upstream.behaviour.set(choice.behaviour);
            monoio::time::sleep(duration).await;
            target.upstream.behaviour.set(Behaviour::Healthy);
        }
        2 | 3 => {
            target.proxy.mode.set(choice.mode);
            target.last_cut.set(Some(Instant::now() + duration));
            monoio::time::sleep(duration).await;
            target.proxy.mode.set(Mode::Pass);
        }
        4 => {
            deployment.store_proxies[entry].mode.set(choice.mode);
            deployment.checks.record_store_cut(entry, duration);
            monoio::time::sleep(duration).await;
            deployment.store_proxies[entry].mode.set(Mode::Pass);
        }
        5 => {
            let busy = duration.as_millis().is_multiple_of(2);
            let condition = if busy {
                Condition::Busy
            } else {
                Condition::Silent
            };
            deployment.store.condition.set(condition);
            deployment.checks.record_store_outage(duration);
            monoio::time::sleep(duration).await;
            deployment.store.condition.set(Condition::Healthy);
        }
        6 => deployment.change_configuration(),
        7 => {
            deployment.change_configuration();
            deployment.store.drop_history();
        }
        8 => depart(&deployment, server, choice.notice, SERVING_TIME + duration).await,
        9 => {
            signal(&deployment, entry, Signal::SIGSTOP);
            monoio::time::sleep(duration).await;
            signal(&deployment, entry, Signal::SIGCONT);
        }
        10 => {
            signal(&deployment, entry, Signal::SIGKILL);
            restart_entry(&deployment, entry).await;
        }
        11 => {
            signal(&deployment, entry, Signal::SIGHUP);
            signal(&deployment, entry, Signal::SIGTERM);
            restart_entry(&deployment, entry).await;
        }
        12 => limit_requests(target, LIMIT_TIME + duration).await,
        13 => {
            target.upstream.backoff.set(Some(BACKOFF_TIME));
            target.upstream.behaviour.set(Behaviour::RejectEveryOther);
            monoio::time::sleep(BACKOFF_TIME + duration).await;
            target.upstream.behaviour.set(Behaviour::Healthy);
            target.upstream.backoff.set(None);
        }
        14 => leave_and_return(&deployment, server, LEAVING_TIME + duration).await,
        15 => depart_during_restarts(&deployment, server, entry, duration).await,
        16 => store::answer_from_lagging_copies(&deployment, LAG_TIME + duration).await,
        _ => {
            monoio::spawn(store::compact_history(deployment.clone()));
            depart(&deployment, server, choice.notice, SERVING_TIME + duration).await;
        }
    }
}

/// Makes an upstream slow, or the store send without end, for some time.
async fn inject_load_fault(
    deployment: Rc<Deployment>,
    is_store: bool,
    server: usize,
    duration: Duration,
) {
    if is_store {
        deployment.store.condition.set(Condition::Endless);
        deployment.checks.record_store_outage(duration);
        monoio::time::sleep(duration).await;
        deployment.store.condition.set(Condition::Healthy);
    } else {
        let upstream = &deployment.servers[server].upstream;
        upstream.work_time.set(SLOW_WORK_TIME);
        monoio::time::sleep(duration).await;
        upstream.work_time.set(Duration::ZERO);
    }
}

/// Restarts all entries, with first listings of different ages, and lets an upstream leave without a
/// notice meanwhile.
async fn depart_during_restarts(
    deployment: &Rc<Deployment>,
    server: usize,
    first_entry: usize,
    duration: Duration,
) {
    let (lagging, restarted) = (deployment.clone(), deployment.clone());
    monoio::spawn(async move {
        store::answer_from_lagging_copies(&lagging, ROLL_TIME + duration).await;
    });
    monoio::spawn(async move { restart_all(&restarted, first_entry).await });
    monoio::time::sleep(duration).await;
    let notice = DepartureNotice::NO_NOTICE;
    depart(deployment, server, notice, SERVING_TIME + duration).await;
}

/// Lets an upstream leave, serve on for some time, and then start again under its id, unless it
/// is leaving already.
async fn depart(
    deployment: &Deployment,
    server: usize,
    notice: DepartureNotice,
    duration: Duration,
) {
    let target = &deployment.servers[server];
    if target.leaving.replace(true) {
        return;
    }
    if notice.listed {
        deployment.set_listed_state(server, "draining");
    } else {
        deployment.unlist(server);
    }
    target.departures.borrow_mut().push(Instant::now());
    target.upstream.leaving.set(notice.answers);
    monoio::time::sleep(duration).await;
    deployment.unlist(server);
    monoio::time::sleep(ABSENCE_TIME).await;
    start_again(deployment, server);
}

/// Lets an upstream that was leaving start again under its id.
fn start_again(deployment: &Deployment, server: usize) {
    let target = &deployment.servers[server];
    target.leaving.set(false);
    target.upstream.leaving.set(false);
    target.restarts.borrow_mut().push(Instant::now());
    deployment.set_listed_state(server, "ready");
}

/// Kills all entries one after the other, and starts each again.
async fn restart_all(deployment: &Rc<Deployment>, first: usize) {
    let count = deployment.store_proxies.len();
    let interval = ROLL_TIME / u32::try_from(count).unwrap_or(u32::MAX);
    for number in 0..count {
        let entry = (first + number) % count;
        signal(deployment, entry, Signal::SIGKILL);
        let deployment = deployment.clone();
        monoio::spawn(async move { restart_entry(&deployment, entry).await });
        monoio::time::sleep(interval).await;
    }
}

/// Lets an upstream limit its requests for some time, unless it does so already.
async fn limit_requests(server: &Server, duration: Duration) {
    let upstream = &server.upstream;
    if upstream.rate_limit.get().is_some() {
        return;
    }
    let now = Instant::now();
    upstream.rate_limit.set(Some(RATE_LIMIT));
    server.limited.borrow_mut().push(now..now + duration);
    monoio::time::sleep(duration).await;
    upstream.rate_limit.set(None);
}

/// Lets an upstream say that it is leaving for some time, and then start again under its id, unless
/// it is leaving already. The registry doesn't say so.
async fn leave_and_return(deployment: &Deployment, server: usize, duration: Duration) {
    let target = &deployment.servers[server];
    if target.leaving.replace(true) {
        return;
    }
    target.upstream.leaving.set(true);
    monoio::time::sleep(duration).await;
    start_again(deployment, server);
}

/// Injects one fault of a group or an agent and ends it after its duration.
async fn inject_group_fault(
    deployment: Rc<Deployment>,
    kind: u32,
    agent: usize,
    duration: Duration,
) {
    let signal_agent = |signal| {
        deployment.checks.record_agent_interruption(agent);
        if let Some(process) = deployment.agents.borrow().get(agent) {
            process.signal(signal);
        }
    };
    match kind {
        0 | 1 => {
            signal_agent(Signal::SIGSTOP);
            monoio::time::sleep(duration).await;
            signal_agent(Signal::SIGCONT);
        }
        2 => {
            signal_agent(Signal::SIGKILL);
            restart_when_ended(&deployment, |deployment| {
                deployment
                    .agents
                    .borrow_mut()
                    .get_mut(agent)
                    .map(restart_if_ended)
            })
            .await;
            deployment.checks.record_agent_interruption(agent);
        }
        3 => {
            deployment.group.late_percent.set(LATE_PERCENT);
            monoio::time::sleep(duration).await;
            deployment.group.late_percent.set(0);
        }
        4 => deployment.group.break_up(),
        _ => {
            if let Some(member) = deployment.members.get(agent) {
                member.backoff.set(Some(BACKOFF_TIME));
                monoio::time::sleep(duration).await;
                member.backoff.set(None);
            }
        }
    }
}

/// Sends a signal to an entry's process.
fn signal(deployment: &Deployment, entry: usize, signal: Signal) {
    let signals = &deployment.checks.entry_signals;
    signals.borrow_mut().push(Instant::now());
    deployment.checks.record_interruption(entry);
    if let Some(entry) = deployment.entries.borrow().get(entry) {
        entry.process.signal(signal);
    }
}

/// Restarts an entry once its process has ended, and kills a process that outlasts
/// [`STOP_TIMEOUT`].
async fn restart_entry(deployment: &Deployment, entry: usize) {
    let started_at = Instant::now();
    let restart = |deployment: &Deployment| {
        let mut entries = deployment.entries.borrow_mut();
        let entry = entries.get_mut(entry)?;
        if started_at.elapsed() > STOP_TIMEOUT {
            entry.process.signal(Signal::SIGKILL);
        }
        Some(restart_if_ended(&mut entry.process))
    };
    restart_when_ended(deployment, restart).await;
    deployment.checks.record_interruption(entry);
}

/// Restarts a program if its process has ended, and returns whether it did.
fn restart_if_ended(process: &mut Process) -> io::Result<bool> {
    if process.poll_exit().is_none() {
        return Ok(false);
    }
    process.restart().map(|()| true)
}

/// Polls until a program has ended and been restarted.
async fn restart_when_ended(
    deployment: &Deployment,
    restart: impl Fn(&Deployment) -> Option<io::Result<bool>>,
) {
    loop {
        monoio::time::sleep(Duration::from_millis(20)).await;
        match restart(deployment) {
            Some(Ok(false)) => {}
            Some(Err(error)) => {
                deployment
                    .checks
                    .record_violation("a program starts again", error.to_string());
                return;
            }
            None | Some(Ok(true)) => return,
        }
    }
}
