//! The process of an agent on the direct path.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use monoio::net::udp::UdpSocket;
use slog::{Logger, info, warn};
use verbenaspool_protocol::message::{self, Message};
use verbenaspool_transport::{
    clock::{Clock, Monotonic},
    http::client::Client,
    log, runtime,
    shutdown::Signals,
};

use super::{agent_state::AgentState, settings::Settings};

/// Intervals at which the own rank's report is read: during a map change, and otherwise.
/// Reading it on the same instance costs the rank nothing, but takes processor time.
const READ_INTERVALS: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(50)];

/// Interval of the check whether choices have to be read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the lead checks whether another map is better.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum intervals at which the rank's state is sent to the agents that act on it: the
/// first applies to the lead, to the rank that holds passes and during a map change, the
/// second to all others, of which there are many.
const REPORT_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(180)];

/// Maximum interval at which an agent sends its state to all others of the group, in
/// groups of up to [`MAX_RANKS_AT_HELLO_INTERVAL`] ranks.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of groups in which [`HELLO_INTERVAL`] applies. In larger ones the interval grows
/// with the number of ranks, or messages would grow with its square. Agents that act on a state
/// receive it many times a second anyway.
const MAX_RANKS_AT_HELLO_INTERVAL: u32 = 16;

/// Time without a report of the rank after which it counts as not running.
const UNREACHABLE_TIME: Duration = Duration::from_millis(300);

/// Maximum interval at which a rank's experts are sent to the lead.
const EXPERTS_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for a new connection to the rank.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Fatal errors of the agent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP port can't be bound.
    #[error("can't bind {address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        reason: std::io::Error,
    },
    /// The event loop can't start, or signal handlers can't be installed.
    #[error("can't start the event loop: {0}")]
    EventLoop(#[from] std::io::Error),
}

/// Runs the agent until SIGTERM or SIGINT.
///
/// # Errors
/// The UDP port can't be bound, the event loop can't start, or signal handlers can't be
/// installed.
pub fn main(settings: Settings) -> Result<(), Error> {
    let (log, _guard) = log::open_with_guard(settings.log);
    // The settings apply until the process is restarted. The reload signal is handled only
    // because it would otherwise terminate the process.
    let signals = Signals::register()?;
    runtime::run(serve(settings, log, signals))?
}

/// Runs the agent on the event loop until it is told to stop.
///
/// # Errors
/// The UDP port can't be bound.
pub async fn serve(settings: Settings, log: Logger, signals: Signals) -> Result<(), Error> {
    let clock: Rc<dyn Clock> = Monotonic::start();
    let address = SocketAddr::new(settings.address, settings.peer_port);
    let socket = UdpSocket::bind(address).map_err(|reason| Error::Bind { address, reason })?;
    info!(log, "agent started"; "name" => &settings.name, "upstream" => settings.upstream.to_string());
    let client = Client::new(CONNECT_TIMEOUT)
        .with_idle_timeout(Duration::from_millis(700))
        .with_backoff();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let first_sequence = since_epoch.map_or(0, |since| since.as_secs()) << 20;
    let shared = AgentState::new(settings, clock, log.clone(), client, socket, first_sequence);
    monoio::spawn(receive_messages(shared.clone()));
    let incarnation = Rc::new(Cell::new(0));
    monoio::spawn(sample_and_decide(shared.clone(), incarnation.clone()));
    poll_rank(&shared, &signals, &incarnation).await;
    info!(log, "agent stopped");
    Ok(())
}

/// Reads the own rank's report periodically, publishes changes and advances the map
/// change, until the process has to stop.
async fn poll_rank(shared: &Rc<AgentState>, signals: &Signals, incarnation: &Cell<u64>) {
    let clock = &shared.clock;
    let (mut last_broadcast, mut last_hello) = (Duration::ZERO, Duration::ZERO);
    let (mut reachable, mut last_read) = (true, Duration::ZERO);
    while !signals.stop_requested() {
        let report = shared.read_report().await;
        if report.is_some() != reachable {
            reachable = report.is_some();
            let backoff_ms = u64::try_from(shared.rank.backoff_left().as_millis());
            warn!(shared.log, "reachability of the rank's report changed";
                "reached" => reachable, "backoff_ms" => backoff_ms.unwrap_or(u64::MAX));
        }
        if report.is_some() {
            last_read = clock.now();
        }
        let unread_for = clock.now().saturating_sub(last_read);
        shared.unreachable.set(unread_for >= UNREACHABLE_TIME);
        let mut changing = false;
        if let Some(report) = report {
            incarnation.set(report.started_at_ms);
            let was_complete = shared.state().is_some();
            let changed = shared.handle_report(&report);
            let joined = !was_complete && shared.state().is_some();
            changing = report.order_in_progress
                || report.armed_version.is_some()
                || report.held_step.is_some();
            let now = clock.now();
            let to_all = joined || now.saturating_sub(last_hello) >= hello_interval(shared);
            let interval = REPORT_INTERVALS[usize::from(!changing && !shared.is_lead_or_holder())];
            if changed || to_all || now.saturating_sub(last_broadcast) >= interval {
                last_broadcast = now;
                if to_all {
                    last_hello = now;
                }
                shared.broadcast_state(to_all).await;
            }
            shared.advance_change().await;
            shared.stand_in().await;
        }
        // Also while the report can't be read: the rank then runs nothing.
        shared.notify_entries().await;
        clock.sleep(READ_INTERVALS[usize::from(!changing)]).await;
    }
}

/// Interval at which the state is sent to all agents of the group.
fn hello_interval(shared: &AgentState) -> Duration {
    let size = shared
        .state()
        .map_or(0, |state| u32::from(state.group_size));
    if shared.knows_whole_group() {
        HELLO_INTERVAL * size.max(MAX_RANKS_AT_HELLO_INTERVAL) / MAX_RANKS_AT_HELLO_INTERVAL
    } else {
        HELLO_INTERVAL
    }
}

/// Sends choices to the lead and, as the lead, decides on map changes.
async fn sample_and_decide(shared: Rc<AgentState>, incarnation: Rc<Cell<u64>>) {
    let mut last_decision = Duration::ZERO;
    loop {
        shared.sample_choices(incarnation.get()).await;
        let now = shared.clock.now();
        if now.saturating_sub(last_decision) >= DECISION_INTERVAL {
            last_decision = now;
            shared.report_experts(EXPERTS_REPORT_INTERVAL).await;
            shared.decide().await;
        }
        let _ = monoio::time::timeout(SAMPLE_INTERVAL, shared.round_ended.notified()).await;
    }
}

/// Receives messages of other agents and of entries.
async fn receive_messages(shared: Rc<AgentState>) {
    loop {
        let (received, buffer) = shared
            .socket
            .recv_from(vec![0_u8; 2 * message::MAX_DATAGRAM_BYTES])
            .await;
        let Ok((length, from)) = received else {
            shared.clock.sleep(READ_INTERVALS[0]).await;
            continue;
        };
        if let Some(message) = Message::decode(&buffer[..length]) {
            let shared = shared.clone();
            monoio::spawn(async move { shared.handle_message(from.ip(), message).await });
        }
    }
}
