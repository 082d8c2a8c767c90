//! `verbenaspool run`: the entry as a process.

use std::{io, path::Path, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use monoio::{net::TcpListener, utils::CtrlC};
use verbenaspool_state::{file::File, upstream::Upstream, version::Version};
use verbenaspool_transport::{clock::Monotonic, runtime, settings, shutdown};

use crate::{entry::Entry, settings::Settings};

/// Why the entry could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings can't be taken.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// An address can't be listened at, or the loop can't start.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Runs the entry until SIGTERM or SIGINT.
///
/// # Errors
/// The settings can't be taken, or an address can't be listened at.
pub fn main(path: &Path) -> Result<(), Error> {
    let settings: Settings = settings::load(path)?;
    runtime::run(run(settings))?
}

/// Runs the entry with these settings.
async fn run(settings: Settings) -> Result<(), Error> {
    let entry = Entry::new(settings.options(), Monotonic::start());
    if let Some(fixed) = &settings.fixed {
        let file: File = settings::load(&fixed.file)?;
        let upstreams: Vec<Upstream> = settings::load(&fixed.upstreams)?;
        entry.adopt(Version(1), &file);
        entry.members(&upstreams);
    }
    let listener = TcpListener::bind(settings.listen)?;
    let (trigger, signal) = shutdown::channel();
    let stop = CtrlC::new().map_err(io::Error::other)?;
    let served = Rc::clone(&entry).serve(listener, signal);
    let mut served = Box::pin(served);
    match select(stop, served.as_mut()).await {
        Either::Right(_) => return Ok(()),
        Either::Left(_) => trigger.fire(),
    }
    let drain = Duration::from_millis(settings.drain_ms);
    // What is still in flight behind the deadline is cut off.
    let _ = monoio::time::timeout(drain, served).await;
    Ok(())
}
