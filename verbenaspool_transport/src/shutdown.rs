//! Shutdown notification from the signal handler to every connection, and
//! signal flags for processes that also reload on a signal.

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

/// Starts the shutdown.
#[derive(Debug, Clone)]
pub struct Trigger(Rc<watch::Sender<bool>>);

/// Receives the shutdown notification.
#[derive(Debug, Clone)]
pub struct Signal(watch::Receiver<bool>);

/// Creates a trigger and its signal.
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
    /// Starts the shutdown. Further calls have no effect.
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
    /// Whether the shutdown has started.
    ///
    /// ```
    /// let (_trigger, signal) = verbenaspool_transport::shutdown::channel();
    /// assert!(!signal.fired());
    /// ```
    #[must_use]
    pub fn fired(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the shutdown starts; forever if the trigger is dropped before.
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

/// Fires the trigger when the process receives SIGTERM, SIGINT or SIGHUP. Must be
/// called once, on the event loop.
///
/// # Errors
/// A signal handler is already installed.
pub fn on_signal(trigger: Trigger) -> Result<(), Error> {
    let signal = monoio::utils::CtrlC::new().map_err(|error| Error(error.to_string()))?;
    monoio::spawn(async move {
        signal.await;
        trigger.fire();
    });
    Ok(())
}

/// The signal handler can't be installed.
#[derive(Debug, thiserror::Error)]
#[error("the signal handler can't be installed: {0}")]
pub struct Error(String);

/// Signals received by the process, as flags that the event loop polls. Clones
/// share them.
#[derive(Debug, Clone, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers handlers: SIGTERM and SIGINT request a stop, SIGHUP a reload.
    ///
    /// # Errors
    /// A signal handler can't be registered.
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

    /// Requests a stop, as SIGTERM does.
    ///
    /// ```
    /// let signals = verbenaspool_transport::shutdown::Signals::default();
    /// signals.request_stop();
    /// assert!(signals.stop_requested());
    /// ```
    pub fn request_stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Whether a stop was requested.
    ///
    /// ```
    /// assert!(!verbenaspool_transport::shutdown::Signals::default().stop_requested());
    /// ```
    #[must_use]
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether a reload was requested since the last call.
    ///
    /// ```
    /// assert!(!verbenaspool_transport::shutdown::Signals::default().take_reload());
    /// ```
    #[must_use]
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
