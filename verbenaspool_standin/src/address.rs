//! Addresses for programs that are told where to listen.

use std::{
    net::SocketAddr,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// The ports used, below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// How many loopback networks the processes of a machine share out.
const NETWORKS: u32 = 120;

/// Counts the addresses of this process.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A loopback address that was not given out before.
///
/// A port that was bound, read and let go again can be taken by any outgoing
/// connection before the program that was told of it listens there; tests then
/// failed now and then. These differ by process and by call, and no outgoing
/// connection gets one.
///
/// ```
/// use verbenaspool_standin::address;
///
/// assert_ne!(address::fresh(), address::fresh());
/// ```
#[must_use]
#[allow(clippy::cast_possible_truncation)] // Each part is below its type's end.
pub fn fresh() -> SocketAddr {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let process = process::id();
    let network = 128 + (process % NETWORKS) as u8;
    let host = [(number / 250 % 250) as u8, (number % 250) as u8 + 1];
    let port = PORTS.start + process / NETWORKS % (PORTS.end - PORTS.start);
    ([127, network, host[0], host[1]], port as u16).into()
}
