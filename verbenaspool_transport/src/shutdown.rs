//! The word to stop, passed from the signal handler to every connection, and the
//! signals that a process hears by signals without stopping at each.

use std::{
    io,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};
use tokio::sync::watch;

/// The side that gives the word.
#[derive(Debug, Clone)]
pub struct Trigger(Rc<watch::Sender<bool>>);

/// The side that hears it.
#[derive(Debug, Clone)]
pub struct Signal(watch::Receiver<bool>);

/// A trigger and its signal.
///
/// ```
/// use verbenaspool_transport::shutdown;
///
/// let (trigger, signal) = shutdown::channel();
/// trigger.fire();
/// assert!(signal.fired());
/// ```
#[must_use]
pub fn channel() -> (Trigger, Signal) {
    let (sender, receiver) = watch::channel(false);
    (Trigger(Rc::new(sender)), Signal(receiver))
}

impl Trigger {
    /// Gives the word; a second one changes nothing.
    ///
    /// ```
    /// let (trigger, signal) = verbenaspool_transport::shutdown::channel();
    /// assert!(!signal.fired());
    /// trigger.fire();
    /// assert!(signal.fired());
    /// ```
    pub fn fire(&self) {
        self.0.send_replace(true);
    }
}

impl Signal {
    /// Whether the word was given.
    ///
    /// ```
    /// let (_trigger, signal) = verbenaspool_transport::shutdown::channel();
    /// assert!(!signal.fired());
    /// ```
    #[must_use]
    pub fn fired(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits for the word; forever, if the trigger is gone without giving it.
    ///
    /// ```
    /// use verbenaspool_transport::{runtime, shutdown};
    ///
    /// let (trigger, mut signal) = shutdown::channel();
    /// trigger.fire();
    /// runtime::run(signal.wait()).unwrap();
    /// ```
    pub async fn wait(&mut self) {
        if self.0.wait_for(|fired| *fired).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Gives the word when the process gets SIGTERM, SIGINT or SIGHUP. To be called
/// once, on the loop.
///
/// # Errors
/// The handler is set already.
pub fn on_signal(trigger: Trigger) -> Result<(), Error> {
    let signal = monoio::utils::CtrlC::new().map_err(|error| Error(error.to_string()))?;
    monoio::spawn(async move {
        signal.await;
        trigger.fire();
    });
    Ok(())
}

/// The process can't hear signals.
#[derive(Debug, thiserror::Error)]
#[error("the signal handler can't be set: {0}")]
pub struct Error(String);

/// What a process was told by signals. The loop looks at it now and then; clones
/// share it.
#[derive(Debug, Clone, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Hears SIGTERM and SIGINT as the word to stop, SIGHUP as that to reload.
    ///
    /// # Errors
    /// A signal can't be heard.
    ///
    /// ```
    /// let signals = verbenaspool_transport::shutdown::Signals::register().unwrap();
    /// assert!(!signals.stop_requested());
    /// ```
    pub fn register() -> io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, signals.stop.clone())?;
        }
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Says that the process is to stop, as a signal would.
    ///
    /// ```
    /// let signals = verbenaspool_transport::shutdown::Signals::default();
    /// signals.request_stop();
    /// assert!(signals.stop_requested());
    /// ```
    pub fn request_stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Whether the process is to stop.
    ///
    /// ```
    /// assert!(!verbenaspool_transport::shutdown::Signals::default().stop_requested());
    /// ```
    #[must_use]
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether the process is to read its settings anew; true once a word.
    ///
    /// ```
    /// assert!(!verbenaspool_transport::shutdown::Signals::default().take_reload());
    /// ```
    #[must_use]
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
