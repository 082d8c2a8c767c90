//! The async runtime: monoio on its epoll driver, one event loop on one thread.

use std::{future::Future, io};

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to completion on a new event loop of this thread.
///
/// Selects the driver explicitly: monoio-http enables monoio's `io_uring`
/// driver, which automatic selection would prefer but the instances don't allow.
///
/// # Errors
/// The epoll descriptor can't be opened.
///
/// ```
/// use verbenaspool_transport::runtime;
///
/// assert_eq!(runtime::run(async { 7 }).unwrap(), 7);
/// ```
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
