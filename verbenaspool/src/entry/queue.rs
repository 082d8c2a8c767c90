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
type Verdict = Result<Start, Rejection>;

/// The queue of one service.
pub struct Queue {
    balancer: RefCell<Balancer>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    clock: Rc<dyn Clock>,
    changed: Rc<Notify>,
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
            changed: Rc::default(),
        });
        monoio::spawn(tend(
            Rc::downgrade(&queue),
            queue.clock.clone(),
            queue.changed.clone(),
        ));
        queue
    }

    /// Does something with the balancer and then resolves whoever can go on.
    pub fn with<R>(&self, act: impl FnOnce(&mut Balancer, Duration) -> R) -> R {
        let result = act(&mut self.balancer.borrow_mut(), self.clock.now());
        self.pump();
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
        self.follow(decision).await
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
        self.follow(decision).await
    }

    /// Carries a decision out.
    async fn follow(self: &Rc<Self>, decision: Decision) -> Result<Attempt, Rejection> {
        let start = match decision {
            Decision::Admit(start) => start,
            Decision::Reject(refusal) => return Err(refusal),
            Decision::Wait(ticket) => self.wait(ticket).await?,
        };
        Ok(Attempt {
            queue: self.clone(),
            began: self.clock.now(),
            start,
            ended: Cell::new(false),
        })
    }

    /// Waits for a ticket's verdict.
    async fn wait(self: &Rc<Self>, ticket: Ticket) -> Verdict {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let place = Place {
            queue: self.clone(),
            ticket,
            receiver,
            heard: false,
        };
        // The balancer resolves a ticket on the next poll, perhaps at once, and
        // may want to be woken sooner than before.
        self.pump();
        self.changed.notify_one();
        place.verdict().await
    }

    /// Tells every caller whose ticket is resolved.
    fn pump(&self) {
        loop {
            let resolved = self.balancer.borrow_mut().poll(self.clock.now());
            if resolved.is_empty() {
                return;
            }
            for resolution in resolved {
                let sender = self.waiting.borrow_mut().remove(&resolution.ticket);
                let unheard = match sender {
                    Some(sender) => sender.send(resolution.result).err(),
                    None => Some(resolution.result),
                };
                // A caller that left between the verdict and its hearing must
                // give the started attempt back, or its slot would stay taken.
                if let Some(Ok(start)) = unheard {
                    self.give_back(&start);
                }
            }
        }
    }

    /// Ends an attempt that nobody will make.
    fn give_back(&self, start: &Start) {
        let outcome = ended(Ending::Cancelled, Duration::ZERO);
        let mut balancer = self.balancer.borrow_mut();
        balancer.finish(self.clock.now(), start.attempt, &outcome);
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        // Ends the queue's own task.
        self.changed.notify_one();
    }
}

/// Wakes the balancer when it asked to be woken.
async fn tend(queue: Weak<Queue>, clock: Rc<dyn Clock>, changed: Rc<Notify>) {
    loop {
        let wake = {
            let Some(queue) = queue.upgrade() else { return };
            queue.pump();
            queue.balancer.borrow().next_wake()
        };
        let heard = Box::pin(changed.notified());
        match wake {
            None => heard.await,
            Some(at) => {
                // The least step keeps a balancer that asks for the past from spinning.
                let wait = at.saturating_sub(clock.now()).max(Duration::from_millis(1));
                select(clock.sleep(wait), heard).await;
            }
        }
    }
}

/// An ending with nothing else known.
fn ended(ending: Ending, took: Duration) -> Outcome {
    Outcome {
        ending,
        took,
        prompt_tokens: 0,
        tokens: 0,
    }
}

/// A caller's place in the queue. Dropping it, as happens when the caller
/// leaves, takes the request back.
struct Place {
    queue: Rc<Queue>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Verdict>,
    heard: bool,
}

impl Place {
    async fn verdict(mut self) -> Verdict {
        let verdict = (&mut self.receiver).await;
        self.heard = true;
        verdict.expect("a queue outlives its places")
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.heard {
            return;
        }
        let queue = &self.queue;
        queue.waiting.borrow_mut().remove(&self.ticket);
        match self.receiver.try_recv() {
            Ok(Ok(start)) => queue.give_back(&start),
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
    pub began: Duration,
    start: Start,
    ended: Cell<bool>,
}

impl Attempt {
    /// The upstream to send it to.
    #[must_use]
    pub fn upstream(&self) -> &Name {
        &self.start.upstream
    }

    /// Says how the attempt ended; only the first word counts.
    pub fn finish(&self, ending: Ending, prompt_tokens: u32, tokens: u32) {
        if self.ended.replace(true) {
            return;
        }
        let took = self.queue.clock.now().saturating_sub(self.began);
        let outcome = Outcome {
            prompt_tokens,
            tokens,
            ..ended(ending, took)
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
