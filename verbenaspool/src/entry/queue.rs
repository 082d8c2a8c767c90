//! The balancer of one service and the callers that wait for its decisions.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::{Rc, Weak},
    time::Duration,
};

use futures_util::future::select;
use tokio::sync::{Notify, oneshot};
use verbenaspool_policy::{
    attempt::{Ending, Outcome},
    balancer::Balancer,
    decision::{Decision, Rejection, Start, Ticket},
    request::Request,
    snapshot::Snapshot,
};
use verbenaspool_state::name::Name;
use verbenaspool_transport::clock::Clock;

/// The balancer's final decision on a request.
type Admission = Result<Start, Rejection>;

/// The queue of one service.
pub struct Queue {
    balancer: RefCell<Balancer>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Admission>>>,
    clock: Rc<dyn Clock>,
    wake_time_changed: Rc<Notify>,
}

impl std::fmt::Debug for Queue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Queue").finish_non_exhaustive()
    }
}

impl Queue {
    /// Creates a queue for a balancer and starts its wake-up task.
    #[must_use]
    pub fn start(balancer: Balancer, clock: Rc<dyn Clock>) -> Rc<Self> {
        let queue = Rc::new(Self {
            balancer: RefCell::new(balancer),
            waiting: RefCell::default(),
            clock,
            wake_time_changed: Rc::default(),
        });
        monoio::spawn(run_wakeups(
            Rc::downgrade(&queue),
            queue.clock.clone(),
            queue.wake_time_changed.clone(),
        ));
        queue
    }

    /// Calls `act` with the balancer and then resolves the requests that it decides on.
    pub fn with<R>(&self, act: impl FnOnce(&mut Balancer, Duration) -> R) -> R {
        let result = act(&mut self.balancer.borrow_mut(), self.clock.now());
        self.process_queue();
        result
    }

    /// A snapshot of the balancer's decisions and measurements.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.balancer.borrow().snapshot(self.clock.now())
    }

    /// Waits until a request may start.
    ///
    /// # Errors
    /// The balancer rejects the request, at once or after it has waited.
    pub async fn admit(self: &Rc<Self>, request: &Request<'_>) -> Result<Attempt, Rejection> {
        let decision = self.balancer.borrow_mut().offer(self.clock.now(), request);
        self.apply_decision(decision).await
    }

    /// Waits until a request whose attempt failed may be retried.
    ///
    /// # Errors
    /// The balancer rejects the retry.
    pub async fn retry(
        self: &Rc<Self>,
        request: &Request<'_>,
        ending: Ending,
        tried: &[Name],
    ) -> Result<Attempt, Rejection> {
        let decision = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.retry(self.clock.now(), request, ending, tried)
        };
        self.apply_decision(decision).await
    }

    /// Starts the attempt, waits or returns the rejection, as decided.
    async fn apply_decision(self: &Rc<Self>, decision: Decision) -> Result<Attempt, Rejection> {
        let start = match decision {
            Decision::Admit(start) => start,
            Decision::Reject(rejection) => return Err(rejection),
            Decision::Wait(ticket) => self.wait(ticket).await?,
        };
        Ok(Attempt {
            queue: self.clone(),
            started_at: self.clock.now(),
            start,
            finished: Cell::new(false),
        })
    }

    /// Waits until a ticket is resolved.
    async fn wait(self: &Rc<Self>, ticket: Ticket) -> Admission {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let guard = WaitGuard {
            queue: self.clone(),
            ticket,
            receiver,
            resolved: false,
        };
        // The balancer may resolve the ticket at the next poll, even now, and may need an
        // earlier wake-up than before.
        self.process_queue();
        self.wake_time_changed.notify_one();
        guard.wait().await
    }

    /// Notifies the callers whose tickets the balancer has resolved.
    fn process_queue(&self) {
        loop {
            let resolved = self.balancer.borrow_mut().poll(self.clock.now());
            if resolved.is_empty() {
                return;
            }
            for resolution in resolved {
                let sender = self.waiting.borrow_mut().remove(&resolution.ticket);
                let undelivered = match sender {
                    Some(sender) => sender.send(resolution.result).err(),
                    None => Some(resolution.result),
                };
                // A caller may have left after its request was started; the attempt must be
                // cancelled then, or its slot would stay occupied.
                if let Some(Ok(start)) = undelivered {
                    self.cancel_attempt(&start);
                }
            }
        }
    }

    /// Cancels an attempt that was started and won't be sent.
    fn cancel_attempt(&self, start: &Start) {
        let outcome = outcome(Ending::Cancelled, Duration::ZERO);
        let mut balancer = self.balancer.borrow_mut();
        balancer.finish(self.clock.now(), start.attempt, &outcome);
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        // Ends the wake-up task, which holds a weak reference.
        self.wake_time_changed.notify_one();
    }
}

/// Polls the balancer whenever its next wake-up is due.
async fn run_wakeups(queue: Weak<Queue>, clock: Rc<dyn Clock>, wake_time_changed: Rc<Notify>) {
    loop {
        let wake = {
            let Some(queue) = queue.upgrade() else { return };
            queue.process_queue();
            queue.balancer.borrow().next_wake()
        };
        let notified = Box::pin(wake_time_changed.notified());
        match wake {
            None => notified.await,
            Some(at) => {
                // The minimum wait prevents a busy loop if the balancer's wake-up time has
                // passed.
                let wait = at.saturating_sub(clock.now()).max(Duration::from_millis(1));
                select(clock.sleep(wait), notified).await;
            }
        }
    }
}

/// The outcome of an attempt without token counts.
fn outcome(ending: Ending, took: Duration) -> Outcome {
    Outcome {
        ending,
        took,
        prompt_tokens: 0,
        tokens: 0,
    }
}

/// Holds a request in the queue. Dropping it, which happens when the caller leaves, cancels the
/// request.
struct WaitGuard {
    queue: Rc<Queue>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Admission>,
    resolved: bool,
}

impl WaitGuard {
    async fn wait(mut self) -> Admission {
        let admission = (&mut self.receiver).await;
        self.resolved = true;
        admission.expect("the queue outlives its waiting requests")
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let queue = &self.queue;
        queue.waiting.borrow_mut().remove(&self.ticket);
        match self.receiver.try_recv() {
            Ok(Ok(start)) => queue.cancel_attempt(&start),
            Ok(Err(_)) => {}
            Err(_) => queue.with(|balancer, now| balancer.cancel(now, self.ticket)),
        }
    }
}

/// An attempt started by the balancer. Dropping it before it is finished counts as cancelled by
/// the caller.
#[derive(Debug)]
pub struct Attempt {
    queue: Rc<Queue>,
    /// When the attempt started.
    pub started_at: Duration,
    start: Start,
    finished: Cell<bool>,
}

impl Attempt {
    /// The upstream that the attempt goes to.
    #[must_use]
    pub fn upstream(&self) -> &Name {
        &self.start.upstream
    }

    /// Reports how the attempt ended; only the first call counts.
    pub fn finish(&self, ending: Ending, prompt_tokens: u32, tokens: u32) {
        if self.finished.replace(true) {
            return;
        }
        let took = self.queue.clock.now().saturating_sub(self.started_at);
        let outcome = Outcome {
            prompt_tokens,
            tokens,
            ..outcome(ending, took)
        };
        let attempt = self.start.attempt;
        self.queue
            .with(|balancer, now| balancer.finish(now, attempt, &outcome));
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(Ending::Cancelled, 0, 0);
    }
}
