//! The event loop: monoio on its epoll driver, one loop on one thread.

use std::{future::Future, io};

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to its end on a new loop of this thread.
///
/// The driver is named here and nowhere else, because monoio-http switches on
/// monoio's `io_uring` driver, which the instances don't allow: a builder that
/// chose by itself would take it.
///
/// # Errors
/// The loop's poll descriptor can't be opened.
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
