//! The balancer of one service, with callers that wait for it.

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

/// What a waiting caller is told.
type Admission = Result<Start, Rejection>;

/// The queue of one service.
pub struct Queue {
    balancer: RefCell<Balancer>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Admission>>>,
    clock: Rc<dyn Clock>,
    wake_changed: Rc<Notify>,
}

impl std::fmt::Debug for Queue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Queue").finish_non_exhaustive()
    }
}

impl Queue {
    /// A queue in front of a balancer.
    #[must_use]
    pub fn start(balancer: Balancer, clock: Rc<dyn Clock>) -> Rc<Self> {
        let queue = Rc::new(Self {
            balancer: RefCell::new(balancer),
            waiting: RefCell::default(),
            clock,
            wake_changed: Rc::default(),
        });
        monoio::spawn(run_wakeups(
            Rc::downgrade(&queue),
            queue.clock.clone(),
            queue.wake_changed.clone(),
        ));
        queue
    }

    /// Does something with the balancer and then resolves whoever can go on.
    pub fn with<R>(&self, act: impl FnOnce(&mut Balancer, Duration) -> R) -> R {
        let result = act(&mut self.balancer.borrow_mut(), self.clock.now());
        self.process_queue();
        result
    }

    /// What the balancer has decided so far.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.balancer.borrow().snapshot(self.clock.now())
    }

    /// Waits until a request may start.
    ///
    /// # Errors
    /// The balancer refuses it, now or after a wait.
    pub async fn admit(self: &Rc<Self>, request: &Request<'_>) -> Result<Attempt, Rejection> {
        let decision = self.balancer.borrow_mut().offer(self.clock.now(), request);
        self.apply_decision(decision).await
    }

    /// Waits until a request whose attempt failed may start again.
    ///
    /// # Errors
    /// The balancer refuses the retry.
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

    /// Carries a decision out.
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

    /// Waits for a ticket's verdict.
    async fn wait(self: &Rc<Self>, ticket: Ticket) -> Admission {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let guard = WaitGuard {
            queue: self.clone(),
            ticket,
            receiver,
            resolved: false,
        };
        // The balancer resolves a ticket on the next poll, perhaps at once, and
        // may want to be woken sooner than before.
        self.process_queue();
        self.wake_changed.notify_one();
        guard.wait().await
    }

    /// Tells every caller whose ticket is resolved.
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
                // A caller that left between the verdict and its hearing must
                // give the started attempt back, or its slot would stay taken.
                if let Some(Ok(start)) = undelivered {
                    self.cancel_attempt(&start);
                }
            }
        }
    }

    /// Ends an attempt that nobody will make.
    fn cancel_attempt(&self, start: &Start) {
        let outcome = outcome(Ending::Cancelled, Duration::ZERO);
        let mut balancer = self.balancer.borrow_mut();
        balancer.finish(self.clock.now(), start.attempt, &outcome);
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        // Ends the queue's own task.
        self.wake_changed.notify_one();
    }
}

/// Wakes the balancer when it asked to be woken.
async fn run_wakeups(queue: Weak<Queue>, clock: Rc<dyn Clock>, wake_changed: Rc<Notify>) {
    loop {
        let wake = {
            let Some(queue) = queue.upgrade() else { return };
            queue.process_queue();
            queue.balancer.borrow().next_wake()
        };
        let notified = Box::pin(wake_changed.notified());
        match wake {
            None => notified.await,
            Some(at) => {
                // The least step keeps a balancer that asks for the past from spinning.
                let wait = at.saturating_sub(clock.now()).max(Duration::from_millis(1));
                select(clock.sleep(wait), notified).await;
            }
        }
    }
}

/// An ending with nothing else known.
fn outcome(ending: Ending, took: Duration) -> Outcome {
    Outcome {
        ending,
        took,
        prompt_tokens: 0,
        tokens: 0,
    }
}

/// A caller's place in the queue. Dropping it, as happens when the caller
/// leaves, takes the request back.
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
        admission.expect("a queue outlives its places")
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

/// An attempt that the balancer let start. Dropping it without a word counts as
/// given up by the caller.
#[derive(Debug)]
pub struct Attempt {
    queue: Rc<Queue>,
    /// When the attempt began.
    pub started_at: Duration,
    start: Start,
    finished: Cell<bool>,
}

impl Attempt {
    /// The upstream to send it to.
    #[must_use]
    pub fn upstream(&self) -> &Name {
        &self.start.upstream
    }

    /// Says how the attempt ended; only the first word counts.
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
