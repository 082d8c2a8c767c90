//! The agent's control methods: attempt status, reports and leaving.

use std::{rc::Rc, time::Duration};

use verbenaspool_protocol::{report, settle};
use verbenaspool_transport::rpc::Module;

use crate::shared::Shared;

/// How often a report request checks whether the cause of an interrupted response is known.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Registers the control methods.
pub(crate) fn register(module: &mut Module, shared: &Rc<Shared>) {
    let agent = shared.clone();
    module.register(settle::METHOD, move |request: settle::Request| {
        let answer = settle(&agent, &request);
        async move { Ok::<_, String>(answer) }
    });
    let agent = shared.clone();
    module.register(report::METHOD, move |request: report::Request| {
        // A caller that addresses another instance must not learn this process's number,
        // or it would send its requests here.
        let is_addressed = request.instance == agent.settings.identity();
        let agent = agent.clone();
        async move {
            if !is_addressed {
                return Err("another instance is here".to_owned());
            }
            while agent.crashes.is_pending() {
                agent.clock.sleep(POLL_INTERVAL).await;
            }
            let cache = agent.engine.borrow().events_since(request.since);
            Ok(report::Report {
                load: agent.load(),
                cache,
                crashes: agent.crashes.reports(agent.clock.now()),
            })
        }
    });
    let agent = shared.clone();
    module.register(report::LEAVE_METHOD, move |(): ()| {
        agent.leave();
        async move { Ok::<_, String>(()) }
    });
}

/// Returns the status of an attempt. The status of an attempt that was sent to another
/// process is unknown, and no tombstone is recorded for it: the other process may be
/// running it.
fn settle(shared: &Shared, request: &settle::Request) -> settle::Answer {
    if request.agent != shared.number {
        return settle::Answer::Unknown;
    }
    let now = shared.clock.now();
    let key = request.attempt.into();
    let status = shared.ledger.borrow_mut().settle(key, now);
    shared.meter.count_settlement(status);
    status.into()
}
