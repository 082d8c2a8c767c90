//! What the outcome says of a request that took several attempts.

use std::rc::Rc;

use http::Method;
use verbenaspool_transport::shutdown;

use crate::{
    agent::{Act, Agent},
    site::{Site, played, request, run, whole},
};

/// How many requests are sent, so that each order of the two agents occurs.
const REQUESTS: usize = 12;

/// Lets an agent act in one way for as many attempts as a request may take.
fn fill(agent: &Agent, act: impl FnMut() -> Act) {
    let mut acts = agent.acts.borrow_mut();
    acts.clear();
    acts.extend(std::iter::repeat_with(act).take(20));
}

#[test]
fn a_refused_repeat_does_not_take_back_an_unknown_attempt() {
    // A caller is told `not-run` and books again, though its request ran: the
    // first attempt's answer was lost, the entry tried another upstream, and
    // that one's truthful refusal was passed on as the word for both.
    run(async {
        let (_stop, signal) = shutdown::channel();
        let agents: Vec<Rc<Agent>> = (0..2).map(|_| Rc::default()).collect();
        let upstreams: Vec<_> = agents
            .iter()
            .enumerate()
            .map(|(i, agent)| played(&format!("loft-{i}"), "assistant", agent, &signal))
            .collect();
        let site = Site::start(&upstreams);
        for _ in 0..REQUESTS {
            fill(&agents[0], || Act::Crossed);
            fill(&agents[1], || Act::Refuse);
            let before = agents[0].seen.borrow().len();
            let sent = request(Method::POST, "/loft/v1/completions", "{}");
            let (_, outcome, _) = whole(site.send(sent).await).await;
            if agents[0].seen.borrow().len() > before {
                assert_eq!(outcome, "unknown");
            }
        }
        assert!(!agents[0].seen.borrow().is_empty());
        assert!(!agents[1].seen.borrow().is_empty());
    });
}
