//! Allocates loopback addresses for programs that are configured with a listen address.

use std::{
    net::SocketAddr,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports to allocate from, below the range of ephemeral ports.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Number of loopback networks, of which each process uses one.
const NETWORKS: u32 = 120;

/// Number of blocks of 250 addresses that lie between the first ones of processes with one network. Tests
/// use fixed ports besides those from here, which two such processes would share.
const BLOCKS_PER_PROCESS: u32 = 16;

/// Number of the next address that this process allocates.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that this process hasn't returned before.
///
/// Binding port 0 and releasing the port again made tests flaky: an outgoing connection can take
/// the port before the program under test listens on it. Addresses from here differ by process
/// and by call, and outgoing connections never get their ports.
///
/// ```
/// use verbenaspool_standin::address;
///
/// assert_ne!(address::fresh(), address::fresh());
/// ```
#[must_use]
#[allow(clippy::cast_possible_truncation)] // Each part fits into its type.
pub fn fresh() -> SocketAddr {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let process = process::id();
    let network = 128 + (process % NETWORKS) as u8;
    let block = number / 250 + process / NETWORKS * BLOCKS_PER_PROCESS;
    let host = [(block % 250) as u8, (number % 250) as u8 + 1];
    let port = PORTS.start + process / NETWORKS % (PORTS.end - PORTS.start);
    ([127, network, host[0], host[1]], port as u16).into()
}
