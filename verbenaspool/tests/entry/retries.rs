//! Tests of the outcome of a request that took several attempts.

use std::rc::Rc;

use http::Method;
use verbenaspool_transport::shutdown;

use crate::{
    agent::{Action, FakeAgent},
    deployment::{Deployment, fake_upstream, read_response, request, run_test},
};

/// The number of requests, so that the agents are tried in both orders.
const REQUESTS: usize = 12;

/// Sets an agent's action for as many attempts as a request may take.
fn repeat_action(agent: &FakeAgent, action: impl FnMut() -> Action) {
    let mut actions = agent.actions.borrow_mut();
    actions.clear();
    actions.extend(std::iter::repeat_with(action).take(20));
}

#[test]
fn a_rejected_retry_keeps_the_outcome_unknown() {
    // Guards against a caller that is told `not-run` and sends a booking again, though it ran:
    // the first attempt's answer was lost, the retry at another upstream was rejected, and the
    // outcome of that rejection was returned for both attempts.
    run_test(async {
        let (_stop, signal) = shutdown::channel();
        let agents: Vec<Rc<FakeAgent>> = (0..2).map(|_| Rc::default()).collect();
        let upstreams: Vec<_> = agents
            .iter()
            .enumerate()
            .map(|(i, agent)| fake_upstream(&format!("loft-{i}"), "assistant", agent, &signal))
            .collect();
        let deployment = Deployment::start(&upstreams);
        for _ in 0..REQUESTS {
            repeat_action(&agents[0], || Action::WrongAttempt);
            repeat_action(&agents[1], || Action::Reject);
            let before = agents[0].received.borrow().len();
            let sent = request(Method::POST, "/loft/v1/completions", "{}");
            let (_, outcome, _) = read_response(deployment.send(sent).await).await;
            if agents[0].received.borrow().len() > before {
                assert_eq!(outcome, "unknown");
            }
        }
        assert!(!agents[0].received.borrow().is_empty());
        assert!(!agents[1].received.borrow().is_empty());
    });
}
